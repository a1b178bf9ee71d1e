"""Checks the histories of fleets under load and overlapping faults.

The bench that starts a fleet and injects faults into it is passed in by the
caller, since this package does not import the stand-ins.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
import dataclasses
import json
import random
import time
from typing import Any, Final, Protocol

import aiohttp

from wigeonspool.load import checker
from wigeonspool.load import history as records
from wigeonspool.load import invariants
from wigeonspool.load import retrying_callers

CALLERS: Final = 6
LOAD_SECONDS: Final = 4.0
FAULT_SECONDS: Final = (0.2, 1.5)
SETTLE_SECONDS: Final = 0.3
MAX_PAIRS: Final = 2
MAX_TRACES_PRINTED: Final = 3

InjectFault = Callable[[random.Random], Awaitable[None]]


class Bench(Protocol):
    """A fleet into which faults can be injected.

    Attributes:
        history: Where it records faults, changes and the state of processes.
        connect_addresses: Where callers connect, by address of each gateway.
        faults: By kind, functions that inject an unplanned fault and end it.
        plans: By kind, functions that perform a planned stop or change.
    """

    history: records.History
    connect_addresses: Mapping[str, str]
    faults: Mapping[str, InjectFault]
    plans: Mapping[str, InjectFault]

    async def start(self) -> None:
        """Starts the fleet."""

    async def stop(self) -> None:
        """Stops the fleet and adds its targets' records to the history."""


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts over all histories checked so far.

    Attributes:
        histories: Histories checked.
        operations: Submissions and changes in them.
        faults: Faults, planned stops and changes that were injected.
        violations: Violations of invariants that were found.
        outcomes: Submissions by outcome.
        strikes: Injected faults, planned stops and changes by kind.
    """

    histories: int = 0
    operations: int = 0
    faults: int = 0
    violations: int = 0
    outcomes: dict[str, int] = dataclasses.field(default_factory=dict)
    strikes: dict[str, int] = dataclasses.field(default_factory=dict)

    def add(self, history: records.History, injected: list[str]) -> None:
        """Adds the counts of one history.

        Args:
            history: The history.
            injected: Kinds of the faults and plans that were injected.
        """
        self.histories += 1
        self.operations += history.count_operations()
        self.faults += len(injected)
        for submission in history.invocations:
            count = self.outcomes.get(submission.outcome, 0)
            self.outcomes[str(submission.outcome)] = count + 1
        for kind in injected:
            self.strikes[kind] = self.strikes.get(kind, 0) + 1

    def print_line(self, seed: int) -> None:
        """Prints the counts as one line of JSON."""
        document: dict[str, Any] = dataclasses.asdict(self)
        print(json.dumps({"seed": seed} | document), flush=True)


def draw_fault_pairs(rng: random.Random, bench: Bench) -> list[list[str]]:
    """Returns random pairs of kinds of faults, planned stops and changes.

    A third of all histories has planned stops and changes only. In the others,
    unplanned faults are listed twice, so that they are chosen more often.
    """
    kinds = list(bench.plans)
    if rng.random() < 2 / 3:
        kinds += 2 * list(bench.faults)
    return [rng.sample(kinds, 2) for _ in range(rng.randint(1, MAX_PAIRS))]


async def inject_pairs(
    rng: random.Random, bench: Bench, pairs: list[list[str]]
) -> None:
    """Injects one pair after the other; the faults of a pair overlap."""
    kinds = dict(bench.faults) | dict(bench.plans)
    for pair in pairs:
        await asyncio.sleep(rng.uniform(0.1, 0.5))
        await asyncio.gather(*(kinds[kind](rng) for kind in pair))


async def check_one_fleet(bench: Bench, seed: int, tally: Tally) -> None:
    """Runs one fleet under load and faults and checks its history."""
    rng = random.Random(seed)
    await bench.start()
    pairs = draw_fault_pairs(rng, bench)
    until = time.monotonic() + LOAD_SECONDS
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        callers = [
            retrying_callers.RetryingCaller(
                session,
                f"caller-{index}",
                bench.connect_addresses,
                bench.history,
                random.Random(seed * 100 + index),
            )
            for index in range(CALLERS)
        ]
        await asyncio.gather(
            inject_pairs(rng, bench, pairs),
            *(caller.run(until) for caller in callers),
        )
        await asyncio.sleep(SETTLE_SECONDS)
    bench.history.ended_at = time.time()
    await bench.stop()
    injected = [kind for pair in pairs for kind in pair]
    tally.add(bench.history, injected)
    report_violations(bench.history, seed, injected, tally)


def report_violations(
    history: records.History, seed: int, injected: list[str], tally: Tally
) -> list[invariants.Violation]:
    """Counts and returns the violations, and prints the first with traces."""
    violations = checker.find_violations(history)
    tally.violations += len(violations)
    for violation in violations[:MAX_TRACES_PRINTED]:
        print(f"violation: {violation} seed {seed} faults {injected}")
        for line in checker.trace_violation(history, violation):
            print(f"  {line}")
    return violations


async def check_histories(
    create_bench: Callable[[], Bench], seconds: float, seed: int
) -> Tally:
    """Checks histories of new fleets for some time, at least one history.

    Args:
        create_bench: Returns a new fleet that is not started.
        seconds: No new history begins after this many seconds.
        seed: Seed of all random choices.
    """
    tally = Tally()
    stop_at = time.monotonic() + seconds
    while True:
        await check_one_fleet(
            create_bench(), seed * 10_000 + tally.histories, tally
        )
        if time.monotonic() >= stop_at:
            return tally

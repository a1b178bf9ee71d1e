"""Checks histories of fleets under faults, many of them at the same time.

The bench that starts a fleet and strikes it is given from outside, since this
package knows no stand-ins.
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
from wigeonspool.load import promises
from wigeonspool.load import retrying_callers

CALLERS: Final = 6
LOAD_SECONDS: Final = 4.0
STRIKE_SECONDS: Final = (0.2, 1.5)
SETTLE_SECONDS: Final = 0.3
MAX_PAIRS: Final = 2
TRACES_SHOWN: Final = 3

Strike = Callable[[random.Random], Awaitable[None]]


class Bench(Protocol):
    """A fleet that can be struck by faults.

    Attributes:
        history: Where it records what befalls it.
        doors: Where callers connect, by the address of each gateway.
        faults: Unplanned faults by kind; each ends by itself.
        plans: Planned stops and changes by kind.
    """

    history: records.History
    doors: Mapping[str, str]
    faults: Mapping[str, Strike]
    plans: Mapping[str, Strike]

    async def start(self) -> None:
        """Starts the fleet."""

    async def stop(self) -> None:
        """Stops it and gathers what its targets wrote down."""


@dataclasses.dataclass(slots=True)
class Tally:
    """What was checked so far.

    Attributes:
        histories: Histories checked.
        operations: Sends and changes in them.
        faults: Faults, planned stops and changes that struck.
        violations: Broken promises that were found.
        outcomes: Sends by outcome.
        strikes: Faults by kind.
    """

    histories: int = 0
    operations: int = 0
    faults: int = 0
    violations: int = 0
    outcomes: dict[str, int] = dataclasses.field(default_factory=dict)
    strikes: dict[str, int] = dataclasses.field(default_factory=dict)

    def add(self, history: records.History, struck: list[str]) -> None:
        """Adds one history."""
        self.histories += 1
        self.operations += history.count_operations()
        self.faults += len(struck)
        for send in history.invocations:
            count = self.outcomes.get(send.outcome, 0)
            self.outcomes[str(send.outcome)] = count + 1
        for kind in struck:
            self.strikes[kind] = self.strikes.get(kind, 0) + 1

    def print_line(self, seed: int) -> None:
        """Prints the tally as one line of JSON."""
        document: dict[str, Any] = dataclasses.asdict(self)
        print(json.dumps({"seed": seed} | document), flush=True)


def draw_strikes(rng: random.Random, bench: Bench) -> list[list[str]]:
    """Returns pairs of kinds; a third of all histories has plans only."""
    kinds = list(bench.plans)
    if rng.random() < 2 / 3:
        kinds += 2 * list(bench.faults)
    return [rng.sample(kinds, 2) for _ in range(rng.randint(1, MAX_PAIRS))]


async def strike_pairs(
    rng: random.Random, bench: Bench, pairs: list[list[str]]
) -> None:
    """Strikes with one pair after the other; those of a pair overlap."""
    kinds = dict(bench.faults) | dict(bench.plans)
    for pair in pairs:
        await asyncio.sleep(rng.uniform(0.1, 0.5))
        await asyncio.gather(*(kinds[kind](rng) for kind in pair))


async def check_one(bench: Bench, seed: int, tally: Tally) -> None:
    """Runs one fleet under load and faults and checks its history."""
    rng = random.Random(seed)
    await bench.start()
    pairs = draw_strikes(rng, bench)
    until = time.monotonic() + LOAD_SECONDS
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        callers = [
            retrying_callers.Resender(
                session,
                f"caller-{index}",
                bench.doors,
                bench.history,
                random.Random(seed * 100 + index),
            )
            for index in range(CALLERS)
        ]
        await asyncio.gather(
            strike_pairs(rng, bench, pairs),
            *(caller.work(until) for caller in callers),
        )
        await asyncio.sleep(SETTLE_SECONDS)
    bench.history.ended_at = time.time()
    await bench.stop()
    struck = [kind for pair in pairs for kind in pair]
    tally.add(bench.history, struck)
    report_violations(bench.history, seed, struck, tally)


def report_violations(
    history: records.History, seed: int, struck: list[str], tally: Tally
) -> list[promises.Violation]:
    """Prints each violation with its seed and trace, and counts it."""
    found = checker.find_violations(history)
    tally.violations += len(found)
    for violation in found[:TRACES_SHOWN]:
        print(f"violation: {violation} seed {seed} faults {struck}")
        for line in checker.trace_violation(history, violation):
            print(f"  {line}")
    return found


async def check_histories(
    create_bench: Callable[[], Bench], seconds: float, seed: int
) -> Tally:
    """Checks histories for some seconds, at least one.

    Args:
        create_bench: Returns a new fleet that is not started.
        seconds: No new history begins after this time.
        seed: Seed of all choices.
    """
    tally = Tally()
    stop_at = time.monotonic() + seconds
    while True:
        await check_one(create_bench(), seed * 10_000 + tally.histories, tally)
        if time.monotonic() >= stop_at:
            return tally

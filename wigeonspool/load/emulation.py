"""Plays demand against the real path of entry VMs, in virtual time.

Each VM asks, chooses, sends and repeats as a process does; connections and
targets are emulated.
"""

import asyncio
import collections
from collections.abc import Iterable
import dataclasses
import math
import random
from typing import Any

import msgspec

from wigeonspool.core import cluster_state
from wigeonspool.load import targets
from wigeonspool.load import virtual
from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.model import outcomes
from wigeonspool.model import vm_settings
from wigeonspool.vm import request_context
from wigeonspool.vm import request_runner

SERVICE = "reads"


@dataclasses.dataclass(slots=True)
class Figures:
    """What became of the requests of a run.

    Attributes:
        offered: Requests of callers.
        in_time: Answered within their objective.
        late: Answered later.
        refused: Told that they did not run, in the end.
        failed: Ended in any other way.
        asked: Health checks.
        sends: Attempts sent to targets.
        most_runs: Most targets that ran one request.
    """

    offered: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    asked: int = 0
    sends: int = 0
    most_runs: int = 0

    @property
    def payoff(self) -> float:
        """Part of the full value that was earned; late ones count a tenth."""
        return (self.in_time + 0.1 * self.late) / max(1, self.offered)


class Emulation:
    """Entry VMs, targets and callers of one service."""

    def __init__(
        self, shape: targets.Shape, seed: int, repeatable: bool
    ) -> None:
        """Prepares a run on the running loop.

        Args:
            shape: What is emulated.
            seed: Seed of all that is drawn.
            repeatable: True if requests may run more than once.
        """
        self.figures: dict[int, Figures] = collections.defaultdict(Figures)
        self.by_priority: dict[int, Figures]
        self.by_priority = collections.defaultdict(Figures)
        self._shape = shape
        self._rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._targets = {
            f"t-{i}": targets.Target(shape, random.Random(f"{seed}/{i}"))
            for i in range(shape.targets)
        }
        self._rules = [
            fleet.Rule(
                name=f"rule-{priority}",
                prefix=f"/{priority}/",
                shares=(fleet.Share(SERVICE, 1.0),),
                idempotent=repeatable,
                large_responses=False,
                objective_seconds=shape.objective,
                limit_seconds=shape.limit,
                max_targets=2,
                priority=priority,
            )
            for priority in range(shape.priorities)
        ]
        self._vms = [self._build_vm(i) for i in range(shape.vms)]
        self._number = 0
        self._calls: set[asyncio.Task[None]] = set()

    def _build_vm(
        self, index: int
    ) -> tuple[request_runner.RequestRunner, targets.Sender]:
        """Returns the path of one entry VM."""
        known = cluster_state.ClusterState()
        for number, identity in enumerate(self._targets):
            entry = fleet.TargetEntry(
                identity=identity,
                service=SERVICE,
                address=f"10.0.0.{number}:1",
                zone=targets.ZONE,
                slots=self._shape.slots,
                state=fleet.TargetState.SERVING,
                warmup_seconds=0.0,
                started_at_ms=0,
            )
            change = cluster_state.TargetChange(identity, entry)
            known.apply(0.0, identity, 1, change)
        rng = random.Random(self._rng.random())
        asker = targets.Asker(known, self._targets, self._shape, rng)
        regions = {
            f"zone-{i}": targets.ZONE for i in range(self._shape.vms // 2)
        }
        settings = vm_settings.VmSettings(
            vm=f"vm-{index}",
            ip="",
            zone=targets.ZONE,
            region=targets.ZONE,
            capacity=1.0,
            callers="",
            readiness="",
            directory="",
            control="",
            first_free_port=0,
            seeds=(),
            regions=regions,
            store="",
            min_lease_seconds=1.0,
            bounds=vm_settings.DeploymentLimits(0.2, 60.0, 10.0, 6.0, 5.0),
        )
        words: Any = _Words()
        runner = request_runner.RequestRunner(settings, known, asker, words)
        sender = targets.Sender(self._targets, self._shape.trip)
        runner.replace_sender(sender)
        return runner, sender

    async def offer(self, rate: float, seconds: float, window: int) -> None:
        """Lets callers send requests for a while, and waits for no answer.

        Args:
            rate: Requests a second.
            seconds: How long.
            window: Where to count them.
        """
        until = self._loop.time() + seconds
        while self._loop.time() < until:
            await asyncio.sleep(self._rng.expovariate(rate))
            task = self._loop.create_task(self._call(window))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    async def settle(self) -> None:
        """Waits until all requests have ended."""
        await asyncio.sleep(2 * self._shape.limit)

    async def _call(self, window: int) -> None:
        """Sends one request of a caller, and repeats it once if refused."""
        figures = self.figures[window]
        rule = self._rng.choice(self._rules)
        own = self.by_priority[rule.priority]
        figures.offered += 1
        own.offered += 1
        first_at = self._loop.time()
        seconds = self._draw_work()
        order = self._rng.sample(range(len(self._vms)), 2)
        ended: Any = None
        for index in order:
            ended = await self._attempt(index, rule, first_at, seconds, figures)
            if not isinstance(ended, outcomes.Failure):
                break
            await asyncio.sleep(0.06)
        for counted in (figures, own):
            self._count(counted, ended, self._loop.time() - first_at)

    def _draw_work(self) -> float:
        """Returns how long a request takes at the usual pace."""
        shape = self._shape
        seconds = shape.work * self._rng.lognormvariate(0.0, shape.spread)
        if self._rng.random() < shape.long_share:
            seconds *= shape.long_factor
        return seconds

    async def _attempt(
        self,
        index: int,
        rule: fleet.Rule,
        first_at: float,
        seconds: float,
        figures: Figures,
    ) -> request_runner.RequestResult:
        """Sends a request to one VM."""
        runner, sender = self._vms[index]
        now = self._loop.time()
        self._number += 1
        request: Any = None
        work = request_context.RequestContext(
            request,
            f"a-{self._number}",
            rule,
            SERVICE,
            b"",
            True,
            self._number,
            now,
            now + self._shape.objective,
            first_at + self._shape.limit,
        )
        sender.seconds[work.identity] = seconds
        ending: request_runner.RequestResult
        try:
            async with asyncio.timeout_at(work.deadline):
                ending = await runner.run(work)
        except TimeoutError:
            ending = work.build_failure(outcomes.Reason.DEADLINE_PASSED)
        figures.asked += work.probes_sent
        figures.sends += work.attempts_sent
        runs = sender.runs.pop(work.identity, 0)
        figures.most_runs = max(figures.most_runs, runs)
        return ending

    def _count(
        self,
        figures: Figures,
        ended: request_runner.RequestResult,
        seconds: float,
    ) -> None:
        """Counts how a request ended."""
        if isinstance(ended, outcomes.Failure):
            if ended.outcome is outcomes.Outcome.NOT_RUN:
                figures.refused += 1
            else:
                figures.failed += 1
        elif ended.outcome is not request_context.AttemptOutcome.ANSWERED:
            figures.failed += 1
        elif seconds <= self._shape.objective:
            figures.in_time += 1
        else:
            figures.late += 1


class _Words:
    """The protocol words that a runner looks at."""

    not_run_statuses: frozenset[int] = frozenset({503})


def play(
    shape: targets.Shape,
    steps: list[tuple[float, float]],
    seed: int = 1,
    repeatable: bool = True,
) -> dict[int, Figures]:
    """Returns the figures of each step of demand.

    Args:
        shape: What is emulated.
        steps: Requests a second and for how many seconds, one after another.
        seed: Seed of all that is drawn.
        repeatable: True if requests may run more than once.
    """
    return emulate(shape, steps, seed, repeatable).figures


def emulate(
    shape: targets.Shape,
    steps: list[tuple[float, float]],
    seed: int = 1,
    repeatable: bool = True,
) -> Emulation:
    """Returns an emulation that has played all steps; see `play`."""

    async def work() -> Emulation:
        """Plays all steps."""
        emulation = Emulation(shape, seed, repeatable)
        for window, (rate, seconds) in enumerate(steps):
            await emulation.offer(rate, seconds, window)
        await emulation.settle()
        return emulation

    return virtual.run(work())


def read_shape(fields: Iterable[str]) -> targets.Shape:
    """Returns the targets that field=value pairs describe.

    Raises:
        SettingsError: If a pair names no field or no value for it.
    """
    wanted: dict[str, str] = {}
    for pair in fields:
        name, equals, text = pair.partition("=")
        if not equals:
            raise errors.SettingsError("command line", name, "no value")
        wanted[name] = text
    known = {field.name for field in dataclasses.fields(targets.Shape)}
    for name in wanted.keys() - known:
        raise errors.SettingsError("command line", name, "no such field")
    try:
        shape = msgspec.convert(wanted, targets.Shape, strict=False)
    except msgspec.ValidationError as error:
        raise errors.SettingsError(
            "command line", "--set", str(error)
        ) from error
    if min(shape.targets, shape.slots, shape.vms - 1, shape.priorities) < 1:
        raise errors.SettingsError(
            "command line", "--set", "targets, slots and two VMs are needed"
        )
    return shape


def read_steps(texts: Iterable[str]) -> list[tuple[float, float]]:
    """Returns steps of demand, each written as RATExSECONDS.

    Raises:
        SettingsError: If a step has another form.
    """
    steps = []
    for text in texts:
        rate, _, seconds = text.partition("x")
        try:
            step = (float(rate), float(seconds))
        except ValueError:
            step = (0.0, 0.0)
        if not (0 < step[0] < math.inf and 0 < step[1] < math.inf):
            raise errors.SettingsError("command line", text, "not like 60x4")
        steps.append(step)
    return steps


def print_figures(
    steps: list[tuple[float, float]], figures: dict[int, Figures]
) -> None:
    """Prints a line for each step of demand."""
    print(
        f"{'a second':>9}{'offered':>9}{'payoff':>8}{'late':>7}{'refused':>9}"
        f"{'failed':>8}{'checks':>8}{'sends':>7}"
    )
    for window, (rate, _) in enumerate(steps):
        row = figures[window]
        offered = max(1, row.offered)
        print(
            f"{rate:>9.0f}{row.offered:>9}{row.payoff:>8.3f}"
            f"{row.late / offered:>7.3f}{row.refused / offered:>9.3f}"
            f"{row.failed / offered:>8.3f}{row.asked / offered:>8.1f}"
            f"{row.sends / offered:>7.2f}"
        )

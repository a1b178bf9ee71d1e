"""Emulates targets of a platform for the real path of an entry VM.

Targets change their pace many times a second, and some are slower while they
are nearly full. Each VM asks, chooses, sends and repeats as a process does;
only connections are left out.
"""

import asyncio
import collections
import dataclasses
import random
from typing import Any

from wigeonspool.core import knowledge
from wigeonspool.load import virtual
from wigeonspool.model import boot
from wigeonspool.model import border
from wigeonspool.model import fleet
from wigeonspool.model import outcomes
from wigeonspool.vm import asking
from wigeonspool.vm import channels
from wigeonspool.vm import reach
from wigeonspool.vm import running
from wigeonspool.vm import work as works

SERVICE = "reads"
ZONE = "zone-a"


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """What is emulated; times in seconds.

    Attributes:
        targets: Targets of the service.
        slots: Requests that one runs at once.
        queue: Requests that wait at one before it refuses more.
        work: Mean time of a request at the usual pace.
        spread: Standard deviation of its logarithm.
        long_share: Part of requests that take `long_factor` times longer.
        long_factor: How much longer.
        slow_share: Part of the targets that are slow at any moment.
        slow_factor: How many times longer work takes there.
        noise: Mean time until a target's pace is drawn anew.
        full_factor: How many times longer work takes that takes the last slot.
        objective: Time in which an answer has its full value.
        limit: Time after which a caller gives up.
        vms: Entry VMs that callers use.
        trip: A round trip to a target.
        shed_share: Part of requests that targets refuse without a reason.
        priorities: Priorities of requests, equally often.
    """

    targets: int = 14
    slots: int = 4
    queue: int = 16
    work: float = 0.19
    spread: float = 0.3
    long_share: float = 0.03
    long_factor: float = 7.0
    slow_share: float = 0.35
    slow_factor: float = 5.0
    noise: float = 0.15
    full_factor: float = 1.0
    objective: float = 0.6
    limit: float = 1.5
    vms: int = 12
    trip: float = 0.002
    shed_share: float = 0.0
    priorities: int = 1


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


class EmulatedTarget:
    """One target.

    Attributes:
        running: Requests that run.
        waiting: Requests that wait for a slot.
    """

    def __init__(self, shape: Shape, rng: random.Random) -> None:
        """Prepares an idle target on the running loop."""
        self.running = 0
        self.waiting = 0
        self._shape = shape
        self._rng = rng
        self._slots = asyncio.Semaphore(shape.slots)
        self._pace = 1.0
        self._drawn_until = -1.0
        self._loop = asyncio.get_running_loop()

    def read_pace(self) -> float:
        """Returns how many times longer than usual work takes now."""
        now = self._loop.time()
        while self._drawn_until <= now:
            slow = self._rng.random() < self._shape.slow_share
            self._pace = self._shape.slow_factor if slow else 1.0
            begin = max(self._drawn_until, now - self._shape.noise)
            self._drawn_until = begin + self._rng.expovariate(
                1 / self._shape.noise
            )
        return self._pace

    async def run(self, seconds: float, deadline: float) -> works.Ended:
        """Runs a request; returns how it ended.

        Args:
            seconds: Its time at the usual pace.
            deadline: When the target gives up on it, loop clock.
        """
        shape = self._shape
        if self._rng.random() < shape.shed_share:
            return works.Ended.NOT_RUN
        if self._slots.locked() and self.waiting >= shape.queue:
            return works.Ended.NOT_RUN
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        try:
            if self._loop.time() >= deadline:
                return works.Ended.NOT_RUN
            self.running += 1
            try:
                await self._work(seconds, deadline)
            finally:
                self.running -= 1
        finally:
            self._slots.release()
        late = self._loop.time() >= deadline
        return works.Ended.FAILED if late else works.Ended.ANSWERED

    async def _work(self, seconds: float, deadline: float) -> None:
        """Takes the time that a request takes here now."""
        factor = self.read_pace()
        if self.running >= self._shape.slots:
            factor *= self._shape.full_factor
        left = deadline - self._loop.time()
        await asyncio.sleep(min(seconds * factor, left))


class EmulatedAsker(asking.Asker):
    """Asks emulated targets."""

    def __init__(
        self,
        known: knowledge.Knowledge,
        targets: dict[str, EmulatedTarget],
        shape: Shape,
        rng: random.Random,
    ) -> None:
        """Prepares an asker.

        Args:
            known: What its VM knows of the targets.
            targets: The targets by identity.
            shape: What is emulated.
            rng: Source of its choices.
        """
        pool = channels.ChannelPool(asyncio.get_running_loop())
        place = reach.Place(ZONE, ZONE, {ZONE: ZONE})
        words: Any = None
        super().__init__(pool, known, words, place)
        self._random = rng
        self._targets = targets
        self._shape = shape

    async def _ask(self, row: knowledge.TargetRow) -> asking.Offer | None:
        """Asks one target."""
        asked_at = self._loop.time()
        self.counts.asked += 1
        target = self._targets[row.entry.identity]
        await asyncio.sleep(self._shape.trip / 2)
        report = border.LoadReport(
            row.entry.identity,
            True,
            target.running,
            target.waiting,
            self._shape.slots,
            target.read_pace(),
        )
        await asyncio.sleep(self._shape.trip / 2)
        channel = channels.Channel(
            self._pool, row.entry.address, channels.TargetProtocol(self._loop)
        )
        prospect = self._weigh(row, report, asked_at)
        return asking.Offer(row, channel, prospect, report)


class EmulatedSender:
    """Sends attempts to emulated targets.

    Attributes:
        foreign: Answers that belonged to other requests; there are none.
        seconds: Time of each request at the usual pace, by identity.
        runs: Targets that ran a request, by identity.
    """

    def __init__(self, targets: dict[str, EmulatedTarget], trip: float) -> None:
        """Prepares a sender."""
        self.foreign = 0
        self.seconds: dict[str, float] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self._targets = targets
        self._trip = trip

    async def send(
        self, work: works.Work, offer: asking.Offer
    ) -> works.AttemptResult:
        """Sends one attempt and returns its result."""
        target = self._targets[offer.row.entry.identity]
        await asyncio.sleep(self._trip / 2)
        ended = await target.run(self.seconds[work.identity], work.deadline)
        if ended is not works.Ended.NOT_RUN:
            self.runs[work.identity] += 1
        await asyncio.sleep(self._trip / 2)
        return works.AttemptResult(ended, 200)


class Emulation:
    """Entry VMs, targets and callers of one service."""

    def __init__(self, shape: Shape, seed: int, repeatable: bool) -> None:
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
            f"t-{i}": EmulatedTarget(shape, random.Random(f"{seed}/{i}"))
            for i in range(shape.targets)
        }
        self._rules = [
            fleet.Rule(
                name=f"rule-{priority}",
                prefix=f"/{priority}/",
                shares=(fleet.Share(SERVICE, 1.0),),
                repeatable=repeatable,
                large=False,
                objective_seconds=shape.objective,
                limit_seconds=shape.limit,
                most_targets=2,
                priority=priority,
            )
            for priority in range(shape.priorities)
        ]
        self._vms = [self._build_vm(i) for i in range(shape.vms)]
        self._number = 0
        self._calls: set[asyncio.Task[None]] = set()

    def _build_vm(self, index: int) -> tuple[running.Runner, EmulatedSender]:
        """Returns the path of one entry VM."""
        known = knowledge.Knowledge()
        for number, identity in enumerate(self._targets):
            entry = fleet.TargetEntry(
                identity=identity,
                service=SERVICE,
                address=f"10.0.0.{number}:1",
                zone=ZONE,
                slots=self._shape.slots,
                state=fleet.TargetState.SERVING,
                cold_seconds=0.0,
                born_ms=0,
            )
            change = knowledge.TargetChange(identity, entry)
            known.apply(0.0, identity, 1, change)
        rng = random.Random(self._rng.random())
        asker = EmulatedAsker(known, self._targets, self._shape, rng)
        regions = {f"zone-{i}": ZONE for i in range(self._shape.vms // 2)}
        settings = boot.Boot(
            vm=f"vm-{index}",
            ip="",
            zone=ZONE,
            region=ZONE,
            capacity=1.0,
            callers="",
            readiness="",
            directory="",
            control="",
            first_free_port=0,
            seeds=(),
            regions=regions,
            store="",
            least_lease_seconds=1.0,
            bounds=boot.Bounds(0.2, 60.0, 10.0, 6.0, 5.0),
        )
        words: Any = _Words()
        runner = running.Runner(settings, known, asker, words)
        sender = EmulatedSender(self._targets, self._shape.trip)
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
    ) -> running.Ending:
        """Sends a request to one VM."""
        runner, sender = self._vms[index]
        now = self._loop.time()
        self._number += 1
        request: Any = None
        work = works.Work(
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
        ending: running.Ending
        try:
            async with asyncio.timeout_at(work.deadline):
                ending = await runner.run(work)
        except TimeoutError:
            ending = work.fail(outcomes.Reason.DEADLINE_PASSED)
        figures.asked += work.asked
        figures.sends += work.sends
        runs = sender.runs.pop(work.identity, 0)
        figures.most_runs = max(figures.most_runs, runs)
        return ending

    def _count(
        self, figures: Figures, ended: running.Ending, seconds: float
    ) -> None:
        """Counts how a request ended."""
        if isinstance(ended, outcomes.Failure):
            if ended.outcome is outcomes.Outcome.NOT_RUN:
                figures.refused += 1
            else:
                figures.failed += 1
        elif ended.ended is not works.Ended.ANSWERED:
            figures.failed += 1
        elif seconds <= self._shape.objective:
            figures.in_time += 1
        else:
            figures.late += 1


class _Words:
    """The protocol words that a runner looks at."""

    promising: frozenset[int] = frozenset({503})


def play(
    shape: Shape,
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
    shape: Shape,
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

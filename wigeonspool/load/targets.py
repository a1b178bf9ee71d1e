"""Targets whose pace changes many times a second, in virtual time.

Some are slower while they are nearly full. The asker and the sender stand where
a VM has connections; all else of its path is the real one.
"""

import asyncio
import collections
import dataclasses
import random
from typing import Any

from wigeonspool.core import cluster_state
from wigeonspool.model import protocols
from wigeonspool.vm import channels
from wigeonspool.vm import locality
from wigeonspool.vm import request_context
from wigeonspool.vm import target_probes

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


class Target:
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

    async def run(
        self, seconds: float, deadline: float
    ) -> request_context.AttemptOutcome:
        """Runs a request; returns how it ended.

        Args:
            seconds: Its time at the usual pace.
            deadline: When the target gives up on it, loop clock.
        """
        shape = self._shape
        if self._rng.random() < shape.shed_share:
            return request_context.AttemptOutcome.NOT_RUN
        if self._slots.locked() and self.waiting >= shape.queue:
            return request_context.AttemptOutcome.NOT_RUN
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        try:
            if self._loop.time() >= deadline:
                return request_context.AttemptOutcome.NOT_RUN
            self.running += 1
            try:
                await self._work(seconds, deadline)
            finally:
                self.running -= 1
        finally:
            self._slots.release()
        late = self._loop.time() >= deadline
        return (
            request_context.AttemptOutcome.FAILED
            if late
            else request_context.AttemptOutcome.ANSWERED
        )

    async def _work(self, seconds: float, deadline: float) -> None:
        """Takes the time that a request takes here now."""
        factor = self.read_pace()
        if self.running >= self._shape.slots:
            factor *= self._shape.full_factor
        left = deadline - self._loop.time()
        await asyncio.sleep(min(seconds * factor, left))


class Asker(target_probes.TargetProber):
    """Asks emulated targets."""

    def __init__(
        self,
        known: cluster_state.ClusterState,
        targets: dict[str, Target],
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
        place = locality.VmLocality(ZONE, ZONE, {ZONE: ZONE})
        words: Any = None
        super().__init__(pool, known, words, place)
        self._random = rng
        self._targets = targets
        self._shape = shape

    async def _probe(
        self, row: cluster_state.TargetRow
    ) -> target_probes.Candidate | None:
        """Asks one target."""
        asked_at = self._loop.time()
        self.counts.sent += 1
        target = self._targets[row.entry.identity]
        await asyncio.sleep(self._shape.trip / 2)
        report = protocols.LoadReport(
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
        prospect = self._estimate(row, report, asked_at)
        return target_probes.Candidate(row, channel, prospect, report)


class Sender:
    """Sends attempts to emulated targets.

    Attributes:
        mismatched_responses: Answers that belonged to other requests; there
            are none.
        seconds: Time of each request at the usual pace, by identity.
        runs: Targets that ran a request, by identity.
    """

    def __init__(self, targets: dict[str, Target], trip: float) -> None:
        """Prepares a sender."""
        self.mismatched_responses = 0
        self.seconds: dict[str, float] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self._targets = targets
        self._trip = trip

    async def send(
        self,
        work: request_context.RequestContext,
        offer: target_probes.Candidate,
    ) -> request_context.AttemptResult:
        """Sends one attempt and returns its result."""
        target = self._targets[offer.row.entry.identity]
        await asyncio.sleep(self._trip / 2)
        ended = await target.run(self.seconds[work.identity], work.deadline)
        if ended is not request_context.AttemptOutcome.NOT_RUN:
            self.runs[work.identity] += 1
        await asyncio.sleep(self._trip / 2)
        return request_context.AttemptResult(ended, 200)

"""Targets in virtual time whose slowdown changes several times a second.

A target may also be slower for a request that takes its last slot. The prober
and the sender replace the parts of an entry VM that use connections; the rest
of its request path is the real code.
"""

import asyncio
import collections
import dataclasses
import math
import random
from typing import Any

import pydantic

from wigeonspool.core import cluster_state
from wigeonspool.model import protocols
from wigeonspool.vm import attempts
from wigeonspool.vm import channels
from wigeonspool.vm import locality
from wigeonspool.vm import request_context
from wigeonspool.vm import target_notices
from wigeonspool.vm import target_probes

ZONE = "zone-a"


@dataclasses.dataclass(frozen=True, slots=True)
class EmulationSettings:
    """Settings of an emulation; times are in seconds.

    Attributes:
        targets: Number of targets of the service.
        slots: Requests that one target runs at once.
        queue: Queue length at which a target refuses further requests.
        work: Median service time of a request without slowdown; the mean is
            slightly higher, as service times are log-normal.
        spread: Standard deviation of the logarithm of the service time.
        long_share: Fraction of the requests that take `long_factor` times
            longer.
        long_factor: How many times longer these requests take.
        slow_share: Fraction of the targets that are slow at any moment.
        slow_factor: Slowdown of a slow target.
        noise: Mean time until the slowdown of a target is drawn again.
        full_factor: Additional slowdown of a request that takes the last slot.
        objective: Time within which a response has its full value.
        limit: Time after which a caller gives up.
        vms: Number of entry VMs that callers use.
        trip: Round-trip time between an entry VM and a target.
        shed_share: Fraction of the requests that targets refuse at random.
        priorities: Number of priorities, which requests have equally often.
        decline_share: Fraction of the targets that decline requests for a time.
        decline_at: Begin of that time, from the begin of the emulation.
        decline_seconds: Length of that time.
        retry_after: How long a declining target states that it wants no
            requests, each time that it refuses one.
    """

    # Unknown fields of a file are errors.
    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")

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
    decline_share: float = 0.0
    decline_at: float = 0.0
    decline_seconds: float = 0.0
    retry_after: float = 2.0

    def __post_init__(self) -> None:
        """Checks the ranges of the settings.

        Raises:
            ValueError: If a value is negative or not finite, a share is above
                1, the slowdown never changes, or there are too few targets,
                slots, VMs or priorities.
        """
        for field in dataclasses.fields(self):
            value = getattr(self, field.name)
            if not 0 <= value < math.inf:
                raise ValueError(f"{field.name}={value} is out of range")
            if field.name.endswith("_share") and value > 1:
                raise ValueError(f"{field.name}={value} is above 1")
        if not self.noise:
            raise ValueError("noise=0 is out of range")
        if min(self.targets, self.slots, self.vms - 1, self.priorities) < 1:
            raise ValueError("targets, slots and two VMs are needed")


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request or health check that reached an emulated target.

    Attributes:
        at: Time of the arrival, loop clock.
        vm: Name of the VM that sent it.
        health_check: True if it is a health check.
        declined: True if the target refused it since it declines requests.
    """

    at: float
    vm: str
    health_check: bool
    declined: bool


class EmulatedTarget:
    """A target with slots, a queue and a slowdown that varies.

    Attributes:
        running: Number of requests that hold a slot.
        waiting: Number of requests that wait for a slot.
        arrivals: Requests and health checks that reached it.
    """

    def __init__(
        self,
        settings: EmulationSettings,
        rng: random.Random,
        declines: bool = False,
    ) -> None:
        """Creates an idle target on the running event loop.

        Args:
            settings: Settings of the emulation.
            rng: Source of its random choices.
            declines: True if it declines requests for the time in the settings.
        """
        self.running = 0
        self.waiting = 0
        self.arrivals: list[Arrival] = []
        self._declines = declines
        self._settings = settings
        self._rng = rng
        self._slots = asyncio.Semaphore(settings.slots)
        self._slowdown = 1.0
        self._slowdown_until = -1.0
        self._loop = asyncio.get_running_loop()

    def read_slowdown(self) -> float:
        """Returns the current slowdown; 1.0 is the baseline service time."""
        now = self._loop.time()
        while self._slowdown_until <= now:
            slow = self._rng.random() < self._settings.slow_share
            self._slowdown = self._settings.slow_factor if slow else 1.0
            begin = max(self._slowdown_until, now - self._settings.noise)
            self._slowdown_until = begin + self._rng.expovariate(
                1 / self._settings.noise
            )
        return self._slowdown

    def record_arrival(
        self, vm: str, health_check: bool
    ) -> protocols.TargetNotice:
        """Records a request or health check; returns the target's notice.

        A request is declined if the notice states a time without requests.
        Health checks are not declined.

        Args:
            vm: Name of the VM that sent it.
            health_check: True if it is a health check.
        """
        now = self._loop.time()
        begin = self._settings.decline_at
        is_time = begin <= now < begin + self._settings.decline_seconds
        declined = self._declines and is_time and not health_check
        self.arrivals.append(Arrival(now, vm, health_check, declined))
        seconds = self._settings.retry_after if declined else None
        return protocols.TargetNotice(False, seconds, "")

    async def run(
        self, service_seconds: float, deadline: float
    ) -> request_context.AttemptOutcome:
        """Runs a request and returns the outcome of the attempt.

        Args:
            service_seconds: Service time of the request without slowdown.
            deadline: When the target abandons the request, loop clock.

        Returns:
            NOT_RUN if the request was refused, or still queued at the deadline;
            FAILED if it was still running at the deadline.
        """
        settings = self._settings
        if self._rng.random() < settings.shed_share:
            return request_context.AttemptOutcome.NOT_RUN
        if self._slots.locked() and self.waiting >= settings.queue:
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
                await self._sleep_service_time(service_seconds, deadline)
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

    async def _sleep_service_time(
        self, service_seconds: float, deadline: float
    ) -> None:
        """Sleeps for the service time with slowdown, at most to the deadline.

        The slowdown is read once, when the request begins to run.
        """
        slowdown = self.read_slowdown()
        if self.running >= self._settings.slots:
            slowdown *= self._settings.full_factor
        remaining = deadline - self._loop.time()
        await asyncio.sleep(min(service_seconds * slowdown, remaining))


class EmulatedProber(target_probes.TargetProber):
    """Probes emulated targets."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        targets: dict[str, EmulatedTarget],
        settings: EmulationSettings,
        rng: random.Random,
        vm: str,
    ) -> None:
        """Creates a prober.

        Args:
            cluster: Cluster state of its VM, with the targets.
            targets: Emulated targets by identity.
            settings: Settings of the emulation.
            rng: Source of its random choices.
            vm: Name of its VM.
        """
        pool = channels.ChannelPool(asyncio.get_running_loop())
        vm_locality = locality.VmLocality(ZONE, ZONE, {ZONE: ZONE})
        protocol_adapter: Any = None
        super().__init__(pool, cluster, protocol_adapter, vm_locality, vm)
        self._random = rng
        self._vm = vm
        self._targets = targets
        self._settings = settings

    async def _probe(
        self, row: cluster_state.TargetRow
    ) -> target_probes.Candidate | None:
        """Probes one target; an emulated target always replies.

        Returns None if the target wants no requests, before or after its reply.

        The load is read after half of the round trip, as at a real target.
        """
        if not self.notices.may_send(row.entry):
            return None
        probed_at = self._loop.time()
        self.counts.sent += 1
        target = self._targets[row.entry.identity]
        await asyncio.sleep(self._settings.trip / 2)
        notice = target.record_arrival(self._vm, health_check=True)
        report = protocols.LoadReport(
            row.entry.identity,
            True,
            target.running,
            target.waiting,
            self._settings.slots,
            target.read_slowdown(),
        )
        await asyncio.sleep(self._settings.trip / 2)
        self.notices.record(row.entry, "", notice)
        if not self.notices.may_send(row.entry):
            return None
        channel = channels.Channel(
            self._pool, row.entry.address, channels.TargetProtocol(self._loop)
        )
        estimate = self._estimate(row, report, probed_at)
        return target_probes.Candidate(
            row, channel, estimate, report, self._settings.trip, probed_at
        )


class EmulatedSender:
    """Sends attempts to emulated targets.

    Attributes:
        mismatched_responses: Misrouted responses; always 0 here.
        service_seconds: Service time of each request without slowdown, by
            request identity.
        runs: Number of targets that ran a request, by request identity.
    """

    def __init__(
        self,
        targets: dict[str, EmulatedTarget],
        settings: EmulationSettings,
        vm: str,
        notices: target_notices.NoticeRecorder,
    ) -> None:
        """Creates a sender.

        Args:
            targets: Emulated targets by identity.
            settings: Settings of the emulation.
            vm: Name of its VM.
            notices: Records what targets state about themselves.
        """
        self.mismatched_responses = 0
        self.service_seconds: dict[str, float] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self._targets = targets
        self._settings = settings
        self._vm = vm
        self._notices = notices

    async def send(
        self,
        context: request_context.RequestContext,
        candidate: target_probes.Candidate,
    ) -> request_context.AttemptResult:
        """Sends one attempt and returns its result."""
        target = self._targets[candidate.row.entry.identity]
        await asyncio.sleep(self._settings.trip / 2)
        outcome = request_context.AttemptOutcome.NOT_RUN
        notice = target.record_arrival(self._vm, health_check=False)
        if notice.retry_after_seconds is None:
            outcome = await target.run(
                self.service_seconds[context.identity], context.deadline
            )
        if outcome is not request_context.AttemptOutcome.NOT_RUN:
            self.runs[context.identity] += 1
        await asyncio.sleep(self._settings.trip / 2)
        self._notices.record(candidate.row.entry, context.identity, notice)
        return request_context.AttemptResult(
            outcome, 200, declined=attempts.is_declined(notice, outcome)
        )

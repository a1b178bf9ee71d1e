"""Fakes at the core's borders: targets with slots, and links with delays."""

import collections
from collections.abc import Callable
import dataclasses
from typing import Final

from wigeonspool.core import tables
from wigeonspool.load import experiment as experiments

FAIL_SECONDS: Final = 0.0002
COLD_SECONDS: Final = 5.0


@dataclasses.dataclass(slots=True)
class Connection:
    """One connection from a gateway to a target.

    Attributes:
        pair: Name of the gateway and address of the target.
        opened_at: When it was opened, in seconds.
        reused: True if it had been used before.
        silent_at: When it went silent, or infinity.
    """

    pair: tuple[str, str]
    opened_at: float
    reused: bool = False
    silent_at: float = float("inf")

    def is_silent(self) -> bool:
        """Returns True if nothing passes any more."""
        return self.silent_at < float("inf")


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a request on its way to a target.

    Attributes:
        request_id: Unique over the fleet.
        gateway: Name of its gateway.
        target: Address that it was sent to.
        service: Service time on a healthy target, in seconds.
        deadline: Deadline that travels with it.
        cancelled: True if the gateway no longer wants its result.
        begun: True once it holds a slot.
        sent_at: When it was sent, in seconds.
        connection: What carries it.
    """

    request_id: int
    gateway: str
    target: str
    service: float
    deadline: float
    cancelled: bool = False
    begun: bool = False
    sent_at: float = 0.0
    connection: Connection = dataclasses.field(
        default_factory=lambda: Connection(("", ""), 0.0)
    )


class FakeTarget:
    """A target: slots, a queue of its own, and what is wrong with it.

    Attributes:
        address: host:port.
        zone: Availability zone.
        faults: Faults that hold now.
        running: Attempts that hold a slot.
    """

    def __init__(self, address: str, zone: str, slots: int, queue: int) -> None:
        self.address = address
        self.zone = zone
        self.faults: list[experiments.Fault] = []
        self.running = 0
        self._slots = slots
        self._bound = queue
        self._queue: collections.deque[Attempt] = collections.deque()
        self._readings: collections.deque[tuple[float, int]] = (
            collections.deque([(0.0, 0)])
        )

    def has_fault(self, kind: str) -> experiments.Fault | None:
        """Returns the fault of a kind that holds now, if any."""
        for fault in self.faults:
            if fault.kind == kind:
                return fault
        return None

    def is_full(self) -> bool:
        """Returns True if neither a slot nor a place in the queue is free."""
        return self.running >= self._slots and len(self._queue) >= self._bound

    def enqueue(self, attempt: Attempt) -> None:
        """Puts an attempt behind those that wait here."""
        self._queue.append(attempt)

    def begin_next(self, now: float) -> tuple[Attempt, float | None] | None:
        """Returns the next attempt to run and its end, if a slot is free.

        The end is None if its deadline has passed, so that it is not run.
        """
        while self._queue and self.running < self._slots:
            attempt = self._queue.popleft()
            if attempt.cancelled:
                continue
            if attempt.deadline <= now:
                return attempt, None
            self.running += 1
            self._record(now)
            attempt.begun = True
            return attempt, now + self._scale(now, attempt.service)
        return None

    def free_slot(self, now: float) -> None:
        """Frees the slot of an attempt that ended."""
        self.running -= 1
        self._record(now)

    def lose_all(self, now: float) -> None:
        """Forgets all work; the target died."""
        self._queue.clear()
        self.running = 0
        self._record(now)

    def _scale(self, now: float, service: float) -> float:
        """Returns how long work of a service time takes now."""
        fault = self.has_fault("slow")
        if fault is not None:
            return service * fault.factor
        fault = self.has_fault("cold")
        if fault is not None:
            warm = min(1.0, (now - fault.at_s) / COLD_SECONDS)
            return service * (fault.factor + (1.0 - fault.factor) * warm)
        return service

    def _record(self, now: float) -> None:
        """Keeps readings of the load for reports."""
        self._readings.append((now, self.running))
        if len(self._readings) > 4096:
            self._readings.popleft()

    def report(
        self, now: float, reports: experiments.Reports
    ) -> tables.LoadReport:
        """Returns a load report of the age that the experiment wants."""
        at = now - reports.age_ms / 1000
        while len(self._readings) > 1 and self._readings[1][0] <= at:
            self._readings.popleft()
        in_flight = 0 if reports.idle else self._readings[0][1]
        return tables.LoadReport(in_flight, at)


class FakeNetwork:
    """Delays and bandwidth between zones.

    Attributes:
        total_bytes: All bytes that were carried.
        cross_region_bytes: Those that crossed regions.
    """

    def __init__(self, experiment: experiments.Experiment) -> None:
        self._links = experiment.links
        self._regions = {zone.name: zone.region for zone in experiment.zones}
        self._free_at: dict[tuple[str, str], float] = {}
        self.total_bytes = 0
        self.cross_region_bytes = 0
        self.is_counting: Callable[[float], bool] = lambda now: True

    def carry(
        self, now: float, source: str, goal: str, size: int, caller: bool
    ) -> float:
        """Returns when a message arrives.

        Args:
            now: When it is sent.
            source: Zone of the sender.
            goal: Zone of the receiver.
            size: Bytes of the message.
            caller: True if one end is a caller.
        """
        delay = self._links.caller_ms if caller else 0.0
        counting = self.is_counting(now)
        if counting:
            self.total_bytes += size
        ends = (self._regions[source], self._regions[goal])
        if ends[0] != ends[1]:
            if counting:
                self.cross_region_bytes += size
            began = max(now, self._free_at.get(ends, 0.0))
            done = began + size * 8 / (self._links.region_gbit * 1e9)
            self._free_at[ends] = done
            return done + (delay + self._links.region_ms) / 1000
        if source != goal and not caller:
            delay += self._links.zone_ms
        return now + delay / 1000

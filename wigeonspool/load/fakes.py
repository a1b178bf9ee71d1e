"""Fakes of what surrounds the core: targets with slots, links with delays."""

import collections
from collections.abc import Callable
import dataclasses
from typing import Final

from wigeonspool.core import tables
from wigeonspool.load import experiment as experiments

FAILURE_RESPONSE_SECONDS: Final = 0.0002
COLD_START_SECONDS: Final = 5.0


@dataclasses.dataclass(slots=True)
class Connection:
    """One connection from a gateway to a target.

    Attributes:
        endpoints: Name of the gateway and address of the target.
        opened_at: When it was opened, in seconds.
        reused: True if an earlier attempt used it.
        unresponsive_at: When it became unresponsive, in seconds; infinity if
            it works.
    """

    endpoints: tuple[str, str]
    opened_at: float
    reused: bool = False
    unresponsive_at: float = float("inf")

    def is_unresponsive(self) -> bool:
        """Returns True if it no longer delivers anything."""
        return self.unresponsive_at < float("inf")


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a request at a target.

    Attributes:
        request_id: Identity of the request, unique in a run.
        gateway: Name of its gateway.
        target: Address of the target.
        service_seconds: Service time on a healthy target.
        deadline: Deadline that is sent along with it, in seconds.
        cancelled: True if the gateway cancelled it.
        begun: True while it holds a slot.
        sent_at: When it was sent, in seconds.
        connection: Connection that it was sent over.
    """

    request_id: int
    gateway: str
    target: str
    service_seconds: float
    deadline: float
    cancelled: bool = False
    begun: bool = False
    sent_at: float = 0.0
    connection: Connection = dataclasses.field(
        default_factory=lambda: Connection(("", ""), 0.0)
    )


class FakeTarget:
    """A target with slots, its own queue and its current faults.

    Attributes:
        address: host:port.
        zone: Availability zone.
        faults: Current faults.
        running: Number of attempts that hold a slot.
    """

    def __init__(self, address: str, zone: str, slots: int, queue: int) -> None:
        """Creates an idle target.

        Args:
            address: host:port.
            zone: Availability zone.
            slots: Attempts that it runs at once.
            queue: Queue length at which it refuses further attempts.
        """
        self.address = address
        self.zone = zone
        self.faults: list[experiments.Fault] = []
        self.running = 0
        self._slots = slots
        self._max_queued = queue
        self._queue: collections.deque[Attempt] = collections.deque()
        self._load_readings: collections.deque[tuple[float, int]] = (
            collections.deque([(0.0, 0)])
        )

    def find_fault(self, kind: str) -> experiments.Fault | None:
        """Returns the current fault of a kind, or None."""
        for fault in self.faults:
            if fault.kind == kind:
                return fault
        return None

    def is_full(self) -> bool:
        """Returns True if all slots are in use and the queue is full."""
        return (
            self.running >= self._slots and len(self._queue) >= self._max_queued
        )

    def enqueue(self, attempt: Attempt) -> None:
        """Appends an attempt to the queue."""
        self._queue.append(attempt)

    def begin_next(self, now: float) -> tuple[Attempt, float | None] | None:
        """Takes the next attempt from the queue, if a slot is free.

        Cancelled attempts are dropped.

        Returns:
            The attempt and when it ends, in seconds; no end if its deadline
            has passed, in which case it holds no slot and must not run. None
            if no slot is free or the queue is empty.
        """
        while self._queue and self.running < self._slots:
            attempt = self._queue.popleft()
            if attempt.cancelled:
                continue
            if attempt.deadline <= now:
                return attempt, None
            self.running += 1
            self._record_load(now)
            attempt.begun = True
            return attempt, now + self._compute_service_seconds(
                now, attempt.service_seconds
            )
        return None

    def free_slot(self, now: float) -> None:
        """Frees the slot of an attempt that ended."""
        self.running -= 1
        self._record_load(now)

    def drop_all_attempts(self, now: float) -> None:
        """Drops all running and queued attempts, as the target stopped."""
        self._queue.clear()
        self.running = 0
        self._record_load(now)

    def _compute_service_seconds(
        self, now: float, service_seconds: float
    ) -> float:
        """Returns a service time with the slowdown of the current faults.

        The slowdown of a cold target falls linearly to 1 within
        COLD_START_SECONDS.
        """
        fault = self.find_fault("slow")
        if fault is not None:
            return service_seconds * fault.factor
        fault = self.find_fault("cold")
        if fault is not None:
            warmed_fraction = min(1.0, (now - fault.at_s) / COLD_START_SECONDS)
            return service_seconds * (
                fault.factor + (1.0 - fault.factor) * warmed_fraction
            )
        return service_seconds

    def _record_load(self, now: float) -> None:
        """Records the current load for load reports."""
        self._load_readings.append((now, self.running))
        # Bounds the memory if no load report is ever built.
        if len(self._load_readings) > 4096:
            self._load_readings.popleft()

    def build_load_report(
        self, now: float, reports: experiments.Reports
    ) -> tables.LoadReport:
        """Returns a load report of the age that the experiment sets."""
        measured_at = now - reports.age_ms / 1000
        while (
            len(self._load_readings) > 1
            and self._load_readings[1][0] <= measured_at
        ):
            self._load_readings.popleft()
        in_flight = 0 if reports.idle else self._load_readings[0][1]
        return tables.LoadReport(in_flight, measured_at)


class FakeNetwork:
    """Delays between zones, and bandwidth between regions.

    Attributes:
        total_bytes: All bytes sent while measuring.
        cross_region_bytes: Those of `total_bytes` that crossed regions.
        is_measured: Returns True if bytes sent at a time are counted.
    """

    def __init__(self, experiment: experiments.Experiment) -> None:
        """Creates links without traffic between the zones of an experiment."""
        self._links = experiment.links
        self._regions = {zone.name: zone.region for zone in experiment.zones}
        self._link_free_at: dict[tuple[str, str], float] = {}
        self.total_bytes = 0
        self.cross_region_bytes = 0
        self.is_measured: Callable[[float], bool] = lambda now: True

    def transmit(
        self, now: float, source: str, destination: str, size: int, caller: bool
    ) -> float:
        """Sends a message and returns when it arrives, in seconds.

        A message to another region waits until the link between the two
        regions has sent the earlier ones.

        Args:
            now: When it is sent, in seconds.
            source: Zone of the sender.
            destination: Zone of the receiver.
            size: Size of the message in bytes.
            caller: True if one end is a caller.
        """
        delay_ms = self._links.caller_ms if caller else 0.0
        measured = self.is_measured(now)
        if measured:
            self.total_bytes += size
        link = (self._regions[source], self._regions[destination])
        if link[0] != link[1]:
            if measured:
                self.cross_region_bytes += size
            begin = max(now, self._link_free_at.get(link, 0.0))
            end = begin + size * 8 / (self._links.region_gbit * 1e9)
            self._link_free_at[link] = end
            return end + (delay_ms + self._links.region_ms) / 1000
        if source != destination and not caller:
            delay_ms += self._links.zone_ms
        return now + delay_ms / 1000

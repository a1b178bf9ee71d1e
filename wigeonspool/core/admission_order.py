"""Order in which the requests that wait at a VM get the targets of a service.

Requests that can still be in time come first: of these the more urgent ones,
and among equals the one with the least slack time. Late requests get what these
leave.
"""

import collections
from collections.abc import Iterator
import dataclasses
from typing import Final, Generic, TypeVar

from wigeonspool.core import waiting_policy

# Requests at the front that probe by turns. If the first one may not use most
# targets, those behind it still find theirs.
FRONT_COUNT: Final = 3
# Time over which the rate is counted at which queued requests get targets, and
# the shortest time that a queue must have lasted for it.
RATE_WINDOW_SECONDS: Final = 1.0
MIN_RATE_SECONDS: Final = 0.25


@dataclasses.dataclass(eq=False, slots=True)
class QueuedRequest:
    """A request that waits for a target.

    Attributes:
        priority: Its priority; 0 is the most urgent.
        baseline_seconds: Its baseline service time.
        objective_at: Time after which its response has less value.
        deadline: Time at which its caller gives up.
        joined_at: Time at which it was queued.
        probed_at: Time of the last health checks for it.
        is_probing: True while health checks for it are under way.
    """

    priority: int
    baseline_seconds: float
    objective_at: float
    deadline: float
    joined_at: float
    probed_at: float
    is_probing: bool = False


def find_rank(
    now: float, request: QueuedRequest
) -> tuple[bool, int, float, float]:
    """Returns the sort key of a queued request; the first one is the lowest.

    Slack time is that until the request must start to be in time, or to end
    before its deadline if it is late.

    Args:
        now: Time on the core's clock, in seconds.
        request: The request.
    """
    late = waiting_policy.is_late(
        now, request.baseline_seconds, request.objective_at
    )
    until = request.deadline if late else request.objective_at
    latest_start = until - request.baseline_seconds
    return late, request.priority, latest_start, request.joined_at


Request = TypeVar("Request", bound=QueuedRequest)


class AdmissionQueue(Generic[Request]):
    """The requests to one service that wait at this VM."""

    __slots__ = ("_busy_since", "_requests", "_served")

    def __init__(self) -> None:
        self._requests: list[Request] = []
        self._busy_since = 0.0
        self._served: collections.deque[float] = collections.deque()

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._requests)

    def __iter__(self) -> "Iterator[Request]":
        """Yields the queued requests in the order of joining."""
        return iter(self._requests)

    def join(self, request: Request, now: float) -> None:
        """Adds a request.

        Args:
            request: The request.
            now: Time on the core's clock, in seconds.
        """
        if not self._requests:
            self._busy_since = now
            self._served.clear()
        self._requests.append(request)

    def leave(self, request: Request) -> None:
        """Removes a request."""
        self._requests.remove(request)

    def list_in_order(self, now: float) -> list[Request]:
        """Returns the requests in the order in which they get targets."""
        return sorted(
            self._requests, key=lambda request: find_rank(now, request)
        )

    def record_served(self, now: float) -> None:
        """Records that a queued request got a target."""
        self._served.append(now)

    def find_served_rate(self, now: float) -> float | None:
        """Returns how many queued requests get a target per second, or None.

        It is unknown while the queue is new. The request that gets the next
        target counts already, so that a rate of zero does not occur.
        """
        since = max(self._busy_since, now - RATE_WINDOW_SECONDS)
        while self._served and self._served[0] < since:
            self._served.popleft()
        if not self._requests or now - since < MIN_RATE_SECONDS:
            return None
        return (len(self._served) + 1) / (now - since)

    def find_room_at(self, now: float) -> float | None:
        """Returns when all queued requests will have targets, or None.

        The time is unknown while the queue is new.
        """
        rate = self.find_served_rate(now)
        return None if rate is None else now + len(self._requests) / rate

    def list_expired(self, now: float) -> list[Request]:
        """Returns the requests that cannot end by their deadlines any more."""
        return [
            request for request in self._requests if is_expired(now, request)
        ]

    def find_probe_delay(self, now: float, interval_seconds: float) -> float:
        """Returns the time until the next health checks, in seconds.

        The queue probes as often as if each request probed on its own. Late
        requests, and those behind more urgent ones, contribute less.

        Args:
            now: Time on the core's clock, in seconds.
            interval_seconds: Time between two probes of this VM.
        """
        count = len(self._requests)
        most_urgent = min(request.priority for request in self._requests)
        probes_per_second = sum(
            1.0
            / waiting_policy.find_probe_delay(
                now,
                request.baseline_seconds,
                request.objective_at,
                request.deadline,
                count,
                interval_seconds,
                request.priority > most_urgent,
            )
            for request in self._requests
        )
        return max(interval_seconds, 1.0 / probes_per_second)

    def choose_prober(self, now: float) -> Request | None:
        """Returns the request for which targets are probed next, or None.

        That is one of the front for which this was not done for the longest
        time.
        """
        front = self.list_in_order(now)[:FRONT_COUNT]
        return min(
            (request for request in front if not request.is_probing),
            key=lambda request: request.probed_at,
            default=None,
        )


def is_expired(now: float, request: QueuedRequest) -> bool:
    """Returns True if a request that starts now would miss its deadline."""
    return waiting_policy.is_late(
        now,
        request.baseline_seconds,
        request.deadline - waiting_policy.DEADLINE_MARGIN_SECONDS,
    )

"""Forwards requests for health probes and their results.

Requests go to all feeders, since one of them holds the pool's budget; results
go to all connected processes. Duplicates are not forwarded, and rates are
limited, so that many unavailable targets cannot use up the bandwidth for
control traffic.
"""

import collections
from collections.abc import Callable
from typing import Final

from wigeonspool.model import messages
from wigeonspool.model import probe_messages

# Less than the interval at which a gateway repeats its requests.
REQUEST_DEDUP_SECONDS: Final = 0.9
MAX_RELAYED_RESULTS: Final = 1000
MAX_RESULTS_PER_SECOND: Final = 20
MAX_TARGETS_PER_SECOND: Final = 100

Send = Callable[[messages.Message], None]


class RateLimit:
    """Allows a limited number of events in each window of one second.

    Attributes:
        dropped: Number of events that were not allowed.
    """

    __slots__ = ("_limit", "_used", "_window_ends_at", "dropped")

    def __init__(self, per_second: int) -> None:
        """Creates a limit.

        Args:
            per_second: Events allowed in one second.
        """
        self._limit = per_second
        self._used = 0
        self._window_ends_at = 0.0
        self.dropped = 0

    def try_acquire(self, now: float) -> bool:
        """Counts one event; returns True if it is allowed."""
        if now >= self._window_ends_at:
            self._window_ends_at = now + 1.0
            self._used = 0
        if self._used >= self._limit:
            self.dropped += 1
            return False
        self._used += 1
        return True


class ProbeRelay:
    """Forwards probe requests and results once each, at limited rates.

    Attributes:
        request_limit: Limit on the targets in forwarded requests.
        result_limit: Limit on forwarded results.
    """

    __slots__ = (
        "_relayed_results",
        "_relayed_requests",
        "request_limit",
        "result_limit",
    )

    def __init__(self) -> None:
        """Creates a relay that has forwarded nothing."""
        self._relayed_requests: dict[tuple[str, str], float] = {}
        self._relayed_results: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.request_limit = RateLimit(MAX_TARGETS_PER_SECOND)
        self.result_limit = RateLimit(MAX_RESULTS_PER_SECOND)

    def relay_request(
        self,
        now: float,
        request: probe_messages.ProbeRequest,
        send_upstream: Send,
    ) -> None:
        """Forwards the targets of a request that were not forwarded recently.

        Args:
            now: Time on this process's clock, in seconds.
            request: Request of a gateway or another agent.
            send_upstream: Sends a message to the agents that are followed.
        """
        self._expire_requests(now)
        targets = []
        for target in request.targets:
            key = (request.pool, target)
            if (
                key not in self._relayed_requests
                and self.request_limit.try_acquire(now)
            ):
                self._relayed_requests[key] = now + REQUEST_DEDUP_SECONDS
                targets.append(target)
        if targets:
            send_upstream(
                probe_messages.ProbeRequest(request.pool, tuple(targets))
            )

    def _expire_requests(self, now: float) -> None:
        """Removes targets that may be forwarded again, the oldest first."""
        while self._relayed_requests:
            key = next(iter(self._relayed_requests))
            if self._relayed_requests[key] > now:
                return
            del self._relayed_requests[key]

    def relay_result(
        self, now: float, result: probe_messages.ProbeResult, send: Send
    ) -> None:
        """Forwards a result that was not forwarded before.

        Args:
            now: Time on this process's clock, in seconds.
            result: Result of a probe by this agent or another one.
            send: Sends a message to all connected processes.
        """
        if (
            result.probe in self._relayed_results
            or not self.result_limit.try_acquire(now)
        ):
            return
        self._relayed_results[result.probe] = None
        if len(self._relayed_results) > MAX_RELAYED_RESULTS:
            self._relayed_results.popitem(last=False)
        send(result)

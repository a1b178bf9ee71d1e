"""Passes on which targets should be measured, and what was measured.

Wishes go up, to all feeders, since one of them holds the budget; results go
to all. Each is passed on once, and rates are bounded, so that many targets
that are out cannot spend the control budget.
"""

import collections
from collections.abc import Callable
from typing import Final

from wigeonspool.model import messages
from wigeonspool.model import probe_messages

# Less than the time between two wishes of a gateway.
REQUEST_DEDUP_SECONDS: Final = 0.9
MAX_KNOWN_RESULTS: Final = 1000
RESULTS_PER_SECOND: Final = 20
TARGETS_PER_SECOND: Final = 100

Send = Callable[[messages.Message], None]


class RateLimit:
    """Allows some number of things in each second.

    Attributes:
        dropped: Things that were not allowed.
    """

    __slots__ = ("_limit", "_used", "_window_ends_at", "dropped")

    def __init__(self, per_second: int) -> None:
        """Prepares a limit.

        Args:
            per_second: Things allowed in a second.
        """
        self._limit = per_second
        self._used = 0
        self._window_ends_at = 0.0
        self.dropped = 0

    def try_acquire(self, now: float) -> bool:
        """Returns True if one more is allowed."""
        if now >= self._window_ends_at:
            self._window_ends_at = now + 1.0
            self._used = 0
        if self._used >= self._limit:
            self.dropped += 1
            return False
        self._used += 1
        return True


class ProbeRelay:
    """Remembers the wishes and results that this agent passed on.

    Attributes:
        request_limit: Limit on the targets of wishes.
        result_limit: Limit on results.
    """

    __slots__ = (
        "_relayed_results",
        "_relayed_requests",
        "request_limit",
        "result_limit",
    )

    def __init__(self) -> None:
        """Prepares an empty memory."""
        self._relayed_requests: dict[tuple[str, str], float] = {}
        self._relayed_results: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.request_limit = RateLimit(TARGETS_PER_SECOND)
        self.result_limit = RateLimit(RESULTS_PER_SECOND)

    def relay_request(
        self,
        now: float,
        request: probe_messages.ProbeRequest,
        send_upstream: Send,
    ) -> None:
        """Passes on the targets of a wish that were not passed on of late.

        Args:
            now: Time on this process's clock, in seconds.
            request: What a gateway or another agent wants.
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
        """Forgets what may be passed on again; the oldest stand first."""
        while self._relayed_requests:
            key = next(iter(self._relayed_requests))
            if self._relayed_requests[key] > now:
                return
            del self._relayed_requests[key]

    def relay_result(
        self, now: float, result: probe_messages.ProbeResult, send: Send
    ) -> None:
        """Passes on a result that was not known.

        Args:
            now: Time on this process's clock, in seconds.
            result: What this agent or another one measured.
            send: Sends a message to all that are connected.
        """
        if (
            result.probe in self._relayed_results
            or not self.result_limit.try_acquire(now)
        ):
            return
        self._relayed_results[result.probe] = None
        if len(self._relayed_results) > MAX_KNOWN_RESULTS:
            self._relayed_results.popitem(last=False)
        send(result)

"""Passes on which targets should be measured, and what was measured.

Wishes go up, to all feeders, since one of them holds the budget; results go
to all. Each is passed on once, and rates are bounded, so that many targets
that are out cannot spend the control budget.
"""

import collections
from collections.abc import Callable
from typing import Final

from wigeonspool.model import measurements
from wigeonspool.model import messages

# Less than the time between two wishes of a gateway.
PASS_AGAIN_SECONDS: Final = 0.9
KEPT_RESULTS: Final = 1000
RESULTS_PER_SECOND: Final = 20
TARGETS_PER_SECOND: Final = 100

Send = Callable[[messages.Message], None]


class RateLimit:
    """Allows some number of things in each second.

    Attributes:
        dropped: Things that were not allowed.
    """

    __slots__ = ("_allowed", "_taken", "_window_ends_at", "dropped")

    def __init__(self, per_second: int) -> None:
        """Prepares a limit.

        Args:
            per_second: Things allowed in a second.
        """
        self._allowed = per_second
        self._taken = 0
        self._window_ends_at = 0.0
        self.dropped = 0

    def take(self, now: float) -> bool:
        """Returns True if one more is allowed."""
        if now >= self._window_ends_at:
            self._window_ends_at = now + 1.0
            self._taken = 0
        if self._taken >= self._allowed:
            self.dropped += 1
            return False
        self._taken += 1
        return True


class MeasurementRelay:
    """Remembers the wishes and results that this agent passed on.

    Attributes:
        requests: Limit on the targets of wishes.
        results: Limit on results.
    """

    __slots__ = ("_known", "_passed", "requests", "results")

    def __init__(self) -> None:
        """Prepares an empty memory."""
        self._passed: dict[tuple[str, str], float] = {}
        self._known: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.requests = RateLimit(TARGETS_PER_SECOND)
        self.results = RateLimit(RESULTS_PER_SECOND)

    def take_request(
        self, now: float, request: measurements.ProbeRequest, send_up: Send
    ) -> None:
        """Passes on the targets of a wish that were not passed on of late.

        Args:
            now: Time on this process's clock, in seconds.
            request: What a gateway or another agent wants.
            send_up: Sends a message to the agents that are followed.
        """
        self._forget_requests(now)
        targets = []
        for target in request.targets:
            place = (request.pool, target)
            if place not in self._passed and self.requests.take(now):
                self._passed[place] = now + PASS_AGAIN_SECONDS
                targets.append(target)
        if targets:
            send_up(measurements.ProbeRequest(request.pool, tuple(targets)))

    def _forget_requests(self, now: float) -> None:
        """Forgets what may be passed on again; the oldest stand first."""
        while self._passed:
            place = next(iter(self._passed))
            if self._passed[place] > now:
                return
            del self._passed[place]

    def take_result(
        self, now: float, result: measurements.ProbeResult, pass_on: Send
    ) -> None:
        """Passes on a result that was not known.

        Args:
            now: Time on this process's clock, in seconds.
            result: What this agent or another one measured.
            pass_on: Sends a message to all that are connected.
        """
        if result.probe in self._known or not self.results.take(now):
            return
        self._known[result.probe] = None
        if len(self._known) > KEPT_RESULTS:
            self._known.popitem(last=False)
        pass_on(result)

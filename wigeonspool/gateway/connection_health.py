"""Detects unresponsive connections by the time to the first byte.

While a request runs, nothing on its HTTP connection distinguishes long work
from a lost connection. Each route's time to first byte is therefore recorded,
and an attempt that exceeds it by far is suspected. A budget limits the
suspicions, so that a slow target does not receive all its work twice.
"""

from typing import Final

MAX_CONNECTION_AGE_SECONDS: Final = 60.0
# Bounds of the time without a response after which an attempt is suspected.
# The maximum does not apply to routes with a peak above half of it.
MIN_SUSPICION_SECONDS: Final = 0.25
MAX_SUSPICION_SECONDS: Final = 1.0
# An attempt is suspected after this many times its route's peak.
SUSPECT_RATIO: Final = 4.0
# An attempt is never suspected before this many times its route's peak.
MIN_PEAK_RATIO: Final = 2.0
# Weight of the old peak when the time of a new response is below it.
PEAK_DECAY: Final = 0.99
MAX_SUSPICION_TOKENS: Final = 20.0
TOKENS_PER_RESPONSE: Final = 0.1


class UnresponsiveDetector:
    """Tracks times to first byte by route, and a budget of suspicions.

    The peak of a route is its longest recent time to first byte. A longer time
    replaces it, and each shorter one lowers it a little.

    The budget is a token bucket: a suspicion costs one token, and each
    response adds `TOKENS_PER_RESPONSE`.
    """

    __slots__ = ("_tokens", "_peak_seconds")

    def __init__(self) -> None:
        self._peak_seconds: dict[str, float] = {}
        self._tokens = MAX_SUSPICION_TOKENS

    def record_first_byte(self, route: str, seconds: float) -> None:
        """Records one response and refills the budget.

        Args:
            route: Route of the request.
            seconds: Time to the first byte of the response.
        """
        peak = self._peak_seconds.get(route, seconds)
        if seconds >= peak:
            self._peak_seconds[route] = seconds
        else:
            self._peak_seconds[route] = peak * PEAK_DECAY + seconds * (
                1 - PEAK_DECAY
            )
        self._tokens = min(
            MAX_SUSPICION_TOKENS, self._tokens + TOKENS_PER_RESPONSE
        )

    def compute_timeout(self, route: str, remaining: float) -> float:
        """Returns after how long without a response an attempt is suspected.

        Args:
            route: Route of the request.
            remaining: Time until the deadline of the request, in seconds.

        Returns:
            Seconds; half of the remaining time if the route has no recorded
            time yet. A route with one gets at most that too, so that another
            attempt fits before the deadline, but at least `MIN_PEAK_RATIO`
            times its peak.
        """
        peak = self._peak_seconds.get(route)
        if peak is None:
            return remaining / 2
        timeout = min(
            MAX_SUSPICION_SECONDS,
            max(MIN_SUSPICION_SECONDS, SUSPECT_RATIO * peak),
        )
        min_timeout = MIN_PEAK_RATIO * peak
        return min(max(timeout, min_timeout), max(remaining / 2, min_timeout))

    def compute_suspect_at(
        self, route: str, now: float, deadline: float
    ) -> float:
        """Returns the time from which an attempt that starts now is suspected.

        Args:
            route: Route of the request.
            now: Current time, in seconds.
            deadline: Deadline of the request, on the same clock.
        """
        timeout = self.compute_timeout(route, deadline - now)
        return min(deadline, now + timeout)

    def has_token(self) -> bool:
        """Returns True if the budget allows a suspicion."""
        return self._tokens >= 1.0

    def consume_token(self) -> None:
        """Removes the token of one suspicion from the budget."""
        self._tokens -= 1.0


class ReusePolicy:
    """Decides which pooled connections may be reused.

    A connection is not reused past an age limit, or if another connection to
    the same peer proved unresponsive or broken after it was opened.
    """

    __slots__ = ("_invalidated_at",)

    def __init__(self) -> None:
        """Creates a policy without invalidated peers."""
        self._invalidated_at: dict[str, float] = {}

    def invalidate_peer(self, address: str, now: float) -> None:
        """Stops the reuse of all connections to a peer opened before now."""
        self._invalidated_at[address] = now

    def is_reusable(self, address: str, opened_at: float, now: float) -> bool:
        """Returns True if a pooled connection may be used once more.

        Args:
            address: host:port of its peer.
            opened_at: Time at which the connection was opened, in seconds.
            now: Current time, on the same clock.
        """
        invalidated_at = self._invalidated_at.get(address, 0.0)
        return opened_at > max(invalidated_at, now - MAX_CONNECTION_AGE_SECONDS)

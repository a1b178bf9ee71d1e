"""Suspects connections that went silent, from the time to the first byte.

Nothing on a busy HTTP connection tells a long run from a lost connection. So
each route's time to first byte is learned, an attempt that exceeds it by far
is suspected, and suspicions have a budget: a slow target is not sent its
whole work a second time.
"""

from typing import Final

MAX_CONNECTION_AGE_SECONDS: Final = 60.0
MIN_SUSPICION_SECONDS: Final = 0.25
MAX_SUSPICION_SECONDS: Final = 1.0
SUSPECT_RATIO: Final = 4.0
MIN_PEAK_RATIO: Final = 2.0
PEAK_DECAY: Final = 0.99
MAX_SUSPICION_TOKENS: Final = 20.0
TOKENS_PER_RESPONSE: Final = 0.1


class UnresponsiveDetector:
    """Times to first byte by route, and the budget of suspicions."""

    __slots__ = ("_tokens", "_peak_seconds")

    def __init__(self) -> None:
        self._peak_seconds: dict[str, float] = {}
        self._tokens = MAX_SUSPICION_TOKENS

    def record_first_byte(self, route: str, seconds: float) -> None:
        """Takes the time to the first byte of one answer, in seconds."""
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
        """Returns after how long without an answer an attempt is suspected.

        Args:
            route: Route of the request.
            remaining: Time until its deadline, in seconds.

        Returns:
            Seconds; half of the remaining time if nothing is learned yet, so
            that another attempt fits.
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
        """Returns when an attempt that begins now is suspected.

        Args:
            route: Route of the request.
            now: Time in seconds.
            deadline: Deadline of the request, on the same clock.
        """
        timeout = self.compute_timeout(route, deadline - now)
        return min(deadline, now + timeout)

    def has_token(self) -> bool:
        """Returns True if an attempt may be suspected now."""
        return self._tokens >= 1.0

    def consume_token(self) -> None:
        """Takes one suspicion from the budget."""
        self._tokens -= 1.0


class ReusePolicy:
    """Which kept connections may be used again, by their peers' addresses.

    A connection is not reused past an age limit, nor once another connection
    to the same peer proved silent or dead after it was opened.
    """

    __slots__ = ("_invalidated_at",)

    def __init__(self) -> None:
        """Prepares an empty table."""
        self._invalidated_at: dict[str, float] = {}

    def invalidate_peer(self, address: str, now: float) -> None:
        """Stops the reuse of all connections to a peer opened before now."""
        self._invalidated_at[address] = now

    def is_reusable(self, address: str, opened_at: float, now: float) -> bool:
        """Returns True if a kept connection may be used once more.

        Args:
            address: host:port of its peer.
            opened_at: When it was opened, in seconds.
            now: Time on the same clock.
        """
        invalidated_at = self._invalidated_at.get(address, 0.0)
        return opened_at > max(invalidated_at, now - MAX_CONNECTION_AGE_SECONDS)

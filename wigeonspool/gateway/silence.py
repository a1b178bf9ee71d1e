"""Suspects connections that went silent, from the time to the first byte.

Nothing on a busy HTTP connection tells a long run from a lost connection. So
each route's time to first byte is learned, an attempt that exceeds it by far
is suspected, and suspicions have a budget: a slow target is not sent its
whole work a second time.
"""

from typing import Final

AGE_SECONDS: Final = 60.0
LEAST_SECONDS: Final = 0.25
MOST_SECONDS: Final = 1.0
SUSPECT_RATIO: Final = 4.0
LONG_WORK_RATIO: Final = 2.0
PEAK_DECAY: Final = 0.99
BUDGET_BURST: Final = 20.0
BUDGET_PER_ANSWER: Final = 0.1


class SilenceDetector:
    """Times to first byte by route, and the budget of suspicions."""

    __slots__ = ("_budget", "_peaks")

    def __init__(self) -> None:
        self._peaks: dict[str, float] = {}
        self._budget = BUDGET_BURST

    def learn(self, route: str, seconds: float) -> None:
        """Takes the time to the first byte of one answer, in seconds."""
        peak = self._peaks.get(route, seconds)
        if seconds >= peak:
            self._peaks[route] = seconds
        else:
            self._peaks[route] = peak * PEAK_DECAY + seconds * (1 - PEAK_DECAY)
        self._budget = min(BUDGET_BURST, self._budget + BUDGET_PER_ANSWER)

    def find_limit(self, route: str, remaining: float) -> float:
        """Returns after how long without an answer an attempt is suspected.

        Args:
            route: Route of the request.
            remaining: Time until its deadline, in seconds.

        Returns:
            Seconds; half of the remaining time if nothing is learned yet, so
            that another attempt fits.
        """
        peak = self._peaks.get(route)
        if peak is None:
            return remaining / 2
        limit = min(MOST_SECONDS, max(LEAST_SECONDS, SUSPECT_RATIO * peak))
        longest = LONG_WORK_RATIO * peak
        return min(max(limit, longest), max(remaining / 2, longest))

    def find_suspect_at(self, route: str, now: float, deadline: float) -> float:
        """Returns when an attempt that begins now is suspected.

        Args:
            route: Route of the request.
            now: Time in seconds.
            deadline: Deadline of the request, on the same clock.
        """
        limit = self.find_limit(route, deadline - now)
        return min(deadline, now + limit)

    def has_budget(self) -> bool:
        """Returns True if an attempt may be suspected now."""
        return self._budget >= 1.0

    def spend(self) -> None:
        """Takes one suspicion from the budget."""
        self._budget -= 1.0


class TrustTable:
    """Which kept connections may be used again, by their peers' addresses.

    A connection is not reused past an age limit, nor once another connection
    to the same peer proved silent or dead after it was opened.
    """

    __slots__ = ("_distrusted_until",)

    def __init__(self) -> None:
        """Prepares an empty table."""
        self._distrusted_until: dict[str, float] = {}

    def distrust(self, address: str, now: float) -> None:
        """Stops the reuse of all connections to a peer opened before now."""
        self._distrusted_until[address] = now

    def is_trusted(self, address: str, opened_at: float, now: float) -> bool:
        """Returns True if a kept connection may be used once more.

        Args:
            address: host:port of its peer.
            opened_at: When it was opened, in seconds.
            now: Time on the same clock.
        """
        until = self._distrusted_until.get(address, 0.0)
        return opened_at > max(until, now - AGE_SECONDS)

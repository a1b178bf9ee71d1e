"""Suspects connections that went silent, from the time to the first byte.

Nothing on a busy HTTP connection tells a long run from a lost connection. So
each route's time to first byte is learned, an attempt that exceeds it by far
is suspected, and suspicions have a budget: a slow target is not sent its
whole work a second time.
"""

from typing import Final

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

    def has_budget(self) -> bool:
        """Returns True if an attempt may be suspected now."""
        return self._budget >= 1.0

    def spend(self) -> None:
        """Takes one suspicion from the budget."""
        self._budget -= 1.0

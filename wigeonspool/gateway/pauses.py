"""Notices that this process did not run for a while.

Deadlines arrive as a remaining time. What is read from a socket after a pause
has waited there for up to the length of the pause, so that much of its time
is gone already.
"""

from typing import Final

PAUSE_SECONDS: Final = 0.25
# Reading what arrived during a pause takes several turns of the event loop.
RESUME_SECONDS: Final = 0.5


class PauseMonitor:
    """Compares the times of its ticks.

    Attributes:
        pauses: Pauses noticed so far.
    """

    __slots__ = ("_age", "_resumed_at", "_ticked_at", "pauses")

    def __init__(self, now: float) -> None:
        """Starts at a time on the monotonic clock, in seconds."""
        self.pauses = 0
        self._ticked_at = now
        self._resumed_at = float("-inf")
        self._age = 0.0

    def tick(self, now: float) -> bool:
        """Takes the time of a tick; returns True after a pause."""
        gap = now - self._ticked_at
        self._ticked_at = now
        if gap < PAUSE_SECONDS:
            return False
        self.pauses += 1
        self._age = gap
        self._resumed_at = now
        return True

    def find_age(self, now: float) -> float:
        """Returns how long data that is read now may have waited, in seconds.

        Args:
            now: Time on the monotonic clock, in seconds.
        """
        gap = now - self._ticked_at
        if gap >= PAUSE_SECONDS:
            return gap
        if now - self._resumed_at < RESUME_SECONDS:
            return self._age
        return 0.0

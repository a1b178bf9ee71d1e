"""Notices that this process did not run for a while.

Deadlines arrive as a remaining time. What is read from a socket after a pause
has waited there for up to the length of the pause, so that much of its time
is gone already.
"""

from typing import Final

MIN_PAUSE_SECONDS: Final = 0.25
# Accepting and reading what arrived during a pause takes this many turns of
# the event loop at most.
MAX_RESUME_TURNS: Final = 8


class PauseMonitor:
    """Compares the times of its ticks.

    Attributes:
        pause_count: Pauses noticed so far.
    """

    __slots__ = ("_max_data_age", "_ticked_at", "pause_count")

    def __init__(self, now: float, max_data_age: float = 0.0) -> None:
        """Starts at a time on the monotonic clock, in seconds.

        Args:
            now: That time.
            max_data_age: How long data that is read first may have waited;
                `end_resume` must follow after some turns of the event loop.
        """
        self.pause_count = 0
        self._ticked_at = now
        self._max_data_age = max_data_age

    def tick(self, now: float) -> bool:
        """Takes the time of a tick.

        Returns:
            True after a pause; `end_resume` must follow after some turns of
            the event loop.
        """
        gap = now - self._ticked_at
        self._ticked_at = now
        if gap < MIN_PAUSE_SECONDS:
            return False
        self.pause_count += 1
        self._max_data_age = gap
        return True

    def end_resume(self) -> None:
        """Ends a resume; what is read from now on did not wait."""
        self._max_data_age = 0.0

    def get_max_data_age(self, now: float) -> float:
        """Returns how long data that is read now may have waited, in seconds.

        Args:
            now: Time on the monotonic clock, in seconds.
        """
        gap = now - self._ticked_at
        if gap >= MIN_PAUSE_SECONDS:
            return gap
        return self._max_data_age

"""Detects pauses of this process.

Callers send deadlines as a remaining time. A request that is read after a
pause may have waited in the socket for the length of the pause, so the
remaining time must be reduced by that length.
"""

import time
from typing import Final

MIN_PAUSE_SECONDS: Final = 0.25
# Accepting and reading what arrived during a pause takes at most this many
# turns of the event loop.
MAX_RESUME_TURNS: Final = 8


def read_suspended_seconds() -> float:
    """Returns for how long this machine has been suspended since it booted.

    The monotonic clock, and with it that of the event loop, stands still
    meanwhile.
    """
    with_suspension = time.clock_gettime(time.CLOCK_BOOTTIME)
    return with_suspension - time.clock_gettime(time.CLOCK_MONOTONIC)


class PauseMonitor:
    """Detects a pause by a gap between two ticks.

    Attributes:
        pause_count: Number of pauses detected so far.
    """

    __slots__ = ("_max_data_age", "_ticked_at", "pause_count")

    def __init__(self, now: float, max_data_age: float = 0.0) -> None:
        """Creates a monitor whose first tick is now.

        Args:
            now: Time on the monotonic clock, in seconds.
            max_data_age: How long data that is read first may have waited, in
                seconds; `clear_data_age` must be called after some turns of the
                event loop.
        """
        self.pause_count = 0
        self._ticked_at = now
        self._max_data_age = max_data_age

    def tick(self, now: float) -> bool:
        """Records the time of a tick.

        Args:
            now: Time on the monotonic clock, in seconds.

        Returns:
            True after a pause; `clear_data_age` must then be called after
            `MAX_RESUME_TURNS` turns of the event loop.
        """
        gap = now - self._ticked_at
        self._ticked_at = now
        if gap < MIN_PAUSE_SECONDS:
            return False
        self.pause_count += 1
        self._max_data_age = gap
        return True

    def clear_data_age(self) -> None:
        """Marks all data that waited during the latest pause as read."""
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

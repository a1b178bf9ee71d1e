"""Clocks of a process: one that orders events, one that notices pauses."""

from collections.abc import Callable
import time
from typing import Final

from wigeonspool.model import events

MAX_AHEAD_MS: Final = 60_000
MAX_COUNTER: Final = 1 << 32


class HybridClock:
    """Issues stamps that rise and that follow every stamp observed.

    Attributes:
        wall_ms: Milliseconds since the epoch of the latest reading.
        counter: Orders readings of the same millisecond.
    """

    __slots__ = ("_process", "counter", "wall_ms")

    def __init__(self, process: str) -> None:
        self._process = process
        self.wall_ms = 0
        self.counter = 0

    def issue_stamp(self) -> events.Stamp:
        """Returns a stamp after all that were issued or observed."""
        self.advance()
        return events.Stamp(self.wall_ms, self.counter, self._process)

    def advance(self) -> None:
        """Moves past all readings that were issued or observed."""
        now_ms = time.time_ns() // 1_000_000
        if now_ms > self.wall_ms:
            self.wall_ms = now_ms
            self.counter = 0
        else:
            self.counter += 1

    def observe_stamp(self, stamp: events.Stamp) -> None:
        """Moves the clock past a stamp of another process.

        A stamp from far ahead is not followed: one process with a wrong date
        would carry all others along.
        """
        if stamp.wall_ms > time.time_ns() // 1_000_000 + MAX_AHEAD_MS:
            return
        if not 0 <= stamp.counter < MAX_COUNTER:
            return
        if (stamp.wall_ms, stamp.counter) > (self.wall_ms, self.counter):
            self.wall_ms = stamp.wall_ms
            self.counter = stamp.counter


def read_boottime_seconds() -> float:
    """Returns seconds on a clock that goes on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Tells whether this process has stood still for too long.

    A process that was paused may act on what it knew before. It asks here
    right before each such act, since after a pause the act may run before
    any timer does. Once a pause is noticed, the process is not current until
    its knowledge has been refreshed.
    """

    __slots__ = ("_is_refreshed", "_limit_seconds", "_now", "_last_tick_at")

    def __init__(self, limit_seconds: float, now: Callable[[], float]) -> None:
        """Starts the detector.

        Args:
            limit_seconds: A longer time between two ticks is a pause.
            now: Clock that goes on while the process is paused, in seconds.
        """
        self._limit_seconds = limit_seconds
        self._now = now
        self._last_tick_at = now()
        self._is_refreshed = True

    def tick(self) -> float:
        """Notes that the process runs; called several times in the limit.

        Returns:
            Length of the pause that has just ended, in seconds, or 0.
        """
        now = self._now()
        gap = now - self._last_tick_at
        self._last_tick_at = now
        if gap <= self._limit_seconds:
            return 0.0
        self._is_refreshed = False
        return gap

    def mark_refreshed(self) -> None:
        """Notes that knowledge was renewed after the latest pause."""
        self._is_refreshed = True

    def is_current(self) -> bool:
        """Returns True unless a pause has made knowledge out of date."""
        gap = self._now() - self._last_tick_at
        return self._is_refreshed and gap <= self._limit_seconds


def compute_pause_limit_seconds(
    silence_seconds: float, heartbeat_seconds: float
) -> float:
    """Returns from how long on a standstill of a process is a pause.

    What others sent meanwhile waits unread, so a pause that brings a peer
    which was heard one heartbeat ago near its limit must be noticed.

    Args:
        silence_seconds: A peer that is silent for longer is not live.
        heartbeat_seconds: Time between two signs of a peer.
    """
    margin = silence_seconds - 2 * heartbeat_seconds
    return max(margin, 1.5 * heartbeat_seconds)

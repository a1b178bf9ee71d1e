"""A hybrid logical clock for events, and a detector of process pauses."""

from collections.abc import Callable
import time
from typing import Final

from wigeonspool.model import events

MAX_AHEAD_MS: Final = 60_000
MAX_COUNTER: Final = 1 << 32


class HybridClock:
    """Issues increasing stamps that follow all stamps of observed messages.

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
        """Returns a stamp greater than all stamps issued or observed before."""
        self.advance()
        return events.Stamp(self.wall_ms, self.counter, self._process)

    def advance(self) -> None:
        """Moves the clock past all readings that were issued or observed."""
        now_ms = time.time_ns() // 1_000_000
        if now_ms > self.wall_ms:
            self.wall_ms = now_ms
            self.counter = 0
        else:
            self.counter += 1

    def observe_stamp(self, stamp: events.Stamp) -> None:
        """Moves the clock up to a stamp of another process.

        A stamp that is more than `MAX_AHEAD_MS` ahead is ignored. Otherwise
        one process with a wrong date would set the clocks of all others. A
        stamp whose counter is out of range is ignored too.
        """
        if stamp.wall_ms > time.time_ns() // 1_000_000 + MAX_AHEAD_MS:
            return
        if not 0 <= stamp.counter < MAX_COUNTER:
            return
        if (stamp.wall_ms, stamp.counter) > (self.wall_ms, self.counter):
            self.wall_ms = stamp.wall_ms
            self.counter = stamp.counter


def read_boottime_seconds() -> float:
    """Returns seconds of a clock that also runs while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Detects that this process did not run for too long.

    A paused process may act on outdated state. It must call `is_current` right
    before each such action, because after a pause the action may run before
    any timer does. After a detected pause the process is not current until its
    state has been refreshed.
    """

    __slots__ = ("_is_refreshed", "_limit_seconds", "_now", "_last_tick_at")

    def __init__(self, limit_seconds: float, now: Callable[[], float]) -> None:
        """Starts the detector.

        Args:
            limit_seconds: A longer time between two ticks is a pause.
            now: Clock that also runs while the process is paused, in seconds.
        """
        self._limit_seconds = limit_seconds
        self._now = now
        self._last_tick_at = now()
        self._is_refreshed = True

    def tick(self) -> float:
        """Records that the process runs.

        This must be called more than once within the limit, or the time
        between two calls counts as a pause.

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
        """Records that the state was refreshed after the latest pause."""
        self._is_refreshed = True

    def is_current(self) -> bool:
        """Returns False if a pause has made the state outdated."""
        gap = self._now() - self._last_tick_at
        return self._is_refreshed and gap <= self._limit_seconds


def compute_pause_limit_seconds(
    silence_seconds: float, heartbeat_seconds: float
) -> float:
    """Returns the longest time between two ticks that is not a pause.

    Messages that arrive during a pause remain unread, so a peer may seem to be
    unresponsive after it. Its last message may have come one heartbeat before
    the pause. So the limit leaves another heartbeat until the peer's timeout.
    It is at least 1.5 heartbeats, because an agent calls `tick` only once per
    heartbeat.

    Args:
        silence_seconds: A peer that sends nothing for longer is not live.
        heartbeat_seconds: Time between two messages of a peer.
    """
    margin = silence_seconds - 2 * heartbeat_seconds
    return max(margin, 1.5 * heartbeat_seconds)

"""A hybrid logical clock, so that events of many processes can be ordered."""

import time
from typing import Final

from wigeonspool.model import events

MAX_AHEAD_MS: Final = 60_000
MAX_COUNTER: Final = 1 << 32


class HybridClock:
    """Issues stamps that rise and that follow every stamp observed."""

    __slots__ = ("_counter", "_process", "_wall_ms")

    def __init__(self, process: str) -> None:
        self._process = process
        self._wall_ms = 0
        self._counter = 0

    def issue_stamp(self) -> events.Stamp:
        """Returns a stamp after all that were issued or observed."""
        now_ms = time.time_ns() // 1_000_000
        if now_ms > self._wall_ms:
            self._wall_ms = now_ms
            self._counter = 0
        else:
            self._counter += 1
        return events.Stamp(self._wall_ms, self._counter, self._process)

    def observe_stamp(self, stamp: events.Stamp) -> None:
        """Moves the clock past a stamp of another process.

        A stamp from far ahead is not followed: one process with a wrong date
        would carry all others along.
        """
        if stamp.wall_ms > time.time_ns() // 1_000_000 + MAX_AHEAD_MS:
            return
        if not 0 <= stamp.counter < MAX_COUNTER:
            return
        if (stamp.wall_ms, stamp.counter) > (self._wall_ms, self._counter):
            self._wall_ms = stamp.wall_ms
            self._counter = stamp.counter

"""Schedules the ticks of a gateway by the time at which work is due.

An idle gateway ticks only often enough to detect its own pauses. New work
brings the next tick forward, since the core may schedule something for it.
"""

import asyncio
from typing import Final

# Shortest time between two ticks.
MIN_TICK_SECONDS: Final = 0.01
# Longest time between two ticks, well below `pauses.MIN_PAUSE_SECONDS`, so that
# an idle process is not taken for a paused one.
MAX_TICK_SECONDS: Final = 0.125


class Ticker:
    """Lets one coroutine wait for the next tick."""

    __slots__ = ("_due", "_handle", "_loop", "_waiter")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._due = float("-inf")
        self._handle: asyncio.TimerHandle | None = None
        self._waiter: asyncio.Future[None] | None = None

    async def wait(self, due: float) -> None:
        """Waits until the next tick.

        Args:
            due: Time at which work is due, loop clock.
        """
        now = self._loop.time()
        self._waiter = self._loop.create_future()
        self._schedule(
            min(max(due, now + MIN_TICK_SECONDS), now + MAX_TICK_SECONDS)
        )
        try:
            await self._waiter
        finally:
            # While a tick runs, no next tick is scheduled that could be brought
            # forward.
            self._due = float("-inf")
            if self._handle is not None:
                self._handle.cancel()

    def expedite(self) -> None:
        """Brings the next tick forward; called after each event in the core."""
        due = self._loop.time() + MIN_TICK_SECONDS
        if due < self._due:
            self._schedule(due)

    def _schedule(self, due: float) -> None:
        """Schedules the next tick and cancels the previous schedule."""
        if self._handle is not None:
            self._handle.cancel()
        self._due = due
        self._handle = self._loop.call_at(due, self._wake)

    def _wake(self) -> None:
        """Wakes the waiting coroutine."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

"""Times the ticks of a gateway by what is due.

A gateway at rest ticks only often enough to notice its own pauses. Work that
comes brings the next tick near, since the core may plan something for it.
"""

import asyncio
from typing import Final

# Shortest time between two ticks.
MIN_TICK_SECONDS: Final = 0.01
# Longest time between two ticks, well below a pause.
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
        """Waits for the next tick.

        Args:
            due: Time at which something is due, on the loop's clock.
        """
        now = self._loop.time()
        self._waiter = self._loop.create_future()
        self._schedule(
            min(max(due, now + MIN_TICK_SECONDS), now + MAX_TICK_SECONDS)
        )
        try:
            await self._waiter
        finally:
            # While the tick runs there is nothing to bring near.
            self._due = float("-inf")
            if self._handle is not None:
                self._handle.cancel()

    def expedite(self) -> None:
        """Brings the next tick near; called whenever the core took work."""
        due = self._loop.time() + MIN_TICK_SECONDS
        if due < self._due:
            self._schedule(due)

    def _schedule(self, due: float) -> None:
        """Plans the next tick in place of the one planned before."""
        if self._handle is not None:
            self._handle.cancel()
        self._due = due
        self._handle = self._loop.call_at(due, self._wake)

    def _wake(self) -> None:
        """Lets the waiting coroutine go on."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

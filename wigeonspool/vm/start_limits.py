"""Limits the time in which requests may wait and start while a VM drains."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import math

from wigeonspool.core import drain_policy


class StartLimits:
    """Time limits of requests that were not sent to a target yet.

    There are none until the VM begins to drain.
    """

    def __init__(self) -> None:
        """Creates limits that are not in effect."""
        self._schedule: drain_policy.DrainSchedule | None = None
        # Deadlines of the requests that wait, or None while they are read.
        self._waiting: dict[asyncio.Timeout, float | None] = {}
        self._loop = asyncio.get_running_loop()

    def apply_schedule(self, schedule: drain_policy.DrainSchedule) -> None:
        """Puts the limits into effect, also for requests that wait already.

        Args:
            schedule: Schedule of the stop. Calls after the first one change
                nothing.
        """
        if self._schedule is not None:
            return
        self._schedule = schedule
        for timeout, deadline in self._waiting.items():
            timeout.reschedule(self._find_limit(deadline))

    def may_start(self, deadline: float) -> bool:
        """Returns True if an attempt may be sent now.

        Args:
            deadline: Time at which its caller gives up, loop clock.
        """
        return self._loop.time() <= drain_policy.find_latest_start(
            self._schedule, deadline
        )

    @contextlib.asynccontextmanager
    async def limit_wait(self, deadline: float | None) -> AsyncIterator[None]:
        """Limits the time until a request is read, or until it is sent.

        Args:
            deadline: Time at which its caller gives up, loop clock; None while
                the request is read.

        Raises:
            TimeoutError: If the request must not be sent any more.
        """
        async with asyncio.timeout_at(self._find_limit(deadline)) as timeout:
            self._waiting[timeout] = deadline
            try:
                yield
            finally:
                del self._waiting[timeout]

    def _find_limit(self, deadline: float | None) -> float | None:
        """Returns the end of a wait, or None without a limit."""
        limit = (
            drain_policy.find_latest_read(self._schedule)
            if deadline is None
            else drain_policy.find_latest_start(self._schedule, deadline)
        )
        return None if math.isinf(limit) else limit

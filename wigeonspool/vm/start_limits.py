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
        self._waiting: dict[asyncio.Timeout, tuple[float, float]] = {}
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
        for timeout, (baseline_seconds, deadline) in self._waiting.items():
            timeout.reschedule(self._find_limit(baseline_seconds, deadline))

    def may_start(self, baseline_seconds: float, deadline: float) -> bool:
        """Returns True if an attempt that is sent now can end in time.

        Args:
            baseline_seconds: Baseline service time of the request.
            deadline: Time at which its caller gives up, loop clock.
        """
        return self._loop.time() <= drain_policy.find_latest_start(
            self._schedule, baseline_seconds, deadline
        )

    @contextlib.asynccontextmanager
    async def limit_wait(
        self, baseline_seconds: float, deadline: float
    ) -> AsyncIterator[None]:
        """Limits the time that a request may wait before it is sent.

        Args:
            baseline_seconds: Baseline service time of the request.
            deadline: Time at which its caller gives up, loop clock.

        Raises:
            TimeoutError: If an attempt that is sent later could not end in
                time.
        """
        limit = self._find_limit(baseline_seconds, deadline)
        async with asyncio.timeout_at(limit) as timeout:
            self._waiting[timeout] = (baseline_seconds, deadline)
            try:
                yield
            finally:
                del self._waiting[timeout]

    def _find_limit(
        self, baseline_seconds: float, deadline: float
    ) -> float | None:
        """Returns the latest start of a request, or None without a limit."""
        latest_start = drain_policy.find_latest_start(
            self._schedule, baseline_seconds, deadline
        )
        return None if math.isinf(latest_start) else latest_start

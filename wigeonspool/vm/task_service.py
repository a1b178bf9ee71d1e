"""The base class of the process of an entry VM: runs its background tasks.

The other processes are built on the library `mode`, which takes a fifth of the
processor time of a start to load. An entry VM needs tasks that end the process
if one of them fails, and an orderly stop.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

from wigeonspool.vm import structured_log

log = structured_log.get_logger("process")


class TaskService:
    """Runs tasks until it is stopped, or until one of them fails.

    Attributes:
        crash_reason: The error that ended the service, or None.
        stop_requested_at: When a signal to stop arrived, on the clock of the
            event loop in seconds, or None.
    """

    def __init__(self) -> None:
        """Creates a service that is not started."""
        self.crash_reason: BaseException | None = None
        self.stop_requested_at: float | None = None
        self._is_stopping = False
        self._ended = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def crashed(self) -> bool:
        """True if an error ended the service."""
        return self.crash_reason is not None

    @property
    def should_stop(self) -> bool:
        """True once the service stops or has crashed."""
        return self._is_stopping or self.crashed

    async def on_start(self) -> None:
        """Starts the service; implemented by subclasses."""

    async def on_stop(self) -> None:
        """Stops the service; implemented by subclasses."""

    async def start(self) -> None:
        """Starts the service."""
        await self.on_start()

    async def stop(self) -> None:
        """Stops the service, then cancels its tasks and waits for them."""
        if self._is_stopping:
            return
        self._is_stopping = True
        self._ended.set()
        await self.on_stop()
        tasks = self._tasks - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def wait_until_stopped(self) -> None:
        """Waits until the service stops or has crashed."""
        await self._ended.wait()

    def add_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine until it ends or the service stops.

        An error that it raises ends the service.
        """
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_end)

    def _handle_end(self, task: asyncio.Task[None]) -> None:
        """Records that a task has ended; its error ends the service."""
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is None:
            return
        if self.should_stop:
            log.opt(exception=error).error("a task failed during the stop")
            return
        self.crash_reason = error
        log.opt(exception=error).error("a task failed; the process ends")
        self._ended.set()

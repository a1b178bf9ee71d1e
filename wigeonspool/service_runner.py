"""Runs a service as a process: its event loop, its signals and its exit code.

An entry VM loads this module at each start, so it imports no framework.
"""

import asyncio
import sys
import time
from typing import Final, Protocol

import uvloop

from wigeonspool import component_logs
from wigeonspool import early_signals

EXIT_CRASHED: Final = 1
EXIT_INVALID_SETTINGS: Final = 2

log = component_logs.get_logger()


class RunnableService(Protocol):
    """A service that finishes its work before it stops.

    Attributes:
        stop_requested_at: When a signal to stop arrived, on the clock of the
            event loop in seconds, or None.
    """

    stop_requested_at: float | None

    @property
    def crashed(self) -> bool:
        """True if an error ended the service."""

    @property
    def crash_reason(self) -> BaseException | None:
        """The error that ended the service, or None."""

    async def start(self) -> None:
        """Starts the service."""

    async def drain(self) -> None:
        """Finishes work in flight; called once, on a signal, before `stop`."""

    async def reload(self) -> None:
        """Applies changed settings; called at each SIGHUP."""

    async def stop(self) -> None:
        """Stops the service."""

    async def wait_until_stopped(self) -> None:
        """Waits until the service has stopped or crashed."""


async def _run_until_stopped(
    service: RunnableService, early: early_signals.EarlySignals | None
) -> None:
    """Runs a service until it stops by itself, or until SIGTERM or SIGINT.

    These signals drain the service and then stop it; SIGHUP reloads its
    settings. Signals that arrive before the service has started take effect
    then.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    started = asyncio.Event()
    reloads: set[asyncio.Task[None]] = set()

    def request_stop(age_seconds: float = 0.0) -> None:
        """Records the time of the first signal to stop."""
        if not stop_requested.is_set():
            service.stop_requested_at = loop.time() - age_seconds
            stop_requested.set()

    async def reload() -> None:
        """Reloads the settings once the service has started."""
        await started.wait()
        await service.reload()

    def request_reload() -> None:
        """Starts a reload and holds a reference to its task until it ends."""
        task = loop.create_task(reload())
        reloads.add(task)
        task.add_done_callback(reloads.discard)

    for signal_number in early_signals.STOP_SIGNALS:
        loop.add_signal_handler(signal_number, request_stop)
    loop.add_signal_handler(early_signals.RELOAD_SIGNAL, request_reload)
    if early is not None and early.stop_requested_at is not None:
        request_stop(time.monotonic() - early.stop_requested_at)
    if early is not None and early.reload_requested:
        request_reload()
    await service.start()
    started.set()
    stopped = loop.create_task(service.wait_until_stopped())
    stop_signal = loop.create_task(stop_requested.wait())
    await asyncio.wait(
        (stopped, stop_signal), return_when=asyncio.FIRST_COMPLETED
    )
    # A service that stopped by itself, for example after a crash, cannot be
    # drained any more.
    if not stopped.done():
        await service.drain()
    await service.stop()
    stop_signal.cancel()


def run_service(
    service: RunnableService, early: early_signals.EarlySignals | None = None
) -> None:
    """Runs a service on a new event loop until it has stopped.

    Exits with `EXIT_CRASHED` if an error ended the service.

    Args:
        service: The service.
        early: Signals that arrived before, or None if none were recorded.
    """
    uvloop.run(_run_until_stopped(service, early))
    if service.crashed:
        reason = service.crash_reason
        log.error(f"process was ended by an error: {reason!r}")
        sys.exit(EXIT_CRASHED)

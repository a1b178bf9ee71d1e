"""What all processes share: HTTP servers, metrics, start and stop."""

import asyncio
from collections.abc import Callable
import socket
import sys
import time
from typing import Final

from aiohttp import web
import aioprometheus
import loguru
import mode
import uvloop

from wigeonspool import early_signals
from wigeonspool import listen_sockets

EXIT_CRASHED: Final = 1
EXIT_INVALID_SETTINGS: Final = 2
SHUTDOWN_TIMEOUT_SECONDS: Final = 0.5


async def serve_http(
    address: str, server: web.Server, listen_socket: socket.socket | None = None
) -> web.ServerRunner:
    """Starts an HTTP server.

    Args:
        address: host:port to listen on.
        server: Handler of the requests.
        listen_socket: Listen socket of the address if it is open already; None
            to open one.

    Returns:
        The runner, which stops the server.

    Raises:
        OSError: If the port cannot be opened.
    """
    runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS)
    await runner.setup()
    if listen_socket is None:
        listen_socket = listen_sockets.open_listen_socket(address)
    site = web.SockSite(
        runner, listen_socket, backlog=listen_sockets.LISTEN_BACKLOG
    )
    await site.start()
    return runner


def render_metrics(
    request: web.BaseRequest, update_metrics: Callable[[], None]
) -> web.Response:
    """Returns the metrics page of this process.

    Args:
        request: Request for the page.
        update_metrics: Brings the metrics up to date; called first.
    """
    update_metrics()
    accept_values = request.headers.getall("Accept", [])
    content, header_fields = aioprometheus.render(
        aioprometheus.REGISTRY, accept_values
    )
    return web.Response(body=content, headers=header_fields)


async def serve_metrics(
    address: str, update_metrics: Callable[[], None]
) -> web.ServerRunner:
    """Starts an HTTP server with the metrics page of this process.

    Args:
        address: host:port to listen on.
        update_metrics: Brings the metrics up to date; called at each scrape.

    Returns:
        The runner, which stops the server.

    Raises:
        OSError: If the port cannot be opened.
    """

    async def handle_scrape(request: web.BaseRequest) -> web.StreamResponse:
        """Returns the metrics page, or 404 for any other path."""
        if request.path != "/metrics":
            return web.Response(status=404)
        return render_metrics(request, update_metrics)

    return await serve_http(address, web.Server(handle_scrape))


class DrainableService(mode.Service):
    """A service that finishes its work before it stops.

    Attributes:
        stop_requested_at: When a signal to stop arrived, on the clock of the
            event loop in seconds, or None.
    """

    stop_requested_at: float | None = None

    async def drain(self) -> None:
        """Finishes work in flight; called once, on a signal, before `stop`."""

    async def reload(self) -> None:
        """Applies changed settings; called at each SIGHUP."""


async def _run_until_stopped(
    service: DrainableService, early: early_signals.EarlySignals | None
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
    service: DrainableService, early: early_signals.EarlySignals | None = None
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
        loguru.logger.error("process was ended by an error: {!r}", reason)
        sys.exit(EXIT_CRASHED)

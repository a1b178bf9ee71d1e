"""What the processes share: HTTP servers, metrics and their base class."""

from collections.abc import Callable
import socket
from typing import Final

from aiohttp import web
import mode

from wigeonspool import listen_sockets
from wigeonspool import metrics_page

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
        return metrics_page.render_metrics(request, update_metrics)

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

"""The callers' port of an entry VM."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from aiohttp import web

from wigeonspool.core import cluster_state
from wigeonspool.gateway import streaming
from wigeonspool.model import fleet
from wigeonspool.vm import caller_service
from wigeonspool.vm import structured_log

# Callers may use a connection again up to its idle limit; the port keeps it
# a little longer, so that no request crosses its close.
IDLE_SLACK_SECONDS: Final = 2.0
STATUS_BAD_REQUEST: Final = 400
SLOW_HEAD_RESPONSE: Final = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)

log = structured_log.get_logger("callers")


class CallerProtocol(web.RequestHandler):
    """One connection of a caller; it ends if a head takes too long."""

    __slots__ = ("_head_seconds", "_head_timer", "_idle_seconds")

    def __init__(
        self,
        server: web.Server,
        limits: fleet.CallerLimits,
        loop: asyncio.AbstractEventLoop,
        **settings: Any,
    ) -> None:
        """Prepares a connection.

        Args:
            server: Server that it belongs to.
            limits: Bounds on what its caller sends.
            loop: The event loop.
            settings: Settings of the HTTP library.
        """
        super().__init__(server, loop=loop, **settings)
        self._head_seconds = limits.head_timeout_seconds
        self._idle_seconds = limits.idle_timeout_seconds + IDLE_SLACK_SECONDS
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the connection; its first request must come in time."""
        super().connection_made(transport)
        self._start_timer(self._idle_seconds, self._close_unused)

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the caller."""
        super().data_received(data)
        if self._is_reading_head():
            self._start_head_timer()
        else:
            self._stop_timer()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Notes that the connection ended."""
        self._stop_timer()
        super().connection_lost(exc)

    def _is_reading_head(self) -> bool:
        """Returns True if no request is here, as far as the parser knows."""
        return self._current_request is None and not self._messages

    def _start_head_timer(self) -> None:
        """Expects the rest of a head whose first bytes are here."""
        timer = self._head_timer
        expires_at = self._loop.time() + self._head_seconds
        if timer is None or timer.when() > expires_at:
            self._start_timer(self._head_seconds, self._reject_slow_head)

    def _start_timer(
        self, seconds: float, callback: Callable[[], None]
    ) -> None:
        """Starts the timer of this connection anew."""
        self._stop_timer()
        self._head_timer = self._loop.call_later(seconds, callback)

    def _stop_timer(self) -> None:
        """Stops the timer of this connection."""
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close_unused(self) -> None:
        """Closes a connection on which nothing was sent."""
        self.force_close()

    def _reject_slow_head(self) -> None:
        """Ends a connection whose request did not come whole in time."""
        self._head_timer = None
        if self.transport is not None and self._is_reading_head():
            log.info("a head came too slowly", limit_s=self._head_seconds)
            self.transport.write(SLOW_HEAD_RESPONSE)
        self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the last response of a connection that broke.

        Raises:
            ConnectionError: If an answer has begun, so that none can follow.
        """
        if status != STATUS_BAD_REQUEST:
            log.opt(exception=exc).error("a request failed")
        return streaming.build_final_response(
            request, web.Response(status=status)
        )


class CallerServer(web.Server):
    """The server of the callers' port."""

    def __init__(
        self,
        service: caller_service.CallerService,
        cluster: cluster_state.ClusterState,
    ) -> None:
        """Prepares the server.

        Args:
            service: Serves the requests.
            cluster: Tells the limits that hold for callers.
        """
        super().__init__(service.serve, handler_cancellation=True)
        self._cluster = cluster

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection."""
        configuration = self._cluster.configuration
        limits = fleet.CallerLimits()
        if configuration is not None:
            limits = configuration.limits
        settings: dict[str, Any] = {
            "access_log": None,
            "auto_decompress": False,
            "keepalive_timeout": limits.idle_timeout_seconds
            + IDLE_SLACK_SECONDS,
            "lingering_time": streaming.LINGER_TIMEOUT_SECONDS,
            "max_field_size": limits.max_head_bytes,
            "max_line_size": limits.max_head_bytes,
        }
        loop = asyncio.get_running_loop()
        return CallerProtocol(self, limits, loop, **settings)

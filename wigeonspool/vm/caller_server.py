"""The HTTP server for callers, with time limits on request heads."""

import asyncio
from collections.abc import Callable
import itertools
from typing import Any, Final

import aiohttp
from aiohttp import http
from aiohttp import web

from wigeonspool.core import cluster_state
from wigeonspool.gateway import parse_queue
from wigeonspool.gateway import sliced_parsing
from wigeonspool.gateway import streaming
from wigeonspool.model import fleet
from wigeonspool.vm import caller_service
from wigeonspool.vm import pipelines
from wigeonspool.vm import structured_log

# Callers may reuse a connection until its idle timeout. The server keeps it
# open a little longer, so that it does not close while a request arrives.
IDLE_SLACK_SECONDS: Final = 2.0
STATUS_BAD_REQUEST: Final = 400
# Parsers skip empty lines before a request.
EMPTY_LINE_CHARS: Final = b"\r\n"
HEAD_END: Final = b"\r\n\r\n"
# Heads in one slice that are parsed one at a time.
MAX_SEPARATE_HEADS: Final = 32
SLOW_HEAD_RESPONSE: Final = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)

log = structured_log.get_logger("callers")


class CallerProtocol(sliced_parsing.SlicedProtocol, web.RequestHandler):
    """One connection of a caller, closed if a request head takes too long.

    Attributes:
        pipeline: Requests of the connection.
    """

    __slots__ = (
        "_head_timeout_seconds",
        "_has_failed",
        "_head_timer",
        "_idle_timeout_seconds",
        "_is_head_pending",
        "_last_body",
        "pipeline",
    )

    def __init__(
        self,
        server: "CallerServer",
        limits: fleet.CallerLimits,
        loop: asyncio.AbstractEventLoop,
        **settings: Any,
    ) -> None:
        """Creates the protocol of a connection.

        Args:
            server: Server of the connection.
            limits: Limits on the requests of the caller.
            loop: The event loop.
            settings: Settings of the HTTP library.
        """
        super().__init__(server, loop=loop, **settings)
        self.init_slices(server.parse_queue)
        self._head_timeout_seconds = limits.head_timeout_seconds
        self._idle_timeout_seconds = (
            limits.idle_timeout_seconds + IDLE_SLACK_SECONDS
        )
        # Also limits the time until the first request.
        self._head_timer: asyncio.TimerHandle | None = None
        # True while a head has arrived in part.
        self._is_head_pending = False
        # True once the parser returned an error, after which it reads nothing.
        self._has_failed = False
        # Body of the last request whose head is complete.
        self._last_body: aiohttp.StreamReader | None = None
        self.pipeline = pipelines.Pipeline(
            self, server.service, server.pipeline_use
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the timer for the first request on the connection."""
        super().connection_made(transport)
        self._start_timer(self._idle_timeout_seconds, self._close_unused)

    def _parse_part(self, data: bytes) -> None:
        """Passes data to the parser, each head apart from what follows it.

        The parser returns nothing if any of its input is invalid. A request
        must not get lost because of the bytes that follow it.
        """
        for _ in range(MAX_SEPARATE_HEADS):
            head, end, rest = data.partition(HEAD_END)
            if not rest or not self._is_between_requests():
                break
            self._parse(head + end)
            data = rest
        # The library also passes empty data, which resumes the parser.
        self._parse(data)

    def _is_parser_paused(self) -> bool:
        """Returns True if enough requests or enough of a body waits."""
        is_full = len(self._messages) >= self._max_msg_queue_size
        return is_full or super()._is_parser_paused()

    def _count_body_bytes(self) -> int:
        """Returns the size of what has arrived of the current body."""
        return 0 if self._last_body is None else self._last_body.total_bytes

    def _is_between_requests(self) -> bool:
        """Returns True if no body of a request is due."""
        return self._last_body is None or self._last_body.is_eof()

    def _parse(self, data: bytes) -> None:
        """Passes data to the parser; limits the time for an unfinished head."""
        if self._force_close or self._close or self._has_failed:
            return
        follows_body = self._is_between_requests()
        request_count = self._request_count
        web.RequestHandler.data_received(self, data)
        count = self._request_count - request_count
        if count:
            message, self._last_body = self._messages[-1]
            # The library answers an error and closes the connection.
            self._has_failed = not isinstance(message, http.RawRequestMessage)
            first = len(self._messages) - count
            self.pipeline.add(itertools.islice(self._messages, first, None))
            self._is_head_pending = False
            self._stop_timer()
        elif follows_body and data.strip(EMPTY_LINE_CHARS):
            self._is_head_pending = True
            self._start_head_timer()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stops the timer when the connection ends."""
        self._stop_timer()
        self.pipeline.close()
        self.drop_backlog()
        super().connection_lost(exc)

    def is_idle(self) -> bool:
        """Returns True if no request is served and none waits to be served."""
        return self._waiter is not None and not self._waiter.done()

    def is_busy(self) -> bool:
        """Returns True if a request arrives, is served or is being answered."""
        transport = self.transport
        return (
            not self.is_idle()
            or self._is_head_pending
            or bool(self._backlog)
            or transport is None
            or transport.get_write_buffer_size() > 0
        )

    def _process_keepalive(self) -> None:
        """Closes a connection that was idle for too long.

        A connection on which a head arrives is left to the timer of that head.
        """
        if not self._is_head_pending:
            super()._process_keepalive()

    def _start_head_timer(self) -> None:
        """Limits the time for the rest of a head that arrives in pieces.

        A timer that expires earlier stays, so that further bytes do not extend
        the time.
        """
        timer = self._head_timer
        expires_at = self._loop.time() + self._head_timeout_seconds
        if timer is None or timer.when() > expires_at:
            self._start_timer(
                self._head_timeout_seconds, self._reject_slow_head
            )

    def _start_timer(
        self, seconds: float, callback: Callable[[], None]
    ) -> None:
        """Restarts the timer of this connection.

        Args:
            seconds: Time until the timer expires.
            callback: Called when it expires.
        """
        self._stop_timer()
        self._head_timer = self._loop.call_later(seconds, callback)

    def _stop_timer(self) -> None:
        """Stops the timer of this connection."""
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close_unused(self) -> None:
        """Closes a connection on which the caller sent no data."""
        self.force_close()

    def _reject_slow_head(self) -> None:
        """Closes a connection whose request head did not arrive in time.

        Sends status 408 first. While an earlier request is being served, the
        head gets more time, since a close would also cut that request.
        """
        self._head_timer = None
        if not self.is_idle():
            self._start_head_timer()
            return
        log.info("a head came too slowly", limit_s=self._head_timeout_seconds)
        if self.transport is not None:
            self.transport.write(SLOW_HEAD_RESPONSE)
        self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the last response on a connection after an error.

        Logs the error, except for a malformed request of the caller and for a
        connection that was closed.

        Raises:
            ConnectionError: If a response has been started, so that no other
                one can be sent.
        """
        if status != STATUS_BAD_REQUEST and not isinstance(
            exc, ConnectionError
        ):
            log.opt(exception=exc).error("a connection failed")
        return streaming.build_final_response(
            request, web.Response(status=status)
        )


class CallerServer(web.Server):
    """The HTTP server for callers.

    Attributes:
        service: Serves the requests.
        pipeline_use: What the pipelines of all connections use.
        parse_queue: Divides the time for parsing between connections.
    """

    def __init__(
        self,
        service: caller_service.CallerService,
        cluster: cluster_state.ClusterState,
    ) -> None:
        """Creates the server.

        Args:
            service: Serves the requests.
            cluster: Cluster state, with the limits for callers.
        """
        super().__init__(self._serve, handler_cancellation=True)
        self.service = service
        self.pipeline_use = pipelines.PipelineUse()
        self.parse_queue = parse_queue.ParseQueue(asyncio.get_running_loop())
        self._cluster = cluster

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves the first request of a connection."""
        connection = request.protocol
        assert isinstance(connection, CallerProtocol)
        return await self.service.serve(request, connection.pipeline)

    def has_busy_connections(self) -> bool:
        """Returns True if a request or a response is in transfer or served."""
        return any(
            connection.is_busy()
            for connection in self.connections
            if isinstance(connection, CallerProtocol)
        )

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection.

        It applies the limits of the configuration that is active now.
        """
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

"""The HTTP library's protocol of a connection, with bounds on bad responses."""

import asyncio
from typing import Any, Final

import aiohttp
from aiohttp import client_proto

from wigeonspool.gateway import parse_queue
from wigeonspool.gateway import sliced_parsing

# Most data in a row that completes neither a head nor a part of a body. The
# parser bounds what it keeps of such data, but not how much may come.
MAX_UNPRODUCTIVE_BYTES: Final = 512 * 1024
# Heads in one slice that are parsed one at a time: those of a response, and of
# some that belong to other requests.
MAX_SEPARATE_HEADS: Final = 4
# Responses of one exchange, interim ones and those of other requests included.
MAX_RESPONSES: Final = 48
HEAD_END: Final = b"\r\n\r\n"


class ResponseProtocol(
    sliced_parsing.SlicedProtocol, client_proto.ResponseHandler
):
    """The HTTP library's protocol, which also copes with invalid responses.

    A response is not lost because of invalid bytes that follow it, an invalid
    chunk ends the wait for its body, and data without end closes the
    connection. Data that takes long to parse waits for its turn, and no more is
    read meanwhile.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        queue: parse_queue.ParseQueue | None = None,
    ) -> None:
        """Creates the protocol of one connection.

        Args:
            loop: The event loop.
            queue: Divides the time for parsing between connections, or None if
                this connection is the only one.
        """
        super().__init__(loop)
        self.init_slices(queue or parse_queue.ParseQueue(loop))
        self._unproductive_bytes = 0
        self._response_count = 0

    @property
    def should_close(self) -> bool:
        """True if the connection must not be used for another exchange."""
        return super().should_close or bool(self._backlog)

    def set_response_params(self, **params: Any) -> None:
        """Prepares for the response to a request."""
        self._response_count = 0
        self.parse_seconds = 0.0
        super().set_response_params(**params)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Drops the data that is not parsed yet."""
        self.drop_backlog()
        super().connection_lost(exc)

    def _parse_part(self, data: bytes) -> None:
        """Passes data to the parser, and fails the exchange if it must."""
        body, progress = self._payload, self._measure_progress()
        self._parse(data)
        self._response_count += max(0, len(self) - progress[0])
        if self._response_count > MAX_RESPONSES:
            self._fail(f"over {MAX_RESPONSES} responses to one request")
        elif self._payload is body and self._measure_progress() == progress:
            self._limit_unproductive_data(len(data))
        else:
            self._unproductive_bytes = 0
        self._fail_body()

    def _parse(self, data: bytes) -> None:
        """Passes data to the parser, a head apart from what follows it.

        The parser returns nothing if any of its input is invalid. A response
        must not get lost because of the bytes that follow it.
        """
        for _ in range(MAX_SEPARATE_HEADS):
            if not data or not self._is_reading_head():
                break
            head, end, data = data.partition(HEAD_END)
            client_proto.ResponseHandler.data_received(self, head + end)
            if not self.is_connected():
                return
        # The library also passes empty data, which resumes the parser.
        client_proto.ResponseHandler.data_received(self, data)

    def _is_reading_head(self) -> bool:
        """Returns True if no body is being read."""
        return self._payload is None or self._payload.is_eof()

    def _measure_progress(self) -> tuple[int, int]:
        """Returns how many heads are queued, and the bytes of the body."""
        body = self._payload
        return len(self), 0 if body is None else body.total_bytes

    def _count_body_bytes(self) -> int:
        """Returns the size of what has arrived of the current body."""
        return self._measure_progress()[1]

    def _limit_unproductive_data(self, size: int) -> None:
        """Fails the exchange if too much data has made no progress."""
        self._unproductive_bytes += size
        if self._unproductive_bytes > MAX_UNPRODUCTIVE_BYTES:
            self._fail(
                f"{self._unproductive_bytes} bytes are no part of a response"
            )

    def _fail(self, reason: str) -> None:
        """Fails the exchange and closes the connection."""
        self.set_exception(aiohttp.ClientPayloadError(reason))
        if self.transport is not None:
            self.transport.abort()

    def _fail_body(self) -> None:
        """Ends the wait for a body if the parser failed in the middle of it."""
        error = self.exception()
        body = self._payload
        if error is not None and body is not None and not body.is_eof():
            body.set_exception(aiohttp.ClientPayloadError(repr(error)), error)

"""The HTTP library's protocol of a connection, with bounds on bad responses."""

import asyncio
from typing import Final

import aiohttp
from aiohttp import client_proto

# Most data in a row that completes neither a head nor a part of a body. The
# parser bounds what it keeps of such data, but not how much may come.
MAX_UNPRODUCTIVE_BYTES: Final = 512 * 1024
# Heads in one packet that are parsed one at a time: those of a response, and of
# some that belong to other requests.
MAX_SEPARATE_HEADS: Final = 4
HEAD_END: Final = b"\r\n\r\n"


class ResponseProtocol(client_proto.ResponseHandler):
    """The HTTP library's protocol, which also copes with invalid responses.

    A response is not lost because of invalid bytes that follow it, an invalid
    chunk ends the wait for its body, and data without end closes the
    connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Creates the protocol of one connection."""
        super().__init__(loop)
        self._unproductive_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Passes data to the parser, and fails the exchange if it must."""
        body, progress = self._payload, self._measure_progress()
        self._parse(data)
        if self._payload is body and self._measure_progress() == progress:
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
            super().data_received(head + end)
            if not self.is_connected():
                return
        # The library also passes empty data, which resumes the parser.
        super().data_received(data)

    def _is_reading_head(self) -> bool:
        """Returns True if no body is being read."""
        return self._payload is None or self._payload.is_eof()

    def _measure_progress(self) -> tuple[int, int]:
        """Returns how many heads are queued, and the bytes of the body."""
        body = self._payload
        return len(self), 0 if body is None else body.total_bytes

    def _limit_unproductive_data(self, size: int) -> None:
        """Fails the exchange if too much data has made no progress."""
        self._unproductive_bytes += size
        if self._unproductive_bytes > MAX_UNPRODUCTIVE_BYTES:
            count = self._unproductive_bytes
            self.set_exception(
                aiohttp.ClientPayloadError(
                    f"{count} bytes are no part of a response"
                )
            )
            if self.transport is not None:
                self.transport.abort()

    def _fail_body(self) -> None:
        """Ends the wait for a body if the parser failed in the middle of it."""
        error = self.exception()
        body = self._payload
        if error is not None and body is not None and not body.is_eof():
            body.set_exception(aiohttp.ClientPayloadError(repr(error)), error)

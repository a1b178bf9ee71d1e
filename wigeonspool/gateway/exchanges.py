"""Sends one request over a connection and reads the head of its response.

The HTTP library's parser, writer and connections are used without its client
session, since a gateway must not follow redirects, store cookies or let the
library retry a request.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final, Protocol

import aiohttp
from aiohttp import client_proto
from aiohttp import http
from multidict import CIMultiDict
from multidict import CIMultiDictProxy

HEAD: Final = "HEAD"
# Requests of other methods declare an empty body with a Content-Length of 0.
BODILESS_METHODS: Final = frozenset({"GET", HEAD, "OPTIONS", "TRACE"})
# Informational and foreign responses that may precede a response.
MAX_DISCARDED_RESPONSES: Final = 32
# Longest body of a foreign response that is read in order to discard it.
MAX_DISCARDED_BYTES: Final = 1024 * 1024
STATUS_SWITCHING: Final = 101
INFORMATIONAL_STATUSES: Final = range(100, 200)
# Statuses of final responses. No connection of a caller changes its protocol.
FINAL_STATUSES: Final = range(200, 600)


class Connection(Protocol):
    """A connection that one exchange uses at a time.

    Attributes:
        protocol: The HTTP library's protocol of the connection, or None once
            the connection is closed.
        transport: Its transport, or None once the connection is closed.
    """

    @property
    def protocol(self) -> client_proto.ResponseHandler | None:
        """Protocol of the connection."""

    @property
    def transport(self) -> asyncio.Transport | None:
        """Transport of the connection."""

    def release(self) -> None:
        """Returns the connection to its pool after a complete exchange."""

    def close(self) -> None:
        """Closes the connection."""


ResponseFilter = Callable[[http.RawResponseMessage], bool]


class StreamedBody(Protocol):
    """A request body that can be read only once.

    Attributes:
        consumed: True once reading began, so that the body cannot be sent
            again.
    """

    consumed: bool

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Returns the chunks of the body."""


Body = bytes | StreamedBody | None


class TargetResponse:
    """An open response of a target or of another gateway.

    Attributes:
        method: Method of the request.
        status: HTTP status.
        reason: Reason phrase.
        headers: Header fields.
        content: Body as it arrives.
        content_length: Value of Content-Length, in bytes, or None.
        read_chunk: Returns the next part of a body that is streamed, or b"" at
            its end; raises a ClientError if the body is not complete.
    """

    __slots__ = (
        "_connection",
        "_body_task",
        "content",
        "content_length",
        "headers",
        "method",
        "read_chunk",
        "reason",
        "status",
    )

    def __init__(
        self,
        method: str,
        message: http.RawResponseMessage,
        content: aiohttp.StreamReader,
        connection: Connection,
        body_task: asyncio.Task[None] | None,
    ) -> None:
        """Wraps a response whose head has arrived.

        Args:
            method: Method of the request.
            message: Head of the response.
            content: Body of the response.
            connection: Connection of the exchange; it is released at the end
                of the body.
            body_task: Task that sends the rest of the request body, or None.
        """
        self.method = method
        self.status = message.code
        self.reason = message.reason
        self.headers: CIMultiDictProxy[str] = message.headers
        length = message.headers.get("Content-Length")
        self.content_length = None if length is None else int(length)
        self.content = content
        self.read_chunk: Callable[[], Awaitable[bytes]] = content.readany
        self._connection: Connection | None = connection
        self._body_task = body_task
        content.on_eof(self.release)

    def release(self) -> None:
        """Releases the connection; closes it if request data is unsent."""
        connection = self._connection
        if connection is None:
            return
        transport = connection.transport
        request_sent = (
            transport is None or not transport.get_write_buffer_size()
        )
        request_sent = request_sent and (
            self._body_task is None or self._body_task.done()
        )
        if not request_sent:
            self.close()
            return
        self._connection = None
        connection.release()

    def close(self) -> None:
        """Closes the connection and stops sending the request body."""
        if self._body_task is not None:
            self._body_task.cancel()
        if self._connection is not None:
            self._connection.close()
            self._connection = None


async def send_request(
    connection: Connection,
    method: str,
    path: str,
    fields: CIMultiDict[str],
    body: Body,
    accept: ResponseFilter = lambda message: True,
    auto_decompress: bool = False,
) -> TargetResponse:
    """Sends a request and waits for the head of its response.

    Args:
        connection: Connection that nothing else uses; it is closed on failure.
        method: HTTP method.
        path: Path and query.
        fields: Header fields; those that frame the body are added.
        body: Complete body, a stream, or None.
        accept: Returns True if a response belongs to this request; other
            responses are read and dropped.
        auto_decompress: True to decode the body's Content-Encoding.

    Raises:
        aiohttp.ClientError: If the connection ended or the response is not
            valid HTTP.
        OSError: If the connection failed.
    """
    protocol = connection.protocol
    assert protocol is not None
    protocol.set_response_params(
        skip_payload=method == HEAD,
        read_until_eof=True,
        auto_decompress=auto_decompress,
    )
    body_task: asyncio.Task[None] | None = None
    try:
        body_task = await _write_request(protocol, method, path, fields, body)
        message, content = await _read_response_head(protocol, accept)
    except BaseException:
        if body_task is not None:
            body_task.cancel()
        connection.close()
        raise
    return TargetResponse(method, message, content, connection, body_task)


async def _write_request(
    protocol: client_proto.ResponseHandler,
    method: str,
    path: str,
    fields: CIMultiDict[str],
    body: Body,
) -> asyncio.Task[None] | None:
    """Writes a request; returns the task that sends a streamed body.

    A complete body is buffered in the transport without waiting, so that a
    response can be read before the target has read the body.
    """
    loop = asyncio.get_running_loop()
    writer = http.StreamWriter(protocol, loop)
    if isinstance(body, bytes):
        fields["Content-Length"] = str(len(body))
    elif body is None:
        if method not in BODILESS_METHODS:
            fields["Content-Length"] = "0"
    elif "Content-Length" not in fields:
        fields["Transfer-Encoding"] = "chunked"
        writer.enable_chunking()
    # A fragment is not part of the request target.
    request_target = path.partition("#")[0]
    await writer.write_headers(f"{method} {request_target} HTTP/1.1", fields)
    if body is None or isinstance(body, bytes):
        if body:
            await writer.write(body, drain=False)
        writer.set_eof()
        return None
    # The library holds the head back until the first part of the body, which
    # may come long after the target and the remaining time were checked.
    writer.send_headers()
    return loop.create_task(_write_streamed_body(protocol, writer, body))


async def _write_streamed_body(
    protocol: client_proto.ResponseHandler,
    writer: http.StreamWriter,
    body: StreamedBody,
) -> None:
    """Sends a body as it arrives; an error in doing so fails the exchange."""
    try:
        async for chunk in body:
            await writer.write(chunk)
        await writer.write_eof()
    except Exception as error:
        payload_error = aiohttp.ClientPayloadError(repr(error))
        protocol.set_exception(payload_error, error)


async def _read_response_head(
    protocol: client_proto.ResponseHandler,
    accept: ResponseFilter,
) -> tuple[http.RawResponseMessage, Any]:
    """Returns the head and body of the first accepted final response.

    Raises:
        aiohttp.ClientError: If the connection ended, the response is not valid
            HTTP, its status is not that of a final response, or too much
            precedes it.
    """
    for _ in range(MAX_DISCARDED_RESPONSES + 1):
        try:
            message, content = await protocol.read()
        except http.HttpProcessingError as error:
            raise aiohttp.ClientPayloadError(repr(error)) from error
        code = message.code
        if code in INFORMATIONAL_STATUSES and code != STATUS_SWITCHING:
            continue
        if code not in FINAL_STATUSES:
            raise aiohttp.ClientPayloadError(
                f"status {code} is not that of a final response"
            )
        if accept(message):
            return message, content
        _, complete = await read_limited(content, MAX_DISCARDED_BYTES)
        if not complete:
            raise aiohttp.ClientPayloadError(
                f"foreign response of more than {MAX_DISCARDED_BYTES} bytes"
            )
    raise aiohttp.ClientPayloadError(
        f"more than {MAX_DISCARDED_RESPONSES} responses precede the response"
    )


async def read_limited(
    content: aiohttp.StreamReader, max_bytes: int
) -> tuple[bytes, bool]:
    """Reads a body until it ends or exceeds a limit.

    Args:
        content: Body.
        max_bytes: Limit in bytes; the last read may exceed it by the size of
            the library's buffer.

    Returns:
        What was read, and True if that is the complete body.

    Raises:
        aiohttp.ClientError: If the body is not valid HTTP or was cut off.
    """
    body = bytearray()
    while len(body) <= max_bytes:
        chunk = await content.readany()
        if not chunk:
            return bytes(body), True
        body += chunk
    return bytes(body), False

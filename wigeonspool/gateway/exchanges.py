"""Sends one request over a connection and reads the start of its answer.

The HTTP library's parser, writer and connections are used without its client
session: a gateway follows no redirect, keeps no cookie and never lets the
library send a request again.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any, Final, Protocol

import aiohttp
from aiohttp import client_proto
from aiohttp import http
from multidict import CIMultiDict
from multidict import CIMultiDictProxy

HEAD: Final = "HEAD"
# A request of another method tells that it has no body.
BODILESS_METHODS: Final = frozenset({"GET", HEAD, "OPTIONS", "TRACE"})
MIN_FINAL_STATUS: Final = 200
STATUS_SWITCHING: Final = 101


class Connection(Protocol):
    """A connection that one exchange uses at a time.

    Attributes:
        protocol: The HTTP library's protocol of the connection.
        transport: Its transport, or None once it is closed.
    """

    @property
    def protocol(self) -> client_proto.ResponseHandler | None:
        """Protocol of the connection."""

    @property
    def transport(self) -> asyncio.Transport | None:
        """Transport of the connection."""

    def release(self) -> None:
        """Gives the connection back after a whole exchange."""

    def close(self) -> None:
        """Closes the connection."""


ResponseFilter = Callable[[http.RawResponseMessage], bool]


class StreamedBody(Protocol):
    """A body that passes through once.

    Attributes:
        consumed: True once a part of it was taken; it cannot be sent again.
    """

    consumed: bool

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Returns the chunks of the body."""


Body = bytes | StreamedBody | None


class TargetResponse:
    """An open answer of a target or of another gateway.

    Attributes:
        method: Method of the request.
        status: HTTP status.
        reason: Reason phrase.
        headers: Header fields.
        content: Body as it arrives.
        content_length: Length of the body that the fields tell, or None.
    """

    __slots__ = (
        "_connection",
        "_body_task",
        "content",
        "content_length",
        "headers",
        "method",
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
        """Takes an answer whose head has arrived.

        Args:
            method: Method of the request.
            message: Head of the answer.
            content: Its body.
            connection: Where it arrives; given back at the end of the body.
            body_task: Sends the rest of the request's body, or None.
        """
        self.method = method
        self.status = message.code
        self.reason = message.reason
        self.headers: CIMultiDictProxy[str] = message.headers
        length = message.headers.get("Content-Length")
        self.content_length = None if length is None else int(length)
        self.content = content
        self._connection: Connection | None = connection
        self._body_task = body_task
        content.on_eof(self.release)

    def release(self) -> None:
        """Gives the connection back if the exchange is whole."""
        connection = self._connection
        if connection is None:
            return
        transport = connection.transport
        is_sent = transport is None or not transport.get_write_buffer_size()
        is_sent = is_sent and (
            self._body_task is None or self._body_task.done()
        )
        if not is_sent:
            self.close()
            return
        self._connection = None
        connection.release()

    def close(self) -> None:
        """Closes the connection."""
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
) -> TargetResponse:
    """Sends a request and waits for the head of its answer.

    Args:
        connection: Connection that nothing else uses; closed on failure.
        method: HTTP method.
        path: Path and query.
        fields: All header fields but those that frame the body.
        body: Whole body, or a stream.
        accept: Tells whether an answer is that of this request; others are
            read and dropped.

    Raises:
        aiohttp.ClientError: If the connection ended or the answer breaks HTTP.
        OSError: If the connection failed.
    """
    protocol = connection.protocol
    assert protocol is not None
    protocol.set_response_params(
        skip_payload=method == HEAD,
        read_until_eof=True,
        auto_decompress=False,
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

    A whole body is left to the transport, so that an answer which comes
    before the target has read it is seen.
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
    # A fragment is not part of what is requested.
    target = path.partition("#")[0]
    await writer.write_headers(f"{method} {target} HTTP/1.1", fields)
    if body is None or isinstance(body, bytes):
        if body:
            await writer.write(body, drain=False)
        writer.set_eof()
        return None
    return loop.create_task(_write_streamed_body(protocol, writer, body))


async def _write_streamed_body(
    protocol: client_proto.ResponseHandler,
    writer: http.StreamWriter,
    body: StreamedBody,
) -> None:
    """Sends a body as it arrives; what breaks it breaks the connection."""
    try:
        async for chunk in body:
            await writer.write(chunk)
        await writer.write_eof()
    except Exception as error:
        broken = aiohttp.ClientPayloadError(repr(error))
        protocol.set_exception(broken, error)


async def _read_response_head(
    protocol: client_proto.ResponseHandler,
    accept: ResponseFilter,
) -> tuple[http.RawResponseMessage, Any]:
    """Returns the head and the body of a final answer that is accepted.

    Raises:
        aiohttp.ClientError: If the connection ended or the answer breaks HTTP.
    """
    while True:
        try:
            message, content = await protocol.read()
        except http.HttpProcessingError as error:
            raise aiohttp.ClientPayloadError(repr(error)) from error
        code = message.code
        if code < MIN_FINAL_STATUS and code != STATUS_SWITCHING:
            continue
        if accept(message):
            return message, content
        await content.read()

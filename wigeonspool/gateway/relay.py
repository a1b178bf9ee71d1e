"""Relays the response to an at-most-once request to its caller."""

import asyncio
import dataclasses
from typing import Final

from aiohttp import web

from wigeonspool.core import idempotency
from wigeonspool.gateway import exchanges
from wigeonspool.gateway import headers
from wigeonspool.gateway import streaming
from wigeonspool.model import outcomes

# Responses up to this length are buffered, so that a resend can get the same
# response.
MAX_BUFFERED_RESPONSE_BYTES: Final = 1024 * 1024
# A streamed response cannot be sent again, so it is not ended at the deadline
# but only after no data was transferred for this long.
STALL_TIMEOUT_SECONDS: Final = 5.0


@dataclasses.dataclass(slots=True)
class BodyPrefix:
    """The first part of a response body.

    Attributes:
        content: Bytes that were read.
        complete: True if `content` is the complete body.
    """

    content: bytes
    complete: bool


async def read_body_prefix(source: exchanges.TargetResponse) -> BodyPrefix:
    """Reads a response body up to the length that can be buffered.

    Raises:
        aiohttp.ClientError: If the response was truncated.
        OSError: If the connection failed.
    """
    if (source.content_length or 0) > MAX_BUFFERED_RESPONSE_BYTES:
        return BodyPrefix(b"", complete=False)
    content = bytearray()
    async for chunk in source.content.iter_any():
        content += chunk
        if len(content) > MAX_BUFFERED_RESPONSE_BYTES:
            return BodyPrefix(bytes(content), complete=False)
    return BodyPrefix(bytes(content), complete=True)


def build_complete_response(
    source: exchanges.TargetResponse, body: bytes
) -> idempotency.Response:
    """Returns a complete response with the fields of an open one."""
    fields = headers.list_end_to_end(source.headers)
    return idempotency.Response(source.status, tuple(fields), body)


def build_stream_response(
    source: exchanges.TargetResponse, request_id: str
) -> web.StreamResponse:
    """Returns the response to the caller that relays an open response."""
    fields = headers.select_end_to_end(source.headers)
    fields[headers.OUTCOME] = outcomes.Outcome.ANSWERED
    fields[headers.REQUEST] = request_id
    response = web.StreamResponse(status=source.status, headers=fields)
    if source.content_length is not None:
        response.content_length = source.content_length
    return response


async def relay_response(
    request: web.BaseRequest | None,
    response: web.StreamResponse,
    source: exchanges.TargetResponse,
    prefix: bytes,
) -> None:
    """Relays a response to a caller and always reads it to its end.

    A caller that disconnects must not interrupt the work of the target. If the
    target's response fails, the caller's connection is reset.

    Args:
        request: Request of the caller, or None if no caller is connected.
        response: Response to the caller.
        source: Open response of the target.
        prefix: Bytes of the body that were read before.

    Raises:
        aiohttp.ClientError: If the target's response was truncated.
        OSError: If the connection to the target failed.
        TimeoutError: If no data was transferred for `STALL_TIMEOUT_SECONDS`.
    """
    writer = _CallerWriter(request, response)
    await writer.prepare()
    await writer.write(prefix)
    try:
        while not source.content.at_eof():
            async with asyncio.timeout(STALL_TIMEOUT_SECONDS):
                await writer.write(await source.content.readany())
    except BaseException:
        if request is not None:
            streaming.reset_connection(request)
        raise
    await writer.finish()


class _CallerWriter:
    """Writes a response to a caller; does nothing after a disconnect."""

    def __init__(
        self, request: web.BaseRequest | None, response: web.StreamResponse
    ) -> None:
        self._request = request
        self._response = response

    async def prepare(self) -> None:
        """Sends the status and header fields."""
        if self._request is None:
            return
        try:
            await self._response.prepare(self._request)
        except (ConnectionError, RuntimeError):
            self._request = None

    async def write(self, chunk: bytes) -> None:
        """Sends a chunk of the body."""
        if self._request is None or not chunk:
            return
        try:
            await self._response.write(chunk)
        except (ConnectionError, RuntimeError):
            self._request = None

    async def finish(self) -> None:
        """Ends the body."""
        if self._request is None:
            return
        try:
            await self._response.write_eof()
        except (ConnectionError, RuntimeError):
            self._request = None

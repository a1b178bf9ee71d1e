"""Passes a long answer on to a caller while it arrives."""

import asyncio
import dataclasses
from typing import Final

from aiohttp import web

from wigeonspool.core import idempotency
from wigeonspool.gateway import exchanges
from wigeonspool.gateway import headers
from wigeonspool.gateway import streaming
from wigeonspool.model import outcomes

# Answers up to this length are held whole and can be given again.
MAX_BUFFERED_RESPONSE_BYTES: Final = 1024 * 1024
# An answer that has begun to reach its caller ends when it stops moving, and
# not at the deadline, since it cannot be given again.
STALL_TIMEOUT_SECONDS: Final = 5.0


@dataclasses.dataclass(slots=True)
class BodyHead:
    """The first part of an answer of unknown length.

    Attributes:
        content: What was read.
        complete: True if this is the whole body.
    """

    content: bytes
    complete: bool


async def read_body_head(source: exchanges.TargetResponse) -> BodyHead:
    """Reads an answer up to the length that can be held.

    Raises:
        aiohttp.ClientError: If the answer was cut.
        OSError: If the connection failed.
    """
    if (source.content_length or 0) > MAX_BUFFERED_RESPONSE_BYTES:
        return BodyHead(b"", complete=False)
    content = bytearray()
    async for chunk in source.content.iter_any():
        content += chunk
        if len(content) > MAX_BUFFERED_RESPONSE_BYTES:
            return BodyHead(bytes(content), complete=False)
    return BodyHead(bytes(content), complete=True)


def build_whole_response(
    source: exchanges.TargetResponse, body: bytes
) -> idempotency.Response:
    """Returns an answer that was read whole."""
    fields = headers.list_end_to_end(source.headers)
    return idempotency.Response(source.status, tuple(fields), body)


def build_stream_response(
    source: exchanges.TargetResponse, request_id: str
) -> web.StreamResponse:
    """Returns the response that passes an answer on."""
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
    head: bytes,
) -> None:
    """Passes an answer to a caller; reads it to its end in any case.

    A caller that leaves must not cut the work of a target.

    Args:
        request: Request of the caller, or None if nobody waits.
        response: Response to it.
        source: Open answer of the target.
        head: What was read of it before.

    Raises:
        aiohttp.ClientError: If the answer was cut; so is the caller's then.
        OSError: If the connection to the target failed.
        TimeoutError: If it stopped moving.
    """
    writer = _CallerWriter(request, response)
    await writer.prepare()
    await writer.write(head)
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
    """Writes to a caller until that has left."""

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
        """Sends a part of the body."""
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

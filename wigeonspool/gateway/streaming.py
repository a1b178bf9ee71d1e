"""Streams a long response of a target to its caller."""

import asyncio
import dataclasses
import socket
import struct
from typing import Final

import aiohttp
from aiohttp import web

from wigeonspool import component_logs
from wigeonspool.gateway import exchanges
from wigeonspool.gateway import headers
from wigeonspool.model import outcomes

# Data that a caller sends after its response is read and dropped for this long.
LINGER_TIMEOUT_SECONDS: Final = 1.0
# SO_LINGER with a timeout of 0: closing the socket resets the connection.
LINGER_RESET: Final = struct.pack("ii", 1, 0)

log = component_logs.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class StreamedResponse:
    """A response that was streamed to a caller.

    Attributes:
        response: Response to the caller.
        failure: Why the response is incomplete, or None if it is complete.
    """

    response: web.StreamResponse
    failure: outcomes.Failure | None


async def stream_response(
    request: web.BaseRequest,
    request_id: str,
    source: exchanges.TargetResponse,
    deadline: float,
    response: web.StreamResponse | None = None,
) -> StreamedResponse:
    """Streams an open response until it ends or the deadline passes.

    Data is read from the target only as fast as the caller reads it, so this
    process holds at most the buffers of the two connections.

    Args:
        request: Request of the caller.
        request_id: Identity of the request on the timeline.
        source: Open response of the target; it is closed or released.
        deadline: Time by which the response must have ended, loop clock.
        response: Response to the caller whose head was not sent yet, or None
            to build it from `source`.
    """
    if response is None:
        response = _build_response(request_id, source)
    failure: outcomes.Failure | None = None
    try:
        async with asyncio.timeout_at(deadline):
            await response.prepare(request)
            failure = await _copy_body(source, response, deadline)
    except TimeoutError:
        failure = outcomes.build_unknown_outcome(
            outcomes.Reason.DEADLINE_PASSED
        )
    except (aiohttp.ClientError, OSError):
        failure = outcomes.build_unknown_outcome(outcomes.Reason.CALLER_LEFT)
    except BaseException:
        source.close()
        raise
    if failure is not None:
        source.close()
        reset_connection(request)
        log.warning(f"answer of {request_id} broke off: {failure.reason}")
    return StreamedResponse(response, failure)


def _build_response(
    request_id: str, source: exchanges.TargetResponse
) -> web.StreamResponse:
    """Returns the response to the caller for an open response."""
    fields = headers.select_end_to_end(source.headers)
    fields[headers.OUTCOME] = outcomes.Outcome.ANSWERED
    fields[headers.REQUEST] = request_id
    response = web.StreamResponse(
        status=source.status, reason=source.reason, headers=fields
    )
    if source.content_length is not None:
        response.content_length = source.content_length
    return response


async def _copy_body(
    source: exchanges.TargetResponse,
    response: web.StreamResponse,
    deadline: float,
) -> outcomes.Failure | None:
    """Copies a body; returns why it stopped early, or None.

    Raises:
        TimeoutError: If the deadline passed.
        OSError: If the caller disconnected.
    """
    loop = asyncio.get_running_loop()
    while True:
        try:
            chunk = await source.read_chunk()
        except (aiohttp.ClientError, OSError) as error:
            if isinstance(error, TimeoutError):
                raise
            return outcomes.build_unknown_outcome(
                outcomes.Reason.CONNECTION_LOST
            )
        # A write that does not block would not notice the timeout.
        if loop.time() >= deadline:
            raise TimeoutError
        if not chunk:
            break
        await response.write(chunk)
    await response.write_eof()
    return None


def build_final_response(
    request: web.BaseRequest, response: web.StreamResponse
) -> web.StreamResponse:
    """Returns the response to a failed request, which closes its connection.

    Args:
        request: Request that was not valid HTTP or whose handling failed.
        response: Response to its caller.

    Raises:
        ConnectionError: If a response has begun, so that none can follow.
    """
    if request.writer.output_size > 0:
        raise ConnectionError("a response has already begun")
    response.force_close()
    return response


def reset_connection(request: web.BaseRequest) -> None:
    """Resets a connection, so that no response on it looks complete."""
    transport = request.transport
    if transport is None:
        return
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()

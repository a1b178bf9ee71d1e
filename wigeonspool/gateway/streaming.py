"""Passes a long answer of a target on to its caller as it arrives."""

import asyncio
import dataclasses
import socket
import struct
from typing import Final

import aiohttp
from aiohttp import web
import loguru

from wigeonspool.gateway import exchanges
from wigeonspool.gateway import headers
from wigeonspool.model import outcomes

# What a caller still sends after its answer is read and dropped for this long.
LINGER_TIMEOUT_SECONDS: Final = 1.0
LINGER_RESET: Final = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamedResponse:
    """An answer that was passed on.

    Attributes:
        response: What the caller got.
        failure: Why the caller did not get all of it, or None if it did.
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
    """Passes an open answer on until it ends or its deadline passes.

    What a slow caller does not read yet is left at the target: at most the
    buffers of two connections are held here.

    Args:
        request: Request of the caller.
        request_id: Identity on the time line.
        source: Open answer of the target; it is closed or released.
        deadline: Time by which the answer must have ended, loop clock.
        response: Head for the caller, or None for one of this system's own.
    """
    if response is None:
        response = _build_response(request_id, source)
    failure: outcomes.Failure | None = None
    try:
        async with asyncio.timeout_at(deadline):
            await response.prepare(request)
            failure = await _copy_body(source, response, deadline)
    except TimeoutError:
        failure = outcomes.build_unknown(outcomes.Reason.DEADLINE_PASSED)
    except (aiohttp.ClientError, OSError):
        failure = outcomes.build_unknown(outcomes.Reason.CALLER_LEFT)
    except BaseException:
        source.close()
        raise
    if failure is not None:
        source.close()
        reset_connection(request)
        loguru.logger.warning(
            "answer of {} broke off: {}", request_id, failure.reason
        )
    return StreamedResponse(response, failure)


def _build_response(
    request_id: str, source: exchanges.TargetResponse
) -> web.StreamResponse:
    """Returns the response that carries an open answer."""
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
        OSError: If the caller is gone.
    """
    loop = asyncio.get_running_loop()
    while True:
        try:
            chunk = await source.content.readany()
        except (aiohttp.ClientError, OSError) as error:
            if isinstance(error, TimeoutError):
                raise
            return outcomes.build_unknown(outcomes.Reason.CONNECTION_LOST)
        # A write that does not wait would slip past the timeout.
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
    """Returns the last response of a connection that broke.

    Args:
        request: Request that it broke at.
        response: What its caller is told.

    Raises:
        ConnectionError: If an answer has begun, so that none can follow.
    """
    if request.writer.output_size > 0:
        raise ConnectionError("an answer has begun")
    response.force_close()
    return response


def reset_connection(request: web.BaseRequest) -> None:
    """Resets a caller's connection, so that no answer on it looks whole."""
    transport = request.transport
    if transport is None:
        return
    opened = transport.get_extra_info("socket")
    if opened is not None:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()

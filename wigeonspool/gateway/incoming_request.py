"""Validates a caller's request and reads its body and parameters."""

import asyncio
from collections.abc import AsyncIterator
import re
from typing import Final

import aiohttp
from aiohttp import web

from wigeonspool.gateway import headers
from wigeonspool.model import errors
from wigeonspool.model import outcomes

MAX_BUFFERED_BODY_BYTES: Final = 1024 * 1024
MAX_ATTEMPT_DIGITS: Final = 9
# The body of an at-most-once request is read for at least this long, even past
# its deadline, since its digest is needed to find the result of its key.
MIN_BODY_TIMEOUT_SECONDS: Final = 1.0
MAX_REMAINING_DIGITS: Final = 12
MAX_REQUEST_ID_CHARS: Final = 128
# A path that does not match this is unambiguous; one that does needs a check.
AMBIGUOUS_PATH: Final = re.compile(r"[%\\]|/\.|[^!-~]")
CONTINUE_RESPONSE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyStream:
    """A request body that is too long to buffer and can be read only once.

    Attributes:
        length: Length in bytes, or None if the caller did not declare one.
        consumed: True once reading began, so that the body cannot be sent
            again.
    """

    __slots__ = ("_buffered", "_rest", "length", "consumed")

    def __init__(
        self, buffered: bytes, rest: aiohttp.StreamReader, length: int | None
    ) -> None:
        """Creates a stream that is not consumed.

        Args:
            buffered: Start of the body, which was read already.
            rest: Source of the rest of the body.
            length: Length in bytes, or None if the caller did not declare
                one.
        """
        self._buffered = buffered
        self._rest = rest
        self.length = length
        self.consumed = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives."""
        self.consumed = True
        if self._buffered:
            yield self._buffered
            self._buffered = b""
        async for chunk in self._rest.iter_any():
            yield chunk


def validate_request(request: web.BaseRequest) -> outcomes.Reason | None:
    """Returns why a request must not be sent to a target, or None.

    A path that another program could interpret as a path of another route is
    refused instead of normalized, since the route of a request must be
    unambiguous.
    """
    if len(request.headers.get(headers.REQUEST, "")) > MAX_REQUEST_ID_CHARS:
        return outcomes.Reason.BAD_REQUEST
    raw_path = request.raw_path
    if not raw_path.startswith("/"):
        return outcomes.Reason.BAD_REQUEST
    if not AMBIGUOUS_PATH.search(raw_path):
        return None
    path = request.path
    segments = path.replace("\\", "/").split("/")
    if "." in segments or ".." in segments or not path.isprintable():
        return outcomes.Reason.BAD_REQUEST
    return None


def parse_remaining_time(request: web.BaseRequest) -> float | outcomes.Failure:
    """Returns the remaining time that the caller declared, in seconds.

    The time is infinite if the caller declared none. A malformed value is a
    failure.
    """
    values = request.headers.getall(headers.REMAINING_MS, ())
    if not values:
        return float("inf")
    text = values[0]
    is_number = text.isascii() and text.isdecimal()
    if len(values) > 1 or not is_number or len(text) > MAX_REMAINING_DIGITS:
        return outcomes.build_refusal(outcomes.Reason.BAD_REQUEST)
    return int(text) / 1000


async def read_body(
    request: web.BaseRequest, deadline: float
) -> tuple[bytes | BodyStream | None, bool]:
    """Returns a request's body, and whether it is buffered completely.

    Args:
        request: Request of a caller.
        deadline: Time by which the body must have arrived, loop clock.

    Raises:
        BodyUnreadableError: If the body is late or not valid HTTP.
    """
    if not request.body_exists:
        return None, True
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(CONTINUE_RESPONSE)
        # The interim response must not count as a begun response.
        request.writer.output_size = 0
    length = request.content_length
    if length is not None and length > MAX_BUFFERED_BODY_BYTES:
        return BodyStream(b"", request.content, length), False
    try:
        async with asyncio.timeout_at(deadline):
            prefix = await _read_up_to(request.content, MAX_BUFFERED_BODY_BYTES)
    except TimeoutError:
        raise errors.BodyUnreadableError("deadline passed", True) from None
    except (aiohttp.ClientError, web.RequestPayloadError) as error:
        raise errors.BodyUnreadableError(repr(error), False) from error
    if len(prefix) <= MAX_BUFFERED_BODY_BYTES:
        return prefix, True
    return BodyStream(prefix, request.content, None), False


async def _read_up_to(source: aiohttp.StreamReader, max_bytes: int) -> bytes:
    """Reads a stream to its end, or until more than `max_bytes` are read."""
    chunks: list[bytes] = []
    size = 0
    while size <= max_bytes and (chunk := await source.readany()):
        chunks.append(chunk)
        size += len(chunk)
    return b"".join(chunks)


async def read_buffered_body(
    request: web.BaseRequest, deadline: float
) -> bytes | None:
    """Returns a request's body, or None if it is too long to buffer.

    Args:
        request: Request of a caller.
        deadline: Time by which the body must have arrived, loop clock.

    Raises:
        BodyUnreadableError: If the body is late or not valid HTTP.
    """
    body, _ = await read_body(request, deadline)
    if isinstance(body, BodyStream):
        return None
    return body or b""


def parse_attempt_number(request: web.BaseRequest) -> int:
    """Returns the attempt number of a key's submission.

    It is 0 if the request has no number or a malformed one.
    """
    text = request.headers.get(headers.ATTEMPT, "")
    is_number = text.isascii() and text.isdecimal()
    return int(text) if is_number and len(text) <= MAX_ATTEMPT_DIGITS else 0

"""Reads what gateways need to know from a caller's request."""

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
MIN_BODY_TIMEOUT_SECONDS: Final = 1.0
MAX_REMAINING_DIGITS: Final = 12
MAX_REQUEST_ID_CHARS: Final = 128
AMBIGUOUS_PATH: Final = re.compile(r"[%\\]|/\.|[^!-~]")
CONTINUE_RESPONSE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyStream:
    """A request body that is too long to hold and passes through once.

    Attributes:
        length: Its length in bytes, or None if the caller told none.
        consumed: True once a part of it was taken; it cannot be sent again.
    """

    __slots__ = ("_buffered", "_rest", "length", "consumed")

    def __init__(
        self, buffered: bytes, rest: aiohttp.StreamReader, length: int | None
    ) -> None:
        """Prepares the stream.

        Args:
            buffered: What was read of the body so far.
            rest: Where the rest comes from.
            length: Its length in bytes, or None if the caller told none.
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
    """Returns why a request must not reach a target, or None.

    A path that another program could read as a path of another route is
    refused, not cleaned: what the route of a request is must be certain.
    """
    if len(request.headers.get(headers.REQUEST, "")) > MAX_REQUEST_ID_CHARS:
        return outcomes.Reason.BAD_REQUEST
    raw = request.raw_path
    if not raw.startswith("/"):
        return outcomes.Reason.BAD_REQUEST
    if not AMBIGUOUS_PATH.search(raw):
        return None
    path = request.path
    segments = path.replace("\\", "/").split("/")
    if "." in segments or ".." in segments or not path.isprintable():
        return outcomes.Reason.BAD_REQUEST
    return None


def parse_remaining_time(request: web.BaseRequest) -> float | outcomes.Failure:
    """Returns the time that the caller grants, in seconds."""
    texts = request.headers.getall(headers.REMAINING_MS, ())
    if not texts:
        return float("inf")
    text = texts[0]
    is_number = text.isascii() and text.isdecimal()
    if len(texts) > 1 or not is_number or len(text) > MAX_REMAINING_DIGITS:
        return outcomes.build_refusal(outcomes.Reason.BAD_REQUEST)
    return int(text) / 1000


async def read_body(
    request: web.BaseRequest, deadline: float
) -> tuple[bytes | BodyStream | None, bool]:
    """Returns a request's body, and whether it is held whole.

    Args:
        request: Request of a caller.
        deadline: Time by which the body must be here, loop clock.

    Raises:
        BodyUnreadableError: If the body is late or breaks HTTP.
    """
    if not request.body_exists:
        return None, True
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(CONTINUE_RESPONSE)
        # The answer itself has not begun.
        request.writer.output_size = 0
    length = request.content_length
    if length is not None and length > MAX_BUFFERED_BODY_BYTES:
        return BodyStream(b"", request.content, length), False
    try:
        async with asyncio.timeout_at(deadline):
            head = await _read_up_to(request.content, MAX_BUFFERED_BODY_BYTES)
    except TimeoutError:
        raise errors.BodyUnreadableError("late", True) from None
    except (aiohttp.ClientError, web.RequestPayloadError) as error:
        raise errors.BodyUnreadableError(repr(error), False) from error
    if len(head) <= MAX_BUFFERED_BODY_BYTES:
        return head, True
    return BodyStream(head, request.content, None), False


async def _read_up_to(source: aiohttp.StreamReader, max_bytes: int) -> bytes:
    """Returns a stream's bytes, or a first part that exceeds a bound."""
    parts: list[bytes] = []
    size = 0
    while size <= max_bytes and (part := await source.readany()):
        parts.append(part)
        size += len(part)
    return b"".join(parts)


async def read_buffered_body(
    request: web.BaseRequest, deadline: float
) -> bytes | None:
    """Returns a request's whole body, or None if it is too long to hold.

    Args:
        request: Request of a caller.
        deadline: Time by which the body must be here, loop clock.

    Raises:
        BodyUnreadableError: If the body is late or breaks HTTP.
    """
    body, _ = await read_body(request, deadline)
    if isinstance(body, BodyStream):
        return None
    return body or b""


def parse_attempt_number(request: web.BaseRequest) -> int:
    """Returns which send of its key a request is; 0 if it does not tell."""
    text = request.headers.get(headers.ATTEMPT, "")
    is_number = text.isascii() and text.isdecimal()
    return int(text) if is_number and len(text) <= MAX_ATTEMPT_DIGITS else 0

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

HELD_BODY_BYTES: Final = 1024 * 1024
ATTEMPT_DIGITS: Final = 9
LEAST_BODY_SECONDS: Final = 1.0
REMAINING_DIGITS: Final = 12
REQUEST_ID_CHARS: Final = 128
SUSPECT_PATH: Final = re.compile(r"[%\\]|/\.|[^!-~]")
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyStream:
    """A request body that is too long to hold and passes through once.

    Attributes:
        length: Its length in bytes, or None if the caller told none.
        spent: True once a part of it was taken; it cannot be sent again.
    """

    __slots__ = ("_head", "_rest", "length", "spent")

    def __init__(
        self, head: bytes, rest: aiohttp.StreamReader, length: int | None
    ) -> None:
        """Prepares the stream.

        Args:
            head: What was read of the body so far.
            rest: Where the rest comes from.
            length: Its length in bytes, or None if the caller told none.
        """
        self._head = head
        self._rest = rest
        self.length = length
        self.spent = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives."""
        self.spent = True
        if self._head:
            yield self._head
            self._head = b""
        async for chunk in self._rest.iter_any():
            yield chunk


def find_problem(request: web.BaseRequest) -> outcomes.Reason | None:
    """Returns why a request must not reach a target, or None.

    A path that another program could read as a path of another route is
    refused, not cleaned: what the route of a request is must be certain.
    """
    if len(request.headers.get(headers.REQUEST, "")) > REQUEST_ID_CHARS:
        return outcomes.Reason.BAD_REQUEST
    raw = request.raw_path
    if not raw.startswith("/"):
        return outcomes.Reason.BAD_REQUEST
    if not SUSPECT_PATH.search(raw):
        return None
    path = request.path
    segments = path.replace("\\", "/").split("/")
    if "." in segments or ".." in segments or not path.isprintable():
        return outcomes.Reason.BAD_REQUEST
    return None


def read_remaining(request: web.BaseRequest) -> float | outcomes.Failure:
    """Returns the time that the caller grants, in seconds."""
    texts = request.headers.getall(headers.REMAINING_MS, ())
    if not texts:
        return float("inf")
    text = texts[0]
    is_number = text.isascii() and text.isdecimal()
    if len(texts) > 1 or not is_number or len(text) > REMAINING_DIGITS:
        return outcomes.refuse(outcomes.Reason.BAD_REQUEST)
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
        await request.writer.write(CONTINUE)
        # The answer itself has not begun.
        request.writer.output_size = 0
    length = request.content_length
    if length is not None and length > HELD_BODY_BYTES:
        return BodyStream(b"", request.content, length), False
    try:
        async with asyncio.timeout_at(deadline):
            head = await _read_up_to(request.content, HELD_BODY_BYTES)
    except TimeoutError:
        raise errors.BodyUnreadableError("late", True) from None
    except (aiohttp.ClientError, web.RequestPayloadError) as error:
        raise errors.BodyUnreadableError(repr(error), False) from error
    if len(head) <= HELD_BODY_BYTES:
        return head, True
    return BodyStream(head, request.content, None), False


async def _read_up_to(source: aiohttp.StreamReader, bound: int) -> bytes:
    """Returns a stream's bytes, or a first part that exceeds a bound."""
    parts: list[bytes] = []
    size = 0
    while size <= bound and (part := await source.readany()):
        parts.append(part)
        size += len(part)
    return b"".join(parts)


async def read_bounded(
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


def read_attempt(request: web.BaseRequest) -> int:
    """Returns which send of its key a request is; 0 if it does not tell."""
    text = request.headers.get(headers.ATTEMPT, "")
    is_number = text.isascii() and text.isdecimal()
    return int(text) if is_number and len(text) <= ATTEMPT_DIGITS else 0

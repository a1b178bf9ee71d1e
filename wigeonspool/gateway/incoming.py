"""Reads what gateways need to know from a caller's request."""

import hashlib
from typing import Final

from aiohttp import web
from multidict import CIMultiDict

from wigeonspool.gateway import egress
from wigeonspool.gateway import headers
from wigeonspool.model import outcomes

HELD_BODY_BYTES: Final = 1024 * 1024
ATTEMPT_DIGITS: Final = 9


def read_remaining(request: web.BaseRequest) -> float | outcomes.Failure:
    """Returns the time that the caller grants, in seconds."""
    text = request.headers.get(headers.REMAINING_MS)
    if text is None:
        return float("inf")
    if not text.isdecimal():
        return outcomes.refuse(outcomes.Reason.BAD_REQUEST)
    return int(text) / 1000


async def read_body(request: web.BaseRequest) -> tuple[egress.Body, bool]:
    """Returns a request's body, and whether it is held whole."""
    if not request.body_exists:
        return None, True
    length = request.content_length
    if length is None or length > HELD_BODY_BYTES:
        return request.content, False
    return await request.read(), True


async def read_bounded(request: web.BaseRequest) -> bytes | None:
    """Returns a request's whole body, or None if it is too long to hold."""
    length = request.content_length
    if length is not None and length > HELD_BODY_BYTES:
        return None
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > HELD_BODY_BYTES:
            return None
    return bytes(body)


def read_attempt(request: web.BaseRequest) -> int:
    """Returns which send of its key a request is; 0 if it does not tell."""
    text = request.headers.get(headers.ATTEMPT, "")
    is_number = text.isascii() and text.isdecimal()
    return int(text) if is_number and len(text) <= ATTEMPT_DIGITS else 0


def build_outgoing(
    request: web.BaseRequest,
    request_id: str,
    body: egress.Body,
    deadline: float,
) -> egress.Outgoing:
    """Returns what a target gets of a request."""
    fields = CIMultiDict(egress.filter_fields(request.headers))
    fields.popall(headers.ASSIGNMENT, None)
    fields[headers.REQUEST] = request_id
    return egress.Outgoing(
        request.method, request.path_qs, fields, body, deadline
    )


def digest_request(outgoing: egress.Outgoing) -> bytes:
    """Returns a digest of what a request asks for."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{outgoing.method} {outgoing.path}\n".encode())
    if isinstance(outgoing.body, bytes):
        digest.update(outgoing.body)
    return digest.digest()

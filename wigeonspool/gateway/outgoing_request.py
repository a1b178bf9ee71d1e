"""Builds the request for a target, and its digest and fingerprint."""

import hashlib

from aiohttp import web
from multidict import CIMultiDict
import xxhash

from wigeonspool.gateway import egress
from wigeonspool.gateway import exchanges
from wigeonspool.gateway import headers
from wigeonspool.gateway import incoming_request


def build_outgoing(
    request: web.BaseRequest,
    request_id: str,
    body: exchanges.Body,
    deadline: float,
) -> egress.OutgoingRequest:
    """Returns the request to send to a target for a caller's request."""
    fields = CIMultiDict(
        headers.list_end_to_end(request.headers, headers.DROPPED_FROM_CALLERS)
    )
    fields[headers.REQUEST] = request_id
    if (
        isinstance(body, incoming_request.BodyStream)
        and body.length is not None
    ):
        fields["Content-Length"] = str(body.length)
    return egress.OutgoingRequest(
        request.method, request.raw_path, fields, body, deadline
    )


def digest_request(outgoing: egress.OutgoingRequest) -> bytes:
    """Returns a digest of method, path and buffered body."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{outgoing.method} {outgoing.path}\n".encode())
    if isinstance(outgoing.body, bytes):
        digest.update(outgoing.body)
    return digest.digest()


def fingerprint_request(outgoing: egress.OutgoingRequest) -> int:
    """Returns a number that is equal for resends of the same request.

    It covers the caller, method, path and buffered body, but not the key and
    the request identity, which may be new in a resend.
    """
    hasher = xxhash.xxh3_64()
    hasher.update(outgoing.fields.get(headers.CALLER, "").encode())
    hasher.update(f"\n{outgoing.method} {outgoing.path}\n".encode())
    if isinstance(outgoing.body, bytes):
        hasher.update(outgoing.body)
    return hasher.intdigest()

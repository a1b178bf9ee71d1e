"""Verifies the key and the assignment of a non-idempotent request."""

from typing import Final

from aiohttp import web

from wigeonspool.gateway import headers
from wigeonspool.model import errors
from wigeonspool.model import outcomes
from wigeonspool.wire import tokens

MAX_KEY_CHARS: Final = 256


def is_key_valid(key: str) -> bool:
    """Returns True if a key is an assignment identity, a dot and a suffix."""
    prefix, _, suffix = key.partition(".")
    return (
        len(prefix) == tokens.ASSIGNMENT_ID_CHARS
        and bool(suffix)
        and len(key) <= MAX_KEY_CHARS
    )


def verify_assignment(
    request: web.BaseRequest, signer: tokens.TokenSigner
) -> tokens.Assignment | outcomes.Failure:
    """Returns the verified assignment of a request, or a failure.

    A request without a key, or with one malformed key, cannot have run. After
    any other failure the outcome is unknown, since an earlier submission of the
    key, or of one of several keys, may have run. The expiry of the assignment
    is not checked here but by the idempotency table.

    Args:
        request: Request of a caller, or forwarded by another gateway.
        signer: Verifies the token.
    """
    keys = request.headers.getall(headers.IDEMPOTENCY_KEY, [])
    if not keys:
        return outcomes.build_refusal(outcomes.Reason.KEY_MISSING)
    if len(keys) > 1:
        return outcomes.build_unknown_outcome(outcomes.Reason.KEY_MALFORMED)
    key = keys[0]
    if not is_key_valid(key):
        return outcomes.build_refusal(outcomes.Reason.KEY_MALFORMED)
    token = request.headers.get(headers.ASSIGNMENT)
    if token is None:
        return outcomes.build_unknown_outcome(outcomes.Reason.TOKEN_MISSING)
    try:
        assignment = signer.verify(token)
    except errors.TokenError:
        return outcomes.build_unknown_outcome(outcomes.Reason.TOKEN_INVALID)
    caller = request.headers.get(headers.CALLER, "")
    prefix = key.partition(".")[0]
    if assignment.caller != caller or assignment.assignment_id != prefix:
        return outcomes.build_unknown_outcome(outcomes.Reason.TOKEN_INVALID)
    return assignment

"""Builds and sends answers: targets' own, and problem documents (RFC 9457)."""

import asyncio
import json
from typing import Final

from aiohttp import web
from multidict import CIMultiDict

from wigeonspool.core import once
from wigeonspool.gateway import headers
from wigeonspool.gateway import streaming
from wigeonspool.model import outcomes

PROBLEM_TYPE: Final = "application/problem+json"
# With the header fields it stays below what a transport takes unwritten.
SMALL_BODY_BYTES: Final = 16 * 1024
TYPE_PREFIX: Final = "urn:wigeonspool:reason:"

_STATUS: Final = {
    outcomes.Reason.NO_ROUTE: 404,
    outcomes.Reason.KEY_MISSING: 400,
    outcomes.Reason.KEY_MALFORMED: 400,
    outcomes.Reason.KEY_REUSED: 422,
    outcomes.Reason.TOKEN_MISSING: 400,
    outcomes.Reason.TOKEN_INVALID: 403,
    outcomes.Reason.TOKEN_EXPIRED: 409,
    outcomes.Reason.IN_PROGRESS: 409,
    outcomes.Reason.ANSWER_NOT_KEPT: 410,
    outcomes.Reason.BODY_TOO_LARGE: 413,
    outcomes.Reason.BAD_REQUEST: 400,
    outcomes.Reason.DEADLINE_PASSED: 504,
    outcomes.Reason.INTERNAL_ERROR: 500,
}
_DEFAULT_STATUS: Final = {
    outcomes.Outcome.NOT_RUN: 503,
    outcomes.Outcome.UNKNOWN: 502,
}


def build_problem(failure: outcomes.Failure, request_id: str) -> web.Response:
    """Returns the response that tells a caller of a failure.

    Args:
        failure: How the request ended.
        request_id: Identity of the request, for the time line.
    """
    status = _STATUS.get(failure.reason, _DEFAULT_STATUS[failure.outcome])
    document = {
        "type": TYPE_PREFIX + failure.reason,
        "title": failure.reason.replace("-", " "),
        "status": status,
        "outcome": failure.outcome,
        "reason": failure.reason,
        "request": request_id,
    }
    return web.Response(
        status=status,
        body=json.dumps(document).encode(),
        headers={
            "Content-Type": PROBLEM_TYPE,
            headers.OUTCOME: failure.outcome,
            headers.REASON: failure.reason,
            headers.REQUEST: request_id,
        },
    )


def build_answer(answer: once.Answer, request_id: str) -> web.Response:
    """Returns the response that carries a target's whole answer.

    Args:
        answer: Whole answer of a target.
        request_id: Identity of the request, for the time line.
    """
    fields = CIMultiDict(answer.headers)
    fields[headers.OUTCOME] = outcomes.Outcome.ANSWERED
    fields[headers.REQUEST] = request_id
    return web.Response(status=answer.status, headers=fields, body=answer.body)


async def send(
    request: web.BaseRequest, response: web.Response, deadline: float
) -> bool:
    """Sends a whole response to a caller.

    Args:
        request: Request of the caller.
        response: What to send.
        deadline: Time by which the caller must have read it, loop clock.

    Returns:
        False if the caller left or did not read it; its connection is reset.
    """
    try:
        if fits_buffer(request, response):
            await response.prepare(request)
            await response.write_eof()
        else:
            async with asyncio.timeout_at(deadline):
                await response.prepare(request)
                await response.write_eof()
    except OSError:
        streaming.break_off(request)
        return False
    return True


def fits_buffer(request: web.BaseRequest, response: web.Response) -> bool:
    """Returns True if a response can be written without waiting."""
    transport = request.transport
    body = response.body
    return (
        transport is not None
        and transport.get_write_buffer_size() == 0
        and isinstance(body, bytes)
        and len(body) <= SMALL_BODY_BYTES
    )

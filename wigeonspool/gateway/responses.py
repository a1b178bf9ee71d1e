"""Builds and sends responses to callers.

They carry the response of a target or a problem document (RFC 9457).
"""

import asyncio
import json
from typing import Final

from aiohttp import web
from multidict import CIMultiDict

from wigeonspool.core import idempotency
from wigeonspool.gateway import headers
from wigeonspool.gateway import streaming
from wigeonspool.model import outcomes

PROBLEM_TYPE: Final = "application/problem+json"
# A body up to this length fits, with its header fields, into the empty write
# buffer of a transport.
MAX_WRITE_BUFFER_BODY_BYTES: Final = 16 * 1024
PROBLEM_TYPE_PREFIX: Final = "urn:wigeonspool:reason:"

_STATUS_BY_REASON: Final = {
    outcomes.Reason.NO_ROUTE: 404,
    outcomes.Reason.KEY_MISSING: 400,
    outcomes.Reason.KEY_MALFORMED: 400,
    outcomes.Reason.KEY_REUSED: 422,
    outcomes.Reason.TOKEN_MISSING: 400,
    outcomes.Reason.TOKEN_INVALID: 403,
    outcomes.Reason.TOKEN_EXPIRED: 409,
    outcomes.Reason.IN_PROGRESS: 409,
    outcomes.Reason.ANSWER_NOT_KEPT: 410,
    outcomes.Reason.QUOTA_EXCEEDED: 429,
    outcomes.Reason.BODY_TOO_LARGE: 413,
    outcomes.Reason.BAD_REQUEST: 400,
    outcomes.Reason.CREDENTIALS_MISSING: 401,
    outcomes.Reason.CREDENTIALS_MALFORMED: 401,
    outcomes.Reason.CREDENTIALS_UNKNOWN: 401,
    outcomes.Reason.DEADLINE_PASSED: 504,
    outcomes.Reason.INTERNAL_ERROR: 500,
}
_STATUS_BY_OUTCOME: Final = {
    outcomes.Outcome.NOT_RUN: 503,
    outcomes.Outcome.UNKNOWN: 502,
}


def build_problem(failure: outcomes.Failure, request_id: str) -> web.Response:
    """Returns the problem document that reports a failure to a caller.

    Args:
        failure: Outcome and reason of the request.
        request_id: Identity of the request on the timeline.
    """
    status = _STATUS_BY_REASON.get(
        failure.reason, _STATUS_BY_OUTCOME[failure.outcome]
    )
    document = {
        "type": PROBLEM_TYPE_PREFIX + failure.reason,
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


def build_response(
    complete_response: idempotency.Response, request_id: str
) -> web.Response:
    """Returns the response to a caller for a target's complete response.

    Args:
        complete_response: Complete response of a target.
        request_id: Identity of the request on the timeline.
    """
    fields = CIMultiDict(complete_response.headers)
    fields[headers.OUTCOME] = outcomes.Outcome.ANSWERED
    fields[headers.REQUEST] = request_id
    return web.Response(
        status=complete_response.status,
        headers=fields,
        body=complete_response.body,
    )


async def send(
    request: web.BaseRequest, response: web.Response, deadline: float
) -> bool:
    """Sends a complete response to a caller.

    Args:
        request: Request of the caller.
        response: Response to send.
        deadline: Time by which the caller must have read it, loop clock.

    Returns:
        False if the caller disconnected or did not read the response in time;
        its connection is then reset.
    """
    try:
        if fits_write_buffer(request, response):
            await response.prepare(request)
            await response.write_eof()
        else:
            async with asyncio.timeout_at(deadline):
                await response.prepare(request)
                await response.write_eof()
    except OSError:
        streaming.reset_connection(request)
        return False
    return True


def fits_write_buffer(request: web.BaseRequest, response: web.Response) -> bool:
    """Returns True if a response can be written without waiting."""
    transport = request.transport
    body = response.body
    return (
        transport is not None
        and transport.get_write_buffer_size() == 0
        and isinstance(body, bytes)
        and len(body) <= MAX_WRITE_BUFFER_BODY_BYTES
    )

"""Answers that a gateway gives of its own, as problem documents (RFC 9457)."""

import json
from typing import Final

from aiohttp import web

from wigeonspool.gateway import headers
from wigeonspool.model import outcomes

PROBLEM_TYPE: Final = "application/problem+json"
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

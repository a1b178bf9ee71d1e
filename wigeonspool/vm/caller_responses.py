"""Builds the responses to callers from target responses and failures."""

from typing import Final

from aiohttp import web
from multidict import CIMultiDict

from wigeonspool.gateway import exchanges
from wigeonspool.model import outcomes
from wigeonspool.model import protocols
from wigeonspool.vm import request_context

# A caller that was refused for lack of capacity should retry when a slot
# becomes free, which takes about this long. A caller whose request was refused
# by a target may retry almost immediately.
RETRY_AFTER_SECONDS: Final = 0.15
RETRY_AFTER_TARGET_REFUSED_SECONDS: Final = 0.02
# A VM without a configuration has one after a round trip to the store.
RETRY_AFTER_STARTUP_SECONDS: Final = 0.2
# A request that crashes targets stays quarantined for far longer than this.
RETRY_AFTER_QUARANTINE_SECONDS: Final = 5.0
# Other VMs can serve the caller at once.
RETRY_AFTER_DRAINING_SECONDS: Final = 0.02
RETRY_AFTER_BY_REASON: Final = {
    outcomes.Reason.DRAINING: RETRY_AFTER_DRAINING_SECONDS,
    outcomes.Reason.QUARANTINED: RETRY_AFTER_QUARANTINE_SECONDS,
    outcomes.Reason.NOT_CONFIGURED: RETRY_AFTER_STARTUP_SECONDS,
    outcomes.Reason.TARGET_REFUSED: RETRY_AFTER_TARGET_REFUSED_SECONDS,
}
STATUS_UNAUTHENTICATED: Final = 401
STATUS_BY_REASON: Final = {
    outcomes.Reason.CREDENTIALS_MISSING: STATUS_UNAUTHENTICATED,
    outcomes.Reason.CREDENTIALS_MALFORMED: STATUS_UNAUTHENTICATED,
    outcomes.Reason.CREDENTIALS_UNKNOWN: STATUS_UNAUTHENTICATED,
    outcomes.Reason.NO_ROUTE: 404,
    outcomes.Reason.QUOTA_EXCEEDED: 429,
    outcomes.Reason.BODY_TOO_LARGE: 413,
    outcomes.Reason.BAD_REQUEST: 400,
}


def build_response(result: request_context.AttemptResult) -> web.Response:
    """Returns the response that forwards a complete target response."""
    return web.Response(
        status=result.status,
        headers=CIMultiDict(result.fields),
        body=result.body,
    )


def build_stream_response(
    result: request_context.AttemptResult, source: exchanges.TargetResponse
) -> web.StreamResponse:
    """Returns the response that will forward a target response as a stream."""
    response = web.StreamResponse(
        status=result.status, headers=CIMultiDict(result.fields)
    )
    response.content_length = source.content_length
    return response


def build_failure(
    failure: outcomes.Failure,
    protocol_adapter: protocols.ProtocolAdapter,
    now: float,
) -> web.Response:
    """Returns the response that reports a failure.

    A refusal states after how many seconds the caller should retry.

    Args:
        failure: Outcome and reason of the request.
        protocol_adapter: Protocol of the caller.
        now: Current time, loop clock.
    """
    status = find_status(failure, protocol_adapter)
    fields: dict[str, str] = {"Content-Type": "text/plain"}
    is_quota = failure.reason is outcomes.Reason.QUOTA_EXCEEDED
    if status == protocol_adapter.refusal_status or is_quota:
        seconds = RETRY_AFTER_BY_REASON.get(failure.reason, RETRY_AFTER_SECONDS)
        if failure.retry_at is not None:
            seconds = max(0.0, failure.retry_at - now)
        fields.update(protocol_adapter.build_retry_headers(seconds))
    elif status == STATUS_UNAUTHENTICATED:
        fields.update(protocol_adapter.challenge_headers)
    return web.Response(
        status=status, headers=fields, body=failure.reason.encode()
    )


def find_status(
    failure: outcomes.Failure, protocol_adapter: protocols.ProtocolAdapter
) -> int:
    """Returns the status code that reports a failure."""
    status = STATUS_BY_REASON.get(failure.reason)
    if status is not None:
        return status
    if failure.outcome is outcomes.Outcome.NOT_RUN:
        return protocol_adapter.refusal_status
    if failure.reason is outcomes.Reason.DEADLINE_PASSED:
        return protocol_adapter.timeout_status
    return protocol_adapter.unknown_outcome_status

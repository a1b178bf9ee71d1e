"""Builds the responses for callers: targets' answers, and honest failures."""

from typing import Final

from aiohttp import web
from multidict import CIMultiDict

from wigeonspool.gateway import exchanges
from wigeonspool.model import border
from wigeonspool.model import outcomes
from wigeonspool.vm import work as works

# A caller that was refused for want of room comes back when the work of one
# slot is done, about; one whose target refused it may come back at once.
RETRY_SECONDS: Final = 0.15
RETRY_SOON_SECONDS: Final = 0.02
# A VM without knowledge has it after one round trip to the store.
STARTING_SECONDS: Final = 0.2
# A request that crashes targets is refused for far longer than this.
QUARANTINE_SECONDS: Final = 5.0
RETRY_AFTER: Final = {
    outcomes.Reason.QUARANTINED: QUARANTINE_SECONDS,
    outcomes.Reason.NOT_CONFIGURED: STARTING_SECONDS,
    outcomes.Reason.TARGET_REFUSED: RETRY_SOON_SECONDS,
}
STATUSES: Final = {
    outcomes.Reason.NO_ROUTE: 404,
    outcomes.Reason.BODY_TOO_LARGE: 413,
    outcomes.Reason.BAD_REQUEST: 400,
}


def build_answer(result: works.AttemptResult) -> web.Response:
    """Returns the response that carries a whole answer."""
    return web.Response(
        status=result.status,
        headers=CIMultiDict(result.fields),
        body=result.body,
    )


def build_stream(
    result: works.AttemptResult, source: exchanges.TargetResponse
) -> web.StreamResponse:
    """Returns the response that will carry an answer as it arrives."""
    response = web.StreamResponse(
        status=result.status, headers=CIMultiDict(result.fields)
    )
    response.content_length = source.content_length
    return response


def build_failure(
    failure: outcomes.Failure, words: border.Border
) -> web.Response:
    """Returns the response that tells of a failure.

    Args:
        failure: How the request ended.
        words: Protocol of the caller.
    """
    status = find_status(failure, words)
    fields: dict[str, str] = {"Content-Type": "text/plain"}
    if status == words.refusal_status:
        seconds = RETRY_AFTER.get(failure.reason, RETRY_SECONDS)
        fields.update(words.write_retry(seconds))
    return web.Response(
        status=status, headers=fields, body=failure.reason.encode()
    )


def find_status(failure: outcomes.Failure, words: border.Border) -> int:
    """Returns the status that tells of a failure."""
    known = STATUSES.get(failure.reason)
    if known is not None:
        return known
    if failure.outcome is outcomes.Outcome.NOT_RUN:
        return words.refusal_status
    if failure.reason is outcomes.Reason.DEADLINE_PASSED:
        return words.late_status
    return words.doubt_status

"""Asks the home of a key on behalf of its caller."""

import asyncio

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from wigeonspool.core import once
from wigeonspool.gateway import egress
from wigeonspool.gateway import exchanges
from wigeonspool.gateway import headers
from wigeonspool.gateway import relay
from wigeonspool.gateway import streaming
from wigeonspool.model import outcomes
from wigeonspool.wire import tokens

UNREACHABLE = outcomes.doubt(outcomes.Reason.HOME_UNREACHABLE)


async def ask_home(
    client: egress.Egress,
    request: web.BaseRequest,
    assignment: tokens.Assignment,
    outgoing: egress.Outgoing,
    gateway: str,
) -> once.Answer | outcomes.Failure | streaming.Streamed:
    """Passes a request to the gateway that may run it.

    Args:
        client: Sends it.
        request: Request of the caller.
        assignment: Names the home.
        outgoing: What to send.
        gateway: Name of this gateway.
    """
    if headers.FORWARDED in request.headers:
        return outcomes.doubt(outcomes.Reason.HOME_GONE)
    outgoing.fields[headers.FORWARDED] = gateway
    token = request.headers[headers.ASSIGNMENT]
    outgoing.fields[headers.ASSIGNMENT] = token
    try:
        attempt = await client.attempt(
            assignment.address,
            outgoing,
            may_retry_connection=True,
            whole_bytes=relay.HELD_ANSWER_BYTES,
        )
    except TimeoutError:
        return UNREACHABLE
    if attempt.response is not None:
        return await _pass_on(request, attempt.response, outgoing)
    if attempt.answer is None:
        return UNREACHABLE
    return read_ending(attempt.answer)


async def _pass_on(
    request: web.BaseRequest,
    source: exchanges.TargetResponse,
    outgoing: egress.Outgoing,
) -> once.Answer | outcomes.Failure | streaming.Streamed:
    """Passes on an answer of unknown or great length."""
    request_id = outgoing.fields[headers.REQUEST]
    try:
        async with asyncio.timeout_at(outgoing.deadline):
            head = await relay.read_head(source)
            if head.ended:
                answer = relay.build_answer(source, head.content)
                return read_ending(answer)
            if source.headers.get(headers.OUTCOME) != outcomes.Outcome.ANSWERED:
                return UNREACHABLE
    except (aiohttp.ClientError, OSError):
        source.close()
        return UNREACHABLE
    response = relay.build_response(source, request_id)
    failure: outcomes.Failure | None = None
    try:
        await relay.pass_on(request, response, source, head.content)
    except (aiohttp.ClientError, OSError):
        failure = outcomes.doubt(outcomes.Reason.CONNECTION_LOST)
        streaming.break_off(request)
    finally:
        source.close()
    return streaming.Streamed(response, failure)


def read_ending(answer: once.Answer) -> once.Answer | outcomes.Failure:
    """Returns the ending that a home told.

    Another process may have taken the home's address; what does not tell an
    outcome of ours is no answer of the home.
    """
    fields = CIMultiDict(answer.headers)
    try:
        outcome = outcomes.Outcome(fields[headers.OUTCOME])
        if outcome is outcomes.Outcome.ANSWERED:
            return answer
        reason = outcomes.Reason(fields[headers.REASON])
    except (KeyError, ValueError):
        return UNREACHABLE
    return outcomes.Failure(outcome, reason)

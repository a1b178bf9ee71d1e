"""Asks the home of a key on behalf of its caller."""

import asyncio

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from wigeonspool.core import idempotency
from wigeonspool.gateway import egress
from wigeonspool.gateway import exchanges
from wigeonspool.gateway import headers
from wigeonspool.gateway import relay
from wigeonspool.gateway import streaming
from wigeonspool.model import outcomes
from wigeonspool.wire import tokens

OWNER_UNREACHABLE = outcomes.build_unknown(outcomes.Reason.HOME_UNREACHABLE)


async def forward_to_owner(
    client: egress.Egress,
    request: web.BaseRequest,
    assignment: tokens.Assignment,
    outgoing: egress.OutgoingRequest,
    gateway: str,
) -> idempotency.Response | outcomes.Failure | streaming.StreamedResponse:
    """Passes a request to the gateway that may run it.

    Args:
        client: Sends it.
        request: Request of the caller.
        assignment: Names the home.
        outgoing: What to send.
        gateway: Name of this gateway.
    """
    if headers.FORWARDED in request.headers:
        return outcomes.build_unknown(outcomes.Reason.HOME_GONE)
    outgoing.fields[headers.FORWARDED] = gateway
    token = request.headers[headers.ASSIGNMENT]
    outgoing.fields[headers.ASSIGNMENT] = token
    try:
        attempt = await client.send_attempt(
            assignment.address,
            outgoing,
            may_retry_connection=True,
            max_whole_bytes=relay.MAX_BUFFERED_RESPONSE_BYTES,
        )
    except TimeoutError:
        return OWNER_UNREACHABLE
    if attempt.open_response is not None:
        return await _relay_open_response(
            request, attempt.open_response, outgoing
        )
    if attempt.whole_response is None:
        return OWNER_UNREACHABLE
    return parse_owner_response(attempt.whole_response)


async def _relay_open_response(
    request: web.BaseRequest,
    source: exchanges.TargetResponse,
    outgoing: egress.OutgoingRequest,
) -> idempotency.Response | outcomes.Failure | streaming.StreamedResponse:
    """Passes on an answer of unknown or great length."""
    request_id = outgoing.fields[headers.REQUEST]
    try:
        async with asyncio.timeout_at(outgoing.deadline):
            head = await relay.read_body_head(source)
            if head.complete:
                whole_response = relay.build_whole_response(
                    source, head.content
                )
                return parse_owner_response(whole_response)
            if source.headers.get(headers.OUTCOME) != outcomes.Outcome.ANSWERED:
                return OWNER_UNREACHABLE
    except (aiohttp.ClientError, OSError):
        source.close()
        return OWNER_UNREACHABLE
    response = relay.build_stream_response(source, request_id)
    failure: outcomes.Failure | None = None
    try:
        await relay.relay_response(request, response, source, head.content)
    except (aiohttp.ClientError, OSError):
        failure = outcomes.build_unknown(outcomes.Reason.CONNECTION_LOST)
        streaming.reset_connection(request)
    finally:
        source.close()
    return streaming.StreamedResponse(response, failure)


def parse_owner_response(
    owner_response: idempotency.Response,
) -> idempotency.Response | outcomes.Failure:
    """Returns the ending that a home told.

    Another process may have taken the home's address; what does not tell an
    outcome of ours is no answer of the home.
    """
    fields = CIMultiDict(owner_response.headers)
    try:
        outcome = outcomes.Outcome(fields[headers.OUTCOME])
        if outcome is outcomes.Outcome.ANSWERED:
            return owner_response
        reason = outcomes.Reason(fields[headers.REASON])
    except (KeyError, ValueError):
        return OWNER_UNREACHABLE
    return outcomes.Failure(outcome, reason)

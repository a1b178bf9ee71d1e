"""Forwards a request to the gateway that owns its key."""

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

OWNER_UNREACHABLE = outcomes.build_unknown_outcome(
    outcomes.Reason.HOME_UNREACHABLE
)


async def forward_to_owner(
    client: egress.Egress,
    request: web.BaseRequest,
    assignment: tokens.Assignment,
    outgoing: egress.OutgoingRequest,
    gateway: str,
) -> idempotency.Response | outcomes.Failure | streaming.StreamedResponse:
    """Forwards a request to the gateway that owns its key.

    Args:
        client: Sends the request.
        request: Request of the caller.
        assignment: Assignment that names the owner.
        outgoing: Request to send.
        gateway: Name of this gateway.

    Returns:
        The owner's response, streamed or complete, or a failure. A request
        that another gateway forwarded is not forwarded again.
    """
    if headers.FORWARDED in request.headers:
        return outcomes.build_unknown_outcome(outcomes.Reason.HOME_GONE)
    outgoing.fields[headers.FORWARDED] = gateway
    token = request.headers[headers.ASSIGNMENT]
    outgoing.fields[headers.ASSIGNMENT] = token
    try:
        # The owner runs a key at most once, however often it is sent there.
        attempt = await client.send_attempt(
            assignment.address,
            outgoing,
            may_retry_connection=True,
            max_buffered_bytes=relay.MAX_BUFFERED_RESPONSE_BYTES,
        )
    except TimeoutError:
        return OWNER_UNREACHABLE
    if attempt.open_response is not None:
        return await _relay_open_response(
            request, attempt.open_response, outgoing
        )
    if attempt.complete_response is None:
        return OWNER_UNREACHABLE
    return parse_owner_response(attempt.complete_response)


async def _relay_open_response(
    request: web.BaseRequest,
    source: exchanges.TargetResponse,
    outgoing: egress.OutgoingRequest,
) -> idempotency.Response | outcomes.Failure | streaming.StreamedResponse:
    """Relays a response of unknown or great length."""
    request_id = outgoing.fields[headers.REQUEST]
    try:
        async with asyncio.timeout_at(outgoing.deadline):
            prefix = await relay.read_body_prefix(source)
            if prefix.complete:
                complete_response = relay.build_complete_response(
                    source, prefix.content
                )
                return parse_owner_response(complete_response)
            if source.headers.get(headers.OUTCOME) != outcomes.Outcome.ANSWERED:
                return OWNER_UNREACHABLE
    except (aiohttp.ClientError, OSError):
        source.close()
        return OWNER_UNREACHABLE
    response = relay.build_stream_response(source, request_id)
    failure: outcomes.Failure | None = None
    try:
        await relay.relay_response(request, response, source, prefix.content)
    except (aiohttp.ClientError, OSError):
        failure = outcomes.build_unknown_outcome(
            outcomes.Reason.CONNECTION_LOST
        )
        streaming.reset_connection(request)
    finally:
        source.close()
    return streaming.StreamedResponse(response, failure)


def parse_owner_response(
    owner_response: idempotency.Response,
) -> idempotency.Response | outcomes.Failure:
    """Returns the result that the owner reported.

    Another process may have taken the owner's address, so a response without a
    valid outcome is not accepted as the owner's.
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

"""Sends one attempt over a probed connection and classifies its response."""

import asyncio
from typing import Final

import aiohttp
from aiohttp import http

from wigeonspool.gateway import exchanges
from wigeonspool.gateway import headers
from wigeonspool.model import protocols
from wigeonspool.vm import channels
from wigeonspool.vm import request_context
from wigeonspool.vm import target_notices
from wigeonspool.vm import target_probes

# A longer response body is streamed to the caller as it arrives.
MAX_BUFFERED_BYTES: Final = 1024 * 1024


class AttemptSender:
    """Sends attempts to targets.

    Attributes:
        mismatched_responses: Number of responses that belonged to other
            requests.
    """

    def __init__(
        self,
        protocol_adapter: protocols.ProtocolAdapter,
        notices: target_notices.NoticeRecorder,
    ) -> None:
        """Creates a sender.

        Args:
            protocol_adapter: Protocol of the targets.
            notices: Records what targets state about themselves.
        """
        self.mismatched_responses = 0
        self._notices = notices
        self._protocol_adapter = protocol_adapter
        self._loop = asyncio.get_running_loop()

    async def send(
        self,
        context: request_context.RequestContext,
        candidate: target_probes.Candidate,
    ) -> request_context.AttemptResult:
        """Sends a request to a candidate and returns the result.

        A connection that fails gives a result with an unknown outcome. The
        attempt is withheld if the target wants no requests any more.

        The caller of this function bounds its time. If the call is cancelled,
        the connection is closed, which cancels the request at the target.
        """
        request = context.request
        fields = self._protocol_adapter.build_target_headers(
            request.headers,
            context.deadline - self._loop.time(),
            candidate.row.entry.identity,
        )
        fields["Host"] = request.headers.get("Host", "")
        channel = candidate.channel
        try:
            if not self._notices.may_send(candidate.row.entry):
                channel.close()
                return request_context.AttemptResult(
                    request_context.AttemptOutcome.WITHHELD
                )
            response = await exchanges.send_request(
                channel,
                request.method,
                request.raw_path,
                fields,
                context.body,
                lambda message: self._matches_attempt(
                    message, context.identity
                ),
            )
            notice = self._notices.read(
                candidate.row.entry,
                context.identity,
                response.status,
                response.headers,
            )
            if notice.leaving:
                channel.protocol.force_close()
            result = await self._read_response(context, response, channel)
            result.declined = is_declined(notice, result.outcome)
            return result
        except (aiohttp.ClientError, OSError) as error:
            channel.close()
            return request_context.AttemptResult(
                request_context.AttemptOutcome.UNKNOWN, detail=repr(error)
            )
        except BaseException:
            channel.close()
            raise

    def _matches_attempt(
        self, message: http.RawResponseMessage, identity: str
    ) -> bool:
        """Returns True unless a response is misrouted, and counts those."""
        response_class = self._protocol_adapter.classify_response(
            message.code, message.headers, identity
        )
        if response_class is not protocols.ResponseClass.MISMATCHED:
            return True
        self.mismatched_responses += 1
        return False

    async def _read_response(
        self,
        context: request_context.RequestContext,
        response: exchanges.TargetResponse,
        channel: channels.Channel,
    ) -> request_context.AttemptResult:
        """Reads a response and classifies it.

        A successful response that is too long to buffer is returned as an open
        stream; a failure that is too long is returned without its body.

        Raises:
            ClientError: If the response is not complete.
        """
        response_class = self._protocol_adapter.classify_response(
            response.status, response.headers, context.identity
        )
        if not channels.record_keep_alive(channel, response.headers):
            channel.protocol.force_close()
        fields = headers.list_end_to_end(response.headers)
        length = response.content_length
        if length is not None and length > MAX_BUFFERED_BYTES:
            if response_class is protocols.ResponseClass.ANSWERED:
                return request_context.AttemptResult(
                    request_context.AttemptOutcome.ANSWERED,
                    response.status,
                    fields,
                    stream=response,
                )
            response.close()
            return _build_result(response_class, response.status, fields, b"")
        body = await response.content.read()
        # A body without framing ends with the connection, so only a clean close
        # shows that the body is complete.
        has_no_framing = length is None and not is_chunked(response)
        if has_no_framing and channel.was_reset:
            raise aiohttp.ClientPayloadError(
                "connection reset before the end of the response body"
            )
        response.release()
        return _build_result(response_class, response.status, fields, body)


def is_declined(
    notice: protocols.TargetNotice, outcome: request_context.AttemptOutcome
) -> bool:
    """Returns True if a target refused a request because it wants none now."""
    if notice.retry_after_seconds is not None:
        return True
    return notice.leaving and (
        outcome is request_context.AttemptOutcome.NOT_RUN
    )


def is_chunked(response: exchanges.TargetResponse) -> bool:
    """Returns True if a response uses the chunked transfer coding."""
    return "chunked" in response.headers.get("Transfer-Encoding", "").lower()


def _build_result(
    response_class: protocols.ResponseClass,
    status: int,
    fields: list[tuple[str, str]],
    body: bytes,
) -> request_context.AttemptResult:
    """Returns the result for a response that was read."""
    if response_class is protocols.ResponseClass.ANSWERED:
        return request_context.AttemptResult(
            request_context.AttemptOutcome.ANSWERED, status, fields, body
        )
    if response_class is protocols.ResponseClass.FAILED:
        return request_context.AttemptResult(
            request_context.AttemptOutcome.FAILED, status, fields, body
        )
    if response_class is protocols.ResponseClass.NOT_RUN:
        return request_context.AttemptResult(
            request_context.AttemptOutcome.NOT_RUN, status
        )
    return request_context.AttemptResult(
        request_context.AttemptOutcome.UNKNOWN,
        status,
        detail=f"response with status {status} leaves the outcome unknown",
    )

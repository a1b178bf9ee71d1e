"""Sends one attempt over a probed connection and classifies its response."""

import asyncio
from collections.abc import Awaitable, Callable
import re
from typing import Final

import aiohttp
from aiohttp import http

from wigeonspool.gateway import exchanges
from wigeonspool.gateway import headers
from wigeonspool.model import protocols
from wigeonspool.vm import channels
from wigeonspool.vm import request_context
from wigeonspool.vm import target_probes

# A longer response body is streamed to the caller as it arrives.
MAX_BUFFERED_BYTES: Final = 1024 * 1024
# All responses that a VM reads at a time may be buffered up to this size.
# Beyond it a response is streamed once it is longer than the minimum.
MAX_BUFFERED_BYTES_PER_VM: Final = 32 * 1024 * 1024
MIN_BUFFERED_BYTES: Final = 64 * 1024
# Characters that the HTTP library refuses to write in a header field.
FORBIDDEN_CHARACTERS: Final = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


class AttemptSender:
    """Sends attempts to targets.

    Attributes:
        mismatched_responses: Number of responses that belonged to other
            requests.
    """

    def __init__(
        self,
        protocol_adapter: protocols.ProtocolAdapter,
        prober: target_probes.TargetProber,
    ) -> None:
        """Creates a sender.

        Args:
            protocol_adapter: Protocol of the targets.
            prober: Decides whether a request may be sent to a target, and
                records what targets state about themselves.
        """
        self.mismatched_responses = 0
        self._prober = prober
        self._notices = prober.notices
        # Bytes that the responses which are being read may fill.
        self._reserved_bytes = 0
        self._protocol_adapter = protocol_adapter
        self._loop = asyncio.get_running_loop()

    async def send(
        self,
        context: request_context.RequestContext,
        candidate: target_probes.Candidate,
    ) -> request_context.AttemptResult:
        """Sends a request to a candidate and returns the result.

        A connection that fails gives a result with an unknown outcome. The
        attempt is withheld if the target wants no requests any more, or the
        request may no longer be sent to it.

        The caller of this function bounds its time. If the call is cancelled,
        the connection is closed, which cancels the request at the target.
        """
        try:
            channel = await _find_channel(context, candidate)
        except OSError as error:
            return request_context.AttemptResult(
                request_context.AttemptOutcome.NOT_RUN, detail=repr(error)
            )
        context.update_regions(self._prober.configuration)
        request = context.request
        fields = self._protocol_adapter.build_target_headers(
            request.headers,
            context.deadline - self._loop.time(),
            candidate.row.entry.identity,
            context.account_name,
            context.has_accounts,
        )
        fields["Host"] = request.headers.get("Host", "")
        try:
            sent_at = self._prober.begin_attempt(candidate.row, context.regions)
            if sent_at is None:
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
                    message, context.identity, channel
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
            if (
                result.outcome is request_context.AttemptOutcome.NOT_RUN
                and result.status == self._protocol_adapter.misdirected_status
            ):
                self._prober.cold.refund(candidate.row.entry, sent_at)
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
        self,
        message: http.RawResponseMessage,
        identity: str,
        channel: channels.Channel,
    ) -> bool:
        """Returns True unless a response belongs to another request.

        Counts those that do. Their connection is not used for other requests.
        """
        response_class = self._protocol_adapter.classify_response(
            message.code, message.headers, identity
        )
        if response_class is not protocols.ResponseClass.MISMATCHED:
            return True
        self.mismatched_responses += 1
        channel.protocol.force_close()
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
            ClientError: If the response is not complete or cannot be forwarded.
        """
        _check_forwardable(response)
        response_class = self._protocol_adapter.classify_response(
            response.status, response.headers, context.identity
        )
        if not channels.record_keep_alive(channel, response.headers):
            channel.protocol.force_close()
        fields = headers.list_end_to_end(response.headers)
        length = response.content_length
        body, is_complete = b"", False
        limit = self._find_buffer_limit(length)
        if length is None or length <= limit:
            self._reserved_bytes += limit
            try:
                body, is_complete = await exchanges.read_limited(
                    response.content, limit
                )
            finally:
                self._reserved_bytes -= limit
        if is_complete:
            _check_ending(response, channel)
            response.release()
            return _build_result(response_class, response.status, fields, body)
        if response_class is not protocols.ResponseClass.ANSWERED:
            response.close()
            return _build_result(response_class, response.status, fields, b"")
        response.read_chunk = _stream_body(response, channel, body)
        return request_context.AttemptResult(
            request_context.AttemptOutcome.ANSWERED,
            response.status,
            fields,
            stream=response,
        )

    def _find_buffer_limit(self, length: int | None) -> int:
        """Returns up to how many bytes a response may be buffered.

        Args:
            length: Length of its body, or None if the target stated none.
        """
        limit = MAX_BUFFERED_BYTES if length is None else length
        limit = min(limit, MAX_BUFFERED_BYTES)
        if self._reserved_bytes + limit <= MAX_BUFFERED_BYTES_PER_VM:
            return limit
        return min(limit, MIN_BUFFERED_BYTES)


async def _find_channel(
    context: request_context.RequestContext,
    candidate: target_probes.Candidate,
) -> channels.Channel:
    """Returns the connection for an attempt.

    A new one is opened if data has arrived on that of the candidate since its
    health check. A request is sent at most once over each connection: all its
    attempts have the same identity, so a repeated response to an earlier one
    would be taken for the response to the next one.

    Raises:
        OSError: If a new connection is needed and is not usable either.
    """
    channel = candidate.channel
    if (
        channel in context.used_channels
        or not channel.protocol.begin_exchange()
    ):
        channel.release()
        channel = await channel.open_another()
        if not channel.protocol.begin_exchange():
            channel.close()
            raise ConnectionResetError(f"{channel.address} is not usable")
    context.used_channels.append(channel)
    return channel


def _check_forwardable(response: exchanges.TargetResponse) -> None:
    """Checks that the head of a response can be sent to a caller.

    Raises:
        ClientPayloadError: If it cannot.
    """
    codings = response.headers.getall("Transfer-Encoding", [])
    if codings and not is_chunked(response):
        raise aiohttp.ClientPayloadError(
            f"transfer codings {codings} are not supported"
        )
    for name, value in response.headers.items():
        if FORBIDDEN_CHARACTERS.search(name + value):
            raise aiohttp.ClientPayloadError(
                f"field {name!r} has the invalid value {value!r}"
            )


def is_declined(
    notice: protocols.TargetNotice, outcome: request_context.AttemptOutcome
) -> bool:
    """Returns True if a target refused a request because it wants none now."""
    if notice.retry_after_seconds is not None:
        return True
    return notice.leaving and (
        outcome is request_context.AttemptOutcome.NOT_RUN
    )


def _check_ending(
    response: exchanges.TargetResponse, channel: channels.Channel
) -> None:
    """Checks that the end of a body is not just that of its connection.

    A body without framing ends with the connection, so only a clean close
    shows that the body is complete.

    Raises:
        ClientPayloadError: If the connection was reset.
    """
    has_framing = response.content_length is not None or is_chunked(response)
    if not has_framing and channel.was_reset:
        raise aiohttp.ClientPayloadError(
            "connection reset before the end of the response body"
        )


def _stream_body(
    response: exchanges.TargetResponse, channel: channels.Channel, start: bytes
) -> Callable[[], Awaitable[bytes]]:
    """Returns the function that reads the parts of a long body.

    Args:
        response: Response whose body is too long to buffer.
        channel: Its connection.
        start: What was read of the body.
    """

    async def read_chunk() -> bytes:
        nonlocal start
        chunk, start = start, b""
        if not chunk:
            chunk = await response.content.readany()
        if not chunk:
            _check_ending(response, channel)
        return chunk

    return read_chunk


def is_chunked(response: exchanges.TargetResponse) -> bool:
    """Returns True if a response uses the chunked transfer coding only."""
    codings = response.headers.getall("Transfer-Encoding", [])
    return [coding.strip().lower() for coding in codings] == ["chunked"]


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

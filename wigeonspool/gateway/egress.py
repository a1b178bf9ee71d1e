"""Sends attempts to targets over kept HTTP connections."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Final

import aiohttp
from multidict import CIMultiDict

from wigeonspool.core import idempotency
from wigeonspool.core import tables
from wigeonspool.gateway import connection_health
from wigeonspool.gateway import connections
from wigeonspool.gateway import exchanges
from wigeonspool.gateway import headers
from wigeonspool.model import errors

# Nothing of a request has left when these are raised.
CONNECT_ERRORS: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
MAX_WHOLE_RESPONSE_BYTES: Final = 256 * 1024
# A timer that runs later than this was held up by a pause of the process.
MAX_TIMER_DELAY_SECONDS: Final = 0.02
STATUS_UNAVAILABLE: Final = 503
MIN_ERROR_STATUS: Final = 500
BODILESS_STATUSES: Final = frozenset({204, 304})


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """What is sent to a target.

    Attributes:
        method: HTTP method.
        path: Path and query as the caller wrote them.
        fields: Header fields to pass on.
        body: Whole body, or the caller's stream.
        deadline: Time by which the caller wants the answer, loop clock.
    """

    method: str
    path: str
    fields: CIMultiDict[str]
    body: exchanges.Body
    deadline: float

    def is_consumed(self) -> bool:
        """Returns True if its body was taken and it cannot be sent again."""
        body = self.body
        return (
            body is not None and not isinstance(body, bytes) and body.consumed
        )


@dataclasses.dataclass(slots=True)
class AttemptResult:
    """What became of one attempt.

    Attributes:
        result: What the core learns, or None while an answer streams.
        whole_response: The whole answer, if there is one.
        open_response: The open answer, if it is passed on as it arrives.
    """

    result: tables.Result | None
    whole_response: idempotency.Response | None = None
    open_response: exchanges.TargetResponse | None = None


class Egress:
    """Holds the connections of a gateway to targets and other gateways.

    Attributes:
        unresponsive_count: Kept connections that were found silent or dead.
        on_unresponsive: Called with the address of each.
    """

    def __init__(self) -> None:
        self.unresponsive_count = 0
        self.on_unresponsive: Callable[[str], None] = lambda _: None
        self._reusing_connector = connections.TargetConnector(reuse=True)
        self._single_use_connector = connections.TargetConnector(reuse=False)
        self._detector = connection_health.UnresponsiveDetector()
        self._loop = asyncio.get_running_loop()

    async def close(self) -> None:
        """Closes all connections."""
        await self._reusing_connector.close()
        await self._single_use_connector.close()

    async def send_attempt(
        self,
        address: str,
        outgoing: OutgoingRequest,
        may_retry_connection: bool,
        max_whole_bytes: int = MAX_WHOLE_RESPONSE_BYTES,
        route: str = "",
    ) -> AttemptResult:
        """Sends one attempt and reads its answer if it is short.

        A request that may not be sent twice gets a connection of its own: a
        kept one may have died since its last use, and whether the request ran
        would then be unknown.

        Args:
            address: host:port to send to.
            outgoing: What to send.
            may_retry_connection: True if the request may be sent again when
                a kept connection proves dead or silent.
            max_whole_bytes: Longest answer to hold whole.
            route: Route of the request, whose times are learned.

        Raises:
            TimeoutError: If the deadline passed.
        """
        try:
            async with asyncio.timeout_at(outgoing.deadline):
                response = await self._send_with_retry(
                    address, outgoing, may_retry_connection, route
                )
                return await _read_response(response, max_whole_bytes)
        except CONNECT_ERRORS:
            refused = tables.Result(tables.ResultKind.NOT_RUN, refused=True)
            return AttemptResult(refused)
        except (aiohttp.ClientError, OSError) as error:
            if self._loop.time() >= outgoing.deadline:
                raise TimeoutError from None
            timed_out = isinstance(error, TimeoutError)
            lost = tables.Result(tables.ResultKind.LOST, crashed=not timed_out)
            return AttemptResult(lost)

    async def _send_with_retry(
        self,
        address: str,
        outgoing: OutgoingRequest,
        may_retry: bool,
        route: str,
    ) -> exchanges.TargetResponse:
        """Returns the open answer; tries a fresh connection if it may.

        Raises:
            TargetGoneError: If a connection broke and no other one answered.
        """
        exchange = self._start_exchange(outgoing, may_retry, route)
        try:
            return await self._send(
                address, outgoing, may_retry, route, exchange
            )
        except CONNECT_ERRORS:
            raise
        except (aiohttp.ClientError, OSError) as error:
            if not exchange.reused:
                raise
            timed_out = isinstance(error, TimeoutError)
            self._invalidate_peer(address)
            late = self._loop.time() >= outgoing.deadline
            if late or not may_retry or outgoing.is_consumed():
                raise
        exchange = self._start_exchange(outgoing, may_retry, route)
        try:
            return await self._send(
                address, outgoing, may_retry, route, exchange
            )
        except CONNECT_ERRORS as error:
            # The first send may have run, so this is no refusal.
            raise errors.TargetGoneError(address) from error
        except TimeoutError as error:
            # A target that crashes may accept a connection as it goes.
            if timed_out:
                raise
            raise errors.TargetGoneError(address) from error

    def _start_exchange(
        self, outgoing: OutgoingRequest, may_retry: bool, route: str
    ) -> connections.Exchange:
        """Returns a new exchange with the time at which it is suspected."""
        now = self._loop.time()
        suspect_at = outgoing.deadline
        if may_retry and route and not outgoing.is_consumed():
            suspect_at = self._detector.compute_suspect_at(
                route, now, suspect_at
            )
        return connections.Exchange(asyncio.timeout(None), suspect_at)

    async def _send(
        self,
        address: str,
        outgoing: OutgoingRequest,
        may_retry: bool,
        route: str,
        exchange: connections.Exchange,
    ) -> exchanges.TargetResponse:
        """Sends a request over one connection; returns the open answer.

        Raises:
            TimeoutError: If the connection was suspected to be silent.
        """
        started_at = self._loop.time()
        fields = outgoing.fields
        remaining = outgoing.deadline - started_at
        fields["Host"] = address
        if not may_retry:
            fields["Connection"] = "close"
        fields[headers.REMAINING_MS] = str(max(0, int(remaining * 1000)))
        self._schedule_suspicion(exchange, outgoing)
        try:
            async with exchange.timeout:
                connector = (
                    self._reusing_connector
                    if may_retry
                    else self._single_use_connector
                )
                connection = await connector.open(address, exchange)
                response = await exchanges.send_request(
                    connection,
                    outgoing.method,
                    outgoing.path,
                    fields,
                    outgoing.body,
                )
        finally:
            exchange.cancel_timer()
        if route:
            self._detector.record_first_byte(
                route, self._loop.time() - started_at
            )
        return response

    def _schedule_suspicion(
        self, exchange: connections.Exchange, outgoing: OutgoingRequest
    ) -> None:
        """Sets the timer that suspects an exchange."""
        exchange.timer = self._loop.call_at(
            exchange.suspect_at, self._on_suspicion_timer, exchange, outgoing
        )

    def _on_suspicion_timer(
        self, exchange: connections.Exchange, outgoing: OutgoingRequest
    ) -> None:
        """Ends an exchange that is without an answer for too long.

        After a pause of this process the answer, or the end of the
        connection, may be there unread; it is read first.
        """
        if exchange.suspect_at >= outgoing.deadline or outgoing.is_consumed():
            return
        now = self._loop.time()
        if now - exchange.suspect_at > MAX_TIMER_DELAY_SECONDS:
            exchange.suspect_at = now + MAX_TIMER_DELAY_SECONDS
            self._schedule_suspicion(exchange, outgoing)
            return
        if self._detector.has_token():
            self._detector.consume_token()
            exchange.timeout.reschedule(self._loop.time())

    def _invalidate_peer(self, address: str) -> None:
        """Closes the kept connections to a peer, for they may be gone too."""
        self._reusing_connector.invalidate_peer(address)
        self.unresponsive_count += 1
        self.on_unresponsive(address)


async def _read_response(
    response: exchanges.TargetResponse, max_whole_bytes: int
) -> AttemptResult:
    """Reads a short answer whole, or returns a long one open."""
    bodiless = response.method == "HEAD" or response.status in BODILESS_STATUSES
    length = 0 if bodiless else response.content_length
    # A failure is held, however it is framed, so that it can be retried.
    buffer_error = length is None and response.status >= MIN_ERROR_STATUS
    if not buffer_error and (length is None or length > max_whole_bytes):
        return AttemptResult(None, open_response=response)
    try:
        body = await _read_up_to(response, max_whole_bytes)
    except BaseException:
        response.close()
        raise
    if body is None:
        response.close()
        return AttemptResult(tables.Result(tables.ResultKind.LOST))
    fields = headers.list_end_to_end(response.headers)
    if bodiless and "Content-Length" in response.headers:
        fields.append(("Content-Length", response.headers["Content-Length"]))
    whole_response = idempotency.Response(response.status, tuple(fields), body)
    return AttemptResult(
        classify_response(response), whole_response=whole_response
    )


async def _read_up_to(
    response: exchanges.TargetResponse, max_bytes: int
) -> bytes | None:
    """Returns a whole body, or None if it exceeds a bound in bytes."""
    content = response.content
    # A short answer usually arrives in one piece.
    if content.is_eof():
        whole = content.read_nowait()
        return whole if len(whole) <= max_bytes else None
    parts: list[bytes] = []
    size = 0
    while part := await content.readany():
        parts.append(part)
        size += len(part)
        if size > max_bytes:
            return None
    response.release()
    return b"".join(parts)


def classify_response(response: exchanges.TargetResponse) -> tables.Result:
    """Returns what the core learns from a whole answer."""
    draining = headers.DRAINING in response.headers
    if response.status < 500:
        kind = tables.ResultKind.ANSWERED
    elif (
        response.status == STATUS_UNAVAILABLE
        and response.headers.get(headers.OUTCOME) == "not_run"
    ):
        kind = tables.ResultKind.NOT_RUN
    else:
        kind = tables.ResultKind.FAILED
    return tables.Result(kind, draining=draining)

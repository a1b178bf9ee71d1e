"""Sends attempts to targets over pooled HTTP connections."""

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

# No byte of the request was sent when one of these is raised.
CONNECT_ERRORS: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
# Longer responses are streamed to the caller.
DEFAULT_MAX_BUFFERED_BYTES: Final = 256 * 1024
# A timer that runs later than this was delayed by a pause of the process.
MAX_TIMER_DELAY_SECONDS: Final = 0.02
STATUS_UNAVAILABLE: Final = 503
MIN_ERROR_STATUS: Final = 500
BODILESS_STATUSES: Final = frozenset({204, 304})


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request to send to a target or to another gateway.

    Attributes:
        method: HTTP method.
        path: Path and query, exactly as the caller sent them.
        fields: Header fields to send.
        body: Complete body, the caller's stream, or None.
        deadline: Time by which the caller needs the response, loop clock.
    """

    method: str
    path: str
    fields: CIMultiDict[str]
    body: exchanges.Body
    deadline: float

    def is_consumed(self) -> bool:
        """Returns True if the body was consumed and cannot be sent again."""
        body = self.body
        return (
            body is not None and not isinstance(body, bytes) and body.consumed
        )


@dataclasses.dataclass(slots=True)
class AttemptResult:
    """The result of one attempt and its response.

    Attributes:
        result: Result for the core, or None if the response is still open.
        complete_response: The complete response, if it was buffered.
        open_response: The open response, if it is to be streamed.
    """

    result: tables.Result | None
    complete_response: idempotency.Response | None = None
    open_response: exchanges.TargetResponse | None = None


class Egress:
    """Holds the connections of a gateway to targets and other gateways.

    Attributes:
        unresponsive_count: Pooled connections that were found unresponsive or
            broken.
        on_unresponsive: Called with the peer's address for each of them.
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
        max_buffered_bytes: int = DEFAULT_MAX_BUFFERED_BYTES,
        route: str = "",
    ) -> AttemptResult:
        """Sends one attempt and reads its response if it is short.

        A request that may not be sent twice gets a connection of its own: a
        pooled connection may have failed since its last use, and it would
        then be unknown whether the request ran.

        Args:
            address: host:port to send to.
            outgoing: Request to send.
            may_retry_connection: True if the request may be sent again when
                a pooled connection proves broken or unresponsive.
            max_buffered_bytes: Longest response to buffer, in bytes.
            route: Route of the request, whose time to first byte is recorded;
                "" records no time and never suspects the connection.

        Raises:
            TimeoutError: If the deadline passed.
        """
        try:
            async with asyncio.timeout_at(outgoing.deadline):
                response = await self._send_with_retry(
                    address, outgoing, may_retry_connection, route
                )
                return await _read_response(response, max_buffered_bytes)
        except CONNECT_ERRORS:
            refused = tables.Result(
                tables.ResultKind.NOT_RUN, connection_refused=True
            )
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
        """Sends a request, a second time if a pooled connection failed.

        Returns:
            The open response.

        Raises:
            TargetUnreachableError: If a pooled connection failed and the second
                connection could not be opened, or the first broke and the
                second was unresponsive.
            aiohttp.ClientError: If the first connection could not be opened, or
                a connection failed and the request is not sent once more.
            OSError: As above; TimeoutError if the connection was suspected to
                be unresponsive.
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
            # The request may have run after it was sent the first time, so the
            # attempt must not count as refused.
            raise errors.TargetUnreachableError(address) from error
        except TimeoutError as error:
            # A crashing target may still accept a connection, so a timeout
            # after a broken connection counts as a crash.
            if timed_out:
                raise
            raise errors.TargetUnreachableError(address) from error

    def _start_exchange(
        self, outgoing: OutgoingRequest, may_retry: bool, route: str
    ) -> connections.Exchange:
        """Returns a new exchange with the time from which it is suspected."""
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
        """Sends a request over one connection; returns the open response.

        Raises:
            aiohttp.ClientError: If the connection was not opened or failed.
            OSError: As above; TimeoutError if the connection was suspected to
                be unresponsive.
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
        """Starts the timer that runs when an exchange becomes suspect."""
        exchange.timer = self._loop.call_at(
            exchange.suspect_at, self._on_suspicion_timer, exchange, outgoing
        )

    def _on_suspicion_timer(
        self, exchange: connections.Exchange, outgoing: OutgoingRequest
    ) -> None:
        """Ends an exchange without a response, if the budget allows it.

        After a pause of this process, the response or the end of the
        connection may have arrived unread. A late timer is therefore started
        once more, so that the event loop reads the connection first.
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
        """Stops the reuse of pooled connections to a peer after one failed.

        The other connections may have failed in the same way.
        """
        self._reusing_connector.invalidate_peer(address)
        self.unresponsive_count += 1
        self.on_unresponsive(address)


async def _read_response(
    response: exchanges.TargetResponse, max_buffered_bytes: int
) -> AttemptResult:
    """Reads a short response completely, or returns a long one open.

    An error response without a length that exceeds `max_buffered_bytes` is
    dropped and counts as lost.
    """
    bodiless = response.method == "HEAD" or response.status in BODILESS_STATUSES
    length = 0 if bodiless else response.content_length
    # An error response is buffered even without a length, so that its
    # request can be retried.
    buffer_error = length is None and response.status >= MIN_ERROR_STATUS
    if not buffer_error and (length is None or length > max_buffered_bytes):
        return AttemptResult(None, open_response=response)
    try:
        body = await _read_up_to(response, max_buffered_bytes)
    except BaseException:
        response.close()
        raise
    if body is None:
        response.close()
        return AttemptResult(tables.Result(tables.ResultKind.LOST))
    fields = headers.list_end_to_end(response.headers)
    if bodiless and "Content-Length" in response.headers:
        fields.append(("Content-Length", response.headers["Content-Length"]))
    complete_response = idempotency.Response(
        response.status, tuple(fields), body
    )
    return AttemptResult(
        classify_response(response), complete_response=complete_response
    )


async def _read_up_to(
    response: exchanges.TargetResponse, max_bytes: int
) -> bytes | None:
    """Returns the complete body, or None if it exceeds `max_bytes`."""
    content = response.content
    # A short response usually arrives in one piece.
    if content.is_eof():
        body = content.read_nowait()
        return body if len(body) <= max_bytes else None
    chunks: list[bytes] = []
    size = 0
    while chunk := await content.readany():
        chunks.append(chunk)
        size += len(chunk)
        if size > max_bytes:
            return None
    response.release()
    return b"".join(chunks)


def classify_response(response: exchanges.TargetResponse) -> tables.Result:
    """Returns the result that a complete response means for the core."""
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

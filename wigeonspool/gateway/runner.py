"""Carries out the core's actions for one request until it ends."""

from collections.abc import Awaitable, Callable
import dataclasses

from aiohttp import web

from wigeonspool import eventlog
from wigeonspool.core import actions
from wigeonspool.core import idempotency
from wigeonspool.core import tables
from wigeonspool.gateway import egress
from wigeonspool.gateway import exchanges
from wigeonspool.gateway import relay
from wigeonspool.gateway import scheduler as schedulers
from wigeonspool.gateway import streaming
from wigeonspool.model import entities
from wigeonspool.model import events
from wigeonspool.model import outcomes

RequestResult = idempotency.Response | outcomes.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class AtMostOnceHooks:
    """Callbacks that record the attempts of a non-idempotent request.

    Attributes:
        before_send: Returns True if an attempt may be sent now.
        after_not_run: Called after an attempt that provably did not run.
        read_open_response: Reads a response of unknown or great length.
    """

    before_send: Callable[[], bool]
    after_not_run: Callable[[], None]
    read_open_response: Callable[
        [exchanges.TargetResponse], Awaitable[egress.AttemptResult]
    ]


class RequestRunner:
    """Runs requests on the targets that the core chooses."""

    def __init__(
        self,
        scheduler: schedulers.Scheduler,
        client: egress.Egress,
        log: eventlog.EventLog,
    ) -> None:
        self._scheduler = scheduler
        self._client = client
        self._log = log

    def create_row(
        self,
        route: entities.Route,
        deadline: float,
        idempotent: bool,
        fingerprint: int = 0,
    ) -> tables.RequestRow:
        """Returns the row of a new request.

        Args:
            route: Route that the request matched.
            deadline: Time by which the caller needs the response, loop clock.
            idempotent: True if the request may run more than once.
            fingerprint: Number that is equal for resends of the same request.
        """
        return tables.RequestRow(
            request_id=self._scheduler.create_id(),
            pool=route.pool,
            route=route.name,
            deadline=deadline,
            idempotent=idempotent,
            priority=route.priority,
            fingerprint=fingerprint,
        )

    async def run_at_most_once(
        self,
        row: tables.RequestRow,
        outgoing: egress.OutgoingRequest,
        request_id: str,
        hooks: AtMostOnceHooks,
    ) -> RequestResult:
        """Runs a request at most once and returns its complete response.

        Args:
            row: Row of the request.
            outgoing: Request to send to a target.
            request_id: Identity of the request on the timeline.
            hooks: Callbacks that run around each attempt.

        Returns:
            The complete response, or the failure. If a hook streamed the
            response to the caller, the returned one has an empty body.
        """
        try:
            result = await self._run(row, outgoing, request_id, None, hooks)
        except BaseException:
            self._scheduler.abandon(row)
            raise
        assert not isinstance(result, streaming.StreamedResponse)
        return result

    async def run(
        self,
        row: tables.RequestRow,
        outgoing: egress.OutgoingRequest,
        request_id: str,
        request: web.BaseRequest,
    ) -> RequestResult | streaming.StreamedResponse:
        """Runs a request; a long response is streamed to the caller.

        Args:
            row: Row of the request.
            outgoing: Request to send to a target.
            request_id: Identity of the request on the timeline.
            request: Request of the caller, to stream to.

        Returns:
            The complete response, the response that was streamed, or the
            failure.
        """
        try:
            return await self._run(row, outgoing, request_id, request, None)
        except BaseException:
            self._scheduler.abandon(row)
            raise

    async def _run(
        self,
        row: tables.RequestRow,
        outgoing: egress.OutgoingRequest,
        request_id: str,
        request: web.BaseRequest | None,
        hooks: AtMostOnceHooks | None,
    ) -> RequestResult | streaming.StreamedResponse:
        """Carries out the core's actions until the request ends."""
        complete_response: idempotency.Response | None = None
        if self._scheduler.sampler.should_sample():
            row.sample_id = request_id
        try:
            action = await self._scheduler.submit(row)
            while isinstance(action, actions.Send):
                if hooks is not None and not hooks.before_send():
                    return self._expire(row, sent=False)
                self._log.record(
                    events.Kind.REQUEST_SENT, request_id, action.target
                )
                if outgoing.is_consumed():
                    return self._fail_consumed_body(row)
                attempt = await self._send_attempt(row, action, outgoing, hooks)
                if attempt.open_response is not None:
                    assert request is not None, "no caller to stream to"
                    return await self._stream_response(
                        request, request_id, row, action, attempt.open_response
                    )
                complete_response = attempt.complete_response
                assert attempt.result is not None
                not_run = attempt.result.kind is tables.ResultKind.NOT_RUN
                if hooks is not None and not_run:
                    hooks.after_not_run()
                action = await self._scheduler.finish(
                    row, action.target, attempt.result
                )
        except TimeoutError:
            return self._expire(row)
        if isinstance(action, actions.Settle) and action.failure is not None:
            return action.failure
        assert complete_response is not None
        return complete_response

    def _expire(
        self, row: tables.RequestRow, sent: bool = True
    ) -> outcomes.Failure:
        """Ends a request whose deadline passed.

        Args:
            row: Row of the request.
            sent: False if the attempt that the core started was not sent.

        Returns:
            An unknown outcome if an attempt may have run, else a refusal.
        """
        running = sent and row.state is tables.RequestState.RUNNING
        self._scheduler.abandon(row)
        if running or row.may_have_run:
            return outcomes.build_unknown_outcome(
                outcomes.Reason.DEADLINE_PASSED
            )
        return outcomes.build_refusal(outcomes.Reason.DEADLINE_PASSED)

    def _fail_consumed_body(self, row: tables.RequestRow) -> outcomes.Failure:
        """Ends a request whose body was consumed and cannot be sent again."""
        self._scheduler.abandon(row)
        if row.may_have_run:
            return outcomes.build_unknown_outcome(
                outcomes.Reason.TARGET_REFUSED
            )
        return outcomes.build_refusal(outcomes.Reason.TARGET_REFUSED)

    async def _send_attempt(
        self,
        row: tables.RequestRow,
        action: actions.Send,
        outgoing: egress.OutgoingRequest,
        hooks: AtMostOnceHooks | None,
    ) -> egress.AttemptResult:
        """Sends one attempt and returns its result or its open response."""
        if hooks is None:
            return await self._client.send_attempt(
                action.target,
                outgoing,
                may_retry_connection=row.idempotent,
                route=row.route,
            )
        attempt = await self._client.send_attempt(
            action.target,
            outgoing,
            may_retry_connection=False,
            max_buffered_bytes=relay.MAX_BUFFERED_RESPONSE_BYTES,
        )
        if attempt.open_response is not None:
            return await hooks.read_open_response(attempt.open_response)
        return attempt

    async def _stream_response(
        self,
        request: web.BaseRequest,
        request_id: str,
        row: tables.RequestRow,
        action: actions.Send,
        source: exchanges.TargetResponse,
    ) -> streaming.StreamedResponse:
        """Streams a long response and reports its result to the core."""
        streamed = await streaming.stream_response(
            request, request_id, source, row.deadline
        )
        if streamed.failure is None:
            result = egress.classify_response(source)
        else:
            result = tables.Result(tables.ResultKind.LOST)
        # The caller already has a part of the response, so the core must not
        # start another attempt.
        row.idempotent = False
        await self._scheduler.finish(row, action.target, result)
        return streamed

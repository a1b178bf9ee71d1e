"""Follows the core's actions for one request until it ends."""

from collections.abc import Awaitable, Callable
import dataclasses

from aiohttp import web

from wigeonspool import eventlog
from wigeonspool.core import actions
from wigeonspool.core import once
from wigeonspool.core import tables
from wigeonspool.gateway import egress
from wigeonspool.gateway import exchanges
from wigeonspool.gateway import relay
from wigeonspool.gateway import scheduler as schedulers
from wigeonspool.gateway import streaming
from wigeonspool.model import entities
from wigeonspool.model import events
from wigeonspool.model import outcomes

Ending = once.Answer | outcomes.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class OnceGuard:
    """What the table of non-idempotent requests must hear of attempts.

    Attributes:
        before_send: Returns True if an attempt may leave now.
        after_not_run: Called after an attempt that provably did not run.
        read_open: Reads an answer of unknown or great length.
    """

    before_send: Callable[[], bool]
    after_not_run: Callable[[], None]
    read_open: Callable[[exchanges.TargetResponse], Awaitable[egress.Attempt]]


class RequestRunner:
    """Runs requests on targets as the core decides."""

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
            route: Route that it matched.
            deadline: Time by which its caller wants the answer, loop clock.
            idempotent: True if it may run more than once.
            fingerprint: Equal for resends of the same request.
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

    async def run_whole(
        self,
        row: tables.RequestRow,
        outgoing: egress.Outgoing,
        request_id: str,
        guard: OnceGuard,
    ) -> Ending:
        """Runs a request at most once; its answer is held whole.

        Args:
            row: Row of the request.
            outgoing: What to send.
            request_id: Identity on the time line.
            guard: Hears of each attempt.
        """
        try:
            ending = await self._run(row, outgoing, request_id, None, guard)
        except BaseException:
            self._scheduler.abandon(row)
            raise
        assert not isinstance(ending, streaming.Streamed)
        return ending

    async def run(
        self,
        row: tables.RequestRow,
        outgoing: egress.Outgoing,
        request_id: str,
        request: web.BaseRequest,
    ) -> Ending | streaming.Streamed:
        """Runs a request; a long answer streams to the caller.

        Args:
            row: Row of the request.
            outgoing: What to send.
            request_id: Identity on the time line.
            request: Caller's request, to stream to.

        Returns:
            How the request ended, or the answer that was streamed.
        """
        try:
            return await self._run(row, outgoing, request_id, request, None)
        except BaseException:
            self._scheduler.abandon(row)
            raise

    async def _run(
        self,
        row: tables.RequestRow,
        outgoing: egress.Outgoing,
        request_id: str,
        request: web.BaseRequest | None,
        guard: OnceGuard | None,
    ) -> Ending | streaming.Streamed:
        """Follows the core's actions until the request ends."""
        answer: once.Answer | None = None
        if self._scheduler.sampler.take():
            row.sampled_as = request_id
        try:
            action = await self._scheduler.submit(row)
            while isinstance(action, actions.Send):
                if guard is not None and not guard.before_send():
                    return self._expire(row, sent=False)
                self._log.record(
                    events.Kind.REQUEST_SENT, request_id, action.target
                )
                if outgoing.is_spent():
                    return self._give_up(row)
                attempt = await self._attempt(row, action, outgoing, guard)
                if attempt.response is not None:
                    assert request is not None, "no caller to stream to"
                    return await self._stream(
                        request, request_id, row, action, attempt.response
                    )
                answer = attempt.answer
                assert attempt.result is not None
                not_run = attempt.result.kind is tables.ResultKind.NOT_RUN
                if guard is not None and not_run:
                    guard.after_not_run()
                action = await self._scheduler.finish(
                    row, action.target, attempt.result
                )
        except TimeoutError:
            return self._expire(row)
        if isinstance(action, actions.Settle) and action.failure is not None:
            return action.failure
        assert answer is not None
        return answer

    def _expire(
        self, row: tables.RequestRow, sent: bool = True
    ) -> outcomes.Failure:
        """Ends a request whose deadline passed.

        Args:
            row: Row of the request.
            sent: False if the attempt that the core began has not left.
        """
        running = sent and row.state is tables.RequestState.RUNNING
        self._scheduler.abandon(row)
        if running or row.may_have_run:
            return outcomes.doubt(outcomes.Reason.DEADLINE_PASSED)
        return outcomes.refuse(outcomes.Reason.DEADLINE_PASSED)

    def _give_up(self, row: tables.RequestRow) -> outcomes.Failure:
        """Ends a request whose body was taken and cannot be sent again."""
        self._scheduler.abandon(row)
        if row.may_have_run:
            return outcomes.doubt(outcomes.Reason.TARGET_REFUSED)
        return outcomes.refuse(outcomes.Reason.TARGET_REFUSED)

    async def _attempt(
        self,
        row: tables.RequestRow,
        action: actions.Send,
        outgoing: egress.Outgoing,
        guard: OnceGuard | None,
    ) -> egress.Attempt:
        """Sends one attempt."""
        if guard is None:
            return await self._client.attempt(
                action.target,
                outgoing,
                may_retry_connection=row.idempotent,
                route=row.route,
            )
        attempt = await self._client.attempt(
            action.target,
            outgoing,
            may_retry_connection=False,
            whole_bytes=relay.HELD_ANSWER_BYTES,
        )
        if attempt.response is not None:
            return await guard.read_open(attempt.response)
        return attempt

    async def _stream(
        self,
        request: web.BaseRequest,
        request_id: str,
        row: tables.RequestRow,
        action: actions.Send,
        source: exchanges.TargetResponse,
    ) -> streaming.Streamed:
        """Passes a long answer on, and tells the core how it ended."""
        streamed = await streaming.pass_on(
            request, request_id, source, row.deadline
        )
        if streamed.failure is None:
            result = egress.classify_answer(source)
        else:
            result = tables.Result(tables.ResultKind.LOST)
        # What was streamed cannot be taken back, so no attempt follows.
        row.idempotent = False
        await self._scheduler.finish(row, action.target, result)
        return streamed

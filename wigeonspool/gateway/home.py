"""Serves non-idempotent requests at the gateway that is their home.

Only the home that an assignment token names ever sends a request to a target,
and only the home says that a key was not run. Any other gateway asks the
home; if that is gone, the outcome is unknown.
"""

import asyncio
import dataclasses
import time
from typing import Final

import aiohttp
from aiohttp import web
import loguru

from wigeonspool.core import once
from wigeonspool.core import tables
from wigeonspool.gateway import egress
from wigeonspool.gateway import exchanges
from wigeonspool.gateway import forwarding
from wigeonspool.gateway import headers
from wigeonspool.gateway import incoming
from wigeonspool.gateway import outgoing as outgoings
from wigeonspool.gateway import proofs
from wigeonspool.gateway import relay
from wigeonspool.gateway import runner as runners
from wigeonspool.gateway import streaming
from wigeonspool.model import entities
from wigeonspool.model import options
from wigeonspool.model import outcomes
from wigeonspool.wire import tokens

Ending = runners.Ending | streaming.Streamed

SETTLE_SECONDS: Final = 0.25


@dataclasses.dataclass(slots=True)
class RunningRow:
    """A claimed key that has not ended.

    Attributes:
        deadline: Time by which it must end, on the monotonic clock.
        request_id: Identity on the time line of the send that claimed it.
        waiters: Requests of its caller that wait for its answer.
        reader: The one of them that an answer too long to hold streams to.
        response: The response to that one.
        task: Runs the request.
    """

    deadline: float
    request_id: str
    waiters: list[web.BaseRequest] = dataclasses.field(default_factory=list)
    reader: web.BaseRequest | None = None
    response: web.StreamResponse | None = None
    task: asyncio.Task[runners.Ending] | None = None

    def choose_reader(self) -> web.BaseRequest | None:
        """Returns a waiting request whose connection is open."""
        for request in self.waiters:
            if request.transport is not None:
                return request
        return None


class Home:
    """Holds the table of the requests that only this gateway may run.

    Attributes:
        draining: True once no new key may run here.
    """

    def __init__(
        self,
        gateway: entities.Gateway,
        settings: options.GatewayOptions,
        signer: tokens.TokenSigner,
        runner: runners.RequestRunner,
        client: egress.Egress,
    ) -> None:
        """Prepares an empty table.

        Args:
            gateway: This gateway.
            settings: Bounds of the table and lifetime of tokens.
            signer: Checks assignment tokens.
            runner: Runs requests on targets.
            client: Asks other gateways.
        """
        self.draining = False
        self._gateway = gateway
        self._signer = signer
        self._runner = runner
        self._client = client
        self._table = once.OnceTable(
            settings.once_capacity,
            settings.once_answer_bytes,
            settings.token_seconds,
        )
        self._running: dict[once.Index, RunningRow] = {}

    def count_running(self) -> int:
        """Returns the number of keys that have not ended."""
        return len(self._running)

    async def serve(
        self,
        request: web.BaseRequest,
        route: entities.Route | None,
        request_id: str,
        deadline: float | outcomes.Failure,
    ) -> Ending:
        """Serves a request that may run at most once.

        Args:
            request: Request of a caller, or passed on by another gateway.
            route: Route that it matched, or None.
            request_id: Identity on the time line.
            deadline: Time by which its caller wants the answer, on the
                monotonic clock, or why there is none.

        Raises:
            BodyUnreadableError: If its body did not arrive; nothing was sent.
        """
        assignment = proofs.read_assignment(request, self._signer)
        if isinstance(assignment, outcomes.Failure):
            return assignment
        now = time.monotonic()
        limit = now if not isinstance(deadline, float) else deadline
        body = await incoming.read_bounded(
            request, max(limit, now + incoming.LEAST_BODY_SECONDS)
        )
        outgoing = outgoings.build_outgoing(request, request_id, body, limit)
        if assignment.home != self._gateway.name:
            # What the key stood for first may have run at its home.
            if isinstance(deadline, outcomes.Failure):
                return outcomes.doubt(deadline.reason)
            if body is None:
                return outcomes.doubt(outcomes.Reason.BODY_TOO_LARGE)
            return await forwarding.ask_home(
                self._client, request, assignment, outgoing, self._gateway.name
            )
        if assignment.incarnation != self._gateway.incarnation:
            return outcomes.doubt(outcomes.Reason.HOME_GONE)
        sent = once.Presentation(
            assignment.caller,
            request.headers[headers.KEY],
            outgoings.digest_request(outgoing),
            assignment.expires_at,
            incoming.read_attempt(request),
        )
        refusal = self._find_refusal(route, body, deadline)
        return await self._serve_here(
            request, route, request_id, sent, outgoing, refusal
        )

    def _find_refusal(
        self,
        route: entities.Route | None,
        body: bytes | None,
        deadline: float | outcomes.Failure,
    ) -> outcomes.Failure | None:
        """Returns why a new key may not run, or None."""
        if isinstance(deadline, outcomes.Failure):
            return deadline
        if route is None:
            return outcomes.refuse(outcomes.Reason.NO_ROUTE)
        if body is None:
            return outcomes.refuse(outcomes.Reason.BODY_TOO_LARGE)
        if deadline <= time.monotonic():
            return outcomes.refuse(outcomes.Reason.DEADLINE_PASSED)
        if self.draining:
            return outcomes.refuse(outcomes.Reason.DRAINING)
        return None

    async def _serve_here(
        self,
        request: web.BaseRequest,
        route: entities.Route | None,
        request_id: str,
        sent: once.Presentation,
        outgoing: egress.Outgoing,
        refusal: outcomes.Failure | None,
    ) -> Ending:
        """Runs a request, or tells what is known of it."""
        claim = self._table.claim(time.time(), sent)
        if isinstance(claim, outcomes.Failure):
            return claim
        if claim is None and refusal is not None:
            self._table.mark_refused(sent.index, refusal)
            return refusal
        if claim is None:
            assert route is not None
            self._start(route, request_id, sent.index, outgoing)
        running = self._running.get(sent.index)
        if running is None:
            row = self._table.find(sent.index)
            assert row is not None
            return once.tell_row(row)
        return await self._wait(request, running, outgoing.deadline)

    async def _wait(
        self, request: web.BaseRequest, running: RunningRow, deadline: float
    ) -> Ending:
        """Waits for the end of a running key.

        A caller that leaves does not cut the work.
        """
        assert running.task is not None
        running.waiters.append(request)
        if deadline >= running.deadline:
            # The run ends at its own deadline and knows whether it was sent.
            deadline = running.deadline + SETTLE_SECONDS
        try:
            async with asyncio.timeout_at(deadline):
                ending = await asyncio.shield(running.task)
        except TimeoutError:
            if running.reader is not request:
                return outcomes.doubt(outcomes.Reason.IN_PROGRESS)
            ending = await asyncio.shield(running.task)
        finally:
            running.waiters.remove(request)
        if running.reader is None:
            return ending
        if running.reader is request and running.response is not None:
            failure = ending if isinstance(ending, outcomes.Failure) else None
            return streaming.Streamed(running.response, failure)
        return outcomes.doubt(outcomes.Reason.ANSWER_NOT_KEPT)

    def _start(
        self,
        route: entities.Route,
        request_id: str,
        index: once.Index,
        outgoing: egress.Outgoing,
    ) -> None:
        """Starts to run a claimed request."""
        running = RunningRow(outgoing.deadline, request_id)
        self._running[index] = running
        running.task = asyncio.get_running_loop().create_task(
            self._run(route, index, outgoing, running)
        )

    async def _run(
        self,
        route: entities.Route,
        index: once.Index,
        outgoing: egress.Outgoing,
        running: RunningRow,
    ) -> runners.Ending:
        """Runs a claimed request and records how it ended."""
        row = self._runner.create_row(
            route,
            outgoing.deadline,
            idempotent=False,
            fingerprint=outgoings.find_fingerprint(outgoing),
        )
        guard = runners.OnceGuard(
            before_send=lambda: self._may_send(index, outgoing.deadline),
            after_not_run=lambda: self._table.allow_retry(index),
            read_open=lambda source: self._read_open(source, running),
        )
        ending: runners.Ending
        ending = outcomes.doubt(outcomes.Reason.CONNECTION_LOST)
        try:
            ending = await self._runner.run_whole(
                row, outgoing, running.request_id, guard
            )
        except Exception:
            loguru.logger.exception("request {} failed", running.request_id)
        finally:
            del self._running[index]
            ending = self._record(index, ending, running)
        return ending

    def _may_send(self, index: once.Index, deadline: float) -> bool:
        """Returns True if an attempt may leave now.

        The clocks are read here, right before the act, since the process may
        have been paused since the core decided.
        """
        if time.monotonic() >= deadline:
            return False
        return self._table.mark_sent(time.time(), index)

    def _record(
        self, index: once.Index, ending: runners.Ending, running: RunningRow
    ) -> runners.Ending:
        """Records how a key ended; returns what its caller is told."""
        if isinstance(ending, once.Answer):
            if running.reader is not None:
                failure = outcomes.doubt(outcomes.Reason.ANSWER_NOT_KEPT)
                self._table.mark_unknown(index, failure)
            else:
                self._table.mark_answered(index, ending)
            return ending
        if ending.outcome is outcomes.Outcome.NOT_RUN:
            if self._table.mark_refused(index, ending):
                return ending
            ending = outcomes.doubt(ending.reason)
        self._table.mark_unknown(index, ending)
        return ending

    async def _read_open(
        self, source: exchanges.TargetResponse, running: RunningRow
    ) -> egress.Attempt:
        """Reads an answer of unknown or great length.

        What is too long to hold goes to the first request that waits.
        """
        lost = egress.Attempt(tables.Result(tables.ResultKind.LOST))
        try:
            async with asyncio.timeout_at(running.deadline):
                head = await relay.read_head(source)
                if head.ended:
                    answer = relay.build_answer(source, head.content)
                    result = egress.classify_answer(source)
                    return egress.Attempt(result, answer=answer)
            running.reader = running.choose_reader()
            running.response = relay.build_response(source, running.request_id)
            await relay.pass_on(
                running.reader, running.response, source, head.content
            )
        except (aiohttp.ClientError, OSError):
            return lost
        finally:
            source.close()
        if running.reader is None:
            return lost
        result = tables.Result(tables.ResultKind.ANSWERED)
        return egress.Attempt(result, answer=relay.build_answer(source, b""))

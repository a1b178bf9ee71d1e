"""Takes requests from callers and gives each its own answer."""

import asyncio
import hashlib
import json
import time
from typing import Final

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from wigeonspool.core import actions
from wigeonspool.core import assignments
from wigeonspool.core import once
from wigeonspool.core import tables
from wigeonspool.gateway import answers
from wigeonspool.gateway import egress
from wigeonspool.gateway import headers
from wigeonspool.gateway import scheduler as schedulers
from wigeonspool.gateway import view as views
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import options
from wigeonspool.model import outcomes
from wigeonspool.process import EventLog
from wigeonspool.wire import tokens

HELD_BODY_BYTES: Final = 1024 * 1024
ONCE_ANSWER_BYTES: Final = 16 * 1024 * 1024
ASSIGNMENT_ID_CHARS: Final = 12

Ending = once.Answer | outcomes.Failure


class Ingress:
    """Serves callers on behalf of one gateway.

    Attributes:
        gateway: This gateway as others see it.
        counts: Requests that ended, by outcome and reason.
    """

    def __init__(
        self,
        gateway: entities.Gateway,
        settings: options.Options,
        view: views.FleetView,
        scheduler: schedulers.Scheduler,
        client: egress.Egress,
        log: EventLog,
    ) -> None:
        self.gateway = gateway
        self.counts: dict[tuple[str, str], int] = {}
        self.demand: dict[str, int] = {}
        self.draining = False
        self._settings = settings.gateway
        self._view = view
        self._scheduler = scheduler
        self._client = client
        self._log = log
        self._signer = tokens.TokenSigner(settings.token_keys)
        self._once = once.OnceTable(settings.gateway.once_capacity)
        self._running: dict[tuple[str, str], asyncio.Task[Ending]] = {}
        self._loop = asyncio.get_running_loop()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one HTTP request of a caller."""
        if request.path == headers.ADDRESS_PATH:
            return self._answer_address(request)
        request_id = request.headers.get(headers.REQUEST)
        if request_id is None:
            request_id = f"{self.gateway.name}-{self._scheduler.create_id()}"
        response = await self._serve_work(request, request_id)
        if self.draining:
            response.force_close()
        return response

    def _answer_address(self, request: web.BaseRequest) -> web.Response:
        """Answers which gateways a caller should use for a pool."""
        pool = request.query.get("pool", "")
        zone = request.query.get("zone", self.gateway.zone)
        caller = request.headers.get(headers.CALLER, "")
        if pool not in self._view.tables.pools:
            failure = outcomes.refuse(outcomes.Reason.NOT_CONFIGURED)
            return answers.build_problem(failure, "")
        chosen = assignments.choose_gateways(
            pool,
            zone,
            self._view.gateways.values(),
            self._settings.gateways_per_pool,
        )
        if not chosen:
            failure = outcomes.refuse(outcomes.Reason.DRAINING)
            return answers.build_problem(failure, "")
        home = chosen[self._scheduler.create_id() % len(chosen)]
        assignment = tokens.Assignment(
            tokens.create_assignment_id(),
            caller,
            home.name,
            home.incarnation,
            home.address,
            time.time() + self._settings.token_seconds,
        )
        document = {
            "pool": pool,
            "addresses": [{"address": g.address, "weight": 1} for g in chosen],
            "assignment": {
                "id": assignment.assignment_id,
                "home": home.address,
                "token": self._signer.sign(assignment),
                "remaining_ms": int(self._settings.token_seconds * 1000),
            },
            "remaining_ms": int(self._settings.answer_seconds * 1000),
            "generation": self._view.tables.generation,
        }
        return web.Response(
            body=json.dumps(document).encode(),
            content_type="application/json",
        )

    async def _serve_work(
        self, request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        """Serves a request that belongs to a route."""
        route = self._view.routes.find(request.method, request.path)
        if route is None:
            return self._tell(
                outcomes.refuse(outcomes.Reason.NO_ROUTE), request_id
            )
        limit = read_remaining(request)
        if isinstance(limit, outcomes.Failure):
            return self._tell(limit, request_id)
        allowed = min(route.time_limit_seconds, limit)
        deadline = self._loop.time() + allowed
        self.demand[route.pool] = self.demand.get(route.pool, 0) + 1
        self._log.record(events.Kind.REQUEST_RECEIVED, request=request_id)
        if route.idempotent:
            return await self._serve_idempotent(
                request, route, request_id, deadline
            )
        ending = await self._serve_once(request, route, request_id, deadline)
        return self._tell(ending, request_id)

    def _tell(self, ending: Ending, request_id: str) -> web.Response:
        """Returns the response for a request that ended."""
        if isinstance(ending, outcomes.Failure):
            self._count(ending.outcome, ending.reason)
            detail = {"outcome": ending.outcome, "reason": ending.reason}
            self._log.record(
                events.Kind.REQUEST_SETTLED, request_id, detail=detail
            )
            return answers.build_problem(ending, request_id)
        self._count(outcomes.Outcome.ANSWERED, "")
        self._log.record(
            events.Kind.REQUEST_SETTLED,
            request_id,
            detail={"outcome": outcomes.Outcome.ANSWERED},
        )
        fields = CIMultiDict(ending.headers)
        fields[headers.OUTCOME] = outcomes.Outcome.ANSWERED
        fields[headers.REQUEST] = request_id
        return web.Response(
            status=ending.status, headers=fields, body=ending.body
        )

    def _count(self, outcome: str, reason: str) -> None:
        """Counts a request that ended."""
        index = (outcome, reason)
        self.counts[index] = self.counts.get(index, 0) + 1

    def _create_row(
        self, route: entities.Route, deadline: float, idempotent: bool
    ) -> tables.RequestRow:
        """Returns the row of a new request."""
        return tables.RequestRow(
            request_id=self._scheduler.create_id(),
            pool=route.pool,
            route=route.name,
            deadline=deadline,
            idempotent=idempotent,
            priority=route.priority,
        )

    async def _serve_idempotent(
        self,
        request: web.BaseRequest,
        route: entities.Route,
        request_id: str,
        deadline: float,
    ) -> web.StreamResponse:
        """Serves a request that may run more than once."""
        body, held = await read_body(request)
        outgoing = build_outgoing(request, request_id, body, deadline)
        row = self._create_row(route, deadline, idempotent=held)
        try:
            ending = await self._run(row, outgoing, request_id, request)
        except BaseException:
            self._scheduler.abandon(row)
            raise
        if isinstance(ending, web.StreamResponse):
            return ending
        return self._tell(ending, request_id)

    async def _run(
        self,
        row: tables.RequestRow,
        outgoing: egress.Outgoing,
        request_id: str,
        request: web.BaseRequest | None,
        once_key: tuple[str, str] | None = None,
    ) -> Ending | web.StreamResponse:
        """Follows the core's actions until the request ends.

        Args:
            row: Row of the request.
            outgoing: What to send.
            request_id: Identity on the time line.
            request: Caller's request to stream a long answer to; None if the
                answer must be held whole.
            once_key: Caller and key in the table of non-idempotent requests.
        """
        answer: once.Answer | None = None
        try:
            async with asyncio.timeout_at(row.deadline):
                action = await self._scheduler.submit(row)
            while isinstance(action, actions.Send):
                self._log.record(
                    events.Kind.REQUEST_SENT, request_id, action.target
                )
                attempt = await self._attempt(action, row, outgoing, once_key)
                if attempt.response is not None and request is not None:
                    return await self._stream(
                        request, request_id, row, action.target, attempt
                    )
                answer = attempt.answer
                if once_key is not None and answer is None:
                    self._note_lost(once_key, attempt)
                assert attempt.result is not None
                async with asyncio.timeout_at(row.deadline):
                    action = await self._scheduler.finish(
                        row, action.target, attempt.result
                    )
        except TimeoutError:
            self._scheduler.abandon(row)
            ran = row.may_have_run or row.state is tables.RequestState.SETTLED
            if row.attempts and ran:
                return outcomes.doubt(outcomes.Reason.DEADLINE_PASSED)
            return outcomes.refuse(outcomes.Reason.DEADLINE_PASSED)
        if isinstance(action, actions.Settle) and action.failure is not None:
            return action.failure
        assert answer is not None
        return answer

    def _note_lost(
        self, once_key: tuple[str, str], attempt: egress.Attempt
    ) -> None:
        """Frees a key for another attempt if this one did not run."""
        result = attempt.result
        if result is not None and result.kind is tables.ResultKind.NOT_RUN:
            self._once.allow_retry(*once_key)

    async def _attempt(
        self,
        action: actions.Send,
        row: tables.RequestRow,
        outgoing: egress.Outgoing,
        once_key: tuple[str, str] | None,
    ) -> egress.Attempt:
        """Sends one attempt."""
        if once_key is None:
            attempt = await self._client.attempt(
                action.target, outgoing, may_retry_connection=True
            )
        else:
            attempt = await self._client.attempt(
                action.target,
                outgoing,
                may_retry_connection=False,
                before_send=lambda: self._once.mark_sent(*once_key),
                whole_bytes=ONCE_ANSWER_BYTES,
            )
        return attempt

    async def _stream(
        self,
        request: web.BaseRequest,
        request_id: str,
        row: tables.RequestRow,
        target: str,
        attempt: egress.Attempt,
    ) -> web.StreamResponse:
        """Passes a long answer on as it arrives."""
        source = attempt.response
        assert source is not None
        fields = CIMultiDict(egress.filter_fields(source.headers))
        fields[headers.OUTCOME] = outcomes.Outcome.ANSWERED
        fields[headers.REQUEST] = request_id
        response = web.StreamResponse(status=source.status, headers=fields)
        if source.content_length is not None:
            response.content_length = source.content_length
        result = tables.Result(tables.ResultKind.LOST)
        try:
            async with asyncio.timeout_at(row.deadline):
                await response.prepare(request)
                async for chunk in source.content.iter_any():
                    await response.write(chunk)
                await response.write_eof()
            result = egress.classify_answer(source)
        except (TimeoutError, aiohttp.ClientError, OSError):
            # The caller must see that the answer is not whole.
            if request.transport is not None:
                request.transport.abort()
        finally:
            source.close()
            row.idempotent = False
            if result.kind is tables.ResultKind.LOST:
                self._scheduler.abandon(row)
        if result.kind is not tables.ResultKind.LOST:
            await self._scheduler.finish(row, target, result)
            self._count(outcomes.Outcome.ANSWERED, "")
        else:
            self._count(
                outcomes.Outcome.UNKNOWN, outcomes.Reason.CONNECTION_LOST
            )
        return response

    async def _serve_once(
        self,
        request: web.BaseRequest,
        route: entities.Route,
        request_id: str,
        deadline: float,
    ) -> Ending:
        """Serves a request that may run at most once."""
        body, held = await read_body(request)
        if not held or not (body is None or isinstance(body, bytes)):
            return outcomes.refuse(outcomes.Reason.BODY_TOO_LARGE)
        assignment = self._check_assignment(request)
        if isinstance(assignment, outcomes.Failure):
            return assignment
        outgoing = build_outgoing(request, request_id, body, deadline)
        if assignment.home != self.gateway.name:
            return await self._ask_home(request, assignment, outgoing)
        if assignment.incarnation != self.gateway.incarnation:
            return outcomes.doubt(outcomes.Reason.HOME_GONE)
        return await self._serve_home(
            request, route, request_id, assignment, outgoing
        )

    def _check_assignment(
        self, request: web.BaseRequest
    ) -> tokens.Assignment | outcomes.Failure:
        """Returns the assignment that a request proves.

        A key that was never valid cannot have run. Once a key has the form of
        a valid one, an earlier send of it may have run.
        """
        key = request.headers.get(headers.KEY)
        if key is None:
            return outcomes.refuse(outcomes.Reason.KEY_MISSING)
        prefix, _, rest = key.partition(".")
        if len(prefix) != ASSIGNMENT_ID_CHARS or not rest:
            return outcomes.refuse(outcomes.Reason.KEY_MALFORMED)
        token = request.headers.get(headers.ASSIGNMENT)
        if token is None:
            return outcomes.doubt(outcomes.Reason.TOKEN_MISSING)
        try:
            assignment = self._signer.verify(token)
        except errors.TokenError:
            return outcomes.doubt(outcomes.Reason.TOKEN_INVALID)
        caller = request.headers.get(headers.CALLER, "")
        if assignment.caller != caller or assignment.assignment_id != prefix:
            return outcomes.doubt(outcomes.Reason.TOKEN_INVALID)
        return assignment

    async def _ask_home(
        self,
        request: web.BaseRequest,
        assignment: tokens.Assignment,
        outgoing: egress.Outgoing,
    ) -> Ending:
        """Passes a request to the gateway that may run it."""
        if headers.FORWARDED in request.headers:
            return outcomes.doubt(outcomes.Reason.HOME_GONE)
        outgoing.fields[headers.FORWARDED] = self.gateway.name
        outgoing.fields[headers.ASSIGNMENT] = request.headers[
            headers.ASSIGNMENT
        ]
        try:
            attempt = await self._client.attempt(
                assignment.address,
                outgoing,
                may_retry_connection=True,
                whole_bytes=ONCE_ANSWER_BYTES,
            )
        except TimeoutError:
            return outcomes.doubt(outcomes.Reason.HOME_UNREACHABLE)
        if attempt.answer is None:
            return outcomes.doubt(outcomes.Reason.HOME_UNREACHABLE)
        return read_forwarded(attempt.answer)

    async def _serve_home(
        self,
        request: web.BaseRequest,
        route: entities.Route,
        request_id: str,
        assignment: tokens.Assignment,
        outgoing: egress.Outgoing,
    ) -> Ending:
        """Runs a request, or tells what is known of it."""
        index = (assignment.caller, request.headers[headers.KEY])
        digest = digest_request(outgoing)
        claim = self._once.claim(
            time.time(), *index, digest, assignment.expires_at
        )
        if isinstance(claim, outcomes.Failure):
            return claim
        if claim is None:
            task = self._loop.create_task(
                self._run_once(route, request_id, index, outgoing)
            )
            self._running[index] = task
            task.add_done_callback(lambda _: self._running.pop(index, None))
        elif claim.answer is not None:
            return claim.answer
        running = self._running.get(index)
        if running is None:
            return outcomes.doubt(outcomes.Reason.CONNECTION_LOST)
        try:
            # A caller that leaves does not cut work that must not repeat.
            async with asyncio.timeout_at(outgoing.deadline):
                return await asyncio.shield(running)
        except TimeoutError:
            return outcomes.doubt(outcomes.Reason.IN_PROGRESS)

    async def _run_once(
        self,
        route: entities.Route,
        request_id: str,
        index: tuple[str, str],
        outgoing: egress.Outgoing,
    ) -> Ending:
        """Runs a claimed request and records how it ended."""
        row = self._create_row(route, outgoing.deadline, idempotent=False)
        ending: Ending = outcomes.doubt(outcomes.Reason.CONNECTION_LOST)
        try:
            result = await self._run(row, outgoing, request_id, None, index)
            assert not isinstance(result, web.StreamResponse)
            ending = result
        finally:
            if isinstance(ending, once.Answer):
                self._once.mark_answered(*index, ending)
            elif ending.outcome is outcomes.Outcome.NOT_RUN:
                self._once.mark_not_run(*index)
            else:
                self._once.mark_unknown(*index)
        return ending


def read_remaining(request: web.BaseRequest) -> float | outcomes.Failure:
    """Returns the time that the caller grants, in seconds."""
    text = request.headers.get(headers.REMAINING_MS)
    if text is None:
        return float("inf")
    if not text.isdecimal():
        return outcomes.refuse(outcomes.Reason.BAD_REQUEST)
    return int(text) / 1000


async def read_body(request: web.BaseRequest) -> tuple[egress.Body, bool]:
    """Returns a request's body, and whether it is held whole."""
    if not request.body_exists:
        return None, True
    length = request.content_length
    if length is None or length > HELD_BODY_BYTES:
        return request.content, False
    return await request.read(), True


def build_outgoing(
    request: web.BaseRequest,
    request_id: str,
    body: egress.Body,
    deadline: float,
) -> egress.Outgoing:
    """Returns what a target gets of a request."""
    fields = CIMultiDict(egress.filter_fields(request.headers))
    fields.popall(headers.ASSIGNMENT, None)
    fields[headers.REQUEST] = request_id
    return egress.Outgoing(
        request.method, request.path_qs, fields, body, deadline
    )


def digest_request(outgoing: egress.Outgoing) -> bytes:
    """Returns a digest of what a request asks for."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{outgoing.method} {outgoing.path}\n".encode())
    if isinstance(outgoing.body, bytes):
        digest.update(outgoing.body)
    return digest.digest()


def read_forwarded(answer: once.Answer) -> Ending:
    """Returns the ending that the home told."""
    fields = CIMultiDict(answer.headers)
    outcome = fields.get(headers.OUTCOME, outcomes.Outcome.ANSWERED)
    if outcome == outcomes.Outcome.ANSWERED:
        return answer
    return outcomes.Failure(
        outcomes.Outcome(outcome), outcomes.Reason(fields[headers.REASON])
    )

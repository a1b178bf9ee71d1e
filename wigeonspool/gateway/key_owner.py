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

from wigeonspool.core import idempotency
from wigeonspool.core import tables
from wigeonspool.gateway import assignments
from wigeonspool.gateway import egress
from wigeonspool.gateway import exchanges
from wigeonspool.gateway import forwarding
from wigeonspool.gateway import headers
from wigeonspool.gateway import incoming_request
from wigeonspool.gateway import outgoing_request
from wigeonspool.gateway import relay
from wigeonspool.gateway import runner as runners
from wigeonspool.gateway import streaming
from wigeonspool.model import entities
from wigeonspool.model import options
from wigeonspool.model import outcomes
from wigeonspool.wire import tokens

ServedResult = runners.RequestResult | streaming.StreamedResponse

RESULT_GRACE_SECONDS: Final = 0.25


@dataclasses.dataclass(slots=True)
class RunningKey:
    """A claimed key that has not ended.

    Attributes:
        deadline: Time by which it must end, on the monotonic clock.
        request_id: Identity on the time line of the send that claimed it.
        waiters: Requests of its caller that wait for its answer.
        stream_receiver: The one of them that an answer too long to hold
            streams to.
        response: The response to that one.
        task: Runs the request.
    """

    deadline: float
    request_id: str
    waiters: list[web.BaseRequest] = dataclasses.field(default_factory=list)
    stream_receiver: web.BaseRequest | None = None
    response: web.StreamResponse | None = None
    task: asyncio.Task[runners.RequestResult] | None = None

    def find_connected_waiter(self) -> web.BaseRequest | None:
        """Returns a waiting request whose connection is open."""
        for request in self.waiters:
            if request.transport is not None:
                return request
        return None


class KeyOwner:
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
        self._table = idempotency.IdempotencyTable(
            settings.once_capacity,
            settings.once_answer_bytes,
            settings.token_seconds,
        )
        self._running_keys: dict[idempotency.KeyIndex, RunningKey] = {}

    def count_running(self) -> int:
        """Returns the number of keys that have not ended."""
        return len(self._running_keys)

    async def serve(
        self,
        request: web.BaseRequest,
        route: entities.Route | None,
        request_id: str,
        deadline: float | outcomes.Failure,
    ) -> ServedResult:
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
        assignment = assignments.verify_assignment(request, self._signer)
        if isinstance(assignment, outcomes.Failure):
            return assignment
        now = time.monotonic()
        limit = now if not isinstance(deadline, float) else deadline
        body = await incoming_request.read_buffered_body(
            request, max(limit, now + incoming_request.MIN_BODY_TIMEOUT_SECONDS)
        )
        outgoing = outgoing_request.build_outgoing(
            request, request_id, body, limit
        )
        if assignment.owner != self._gateway.name:
            # What the key stood for first may have run at its home.
            if isinstance(deadline, outcomes.Failure):
                return outcomes.build_unknown(deadline.reason)
            if body is None:
                return outcomes.build_unknown(outcomes.Reason.BODY_TOO_LARGE)
            return await forwarding.forward_to_owner(
                self._client, request, assignment, outgoing, self._gateway.name
            )
        if assignment.incarnation != self._gateway.incarnation:
            return outcomes.build_unknown(outcomes.Reason.HOME_GONE)
        presentation = idempotency.KeySubmission(
            assignment.caller,
            request.headers[headers.IDEMPOTENCY_KEY],
            outgoing_request.digest_request(outgoing),
            assignment.expires_at,
            incoming_request.parse_attempt_number(request),
        )
        refusal = self._check_admission(route, body, deadline)
        return await self._serve_as_owner(
            request, route, request_id, presentation, outgoing, refusal
        )

    def _check_admission(
        self,
        route: entities.Route | None,
        body: bytes | None,
        deadline: float | outcomes.Failure,
    ) -> outcomes.Failure | None:
        """Returns why a new key may not run, or None."""
        if isinstance(deadline, outcomes.Failure):
            return deadline
        if route is None:
            return outcomes.build_refusal(outcomes.Reason.NO_ROUTE)
        if body is None:
            return outcomes.build_refusal(outcomes.Reason.BODY_TOO_LARGE)
        if deadline <= time.monotonic():
            return outcomes.build_refusal(outcomes.Reason.DEADLINE_PASSED)
        if self.draining:
            return outcomes.build_refusal(outcomes.Reason.DRAINING)
        return None

    async def _serve_as_owner(
        self,
        request: web.BaseRequest,
        route: entities.Route | None,
        request_id: str,
        presentation: idempotency.KeySubmission,
        outgoing: egress.OutgoingRequest,
        refusal: outcomes.Failure | None,
    ) -> ServedResult:
        """Runs a request, or tells what is known of it."""
        reservation = self._table.reserve(time.time(), presentation)
        if isinstance(reservation, outcomes.Failure):
            return reservation
        if reservation is None and refusal is not None:
            self._table.mark_refused(presentation.index, refusal)
            return refusal
        if reservation is None:
            assert route is not None
            self._start(route, request_id, presentation.index, outgoing)
        running = self._running_keys.get(presentation.index)
        if running is None:
            row = self._table.find(presentation.index)
            assert row is not None
            return idempotency.find_outcome(row)
        return await self._wait_for_result(request, running, outgoing.deadline)

    async def _wait_for_result(
        self, request: web.BaseRequest, running: RunningKey, deadline: float
    ) -> ServedResult:
        """Waits for the end of a running key.

        A caller that leaves does not cut the work.
        """
        assert running.task is not None
        running.waiters.append(request)
        if deadline >= running.deadline:
            # The run ends at its own deadline and knows whether it was sent.
            deadline = running.deadline + RESULT_GRACE_SECONDS
        try:
            async with asyncio.timeout_at(deadline):
                result = await asyncio.shield(running.task)
        except TimeoutError:
            if running.stream_receiver is not request:
                return outcomes.build_unknown(outcomes.Reason.IN_PROGRESS)
            result = await asyncio.shield(running.task)
        finally:
            running.waiters.remove(request)
        if running.stream_receiver is None:
            return result
        if running.stream_receiver is request and running.response is not None:
            failure = result if isinstance(result, outcomes.Failure) else None
            return streaming.StreamedResponse(running.response, failure)
        return outcomes.build_unknown(outcomes.Reason.ANSWER_NOT_KEPT)

    def _start(
        self,
        route: entities.Route,
        request_id: str,
        index: idempotency.KeyIndex,
        outgoing: egress.OutgoingRequest,
    ) -> None:
        """Starts to run a claimed request."""
        running = RunningKey(outgoing.deadline, request_id)
        self._running_keys[index] = running
        running.task = asyncio.get_running_loop().create_task(
            self._run(route, index, outgoing, running)
        )

    async def _run(
        self,
        route: entities.Route,
        index: idempotency.KeyIndex,
        outgoing: egress.OutgoingRequest,
        running: RunningKey,
    ) -> runners.RequestResult:
        """Runs a claimed request and records how it ended."""
        row = self._runner.create_row(
            route,
            outgoing.deadline,
            idempotent=False,
            fingerprint=outgoing_request.fingerprint_request(outgoing),
        )
        hooks = runners.AtMostOnceHooks(
            before_send=lambda: self._mark_sent_if_allowed(
                index, outgoing.deadline
            ),
            after_not_run=lambda: self._table.allow_retry(index),
            read_open_response=lambda source: self._read_open_response(
                source, running
            ),
        )
        result: runners.RequestResult
        result = outcomes.build_unknown(outcomes.Reason.CONNECTION_LOST)
        try:
            result = await self._runner.run_at_most_once(
                row, outgoing, running.request_id, hooks
            )
        except Exception:
            loguru.logger.exception("request {} failed", running.request_id)
        finally:
            del self._running_keys[index]
            result = self._record_result(index, result, running)
        return result

    def _mark_sent_if_allowed(
        self, index: idempotency.KeyIndex, deadline: float
    ) -> bool:
        """Returns True if an attempt may leave now.

        The clocks are read here, right before the act, since the process may
        have been paused since the core decided.
        """
        if time.monotonic() >= deadline:
            return False
        return self._table.mark_sent(time.time(), index)

    def _record_result(
        self,
        index: idempotency.KeyIndex,
        result: runners.RequestResult,
        running: RunningKey,
    ) -> runners.RequestResult:
        """Records how a key ended; returns what its caller is told."""
        if isinstance(result, idempotency.Response):
            if running.stream_receiver is not None:
                failure = outcomes.build_unknown(
                    outcomes.Reason.ANSWER_NOT_KEPT
                )
                self._table.mark_unknown(index, failure)
            else:
                self._table.mark_answered(index, result)
            return result
        if result.outcome is outcomes.Outcome.NOT_RUN:
            if self._table.mark_refused(index, result):
                return result
            result = outcomes.build_unknown(result.reason)
        self._table.mark_unknown(index, result)
        return result

    async def _read_open_response(
        self, source: exchanges.TargetResponse, running: RunningKey
    ) -> egress.AttemptResult:
        """Reads an answer of unknown or great length.

        What is too long to hold goes to the first request that waits.
        """
        lost = egress.AttemptResult(tables.Result(tables.ResultKind.LOST))
        try:
            async with asyncio.timeout_at(running.deadline):
                head = await relay.read_body_head(source)
                if head.complete:
                    whole_response = relay.build_whole_response(
                        source, head.content
                    )
                    result = egress.classify_response(source)
                    return egress.AttemptResult(
                        result, whole_response=whole_response
                    )
            running.stream_receiver = running.find_connected_waiter()
            running.response = relay.build_stream_response(
                source, running.request_id
            )
            await relay.relay_response(
                running.stream_receiver, running.response, source, head.content
            )
        except (aiohttp.ClientError, OSError):
            return lost
        finally:
            source.close()
        if running.stream_receiver is None:
            return lost
        result = tables.Result(tables.ResultKind.ANSWERED)
        return egress.AttemptResult(
            result, whole_response=relay.build_whole_response(source, b"")
        )

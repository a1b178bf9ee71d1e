"""Serves non-idempotent requests at the gateway that owns their key.

Only the owner that an assignment token names sends the request to a target,
and only the owner reports a key as not run. Any other gateway forwards the
request to the owner; if the owner's incarnation has ended or cannot be
reached, the outcome is unknown.
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

# How long a request waits for the result of a running key past the deadline of
# that key.
RESULT_GRACE_SECONDS: Final = 0.25


@dataclasses.dataclass(slots=True)
class RunningKey:
    """A reserved key whose request is still running.

    Attributes:
        deadline: Time by which the request must end, loop clock.
        request_id: Timeline identity of the submission that reserved the key.
        waiters: Requests of the caller that wait for the response.
        stream_receiver: The waiting request that receives the response as a
            stream, if the response is too long to buffer.
        response: The response to `stream_receiver`.
        task: Task that runs the request.
    """

    deadline: float
    request_id: str
    waiters: list[web.BaseRequest] = dataclasses.field(default_factory=list)
    stream_receiver: web.BaseRequest | None = None
    response: web.StreamResponse | None = None
    task: asyncio.Task[runners.RequestResult] | None = None

    def find_connected_waiter(self) -> web.BaseRequest | None:
        """Returns a waiting request whose connection is open, or None."""
        for request in self.waiters:
            if request.transport is not None:
                return request
        return None


class KeyOwner:
    """Runs the requests whose keys this gateway owns, at most once each.

    Attributes:
        draining: True once this gateway refuses new keys.
    """

    def __init__(
        self,
        gateway: entities.Gateway,
        settings: options.GatewayOptions,
        signer: tokens.TokenSigner,
        runner: runners.RequestRunner,
        client: egress.Egress,
    ) -> None:
        """Creates an owner with an empty idempotency table.

        Args:
            gateway: This gateway.
            settings: Bounds of the table, and lifetime of tokens.
            signer: Verifies assignment tokens.
            runner: Runs requests on targets.
            client: Forwards requests to other gateways.
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
        """Returns the number of keys whose requests are still running."""
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
            request: Request of a caller, or forwarded by another gateway.
            route: Route that the request matched, or None.
            request_id: Identity of the request on the timeline.
            deadline: Time by which the caller needs the response, loop clock,
                or the failure if the request has no valid deadline.

        Raises:
            BodyUnreadableError: If the body did not arrive; nothing was sent.
        """
        assignment = assignments.verify_assignment(request, self._signer)
        if isinstance(assignment, outcomes.Failure):
            return assignment
        now = time.monotonic()
        send_deadline = now if not isinstance(deadline, float) else deadline
        body = await incoming_request.read_buffered_body(
            request,
            max(send_deadline, now + incoming_request.MIN_BODY_TIMEOUT_SECONDS),
        )
        outgoing = outgoing_request.build_outgoing(
            request, request_id, body, send_deadline
        )
        if assignment.owner != self._gateway.name:
            # An earlier submission of the key may have run at its owner.
            if isinstance(deadline, outcomes.Failure):
                return outcomes.build_unknown_outcome(deadline.reason)
            if body is None:
                return outcomes.build_unknown_outcome(
                    outcomes.Reason.BODY_TOO_LARGE
                )
            return await forwarding.forward_to_owner(
                self._client, request, assignment, outgoing, self._gateway.name
            )
        if assignment.incarnation != self._gateway.incarnation:
            return outcomes.build_unknown_outcome(outcomes.Reason.HOME_GONE)
        submission = idempotency.KeySubmission(
            assignment.caller,
            request.headers[headers.IDEMPOTENCY_KEY],
            outgoing_request.digest_request(outgoing),
            assignment.expires_at,
            incoming_request.parse_attempt_number(request),
        )
        refusal = self._check_admission(route, body, deadline)
        return await self._serve_as_owner(
            request, route, request_id, submission, outgoing, refusal
        )

    def _check_admission(
        self,
        route: entities.Route | None,
        body: bytes | None,
        deadline: float | outcomes.Failure,
    ) -> outcomes.Failure | None:
        """Returns why a new key is refused, or None if it may run."""
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
        submission: idempotency.KeySubmission,
        outgoing: egress.OutgoingRequest,
        refusal: outcomes.Failure | None,
    ) -> ServedResult:
        """Runs the request of a new key; else returns the key's result.

        Args:
            request: Request that carries the key.
            route: Route that the request matched, or None.
            request_id: Identity of the request on the timeline.
            submission: Submission of the key.
            outgoing: Request to send to a target.
            refusal: Why the key is refused if it is new, or None.
        """
        reservation = self._table.reserve(time.time(), submission)
        if isinstance(reservation, outcomes.Failure):
            return reservation
        if reservation is None and refusal is not None:
            self._table.mark_refused(submission.index, refusal)
            return refusal
        if reservation is None:
            assert route is not None
            self._start(route, request_id, submission.index, outgoing)
        running = self._running_keys.get(submission.index)
        if running is None:
            row = self._table.find(submission.index)
            assert row is not None
            return idempotency.find_outcome(row)
        return await self._wait_for_result(request, running, outgoing.deadline)

    async def _wait_for_result(
        self, request: web.BaseRequest, running: RunningKey, deadline: float
    ) -> ServedResult:
        """Waits for the result of a running key.

        The key keeps running if the caller disconnects or if `deadline` passes
        first; then the outcome is unknown with the reason in-progress.
        """
        assert running.task is not None
        running.waiters.append(request)
        if deadline >= running.deadline:
            # The key stops running at its own deadline. Its result shows
            # whether an attempt was sent, so it is worth a short wait.
            deadline = running.deadline + RESULT_GRACE_SECONDS
        try:
            async with asyncio.timeout_at(deadline):
                result = await asyncio.shield(running.task)
        except TimeoutError:
            if running.stream_receiver is not request:
                return outcomes.build_unknown_outcome(
                    outcomes.Reason.IN_PROGRESS
                )
            # A response that has begun may end after the deadline.
            result = await asyncio.shield(running.task)
        finally:
            running.waiters.remove(request)
        if running.stream_receiver is None:
            return result
        if running.stream_receiver is request and running.response is not None:
            failure = result if isinstance(result, outcomes.Failure) else None
            return streaming.StreamedResponse(running.response, failure)
        return outcomes.build_unknown_outcome(outcomes.Reason.ANSWER_NOT_KEPT)

    def _start(
        self,
        route: entities.Route,
        request_id: str,
        index: idempotency.KeyIndex,
        outgoing: egress.OutgoingRequest,
    ) -> None:
        """Starts the task that runs the request of a reserved key."""
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
        """Runs the request of a reserved key and records its result."""
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
        result = outcomes.build_unknown_outcome(outcomes.Reason.CONNECTION_LOST)
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
        """Returns True, and marks the key as sent, if it may be sent now.

        The clocks are read here, right before sending, since the process may
        have been paused after the core chose a target.
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
        """Records the result of a key; returns the result for its caller."""
        if isinstance(result, idempotency.Response):
            if running.stream_receiver is not None:
                failure = outcomes.build_unknown_outcome(
                    outcomes.Reason.ANSWER_NOT_KEPT
                )
                self._table.mark_unknown(index, failure)
            else:
                self._table.mark_answered(index, result)
            return result
        if result.outcome is outcomes.Outcome.NOT_RUN:
            if self._table.mark_refused(index, result):
                return result
            result = outcomes.build_unknown_outcome(result.reason)
        self._table.mark_unknown(index, result)
        return result

    async def _read_open_response(
        self, source: exchanges.TargetResponse, running: RunningKey
    ) -> egress.AttemptResult:
        """Reads a response of unknown or great length.

        A response that is too long to buffer is streamed to the first waiting
        request whose connection is open. If there is none, the response is read
        to its end and counts as lost.
        """
        lost = egress.AttemptResult(tables.Result(tables.ResultKind.LOST))
        try:
            async with asyncio.timeout_at(running.deadline):
                prefix = await relay.read_body_prefix(source)
                if prefix.complete:
                    complete_response = relay.build_complete_response(
                        source, prefix.content
                    )
                    result = egress.classify_response(source)
                    return egress.AttemptResult(
                        result, complete_response=complete_response
                    )
            running.stream_receiver = running.find_connected_waiter()
            running.response = relay.build_stream_response(
                source, running.request_id
            )
            await relay.relay_response(
                running.stream_receiver,
                running.response,
                source,
                prefix.content,
            )
        except (aiohttp.ClientError, OSError):
            return lost
        finally:
            source.close()
        if running.stream_receiver is None:
            return lost
        result = tables.Result(tables.ResultKind.ANSWERED)
        return egress.AttemptResult(
            result, complete_response=relay.build_complete_response(source, b"")
        )

"""Receives requests from callers and sends each its response."""

import asyncio
import time
from typing import Final

from aiohttp import web
from aioprometheus import histogram

from wigeonspool import eventlog
from wigeonspool.core import idempotency
from wigeonspool.gateway import address_lookup
from wigeonspool.gateway import egress
from wigeonspool.gateway import fleet_view
from wigeonspool.gateway import headers
from wigeonspool.gateway import incoming_request
from wigeonspool.gateway import key_owner as key_owners
from wigeonspool.gateway import outgoing_request
from wigeonspool.gateway import pauses
from wigeonspool.gateway import responses
from wigeonspool.gateway import runner as runners
from wigeonspool.gateway import scheduler as schedulers
from wigeonspool.gateway import streaming
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import options
from wigeonspool.model import outcomes
from wigeonspool.wire import tokens

ERROR_RESPONSE_TIMEOUT_SECONDS: Final = 1.0
# Time limit of a request with an assignment that no route matches. A route may
# have matched an earlier submission of its key, so its owner still serves it.
NO_ROUTE_TIMEOUT_SECONDS: Final = 10.0
# Upper bounds of the buckets of the duration histogram.
DURATION_BUCKETS_SECONDS: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    10.0,
    60.0,
)


class Ingress:
    """Serves callers on behalf of one gateway.

    Attributes:
        gateway: This gateway as it reports itself to others.
        request_counts: Completed requests, by outcome and reason.
        durations: Seconds from the arrival of an answered request's head to
            the end of its response, by pool.
        demand: Requests received since the last report, by pool.
        draining: True once the gateway prepares to stop and moves its callers
            to other gateways.
        in_flight: Requests received and not completed.
        last_request_at: Time of the latest request, loop clock.
        key_owner: Serves the requests that may run at most once.
    """

    def __init__(
        self,
        gateway: entities.Gateway,
        settings: options.Options,
        view: fleet_view.FleetView,
        scheduler: schedulers.Scheduler,
        client: egress.Egress,
        log: eventlog.EventLog,
        pause_monitor: pauses.PauseMonitor,
    ) -> None:
        """Creates an ingress that serves no request yet.

        Args:
            gateway: This gateway.
            settings: Settings of the VM.
            view: Active tables and live gateways.
            scheduler: Returns the next action of each request.
            client: Holds the connections to targets.
            log: Timeline events of this process.
            pause_monitor: Estimates how long data that is read now has waited
                in a socket.
        """
        self.gateway = gateway
        self.request_counts: dict[tuple[str, str], int] = {}
        self.durations: dict[str, histogram.Histogram] = {}
        self.demand: dict[str, int] = {}
        self.draining = False
        self.in_flight = 0
        self.last_request_at = 0.0
        self._rejects_new_requests = False
        self._view = view
        self._log = log
        self._created_id_count = 0
        self._loop = asyncio.get_running_loop()
        client.on_unresponsive = lambda address: log.record(
            events.Kind.CONNECTION_SILENT, target=address
        )
        signer = tokens.TokenSigner(settings.token_keys)
        self._address_lookup = address_lookup.AddressLookup(
            gateway.zone,
            settings.gateway,
            view,
            signer,
            settings.agent.heartbeat_seconds,
        )
        self._runner = runners.RequestRunner(scheduler, client, log)
        self._pause_monitor = pause_monitor
        self.key_owner = key_owners.KeyOwner(
            gateway,
            settings.gateway,
            signer,
            self._runner,
            client,
        )

    def compute_shares(self) -> dict[str, dict[str, int]]:
        """Returns the slots that this gateway may use, by pool and target."""
        return self._address_lookup.compute_shares(self.gateway.name)

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves one HTTP request of a caller."""
        if request.path == headers.ADDRESS_PATH:
            response: web.StreamResponse = self._address_lookup.handle(request)
            if self.draining:
                response.force_close()
            return response
        problem = incoming_request.validate_request(request)
        request_id = request.headers.get(headers.REQUEST)
        if request_id is None or problem is not None:
            self._created_id_count += 1
            request_id = f"{self.gateway.name}-{self._created_id_count}"
        self.in_flight += 1
        started_at = self._loop.time()
        self.last_request_at = started_at
        route = None
        try:
            if problem is None:
                route = self._view.routes.find(request.method, request.path)
                result = await self._serve_valid(request, route, request_id)
            else:
                result = self._reject_invalid(request, problem)
            response, failure = await self._send_result(
                request, request_id, result
            )
        except asyncio.CancelledError:
            disconnected = outcomes.build_unknown_outcome(
                outcomes.Reason.CALLER_LEFT
            )
            self.record_result(request_id, disconnected)
            raise
        finally:
            self.in_flight -= 1
        self.record_result(request_id, failure)
        if failure is None and route is not None:
            self._record_duration(route.pool, self._loop.time() - started_at)
        return response

    def _record_duration(self, pool: str, seconds: float) -> None:
        """Records the duration of an answered request of a pool."""
        durations = self.durations.get(pool)
        if durations is None:
            durations = histogram.Histogram(*DURATION_BUCKETS_SECONDS)
            self.durations[pool] = durations
        durations.observe(seconds)

    def reject_new_requests(self) -> None:
        """Refuses requests from now on, except resends of recorded keys.

        A resend still gets the result of its key.
        """
        self._rejects_new_requests = True
        self.key_owner.draining = True

    def _reject_invalid(
        self, request: web.BaseRequest, reason: outcomes.Reason
    ) -> tuple[key_owners.ServedResult, float]:
        """Builds the failure of an invalid request.

        Returns:
            The failure, and the deadline for sending it, loop clock.
        """
        # A request with an assignment may have run in an earlier submission
        # that was valid.
        may_have_run = headers.ASSIGNMENT in request.headers
        build_failure = (
            outcomes.build_unknown_outcome
            if may_have_run
            else outcomes.build_refusal
        )
        return build_failure(
            reason
        ), self._loop.time() + ERROR_RESPONSE_TIMEOUT_SECONDS

    async def _serve_valid(
        self,
        request: web.BaseRequest,
        route: entities.Route | None,
        request_id: str,
    ) -> tuple[key_owners.ServedResult, float]:
        """Serves a request that passed validation.

        Returns:
            The result, and the deadline of the request on the loop clock.
        """
        deadline = self._compute_deadline(request, route)
        if route is not None:
            self.demand[route.pool] = self.demand.get(route.pool, 0) + 1
        self._log.record(events.Kind.REQUEST_RECEIVED, request=request_id)
        # A request with an assignment may run at most once even if its route
        # was changed or removed, since an earlier submission may have run.
        at_most_once = headers.ASSIGNMENT in request.headers
        at_most_once = at_most_once or (
            route is not None and not route.idempotent
        )
        result: key_owners.ServedResult
        try:
            if at_most_once:
                result = await self.key_owner.serve(
                    request, route, request_id, deadline
                )
            else:
                result = await self._serve_idempotent(
                    request, route, request_id, deadline
                )
        except errors.BodyUnreadableError as error:
            reason = outcomes.Reason.BAD_REQUEST
            if error.timed_out:
                reason = outcomes.Reason.DEADLINE_PASSED
            build_failure = (
                outcomes.build_unknown_outcome
                if at_most_once
                else outcomes.build_refusal
            )
            result = build_failure(reason)
        if isinstance(deadline, outcomes.Failure):
            deadline = self._loop.time() + ERROR_RESPONSE_TIMEOUT_SECONDS
        return result, deadline

    async def _serve_idempotent(
        self,
        request: web.BaseRequest,
        route: entities.Route | None,
        request_id: str,
        deadline: float | outcomes.Failure,
    ) -> runners.RequestResult | streaming.StreamedResponse:
        """Runs a request that may run more than once.

        Raises:
            BodyUnreadableError: If the body did not arrive; nothing was sent.
        """
        if route is None:
            # A gateway that has no tables yet cannot know which routes exist.
            configured = self._view.tables.generation > 0
            reason = outcomes.Reason.NO_ROUTE
            return outcomes.build_refusal(
                reason if configured else outcomes.Reason.NOT_CONFIGURED
            )
        if isinstance(deadline, outcomes.Failure):
            return deadline
        if self._rejects_new_requests:
            return outcomes.build_refusal(outcomes.Reason.DRAINING)
        body, buffered = await incoming_request.read_body(request, deadline)
        outgoing = outgoing_request.build_outgoing(
            request, request_id, body, deadline
        )
        # A body that is not buffered cannot be sent twice.
        row = self._runner.create_row(
            route,
            deadline,
            buffered,
            outgoing_request.fingerprint_request(outgoing),
        )
        return await self._runner.run(row, outgoing, request_id, request)

    def _compute_deadline(
        self, request: web.BaseRequest, route: entities.Route | None
    ) -> float | outcomes.Failure:
        """Returns the deadline of a request on the loop clock, or a failure.

        The time that the request may have waited unread while this process
        was paused is subtracted.

        Args:
            request: Request of the caller.
            route: Route that the request matched, or None.
        """
        remaining = incoming_request.parse_remaining_time(request)
        if isinstance(remaining, outcomes.Failure):
            return remaining
        limit = (
            NO_ROUTE_TIMEOUT_SECONDS
            if route is None
            else route.time_limit_seconds
        )
        age = self._pause_monitor.get_max_data_age(time.monotonic())
        return self._loop.time() + min(limit, remaining) - age

    async def _send_result(
        self,
        request: web.BaseRequest,
        request_id: str,
        result_and_deadline: tuple[key_owners.ServedResult, float],
    ) -> tuple[web.StreamResponse, outcomes.Failure | None]:
        """Sends the caller the response to its request.

        Returns:
            The response, and why the request was not answered, or None.
        """
        result, deadline = result_and_deadline
        if isinstance(result, streaming.StreamedResponse):
            # Not closed while draining: the response head did not announce a
            # close, so the caller may already use the connection again.
            return result.response, result.failure
        late = self._loop.time() >= deadline
        if isinstance(result, idempotency.Response) and late:
            result = outcomes.build_unknown_outcome(
                outcomes.Reason.DEADLINE_PASSED
            )
        response: web.Response
        failure: outcomes.Failure | None = None
        if isinstance(result, outcomes.Failure):
            failure = result
            response = responses.build_problem(result, request_id)
            deadline = self._loop.time() + ERROR_RESPONSE_TIMEOUT_SECONDS
        else:
            response = responses.build_response(result, request_id)
        if self.draining:
            response.force_close()
        if not await responses.send(request, response, deadline):
            failure = outcomes.build_unknown_outcome(
                outcomes.Reason.CALLER_LEFT
            )
        return response, failure

    def record_result(
        self, request_id: str, failure: outcomes.Failure | None
    ) -> None:
        """Counts a completed request and records its outcome."""
        outcome = str(outcomes.Outcome.ANSWERED)
        reason = ""
        if failure is not None:
            outcome = failure.outcome
            reason = failure.reason
        index = (outcome, reason)
        self.request_counts[index] = self.request_counts.get(index, 0) + 1
        detail = {"outcome": outcome, "reason": reason}
        self._log.record(events.Kind.REQUEST_SETTLED, request_id, detail=detail)

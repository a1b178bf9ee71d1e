"""Takes requests from callers and gives each its own answer."""

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
from wigeonspool.gateway import key_owner as homes
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
# How long a key that no route serves any more may wait for its home.
NO_ROUTE_TIMEOUT_SECONDS: Final = 10.0
# Upper bounds of the histogram of durations.
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
        gateway: This gateway as others see it.
        request_counts: Requests that ended, by outcome and reason.
        durations: Seconds from the head of an answered request to the end of
            its answer, by pool.
        demand: Requests received since the last report, by pool.
        draining: True once the gateway prepares to stop; callers are moved.
        in_flight: Requests received and not ended.
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
        """Prepares the ingress.

        Args:
            gateway: This gateway.
            settings: Settings of the VM.
            view: What is known of the fleet.
            scheduler: Decides for each request.
            client: Holds the connections to targets.
            log: Events of this process.
            pause_monitor: Tells how long what is read now has waited.
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
        self._received_count = 0
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
        self.key_owner = homes.KeyOwner(
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
        """Answers one HTTP request of a caller."""
        if request.path == headers.ADDRESS_PATH:
            response: web.StreamResponse = self._address_lookup.handle(request)
            if self.draining:
                response.force_close()
            return response
        problem = incoming_request.validate_request(request)
        request_id = request.headers.get(headers.REQUEST)
        if request_id is None or problem is not None:
            self._received_count += 1
            request_id = f"{self.gateway.name}-{self._received_count}"
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
            left = outcomes.build_unknown(outcomes.Reason.CALLER_LEFT)
            self.record_result(request_id, left)
            raise
        finally:
            self.in_flight -= 1
        self.record_result(request_id, failure)
        if failure is None and route is not None:
            self._record_duration(route.pool, self._loop.time() - started_at)
        return response

    def _record_duration(self, pool: str, seconds: float) -> None:
        """Adds an answered request to the histogram of its pool."""
        durations = self.durations.get(pool)
        if durations is None:
            durations = histogram.Histogram(*DURATION_BUCKETS_SECONDS)
            self.durations[pool] = durations
        durations.observe(seconds)

    def reject_new_requests(self) -> None:
        """Refuses what has not begun; keys already known are still told."""
        self._rejects_new_requests = True
        self.key_owner.draining = True

    def _reject_invalid(
        self, request: web.BaseRequest, reason: outcomes.Reason
    ) -> tuple[homes.ServedResult, float]:
        """Returns the ending of a request that must not reach a target."""
        # What presents an assignment may have run when it was well formed.
        presented = headers.ASSIGNMENT in request.headers
        build_failure = (
            outcomes.build_unknown if presented else outcomes.build_refusal
        )
        return build_failure(
            reason
        ), self._loop.time() + ERROR_RESPONSE_TIMEOUT_SECONDS

    async def _serve_valid(
        self,
        request: web.BaseRequest,
        route: entities.Route | None,
        request_id: str,
    ) -> tuple[homes.ServedResult, float]:
        """Serves a request that is proper HTTP.

        Returns:
            How it ended, and its deadline on the loop clock.
        """
        deadline = self._compute_deadline(request, route)
        if route is not None:
            self.demand[route.pool] = self.demand.get(route.pool, 0) + 1
        self._log.record(events.Kind.REQUEST_RECEIVED, request=request_id)
        # What presents an assignment may have run, whatever its route is now.
        presented = headers.ASSIGNMENT in request.headers
        presented = presented or (route is not None and not route.idempotent)
        result: homes.ServedResult
        try:
            if presented:
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
                outcomes.build_unknown if presented else outcomes.build_refusal
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
            BodyUnreadableError: If its body did not arrive; nothing was sent.
        """
        if route is None:
            # Before its first tables a gateway cannot say what has no route.
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
        # A body that is not held cannot be sent twice.
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
        """Returns the time by which a caller wants its answer, loop clock.

        Args:
            request: Request of the caller.
            route: Route that it matched, or None.
        """
        granted = incoming_request.parse_remaining_time(request)
        if isinstance(granted, outcomes.Failure):
            return granted
        limit = (
            NO_ROUTE_TIMEOUT_SECONDS
            if route is None
            else route.time_limit_seconds
        )
        age = self._pause_monitor.get_max_data_age(time.monotonic())
        return self._loop.time() + min(limit, granted) - age

    async def _send_result(
        self,
        request: web.BaseRequest,
        request_id: str,
        result_and_deadline: tuple[homes.ServedResult, float],
    ) -> tuple[web.StreamResponse, outcomes.Failure | None]:
        """Sends the caller its response.

        Returns:
            The response, and why the request was not answered, if so.
        """
        result, deadline = result_and_deadline
        if isinstance(result, streaming.StreamedResponse):
            # Its head did not announce a close, so the caller may already use
            # the connection again.
            return result.response, result.failure
        late = self._loop.time() >= deadline
        if isinstance(result, idempotency.Response) and late:
            result = outcomes.build_unknown(outcomes.Reason.DEADLINE_PASSED)
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
            failure = outcomes.build_unknown(outcomes.Reason.CALLER_LEFT)
        return response, failure

    def record_result(
        self, request_id: str, failure: outcomes.Failure | None
    ) -> None:
        """Counts a request that ended and records how."""
        outcome = str(outcomes.Outcome.ANSWERED)
        reason = ""
        if failure is not None:
            outcome = failure.outcome
            reason = failure.reason
        index = (outcome, reason)
        self.request_counts[index] = self.request_counts.get(index, 0) + 1
        detail = {"outcome": outcome, "reason": reason}
        self._log.record(events.Kind.REQUEST_SETTLED, request_id, detail=detail)

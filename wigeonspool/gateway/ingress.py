"""Takes requests from callers and gives each its own answer."""

import asyncio
import time
from typing import Final

from aiohttp import web
from aioprometheus import histogram

from wigeonspool import eventlog
from wigeonspool.core import once
from wigeonspool.gateway import addresses
from wigeonspool.gateway import answers
from wigeonspool.gateway import egress
from wigeonspool.gateway import headers
from wigeonspool.gateway import home as homes
from wigeonspool.gateway import incoming
from wigeonspool.gateway import outgoing as outgoings
from wigeonspool.gateway import pauses
from wigeonspool.gateway import runner as runners
from wigeonspool.gateway import scheduler as schedulers
from wigeonspool.gateway import streaming
from wigeonspool.gateway import view as views
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import options
from wigeonspool.model import outcomes
from wigeonspool.wire import tokens

PROBLEM_SECONDS: Final = 1.0
# How long a key that no route serves any more may wait for its home.
NO_ROUTE_SECONDS: Final = 10.0
# Upper bounds of the histogram of durations.
DURATION_SECONDS: Final = (
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
        counts: Requests that ended, by outcome and reason.
        durations: Seconds from the head of an answered request to the end of
            its answer, by pool.
        demand: Requests received since the last report, by pool.
        draining: True once the gateway prepares to stop; callers are moved.
        in_flight: Requests received and not ended.
        worked_at: Time of the latest request, loop clock.
        home: Serves the requests that may run at most once.
    """

    def __init__(
        self,
        gateway: entities.Gateway,
        settings: options.Options,
        view: views.FleetView,
        scheduler: schedulers.Scheduler,
        client: egress.Egress,
        log: eventlog.EventLog,
        pauses_monitor: pauses.PauseMonitor,
    ) -> None:
        """Prepares the ingress.

        Args:
            gateway: This gateway.
            settings: Settings of the VM.
            view: What is known of the fleet.
            scheduler: Decides for each request.
            client: Holds the connections to targets.
            log: Events of this process.
            pauses_monitor: Tells how long what is read now has waited.
        """
        self.gateway = gateway
        self.counts: dict[tuple[str, str], int] = {}
        self.durations: dict[str, histogram.Histogram] = {}
        self.demand: dict[str, int] = {}
        self.draining = False
        self.in_flight = 0
        self.worked_at = 0.0
        self._refusing = False
        self._view = view
        self._log = log
        self._received = 0
        self._loop = asyncio.get_running_loop()
        client.on_silent = lambda address: log.record(
            events.Kind.CONNECTION_SILENT, target=address
        )
        signer = tokens.TokenSigner(settings.token_keys)
        self._addresses = addresses.AddressBook(
            gateway.zone,
            settings.gateway,
            view,
            signer,
            settings.agent.heartbeat_seconds,
        )
        self._runner = runners.RequestRunner(scheduler, client, log)
        self._pauses = pauses_monitor
        self.home = homes.Home(
            gateway,
            settings.gateway,
            signer,
            self._runner,
            client,
        )

    def divide_pools(self) -> dict[str, dict[str, int]]:
        """Returns the slots that this gateway may use, by pool and target."""
        return self._addresses.divide_pools(self.gateway.name)

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one HTTP request of a caller."""
        if request.path == headers.ADDRESS_PATH:
            response: web.StreamResponse = self._addresses.answer(request)
            if self.draining:
                response.force_close()
            return response
        problem = incoming.find_problem(request)
        request_id = request.headers.get(headers.REQUEST)
        if request_id is None or problem is not None:
            self._received += 1
            request_id = f"{self.gateway.name}-{self._received}"
        self.in_flight += 1
        started_at = self._loop.time()
        self.worked_at = started_at
        route = None
        try:
            if problem is None:
                route = self._view.routes.find(request.method, request.path)
                ending = await self._serve_work(request, route, request_id)
            else:
                ending = self._refuse(request, problem)
            response, failure = await self._tell(request, request_id, ending)
        except asyncio.CancelledError:
            left = outcomes.doubt(outcomes.Reason.CALLER_LEFT)
            self.count(request_id, left)
            raise
        finally:
            self.in_flight -= 1
        self.count(request_id, failure)
        if failure is None and route is not None:
            self._record_duration(route.pool, self._loop.time() - started_at)
        return response

    def _record_duration(self, pool: str, seconds: float) -> None:
        """Adds an answered request to the histogram of its pool."""
        durations = self.durations.get(pool)
        if durations is None:
            durations = histogram.Histogram(*DURATION_SECONDS)
            self.durations[pool] = durations
        durations.observe(seconds)

    def refuse_new_work(self) -> None:
        """Refuses what has not begun; keys already known are still told."""
        self._refusing = True
        self.home.draining = True

    def _refuse(
        self, request: web.BaseRequest, reason: outcomes.Reason
    ) -> tuple[homes.Ending, float]:
        """Returns the ending of a request that must not reach a target."""
        # What presents an assignment may have run when it was well formed.
        presented = headers.ASSIGNMENT in request.headers
        tell = outcomes.doubt if presented else outcomes.refuse
        return tell(reason), self._loop.time() + PROBLEM_SECONDS

    async def _serve_work(
        self,
        request: web.BaseRequest,
        route: entities.Route | None,
        request_id: str,
    ) -> tuple[homes.Ending, float]:
        """Serves a request that is proper HTTP.

        Returns:
            How it ended, and its deadline on the loop clock.
        """
        deadline = self._find_deadline(request, route)
        if route is not None:
            self.demand[route.pool] = self.demand.get(route.pool, 0) + 1
        self._log.record(events.Kind.REQUEST_RECEIVED, request=request_id)
        # What presents an assignment may have run, whatever its route is now.
        presented = headers.ASSIGNMENT in request.headers
        presented = presented or (route is not None and not route.idempotent)
        ending: homes.Ending
        try:
            if presented:
                ending = await self.home.serve(
                    request, route, request_id, deadline
                )
            else:
                ending = await self._run(request, route, request_id, deadline)
        except errors.BodyUnreadableError as error:
            reason = outcomes.Reason.BAD_REQUEST
            if error.late:
                reason = outcomes.Reason.DEADLINE_PASSED
            tell = outcomes.doubt if presented else outcomes.refuse
            ending = tell(reason)
        if isinstance(deadline, outcomes.Failure):
            deadline = self._loop.time() + PROBLEM_SECONDS
        return ending, deadline

    async def _run(
        self,
        request: web.BaseRequest,
        route: entities.Route | None,
        request_id: str,
        deadline: float | outcomes.Failure,
    ) -> runners.Ending | streaming.Streamed:
        """Runs a request that may run more than once.

        Raises:
            BodyUnreadableError: If its body did not arrive; nothing was sent.
        """
        if route is None:
            # Before its first tables a gateway cannot say what has no route.
            known = self._view.tables.generation > 0
            reason = outcomes.Reason.NO_ROUTE
            return outcomes.refuse(
                reason if known else outcomes.Reason.NOT_CONFIGURED
            )
        if isinstance(deadline, outcomes.Failure):
            return deadline
        if self._refusing:
            return outcomes.refuse(outcomes.Reason.DRAINING)
        body, held = await incoming.read_body(request, deadline)
        outgoing = outgoings.build_outgoing(request, request_id, body, deadline)
        # A body that is not held cannot be sent twice.
        row = self._runner.create_row(
            route, deadline, held, outgoings.find_fingerprint(outgoing)
        )
        return await self._runner.run(row, outgoing, request_id, request)

    def _find_deadline(
        self, request: web.BaseRequest, route: entities.Route | None
    ) -> float | outcomes.Failure:
        """Returns the time by which a caller wants its answer, loop clock.

        Args:
            request: Request of the caller.
            route: Route that it matched, or None.
        """
        granted = incoming.read_remaining(request)
        if isinstance(granted, outcomes.Failure):
            return granted
        limit = NO_ROUTE_SECONDS if route is None else route.time_limit_seconds
        age = self._pauses.find_age(time.monotonic())
        return self._loop.time() + min(limit, granted) - age

    async def _tell(
        self,
        request: web.BaseRequest,
        request_id: str,
        told: tuple[homes.Ending, float],
    ) -> tuple[web.StreamResponse, outcomes.Failure | None]:
        """Sends the caller its response.

        Returns:
            The response, and why the request was not answered, if so.
        """
        ending, deadline = told
        if isinstance(ending, streaming.Streamed):
            # Its head did not announce a close, so the caller may already use
            # the connection again.
            return ending.response, ending.failure
        late = self._loop.time() >= deadline
        if isinstance(ending, once.Answer) and late:
            ending = outcomes.doubt(outcomes.Reason.DEADLINE_PASSED)
        response: web.Response
        failure: outcomes.Failure | None = None
        if isinstance(ending, outcomes.Failure):
            failure = ending
            response = answers.build_problem(ending, request_id)
            deadline = self._loop.time() + PROBLEM_SECONDS
        else:
            response = answers.build_answer(ending, request_id)
        if self.draining:
            response.force_close()
        if not await answers.send(request, response, deadline):
            failure = outcomes.doubt(outcomes.Reason.CALLER_LEFT)
        return response, failure

    def count(self, request_id: str, failure: outcomes.Failure | None) -> None:
        """Counts a request that ended and records how."""
        outcome = str(outcomes.Outcome.ANSWERED)
        reason = ""
        if failure is not None:
            outcome = failure.outcome
            reason = failure.reason
        index = (outcome, reason)
        self.counts[index] = self.counts.get(index, 0) + 1
        detail = {"outcome": outcome, "reason": reason}
        self._log.record(events.Kind.REQUEST_SETTLED, request_id, detail=detail)

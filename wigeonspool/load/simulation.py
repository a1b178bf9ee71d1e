"""Discrete-event simulation of one policy against fakes, in virtual time.

A heap of events advances the clock; nothing sleeps or reads a real clock, so
the same seed gives the same results on any machine.
"""

from collections.abc import Callable
import heapq
import itertools
import random
from typing import Any, Final

from wigeonspool.core import actions
from wigeonspool.core import tables
from wigeonspool.load import experiment as experiments
from wigeonspool.load import fakes
from wigeonspool.load import gateway_connections
from wigeonspool.load import run_statistics
from wigeonspool.load import simulated_fleet
from wigeonspool.load import simulated_targets
from wigeonspool.model import outcomes

UNLIMITED_SLOTS: Final = 1_000_000
END_GRACE_SECONDS: Final = 60.0


class Simulation:
    """One run of one policy.

    Attributes:
        statistics: Statistics of the run; complete once `run` has returned.
    """

    def __init__(
        self,
        experiment: experiments.Experiment,
        fleet: simulated_fleet.Fleet,
        seed: int,
        slots: int = 0,
    ) -> None:
        """Creates the callers, gateways and targets of a run.

        Args:
            experiment: Experiment to run.
            fleet: Gateways with the policy under test.
            seed: Seed of arrivals, service times and callers' choices.
            slots: Slots of each target; 0 uses those of the experiment.
        """
        self._experiment = experiment
        self._fleet = fleet
        self._arrival_rng = random.Random(seed)
        self._caller_rng = random.Random(seed + 1)
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._event_numbers = itertools.count()
        self._request_ids = itertools.count(1)
        self._requests: dict[int, simulated_fleet.SimulatedRequest] = {}
        self.statistics = run_statistics.RunStatistics(experiment)
        self._network = fakes.FakeNetwork(experiment)
        self._network.is_measured = self.statistics.is_measured
        self._connections = gateway_connections.GatewayConnections(
            self._schedule,
            self._handle_result,
            seed + 3,
            fleet.dispatchers,
            fleet.enforces_deadlines,
        )
        self._targets = simulated_targets.SimulatedTargets(
            experiment,
            self._network,
            self._schedule,
            self._connections.deliver,
            seed + 2,
            slots or experiment.targets.slots,
        )
        self._gateways = {
            g.name: g for g in simulated_fleet.list_gateways(experiment)
        }
        self._lost_gateways: set[str] = set()
        self._resolved: dict[tuple[str, int], list[tuple[str, float]]] = {}
        self._received_counts = dict.fromkeys(self._gateways, 0)

    def run(self) -> run_statistics.RunStatistics:
        """Runs the experiment to its end and returns the statistics.

        After the last arrival, requests have END_GRACE_SECONDS to end; the
        outcome of those that have not ended by then counts as unknown.
        """
        self._schedule_initial_events()
        events = self._events
        end_at = self._experiment.seconds + END_GRACE_SECONDS
        while events and events[0][0] < end_at:
            now, _, handle, event = heapq.heappop(events)
            handle(now, event)
        for request in list(self._requests.values()):
            # The time 1e9 stands for never, as in `_schedule`.
            self._end_request(
                1e9,
                request,
                outcomes.build_unknown_outcome(outcomes.Reason.IN_PROGRESS),
            )
        self.statistics.attempts = self._targets.attempts
        self.statistics.measuring_bytes = self._targets.load_report_bytes
        self.statistics.by_target = self._targets.started_attempts
        self.statistics.crashes = self._targets.crashes
        self.statistics.suspected = self._connections.suspected
        self.statistics.silence_found_ms = (
            self._connections.max_detection_seconds * 1000
        )
        self.statistics.total_bytes = self._network.total_bytes
        self.statistics.cross_region_bytes = self._network.cross_region_bytes
        return self.statistics

    def _schedule_initial_events(self) -> None:
        """Schedules the first event of each kind.

        Ticks of the gateways, and address lookups of the groups of callers,
        are spread evenly over their periods.
        """
        gateways = self._experiment.gateways
        for index, name in enumerate(self._fleet.dispatchers):
            offset = gateways.tick_ms / 1000 * index / len(self._gateways)
            self._schedule(offset, self._tick, name)
        for group in range(self._experiment.caller_groups):
            period = self._experiment.answer_seconds
            at = period * group / self._experiment.caller_groups
            for zone in self._experiment.zones:
                self._resolve_gateways(0.0, (zone.name, group, False))
                self._schedule(
                    at, self._resolve_gateways, (zone.name, group, True)
                )
        self._schedule(gateways.beat_ms / 1000, self._update_demand, None)
        self._schedule(0.0, self._generate_request, None)
        for fault in self._experiment.faults:
            self._schedule(fault.at_s, self._begin_fault, fault)
            self._schedule(fault.until_s, self._targets.end_fault, fault)
        if (resends := self._experiment.resends) is not None:
            for at in resends.list_times():
                self._schedule(at, self._resend, resends.work)

    def _schedule(
        self, at: float, handle: Callable[..., None], event: Any
    ) -> None:
        """Schedules an event; a time of 1e9 s or more stands for never.

        Args:
            at: Time of the event, in seconds.
            handle: Called with that time and the event.
            event: The event.
        """
        if at < 1e9:
            heapq.heappush(
                self._events, (at, next(self._event_numbers), handle, event)
            )

    def _tick(self, now: float, gateway: str) -> None:
        """Ticks the dispatcher of a gateway and schedules the next tick."""
        if gateway not in self._lost_gateways:
            self._perform(
                now, gateway, self._fleet.dispatchers[gateway].tick(now)
            )
        if now < self._experiment.seconds or self._requests:
            period = self._experiment.gateways.tick_ms / 1000
            self._schedule(now + period, self._tick, gateway)

    def _update_demand(self, now: float, _: None) -> None:
        """Sends the digests of demand to the live gateways."""
        period = self._experiment.gateways.beat_ms / 1000
        live = [
            name for name in self._gateways if name not in self._lost_gateways
        ]
        demand = {name: self._received_counts[name] / period for name in live}
        self._fleet.update_demand(now, demand, live)
        self._received_counts = dict.fromkeys(self._gateways, 0)
        if now < self._experiment.seconds or self._requests:
            self._schedule(now + period, self._update_demand, None)

    def _resolve_gateways(
        self, now: float, lookup: tuple[str, int, bool]
    ) -> None:
        """Resolves the gateways of a group of callers, who cache the result.

        Args:
            now: Time in seconds.
            lookup: Zone and number of the group, and True if the lookup is
                repeated whenever the cached result expires.
        """
        zone, group, repeats = lookup
        self._resolved[(zone, group)] = self._fleet.resolve_gateways(zone)
        if repeats and now < self._experiment.seconds:
            at = now + self._experiment.answer_seconds
            self._schedule(at, self._resolve_gateways, lookup)

    def _generate_request(self, now: float, _: None) -> None:
        """Sends the next request of a caller; arrivals are Poisson."""
        experiment = self._experiment
        if now >= experiment.seconds:
            return
        rng = self._arrival_rng
        kinds = experiment.works
        kind = rng.choices(kinds, [k.share for k in kinds])[0]
        service_seconds = kind.service_ms / 1000
        if kind.spread == "exponential":
            service_seconds = rng.expovariate(1 / service_seconds)
        self._create_request(now, kind, service_seconds, rng)
        rate = experiment.compute_capacity() * experiment.find_load(now)
        self._schedule(
            now + rng.expovariate(rate), self._generate_request, None
        )

    def _resend(self, now: float, kind: experiments.RequestKind) -> None:
        """Sends the request that the experiment submits repeatedly."""
        self._create_request(
            now, kind, kind.service_ms / 1000, self._caller_rng
        )

    def _create_request(
        self,
        now: float,
        kind: experiments.RequestKind,
        service_seconds: float,
        rng: random.Random,
    ) -> None:
        """Creates and sends a request of a caller in a random zone.

        Args:
            now: Time in seconds.
            kind: Kind of the request.
            service_seconds: Service time on a healthy target.
            rng: Source of the choice of the zone.
        """
        zone = rng.choice(self._experiment.zones).name
        deadline = now + kind.deadline_ms / 1000
        request = simulated_fleet.SimulatedRequest(
            next(self._request_ids), kind, zone, service_seconds, now, deadline
        )
        self._requests[request.request_id] = request
        self.statistics.record_request(request)
        self._send_to_gateway(now, request)

    def _send_to_gateway(
        self, now: float, request: simulated_fleet.SimulatedRequest
    ) -> None:
        """Sends a request to one of the gateways that its caller resolved."""
        group = request.request_id % self._experiment.caller_groups
        resolved = self._resolved[(request.zone, group)]
        weights = [weight for _, weight in resolved]
        request.gateway = self._caller_rng.choices(
            [name for name, _ in resolved], weights
        )[0]
        zone = self._gateways[request.gateway].zone
        size = request.request_kind.request_bytes
        at = self._network.transmit(now, request.zone, zone, size, caller=True)
        self._schedule(at, self._receive_request, request)

    def _receive_request(
        self, now: float, request: simulated_fleet.SimulatedRequest
    ) -> None:
        """Submits a request to the dispatcher of its gateway.

        The dispatcher's deadline leaves time for the response to reach the
        caller.
        """
        if request.gateway in self._lost_gateways:
            # The connection is refused, so the caller resolves again.
            group = request.request_id % self._experiment.caller_groups
            self._resolve_gateways(now, (request.zone, group, False))
            self._send_to_gateway(
                now + self._experiment.links.caller_ms / 1000, request
            )
            return
        self._received_counts[request.gateway] += 1
        zone = self._gateways[request.gateway].zone
        return_seconds = (
            self._network.transmit(now, zone, request.zone, 0, caller=True)
            - now
        )
        deadline = request.deadline - return_seconds
        row = tables.RequestRow(
            request.request_id,
            simulated_fleet.POOL,
            request.request_kind.name,
            deadline,
            request.request_kind.idempotent,
            request.request_kind.priority,
            request.request_kind.fingerprint,
        )
        if self._fleet.enforces_deadlines:
            self._schedule(deadline, self._expire, request)
        dispatcher = self._fleet.dispatchers[request.gateway]
        self._perform(now, request.gateway, dispatcher.submit(now, row))

    def _expire(
        self, now: float, request: simulated_fleet.SimulatedRequest
    ) -> None:
        """Ends a request at its deadline, if it has not ended.

        It is reported as not run only if no target began it and no attempt is
        running.
        """
        if request.ended or request.gateway in self._lost_gateways:
            return
        attempt_running = request.attempt is not None
        dispatcher = self._fleet.dispatchers[request.gateway]
        pending_actions = dispatcher.cancel(now, request.request_id)
        reason = outcomes.Reason.DEADLINE_PASSED
        may_have_run = attempt_running or request.runs
        failure = (
            outcomes.build_unknown_outcome(reason)
            if may_have_run
            else outcomes.build_refusal(reason)
        )
        self._perform(now, request.gateway, pending_actions)
        self._respond(now, request, failure)

    def _perform(
        self, now: float, gateway: str, pending_actions: list[actions.Action]
    ) -> None:
        """Performs actions that the dispatcher of a gateway returned."""
        for action in pending_actions:
            request = self._requests.get(action.request_id)
            if request is None or request.ended:
                continue
            if isinstance(action, actions.Send):
                self._send_attempt(now, gateway, request, action.target)
            elif isinstance(action, actions.Settle):
                self._respond(now, request, action.failure)
            elif request.attempt is not None:
                zone = self._gateways[gateway].zone
                self._connections.close(request.attempt)
                self._targets.cancel(now, request.attempt, zone)

    def _send_attempt(
        self,
        now: float,
        gateway: str,
        request: simulated_fleet.SimulatedRequest,
        target: str,
    ) -> None:
        """Sends an attempt from a gateway to a target."""
        has_deadline = self._fleet.enforces_deadlines
        deadline = request.deadline if has_deadline else float("inf")
        request.attempt = fakes.Attempt(
            request.request_id,
            gateway,
            target,
            request.service_seconds,
            deadline,
        )
        zone = self._gateways[gateway].zone
        self.statistics.record_attempt(
            now, request, self._targets.has_fault(target)
        )
        self._connections.send(now, request, zone, self._targets)

    def _handle_result(
        self, now: float, attempt: fakes.Attempt, result: tables.Result
    ) -> None:
        """Passes the result of an attempt to its gateway's dispatcher.

        If the target crashed, the gateways share their suspected requests
        after a delay.
        """
        request = self._requests.get(attempt.request_id)
        if (
            attempt.gateway in self._lost_gateways
            or request is None
            or request.ended
        ):
            return
        if request.attempt is attempt:
            request.attempt = None
        request.failed = result.kind is tables.ResultKind.FAILED
        dispatcher = self._fleet.dispatchers[attempt.gateway]
        pending_actions = dispatcher.handle_result(
            now, request.request_id, attempt.target, result
        )
        self._perform(now, attempt.gateway, pending_actions)
        if result.crashed:
            delay = self._experiment.gateways.tell_ms / 1000
            share = self._fleet.share_suspects
            self._schedule(now + delay, lambda at, _: share(at), None)

    def _respond(
        self,
        now: float,
        request: simulated_fleet.SimulatedRequest,
        failure: outcomes.Failure | None,
    ) -> None:
        """Sends the outcome of a request to its caller."""
        request.ended = True
        zone = self._gateways[request.gateway].zone
        size = request.request_kind.answer_bytes if failure is None else 1
        at = self._network.transmit(now, zone, request.zone, size, caller=True)
        self._end_request(at, request, failure)

    def _end_request(
        self,
        at: float,
        request: simulated_fleet.SimulatedRequest,
        failure: outcomes.Failure | None,
    ) -> None:
        """Records the outcome of a request and removes the request."""
        request.ended = True
        del self._requests[request.request_id]
        self.statistics.record_outcome(at, request, failure)

    def _begin_fault(self, now: float, fault: experiments.Fault) -> None:
        """Begins a fault at its targets, and at gateways of a lost zone.

        Requests with a running attempt at a lost gateway end with an unknown
        outcome.
        """
        targets = self._targets.begin_fault(now, fault)
        if fault.kind == "silent":
            self._connections.make_unresponsive(now, fault, targets)
        if fault.kind == "drain":
            at = now + fault.listed_after_s
            set_draining = self._fleet.set_draining_targets
            self._schedule(
                at, lambda _, draining: set_draining(draining), targets
            )
        if fault.kind != "lost" or not fault.zone:
            return
        for gateway in self._gateways.values():
            if gateway.zone == fault.zone:
                self._lost_gateways.add(gateway.name)
        failure = outcomes.build_unknown_outcome(
            outcomes.Reason.CONNECTION_LOST
        )
        for request in list(self._requests.values()):
            if (
                request.gateway in self._lost_gateways
                and request.attempt is not None
            ):
                self._end_request(now, request, failure)

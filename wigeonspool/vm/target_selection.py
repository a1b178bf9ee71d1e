"""Chooses the target of a request by health checks sent for that request."""

import asyncio
import collections
import dataclasses
from typing import Final

from wigeonspool.core import admission_order
from wigeonspool.core import cluster_state
from wigeonspool.core import estimates
from wigeonspool.core import target_notices
from wigeonspool.core import waiting_policy
from wigeonspool.model import outcomes
from wigeonspool.vm import request_context
from wigeonspool.vm import structured_log
from wigeonspool.vm import target_probes

# Targets probed first for a request: if two thirds of the targets are fast, at
# least one of two is fast in eight of nine cases.
FIRST_PROBE_COUNT: Final = 2
# Targets probed at a time after the first probes found no fast target.
PROBE_BATCH_SIZE: Final = 3
# The slowdown of a target changes several times a second; more frequent probes
# mostly return the same value.
PROBE_INTERVAL_SECONDS: Final = 0.02
# Health checks for one request; each one costs a fraction of the request's
# value.
MAX_PROBES: Final = 30

log = structured_log.get_logger("requests")


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class WaitingRequest(admission_order.QueuedRequest):
    """A queued request of this VM.

    Attributes:
        context: Its state.
        woken: Set when it has a target, or is to probe or to check whether it
            is refused.
        may_probe: True if it is to probe targets.
        is_refused: True if it cannot end by its deadline.
        candidate: Target that another request found for it, or None.
    """

    context: request_context.RequestContext
    woken: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    may_probe: bool = False
    is_refused: bool = False
    candidate: target_probes.Candidate | None = None


@dataclasses.dataclass(slots=True)
class ServiceQueue:
    """The requests to one service that wait at this VM.

    Attributes:
        requests: The requests, in order.
        timer: Wakes the next request that probes.
    """

    requests: admission_order.AdmissionQueue[WaitingRequest] = (
        dataclasses.field(default_factory=admission_order.AdmissionQueue)
    )
    timer: asyncio.TimerHandle | None = None


class TargetSelector:
    """Selects targets for requests and schedules repeated health checks.

    Attributes:
        baseline_times: Service times on targets that are not slowed down.
    """

    def __init__(self, prober: target_probes.TargetProber) -> None:
        """Creates a selector without recorded service times.

        Args:
            prober: Sends health checks to targets.
        """
        self.baseline_times = waiting_policy.BaselineServiceTimes()
        self._prober = prober
        self._queues: dict[str, ServiceQueue]
        self._queues = collections.defaultdict(ServiceQueue)
        self._loop = asyncio.get_running_loop()
        prober.notices.on_unwilling = self._wake_if_unwanted

    def find_baseline(self, context: request_context.RequestContext) -> float:
        """Returns the baseline service time of a request, in seconds."""
        return self.baseline_times.find(
            context.baseline_key, context.rule.objective_seconds
        )

    def record_response(
        self,
        context: request_context.RequestContext,
        seconds: float,
        candidate: target_probes.Candidate,
    ) -> None:
        """Updates the service time estimates from a response of a candidate.

        Args:
            context: The request.
            seconds: Time from sending the attempt to the response.
            candidate: Target that responded.
        """
        baseline_seconds = self.find_baseline(context)
        self.baseline_times.record(
            context.baseline_key, seconds, candidate.estimate.slowdown
        )
        self._prober.record_last_slot(
            context.service, seconds, baseline_seconds, candidate
        )

    async def select(
        self, context: request_context.RequestContext
    ) -> target_probes.Candidate | outcomes.Failure:
        """Returns the target to send a request to, or a failure.

        Probes targets repeatedly until one is good enough. Returns a failure
        if no target can respond by the deadline, or if none of them will want
        the request in time for its objective.
        """
        baseline_seconds = self.find_baseline(context)
        step, candidate = await self._probe_nearest_first(
            context, baseline_seconds
        )
        request = self._build_waiting(context, baseline_seconds)
        if candidate is not None and not self._offer(
            context.service, candidate, request
        ):
            return self._reserve(candidate)
        if candidate is None and step is not waiting_policy.Step.WAIT:
            return self._build_refusal(context)
        return await self._wait_in_queue(request)

    def _build_waiting(
        self, context: request_context.RequestContext, baseline_seconds: float
    ) -> WaitingRequest:
        """Returns a request that is not queued yet."""
        now = self._loop.time()
        return WaitingRequest(
            priority=context.priority,
            baseline_seconds=baseline_seconds,
            objective_at=context.objective_at,
            deadline=context.deadline,
            joined_at=now,
            probed_at=now,
            context=context,
        )

    async def _wait_in_queue(
        self, request: WaitingRequest
    ) -> target_probes.Candidate | outcomes.Failure:
        """Returns the target of a queued request, or a failure."""
        context = request.context
        now = self._loop.time()
        queue = self._queues[context.service]
        queue.requests.join(request, now)
        self._refuse_expired(context.service)
        self._schedule_probes(context.service)
        try:
            while True:
                await request.woken.wait()
                request.woken.clear()
                step = await self._probe_for_queue(request)
                if request.candidate is not None:
                    candidate, request.candidate = request.candidate, None
                    return candidate
                if step is not waiting_policy.Step.WAIT:
                    return self._build_refusal(context)
        finally:
            queue.requests.leave(request)
            if request.candidate is not None:
                self._prober.release_candidates([request.candidate])
            if not queue.requests and queue.timer is not None:
                queue.timer.cancel()
                queue.timer = None

    async def _probe_for_queue(
        self, request: WaitingRequest
    ) -> waiting_policy.Step:
        """Probes targets for the queue, if it is the turn of a request.

        A target that is found goes to the first request in order that may use
        it.

        Returns:
            The next step of the request, or WAIT if it has a target.
        """
        context = request.context
        if request.candidate is not None:
            return waiting_policy.Step.WAIT
        if not request.may_probe:
            is_refused = request.is_refused or self.is_wanted_too_late(context)
            return (
                waiting_policy.Step.REFUSE
                if is_refused
                else waiting_policy.Step.WAIT
            )
        request.may_probe = False
        request.is_probing = True
        try:
            step, candidate = await self._probe_nearest_first(
                context, request.baseline_seconds
            )
        finally:
            request.is_probing = False
        if candidate is None:
            return step
        if not self._offer(context.service, candidate):
            if request.candidate is None:
                request.candidate = self._reserve(candidate)
                self._queues[context.service].requests.record_served(
                    self._loop.time()
                )
            else:
                self._prober.release_candidates([candidate])
        return waiting_policy.Step.WAIT

    def _offer(
        self,
        service: str,
        candidate: target_probes.Candidate,
        found_by: WaitingRequest | None = None,
    ) -> bool:
        """Gives a target to the first queued request that may use it.

        Args:
            service: Service of the target.
            candidate: The target.
            found_by: Request that found it and is not queued, or None.
                Requests that rank behind it do not get the target.

        Returns:
            False if there is none.
        """
        requests = self._queues[service].requests
        if not requests or candidate.estimate.full:
            return False
        now = self._loop.time()
        finder_rank = (
            None
            if found_by is None
            else admission_order.find_rank(now, found_by)
        )
        for request in requests.list_in_order(now):
            if finder_rank is not None and (
                finder_rank < admission_order.find_rank(now, request)
            ):
                return False
            if request.candidate is None and self._may_use(request, candidate):
                request.candidate = self._reserve(candidate)
                requests.record_served(self._loop.time())
                request.woken.set()
                return True
        return False

    def _offer_all(
        self, service: str, candidates: list[target_probes.Candidate]
    ) -> None:
        """Gives targets to queued requests that may use them."""
        for candidate in candidates:
            if not self._offer(service, candidate):
                self._prober.release_candidates([candidate])

    def _may_use(
        self, request: WaitingRequest, candidate: target_probes.Candidate
    ) -> bool:
        """Returns True if a queued request may be sent to a target now."""
        context = request.context
        step = self._decide(
            context, request.baseline_seconds, candidate, False, True
        )
        if step is not waiting_policy.Step.SEND:
            return False
        if (
            context.rule.large_responses
            and not waiting_policy.is_late(
                self._loop.time(),
                request.baseline_seconds,
                request.objective_at,
            )
            and not self._prober.is_nearest(
                candidate.row, context.tried_targets, context.regions
            )
        ):
            return False
        return self._prober.may_use(
            candidate.row, context.tried_targets, context.regions
        )

    def _reserve(
        self, candidate: target_probes.Candidate
    ) -> target_probes.Candidate:
        """Returns a candidate after counting a request to it as sent."""
        estimates.record_reservation(candidate.row.health, self._loop.time())
        return candidate

    def _refuse_expired(self, service: str) -> None:
        """Wakes the queued requests that cannot be served any more.

        They cannot end by their deadlines, or have no permitted target left.
        """
        requests = self._queues[service].requests
        for request in requests.list_expired(self._loop.time()):
            _refuse(request)
        lacking: dict[frozenset[str] | None, bool] = {}
        for request in requests:
            request.context.update_regions(self._prober.configuration)
            regions = request.context.regions
            if regions not in lacking:
                lacking[regions] = self._prober.lacks_permitted_target(
                    service, regions
                )
            if lacking[regions]:
                _refuse(request)

    def _schedule_probes(self, service: str) -> None:
        """Sets the timer for the next health checks for queued requests."""
        queue = self._queues[service]
        probe_at = self._loop.time() + self._find_probe_delay(service)
        if queue.timer is not None:
            if queue.timer.when() <= probe_at:
                return
            queue.timer.cancel()
        queue.timer = self._loop.call_at(probe_at, self._start_probes, service)

    def _start_probes(self, service: str) -> None:
        """Wakes the queued request that probes next."""
        queue = self._queues[service]
        queue.timer = None
        now = self._loop.time()
        self._refuse_expired(service)
        request = queue.requests.choose_prober(now)
        if request is not None:
            request.probed_at = now
            request.may_probe = True
            request.woken.set()
        if queue.requests:
            self._schedule_probes(service)

    def _wake_if_unwanted(self, service: str) -> None:
        """Wakes the queued requests to a service if no target wants any."""
        if service not in self._queues:
            return
        wanted_at: dict[frozenset[str] | None, float | None] = {}
        requests = self._queues[service].requests
        for request in requests.list_in_order(self._loop.time()):
            regions = request.context.regions
            if regions not in wanted_at:
                wanted_at[regions] = self._prober.find_wanted_at(
                    service, regions
                )
            if wanted_at[regions] is not None:
                request.woken.set()

    def find_decline(
        self, context: request_context.RequestContext
    ) -> outcomes.Failure | None:
        """Returns the refusal of a request that no target wants now, or None.

        It states when a target will want the request, at a time that differs
        between requests.
        """
        wanted_at = self._prober.find_wanted_at(
            context.service, context.regions
        )
        if wanted_at is None:
            return None
        now = self._loop.time()
        retry_at = target_notices.find_retry_at(
            now, wanted_at, self._prober.draw_fraction()
        )
        context.record_step(now, "all-decline", "", 0.0)
        log.debug(
            "no target wants the request",
            request=context.identity,
            service=context.service,
            until=self._prober.notices.format_time(wanted_at),
            retry_at=self._prober.notices.format_time(retry_at),
        )
        return context.build_failure(outcomes.Reason.TARGETS_DECLINE, retry_at)

    def lacks_permitted_target(
        self, context: request_context.RequestContext
    ) -> bool:
        """Returns True if a restriction leaves no target for a request."""
        return self._prober.lacks_permitted_target(
            context.service, context.regions
        )

    def is_wanted_too_late(
        self, context: request_context.RequestContext
    ) -> bool:
        """Returns True if no target will want a request by its objective."""
        wanted_at = self._prober.find_wanted_at(
            context.service, context.regions
        )
        return wanted_at is not None and waiting_policy.is_late(
            wanted_at, self.find_baseline(context), context.objective_at
        )

    def _build_refusal(
        self, context: request_context.RequestContext
    ) -> outcomes.Failure:
        """Returns the failure of a request that gets no target."""
        if self.lacks_permitted_target(context):
            return context.build_failure(outcomes.Reason.NO_TARGET)
        decline = self.find_decline(context)
        if decline is not None:
            return decline
        now = self._loop.time()
        room_at = self._queues[context.service].requests.find_room_at(now)
        retry_at = None
        if room_at is not None:
            retry_at = target_notices.find_retry_at(
                now, room_at, self._prober.draw_fraction()
            )
        return context.build_failure(
            outcomes.Reason.DEADLINE_UNREACHABLE, retry_at
        )

    def _find_probe_delay(self, service: str) -> float:
        """Returns the time until the next health checks for a queue, in s."""
        return self._queues[service].requests.find_probe_delay(
            self._loop.time(), PROBE_INTERVAL_SECONDS
        )

    async def find_fast_target(
        self, context: request_context.RequestContext
    ) -> target_probes.Candidate | None:
        """Returns a target within the slowdown limit, or None.

        Probes only one batch of targets, of the nearest group.
        """
        prober = self._prober
        groups = prober.list_target_groups(
            context.service,
            context.tried_targets,
            context.rule.large_responses,
            context.regions,
        )
        if not groups:
            return None
        probed = prober.sample_targets(groups[0], PROBE_BATCH_SIZE)
        context.probes_sent += len(probed)
        candidates = await prober.probe_targets(probed)
        prober.update_estimates(candidates)
        prober.release_candidates(candidates[1:])
        if candidates and waiting_policy.is_within_slowdown_limit(
            candidates[0].estimate
        ):
            return self._reserve(candidates[0])
        prober.release_candidates(candidates[:1])
        return None

    async def _probe_nearest_first(
        self, context: request_context.RequestContext, baseline_seconds: float
    ) -> tuple[waiting_policy.Step, target_probes.Candidate | None]:
        """Probes targets, the nearest first, until one is good enough.

        Requests with large responses go to other zones only if no target of
        this zone can respond by the objective, since bytes between zones cost
        more than a wait. Targets that the request was sent to before are probed
        only if there are no others.

        Returns:
            The next step, and the candidate to use if the step is SEND.
        """
        large_responses = context.rule.large_responses
        context.update_regions(self._prober.configuration)
        groups = self._prober.list_target_groups(
            context.service,
            context.tried_targets,
            large_responses,
            context.regions,
        )
        if not groups and context.tried_targets:
            groups = self._prober.list_target_groups(
                context.service, (), large_responses, context.regions
            )
        if not groups and (
            self.lacks_permitted_target(context)
            or self.is_wanted_too_late(context)
        ):
            return waiting_policy.Step.REFUSE, None
        if large_responses and len(groups) > 1:
            nearest_groups = groups[:1]
            step, candidate = await self._probe_groups(
                context, baseline_seconds, nearest_groups, False
            )
            if step is not waiting_policy.Step.REFUSE:
                return step, candidate
            groups = groups[1:]
        return await self._probe_groups(context, baseline_seconds, groups, True)

    async def _probe_groups(
        self,
        context: request_context.RequestContext,
        baseline_seconds: float,
        groups: list[list[cluster_state.TargetRow]],
        may_be_late: bool,
    ) -> tuple[waiting_policy.Step, target_probes.Candidate | None]:
        """Probes groups of targets in order until one target is good enough.

        Args:
            context: The request.
            baseline_seconds: Baseline service time of the request.
            groups: Groups of targets, the nearest first.
            may_be_late: False if other groups are to be probed once these
                targets cannot respond by the objective.

        Returns:
            The next step, and the candidate to use if the step is SEND.
        """
        prober = self._prober
        # If other requests to the service are queued, few targets have free
        # slots. Each queued request then probes one batch at a time, and so
        # does a request that sent many health checks before.
        max_probes = context.probes_sent + 1
        if not self._queues[context.service].requests:
            max_probes = max(max_probes, MAX_PROBES)
        best: target_probes.Candidate | None = None
        step = self._decide(
            context, baseline_seconds, best, bool(groups), may_be_late
        )
        try:
            while groups and step is waiting_policy.Step.PROBE:
                probed = prober.sample_targets(
                    groups[0], _find_batch_size(context)
                )
                groups = _remove_probed(groups, probed)
                context.probes_sent += len(probed)
                candidates = await prober.probe_targets(probed)
                if not candidates:
                    groups = prober.remove_silent(groups)
                if best is not None:
                    candidates.append(best)
                prober.update_estimates(candidates)
                candidates = prober.drop_unwilling(candidates)
                best = candidates[0] if candidates else None
                self._offer_all(context.service, candidates[1:])
                has_more = bool(groups) and context.probes_sent < max_probes
                step = self._decide(
                    context, baseline_seconds, best, has_more, may_be_late
                )
        except BaseException:
            if best is not None:
                prober.release_candidates([best])
            raise
        if step is waiting_policy.Step.SEND:
            return step, best
        if best is not None:
            prober.release_candidates([best])
        elif step is waiting_policy.Step.WAIT and self.is_wanted_too_late(
            context
        ):
            return waiting_policy.Step.REFUSE, None
        return step, None

    def _decide(
        self,
        context: request_context.RequestContext,
        baseline_seconds: float,
        best: target_probes.Candidate | None,
        has_unprobed: bool,
        may_be_late: bool,
    ) -> waiting_policy.Step:
        """Returns the next step for a request and its best candidate so far."""
        return waiting_policy.decide(
            self._loop.time(),
            baseline_seconds,
            None if best is None else best.estimate,
            context.objective_at,
            context.deadline,
            has_unprobed,
            may_be_late,
            self._prober.has_recently_fast_target(
                context.service, context.regions
            ),
        )


def _refuse(request: WaitingRequest) -> None:
    """Refuses a queued request unless it probes or has a target."""
    if not request.is_probing and request.candidate is None:
        request.is_refused = True
        request.woken.set()


def _find_batch_size(context: request_context.RequestContext) -> int:
    """Returns how many targets to probe next for a request."""
    return PROBE_BATCH_SIZE if context.probes_sent else FIRST_PROBE_COUNT


def _remove_probed(
    groups: list[list[cluster_state.TargetRow]],
    probed: list[cluster_state.TargetRow],
) -> list[list[cluster_state.TargetRow]]:
    """Returns groups of targets without the probed ones of the first group."""
    first = [row for row in groups[0] if row not in probed]
    return [first, *groups[1:]] if first else groups[1:]

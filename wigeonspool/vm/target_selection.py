"""Chooses the target of a request by health checks sent for that request."""

import asyncio
import collections
from typing import Final

from wigeonspool.core import cluster_state
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
        self._queued_by_priority: dict[str, collections.Counter[int]]
        self._queued_by_priority = collections.defaultdict(collections.Counter)
        # Set once no target of a service in some regions wants requests, and
        # then replaced. The regions are None for all.
        self._unwanted: dict[
            tuple[str, frozenset[str] | None], asyncio.Event
        ] = {}
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
        if step is not waiting_policy.Step.WAIT:
            return self._build_selection(context, step, candidate)
        queued = self._queued_by_priority[context.service]
        queued[context.priority] += 1
        try:
            while step is waiting_policy.Step.WAIT:
                await self._wait_to_probe(context, baseline_seconds)
                step, candidate = await self._probe_nearest_first(
                    context, baseline_seconds
                )
        finally:
            queued[context.priority] -= 1
        return self._build_selection(context, step, candidate)

    async def _wait_to_probe(
        self, context: request_context.RequestContext, baseline_seconds: float
    ) -> None:
        """Waits before the next health checks for a queued request.

        Returns early once no target will want the request by its objective.
        """
        delay_seconds = self._find_probe_delay(context, baseline_seconds)
        try:
            async with asyncio.timeout(delay_seconds):
                is_wanted = True
                while is_wanted:
                    unwanted = self._unwanted.setdefault(
                        (context.service, context.regions), asyncio.Event()
                    )
                    await unwanted.wait()
                    is_wanted = not self.is_wanted_too_late(context)
        except TimeoutError:
            pass

    def _wake_if_unwanted(self, service: str) -> None:
        """Wakes the queued requests to a service if no target wants any."""
        for queue in list(self._unwanted):
            if queue[0] != service:
                continue
            if self._prober.find_wanted_at(*queue) is not None:
                self._unwanted.pop(queue).set()

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

    def _build_selection(
        self,
        context: request_context.RequestContext,
        step: waiting_policy.Step,
        candidate: target_probes.Candidate | None,
    ) -> target_probes.Candidate | outcomes.Failure:
        """Returns the candidate to use, or a failure if there is none."""
        if step is waiting_policy.Step.SEND and candidate is not None:
            return candidate
        if self.lacks_permitted_target(context):
            return context.build_failure(outcomes.Reason.NO_TARGET)
        return self.find_decline(context) or context.build_failure(
            outcomes.Reason.DEADLINE_UNREACHABLE
        )

    def _find_probe_delay(
        self, context: request_context.RequestContext, baseline_seconds: float
    ) -> float:
        """Returns how long to wait before the next health checks, in seconds.

        The delay is longer if requests with a more urgent priority, which is a
        lower number, are queued for the same service.
        """
        queued = self._queued_by_priority[context.service]
        more_urgent_queued = any(
            count and priority < context.priority
            for priority, count in queued.items()
        )
        return waiting_policy.find_probe_delay(
            self._loop.time(),
            baseline_seconds,
            context.objective_at,
            context.deadline,
            queued.total(),
            PROBE_INTERVAL_SECONDS,
            more_urgent_queued,
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
        prober.release_candidates(candidates[1:])
        if candidates and waiting_policy.is_within_slowdown_limit(
            candidates[0].estimate
        ):
            return candidates[0]
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
        max_probes = context.probes_sent + PROBE_BATCH_SIZE
        if not self._queued_by_priority[context.service].total():
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
                candidates.sort(key=target_probes.rank_candidate)
                candidates = prober.drop_unwilling(candidates)
                best = candidates[0] if candidates else None
                prober.release_candidates(candidates[1:])
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

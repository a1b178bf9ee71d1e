"""Chooses the target of a request by what targets tell at that moment."""

import asyncio
import collections
from typing import Final

from wigeonspool.core import cluster_state
from wigeonspool.core import waiting_policy
from wigeonspool.model import outcomes
from wigeonspool.vm import request_context
from wigeonspool.vm import target_probes

# Targets asked for a new request: where two thirds are fast, one of two is in
# eight of nine cases.
FIRST_PROBE_COUNT: Final = 2
# Targets asked at a time once the first were not good.
PROBE_BATCH_SIZE: Final = 3
# The pace of a target changes several times a second; asking more often than
# this mostly finds the same one.
PROBE_INTERVAL_SECONDS: Final = 0.02
# Health checks for one request; each costs a part of what it is worth.
MAX_PROBES: Final = 30


class TargetSelector:
    """Finds targets for requests.

    Attributes:
        baseline_times: How long work takes at the usual pace.
    """

    def __init__(self, prober: target_probes.TargetProber) -> None:
        """Prepares a chooser.

        Args:
            prober: Asks targets for their load.
        """
        self.baseline_times = waiting_policy.BaselineServiceTimes()
        self._prober = prober
        self._waiting_by_priority: dict[str, collections.Counter[int]]
        self._waiting_by_priority = collections.defaultdict(collections.Counter)
        self._loop = asyncio.get_running_loop()

    def find_baseline(self, context: request_context.RequestContext) -> float:
        """Returns how long a request takes at the usual pace, in seconds."""
        return self.baseline_times.find(
            context.baseline_key, context.rule.objective_seconds
        )

    def record_response(
        self,
        context: request_context.RequestContext,
        seconds: float,
        candidate: target_probes.Candidate,
    ) -> None:
        """Takes how long an answer took from the target of an offer."""
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
        """Returns the target to send a request to."""
        baseline_seconds = self.find_baseline(context)
        step, candidate = await self._probe_all(context, baseline_seconds)
        if step is not waiting_policy.Step.WAIT:
            return _build_selection(context, step, candidate)
        waiting = self._waiting_by_priority[context.service]
        waiting[context.rule.priority] += 1
        try:
            while step is waiting_policy.Step.WAIT:
                await asyncio.sleep(self._find_pause(context, baseline_seconds))
                step, candidate = await self._probe_all(
                    context, baseline_seconds
                )
        finally:
            waiting[context.rule.priority] -= 1
        return _build_selection(context, step, candidate)

    def _find_pause(
        self, context: request_context.RequestContext, baseline_seconds: float
    ) -> float:
        """Returns how long a request waits before it asks again."""
        waiting = self._waiting_by_priority[context.service]
        urgent = any(
            count and priority < context.rule.priority
            for priority, count in waiting.items()
        )
        return waiting_policy.find_probe_delay(
            self._loop.time(),
            baseline_seconds,
            context.objective_at,
            context.deadline,
            waiting.total(),
            PROBE_INTERVAL_SECONDS,
            urgent,
        )

    async def find_fast_target(
        self, context: request_context.RequestContext
    ) -> target_probes.Candidate | None:
        """Returns a target that is good at once, or None.

        Only the nearest targets are asked, and only once.
        """
        prober = self._prober
        groups = prober.list_target_groups(
            context.service, context.tried_targets, context.rule.large_responses
        )
        if not groups:
            return None
        probed = prober.sample_targets(groups[0], PROBE_BATCH_SIZE)
        context.probes_sent += len(probed)
        candidates = await prober.probe_targets(probed)
        prober.release_candidates(candidates[1:])
        if candidates and waiting_policy.is_good(candidates[0].estimate):
            return candidates[0]
        prober.release_candidates(candidates[:1])
        return None

    async def _probe_all(
        self, context: request_context.RequestContext, baseline_seconds: float
    ) -> tuple[waiting_policy.Step, target_probes.Candidate | None]:
        """Asks targets, the nearest first, until one is good enough.

        Large answers leave their zone only if nobody there can answer in
        time, since bytes between zones cost more than a wait.

        Returns:
            What to do, and the offer to take if that is it.
        """
        large = context.rule.large_responses
        groups = self._prober.list_target_groups(
            context.service, context.tried_targets, large
        )
        if not groups and context.tried_targets:
            groups = self._prober.list_target_groups(context.service, (), large)
        if large and len(groups) > 1:
            near = groups[:1]
            step, candidate = await self._probe_groups(
                context, baseline_seconds, near, False
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
        """Asks some groups of targets, one after the other.

        Returns:
            What to do, and the offer to take if that is it.
        """
        prober = self._prober
        # Where others wait already, few targets are free; those who wait ask a
        # few at a time, and so does a request that asked many before.
        max_probes = context.probes_sent + PROBE_BATCH_SIZE
        if not self._waiting_by_priority[context.service].total():
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
                if best is not None:
                    candidates.append(best)
                candidates.sort(key=target_probes.rank_candidate)
                best = candidates[0] if candidates else None
                prober.release_candidates(candidates[1:])
                more = bool(groups) and context.probes_sent < max_probes
                step = self._decide(
                    context, baseline_seconds, best, more, may_be_late
                )
        except BaseException:
            if best is not None:
                prober.release_candidates([best])
            raise
        if step is waiting_policy.Step.SEND:
            return step, best
        if best is not None:
            prober.release_candidates([best])
        return step, None

    def _decide(
        self,
        context: request_context.RequestContext,
        baseline_seconds: float,
        best: target_probes.Candidate | None,
        has_unprobed: bool,
        may_be_late: bool,
    ) -> waiting_policy.Step:
        """Returns what to do with the best offer so far."""
        return waiting_policy.decide(
            self._loop.time(),
            baseline_seconds,
            None if best is None else best.estimate,
            context.objective_at,
            context.deadline,
            has_unprobed,
            may_be_late,
            self._prober.has_recently_fast_target(context.service),
        )


def _find_batch_size(context: request_context.RequestContext) -> int:
    """Returns how many targets are asked next for a request."""
    return PROBE_BATCH_SIZE if context.probes_sent else FIRST_PROBE_COUNT


def _build_selection(
    context: request_context.RequestContext,
    step: waiting_policy.Step,
    candidate: target_probes.Candidate | None,
) -> target_probes.Candidate | outcomes.Failure:
    """Returns the offer to take, or the failure of a request without one."""
    if step is waiting_policy.Step.SEND and candidate is not None:
        return candidate
    return context.build_failure(outcomes.Reason.DEADLINE_UNREACHABLE)


def _remove_probed(
    groups: list[list[cluster_state.TargetRow]],
    probed: list[cluster_state.TargetRow],
) -> list[list[cluster_state.TargetRow]]:
    """Returns groups of targets without those that were asked."""
    first = [row for row in groups[0] if row not in probed]
    return [first, *groups[1:]] if first else groups[1:]

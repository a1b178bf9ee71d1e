"""Runs a request of a caller: sends attempts to targets, and retries.

A request is sent to another target if the first attempt failed, as far as its
rule, its deadline and the retry budget allow. A hedged request is sent if the
first attempt takes long.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final, Protocol

from wigeonspool.core import cluster_state
from wigeonspool.core import estimates
from wigeonspool.core import retry_policy
from wigeonspool.core import shared_retry_budget
from wigeonspool.model import fleet
from wigeonspool.model import outcomes
from wigeonspool.model import protocols
from wigeonspool.model import vm_settings
from wigeonspool.vm import attempts
from wigeonspool.vm import request_context
from wigeonspool.vm import start_limits
from wigeonspool.vm import structured_log
from wigeonspool.vm import target_probes
from wigeonspool.vm import target_selection

# A target that crashed refuses new connections after this delay.
CRASH_CHECK_DELAY_SECONDS: Final = 0.05
# A target that reports a request as not run is penalized less than one whose
# request failed.
NOT_RUN_FAILURE_WEIGHT: Final = 0.5

# Of the results of a hedged request, the one with the lowest rank is used.
RESULT_RANKS: Final = {
    request_context.AttemptOutcome.ANSWERED: 0,
    request_context.AttemptOutcome.FAILED: 1,
    request_context.AttemptOutcome.WITHHELD: 3,
}
# Rank of refusals and of results that leave the outcome unknown.
OTHER_RESULT_RANK: Final = 2

log = structured_log.get_logger("requests")

RequestResult = request_context.AttemptResult | outcomes.Failure
AttemptTask = asyncio.Task[request_context.AttemptResult | None]


class SenderProtocol(Protocol):
    """Sends attempts to targets.

    Attributes:
        mismatched_responses: Number of responses that belonged to other
            requests.
    """

    mismatched_responses: int

    async def send(
        self,
        context: request_context.RequestContext,
        candidate: target_probes.Candidate,
    ) -> request_context.AttemptResult:
        """Sends a request to a candidate and returns the result."""


class RequestRunner:
    """Sends requests to targets, with retries and hedged requests.

    Attributes:
        on_crash: Called with the fingerprint of a request and the identity of
            the target that crashed while it ran that request.
        on_suspect_answered: Called with the fingerprint of a suspect that got a
            response, and the targets that had crashed while they ran it.
        error_count: Number of attempts that ended by an unexpected exception.
        retry_budget: Limits attempts beyond the first of each request.
        start_limits: Limits the time until requests are sent while the VM
            drains.
    """

    def __init__(
        self,
        settings: vm_settings.VmSettings,
        cluster: cluster_state.ClusterState,
        prober: target_probes.TargetProber,
        protocol_adapter: protocols.ProtocolAdapter,
    ) -> None:
        """Creates a runner that sends to real targets.

        Args:
            settings: Settings of the VM.
            cluster: Cluster state, with the suspected requests.
            prober: Sends health checks to targets.
            protocol_adapter: Protocol of the targets.
        """
        self.on_crash: Callable[[int, str], None] = _ignore
        self.on_suspect_answered: Callable[[int, tuple[str, ...]], None] = (
            _ignore
        )
        self.error_count = 0
        self.retry_budget = shared_retry_budget.ServiceRetryBudget(
            prober.draw_fraction
        )
        self.start_limits = start_limits.StartLimits()
        self._cluster = cluster
        self._prober = prober
        self._protocol_adapter = protocol_adapter
        self._sender: SenderProtocol = attempts.AttemptSender(
            protocol_adapter, prober
        )
        self._selector = target_selection.TargetSelector(prober)
        self._crash_checks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self.apply_limits(settings.bounds)

    def apply_limits(self, limits: vm_settings.DeploymentLimits) -> None:
        """Sets the limits of the retry budget and of requests to cold targets.

        Used tokens stay used.
        """
        self.retry_budget.set_limits(
            limits.retry_fraction,
            limits.retry_slack,
            limits.retry_window_seconds,
        )
        self._prober.cold.set_limits(limits.cold_overrun, limits.cold_slack)

    def replace_sender(self, sender: "SenderProtocol") -> None:
        """Replaces the sender, for example by one for emulated targets."""
        self._sender = sender

    @property
    def mismatched_responses(self) -> int:
        """Number of target responses that belonged to other requests."""
        return self._sender.mismatched_responses

    async def run(
        self, context: request_context.RequestContext
    ) -> RequestResult:
        """Sends a request to targets until one succeeds or no retry is allowed.

        The caller of this function bounds its time by the deadline.

        Returns:
            The response to forward, or the failure to report to the caller.
        """
        self.retry_budget.add_tokens(context.service, self._loop.time())
        while True:
            candidate = await self._select(context)
            if isinstance(candidate, outcomes.Failure):
                return candidate
            if context.token is not None and not context.attempts_sent:
                refusal = await self._refresh_token(context.token, candidate)
                if refusal is not None:
                    return refusal
            result = await self._send_hedged(context, candidate)
            if result.outcome is request_context.AttemptOutcome.WITHHELD:
                continue
            if result.outcome is request_context.AttemptOutcome.ANSWERED:
                return result
            if not self._may_retry(context, result):
                return self._build_final_result(context, result)

    async def _refresh_token(
        self,
        token: request_context.UsageToken,
        candidate: target_probes.Candidate,
    ) -> outcomes.Failure | None:
        """Replaces an expired token; releases the candidate if there is none.

        Returns:
            Why the request must not be sent, or None.
        """
        try:
            refusal = await token.refresh()
        except BaseException:
            self._prober.release_candidates([candidate])
            raise
        if refusal is not None:
            self._prober.release_candidates([candidate])
        return refusal

    async def _select(
        self, context: request_context.RequestContext
    ) -> target_probes.Candidate | outcomes.Failure:
        """Returns the target to send a request to, or a failure.

        A request that could not end before this VM stops is refused.
        """
        limits = self.start_limits
        if limits.may_start(context.deadline):
            try:
                async with limits.limit_wait(context.deadline):
                    return await self._selector.select(context)
            except TimeoutError:
                pass
        return context.build_failure(outcomes.Reason.DRAINING)

    async def _send_hedged(
        self,
        context: request_context.RequestContext,
        candidate: target_probes.Candidate,
    ) -> request_context.AttemptResult:
        """Sends an attempt, and a hedged request if the attempt takes long.

        Returns:
            The first successful result, or the last result if none succeeds.
        """
        now = self._loop.time()
        baseline_seconds = self._selector.find_baseline(context)
        hedge_at = retry_policy.find_hedge_at(
            now,
            baseline_seconds,
            candidate.round_trip_seconds,
            context.objective_at,
        )
        if (
            hedge_at is None
            or not context.rule.idempotent
            or not context.replayable
        ):
            return await self._send(context, candidate)
        first = self._send(context, candidate)
        tasks: list[AttemptTask] = [self._loop.create_task(first)]
        best: request_context.AttemptResult | None = None
        try:
            done, _ = await asyncio.wait(tasks, timeout=hedge_at - now)
            if not done:
                hedge = self._send_hedge(context)
                tasks.append(self._loop.create_task(hedge))
            best = await _wait_for_best(tasks)
            return best
        finally:
            for task in tasks:
                _discard_attempt(task, best)

    async def _send_hedge(
        self, context: request_context.RequestContext
    ) -> request_context.AttemptResult | None:
        """Sends a hedged request; returns None if it is not sent.

        An unexpected exception in the search for its target must not end the
        first attempt, which runs.
        """
        try:
            candidate = await self._select_hedge_target(context)
        except Exception as error:
            self._record_error(context, "", error)
            return None
        if candidate is None:
            return None
        context.hedges_sent += 1
        return await self._send(context, candidate)

    async def _select_hedge_target(
        self, context: request_context.RequestContext
    ) -> target_probes.Candidate | None:
        """Returns the target of a hedged request, or None if it is not sent.

        Hedged requests must not use capacity that first attempts need, so a
        target is used only if one round of health checks finds it fast.
        """
        if context.possible_runs >= context.rule.max_targets:
            return None
        if context.attempts_sent >= retry_policy.MAX_ATTEMPTS:
            return None
        if not self.start_limits.may_start(context.deadline):
            return None
        now = self._loop.time()
        reserve = retry_policy.HEDGE_RESERVE_TOKENS
        cause = shared_retry_budget.ExtraAttemptCause.HEDGED
        if not self.retry_budget.consume_token(
            context.service, now, cause, reserve
        ):
            return None
        return await self._selector.find_fast_target(context)

    async def _send(
        self,
        context: request_context.RequestContext,
        candidate: target_probes.Candidate,
    ) -> request_context.AttemptResult:
        """Sends one attempt and updates the estimates from its result.

        The attempt is withheld if the target has stated since its health check
        that it wants no requests, or if the request may no longer be sent to
        it.
        """
        row = candidate.row
        context.update_regions(self._cluster.configuration)
        if not self._prober.may_send(row, context.regions):
            self._prober.release_candidates([candidate])
            return self._withhold(context, candidate)
        started_at = self._loop.time()
        context.attempts_sent += 1
        # The attempt counts as run until the target proves that it did not run.
        context.possible_runs += 1
        context.tried_targets.add(row.entry.identity)
        context.record_step(
            started_at, "sent", row.entry.identity, candidate.estimate.slowdown
        )
        try:
            result = await self._sender.send(context, candidate)
        except asyncio.CancelledError:
            context.record_step(
                self._loop.time(), "no-answer", row.entry.identity, 0.0
            )
            raise
        except Exception as error:
            self._record_error(context, row.entry.identity, error)
            result = request_context.AttemptResult(
                request_context.AttemptOutcome.UNKNOWN, detail=repr(error)
            )
        if result.outcome is request_context.AttemptOutcome.WITHHELD:
            context.attempts_sent -= 1
            context.possible_runs -= 1
            return self._withhold(context, candidate)
        now = self._loop.time()
        context.record_step(now, result.outcome.value, row.entry.identity, 0.0)
        self._record_result(context, candidate, result, now - started_at)
        return result

    def _record_error(
        self,
        context: request_context.RequestContext,
        target: str,
        error: Exception,
    ) -> None:
        """Counts and logs an unexpected exception of an attempt.

        Args:
            context: The request.
            target: Identity of the target, or "" if none was selected yet.
            error: The exception.
        """
        self.error_count += 1
        log.opt(exception=error).error(
            "an attempt failed", request=context.identity, target=target
        )

    def _withhold(
        self,
        context: request_context.RequestContext,
        candidate: target_probes.Candidate,
    ) -> request_context.AttemptResult:
        """Records that an attempt must not be sent, and returns its result."""
        outcome = request_context.AttemptOutcome.WITHHELD
        identity = candidate.row.entry.identity
        context.record_step(self._loop.time(), outcome.value, identity, 0.0)
        self._prober.notices.counts.withheld += 1
        return request_context.AttemptResult(outcome)

    def _record_result(
        self,
        context: request_context.RequestContext,
        candidate: target_probes.Candidate,
        result: request_context.AttemptResult,
        seconds: float,
    ) -> None:
        """Updates the request, its target and the estimates from a result.

        Starts a crash check if the result does not prove whether the attempt
        ran.

        Args:
            context: The request.
            candidate: Target of the attempt.
            result: Result of the attempt.
            seconds: Time from sending the attempt to the result.
        """
        row = candidate.row
        now = self._loop.time()
        if result.outcome is request_context.AttemptOutcome.ANSWERED:
            self._selector.record_response(context, seconds, candidate)
            self._clear_suspect(context)
            return
        if result.outcome is request_context.AttemptOutcome.NOT_RUN:
            context.possible_runs -= 1
            if not result.declined:
                row.health.rejected_at = now
                estimates.record_failure(
                    row.health, now, NOT_RUN_FAILURE_WEIGHT
                )
            return
        if not result.declined:
            estimates.record_failure(row.health, now)
        if result.outcome is request_context.AttemptOutcome.UNKNOWN:
            self._start_crash_check(
                context.fingerprint, row.entry, now - seconds
            )

    def _clear_suspect(self, context: request_context.RequestContext) -> None:
        """Removes a request that got a response from the suspects."""
        targets = self._cluster.suspects.record_answer(context.fingerprint)
        if targets:
            log.info(
                "suspect answered",
                request=context.identity,
                fingerprint=f"{context.fingerprint:016x}",
                targets=list(targets),
            )
            self.on_suspect_answered(context.fingerprint, targets)

    def _start_crash_check(
        self, fingerprint: int, entry: fleet.TargetEntry, started_at: float
    ) -> None:
        """Starts a background check whether the target of a request crashed.

        Args:
            fingerprint: Fingerprint of the request.
            entry: The target.
            started_at: Time at which the attempt was sent, loop clock.
        """
        task = self._loop.create_task(
            self._check_crash(fingerprint, entry, started_at)
        )
        self._crash_checks.add(task)
        task.add_done_callback(self._crash_checks.discard)

    async def _check_crash(
        self, fingerprint: int, entry: fleet.TargetEntry, started_at: float
    ) -> None:
        """Records and reports a crash if a target accepts no connection."""
        await asyncio.sleep(CRASH_CHECK_DELAY_SECONDS)
        if await self._prober.is_reachable(entry):
            return
        now = self._loop.time()
        self._cluster.suspects.record_crash(
            now, fingerprint, entry.identity, started_at
        )
        crashes = self._cluster.suspects.list_crashed_targets(fingerprint)
        log.warning(
            "target crashed",
            target=entry.identity,
            fingerprint=f"{fingerprint:016x}",
            crashes=len(crashes),
        )
        if entry.identity in crashes:
            self.on_crash(fingerprint, entry.identity)

    def _may_retry(
        self,
        context: request_context.RequestContext,
        result: request_context.AttemptResult,
    ) -> bool:
        """Returns True, and uses a retry token, if a request may be retried.

        Otherwise records the reason as a step of the request.
        """
        now = self._loop.time()
        allowed = context.replayable and retry_policy.may_retry(
            context.rule.idempotent,
            result.outcome is request_context.AttemptOutcome.NOT_RUN,
            context.attempts_sent,
            context.possible_runs,
            context.rule.max_targets,
        )
        if not allowed:
            context.record_step(now, "may-not-repeat", "", 0.0)
            return False
        baseline_seconds = self._selector.find_baseline(context)
        if (
            context.deadline - now
            < baseline_seconds * retry_policy.MIN_REMAINING_RATIO
        ):
            context.record_step(now, "no-time-to-repeat", "", 0.0)
            return False
        if not self.start_limits.may_start(context.deadline):
            context.record_step(now, "draining", "", 0.0)
            return False
        if self._selector.lacks_permitted_target(context):
            context.record_step(now, "no-target", "", 0.0)
            return False
        if self._selector.is_wanted_too_late(context):
            return False
        cause = (
            shared_retry_budget.ExtraAttemptCause.REFUSED
            if result.outcome is request_context.AttemptOutcome.NOT_RUN
            else shared_retry_budget.ExtraAttemptCause.FAILED
        )
        if not self.retry_budget.consume_token(context.service, now, cause):
            context.record_step(now, "allowance-spent", "", 0.0)
            return False
        return True

    def _build_final_result(
        self,
        context: request_context.RequestContext,
        result: request_context.AttemptResult,
    ) -> RequestResult:
        """Returns the final result of a request that is not retried.

        The response of a target that ran the request is forwarded, unless its
        status would guarantee the caller that the request did not run.
        """
        has_not_run_status = (
            result.status in self._protocol_adapter.not_run_statuses
        )
        if (
            result.outcome is request_context.AttemptOutcome.FAILED
            and not has_not_run_status
        ):
            return result
        if result.outcome is request_context.AttemptOutcome.FAILED:
            return context.build_failure(outcomes.Reason.TARGET_FAILED)
        if result.outcome is request_context.AttemptOutcome.NOT_RUN:
            return self._selector.find_decline(context) or (
                context.build_failure(outcomes.Reason.TARGET_REFUSED)
            )
        return context.build_failure(outcomes.Reason.CONNECTION_LOST)


def _ignore(*arguments: object) -> None:
    """Does nothing; the default of the callbacks of `RequestRunner`."""


async def _wait_for_best(
    tasks: Sequence[AttemptTask],
) -> request_context.AttemptResult:
    """Returns the first successful result, or the best one if none succeeds.

    The response of a target that failed is better than no response.

    Args:
        tasks: Attempts; at least one of them has a result.
    """
    results: list[request_context.AttemptResult] = []
    pending = set(tasks)
    while pending:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        results += [result for task in done if (result := task.result())]
        results.sort(key=_rank_result)
        if (
            results
            and results[0].outcome is request_context.AttemptOutcome.ANSWERED
        ):
            break
    return results[0]


def _rank_result(result: request_context.AttemptResult) -> int:
    """Returns the sort key of the result of an attempt; the best is first.

    An attempt that was withheld counts only if no other one was sent.
    """
    return RESULT_RANKS.get(result.outcome, OTHER_RESULT_RANK)


def _discard_attempt(
    task: AttemptTask, used: request_context.AttemptResult | None
) -> None:
    """Cancels an attempt, or closes its response if it is not used.

    Args:
        task: The attempt.
        used: Result that is used, or None.
    """
    if task.cancel() or task.cancelled() or task.exception() is not None:
        return
    result = task.result()
    if result is None or result is used:
        return
    if result.stream is not None:
        result.stream.close()

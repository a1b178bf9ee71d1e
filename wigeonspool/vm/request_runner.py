"""Runs a request: attempts at targets until one answers or none may."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

from wigeonspool.core import cluster_state
from wigeonspool.core import estimates
from wigeonspool.core import retry_policy
from wigeonspool.core import vm_assignment
from wigeonspool.model import fleet
from wigeonspool.model import outcomes
from wigeonspool.model import protocols
from wigeonspool.model import vm_settings
from wigeonspool.vm import attempts
from wigeonspool.vm import request_context
from wigeonspool.vm import structured_log
from wigeonspool.vm import target_probes
from wigeonspool.vm import target_selection

# A target that crashed refuses connections by then.
CRASH_CHECK_DELAY_SECONDS: Final = 0.05
# What did not run costs a target less than what failed.
NOT_RUN_FAILURE_WEIGHT: Final = 0.5

log = structured_log.get_logger("requests")

RequestResult = request_context.AttemptResult | outcomes.Failure


class SenderProtocol(Protocol):
    """Sends attempts to targets.

    Attributes:
        mismatched_responses: Answers that belonged to other requests.
    """

    mismatched_responses: int

    async def send(
        self,
        context: request_context.RequestContext,
        candidate: target_probes.Candidate,
    ) -> request_context.AttemptResult:
        """Sends a request to the target of an offer."""


class RequestRunner:
    """Sends requests to targets.

    Attributes:
        on_crash: Called with a fingerprint and the target that crashed.
    """

    def __init__(
        self,
        settings: vm_settings.VmSettings,
        cluster: cluster_state.ClusterState,
        prober: target_probes.TargetProber,
        protocol_adapter: protocols.ProtocolAdapter,
    ) -> None:
        """Prepares a runner.

        Args:
            settings: Settings of the VM.
            cluster: What is known of targets.
            prober: Asks targets for their load.
            protocol_adapter: Protocol of the targets.
        """
        self.on_crash: Callable[[int, str], Awaitable[None]] = _ignore_crash
        self._cluster = cluster
        self._prober = prober
        self._protocol_adapter = protocol_adapter
        self._sender: SenderProtocol = attempts.AttemptSender(protocol_adapter)
        self._selector = target_selection.TargetSelector(prober)
        self._retry_budget = retry_policy.ServiceRetryBudget()
        self._crash_checks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self.apply_bounds(settings.bounds, len(settings.regions))

    def apply_bounds(
        self, bounds: vm_settings.DeploymentLimits, zones: int
    ) -> None:
        """Takes what is promised anew.

        Args:
            bounds: What is promised.
            zones: Availability zones of the deployment.
        """
        self._retry_budget.set_limits(
            bounds.retry_fraction,
            bounds.retry_slack,
            bounds.retry_window_seconds,
            vm_assignment.MIN_ASSIGNED_VMS * max(1, zones),
        )

    @property
    def retries_refused(self) -> int:
        """Attempts that the retry allowance did not cover."""
        return self._retry_budget.refused

    def replace_sender(self, sender: "SenderProtocol") -> None:
        """Sends attempts in another way, such as to emulated targets."""
        self._sender = sender

    @property
    def mismatched_responses(self) -> int:
        """Answers of targets that belonged to other requests."""
        return self._sender.mismatched_responses

    async def run(
        self, context: request_context.RequestContext
    ) -> RequestResult:
        """Sends a request to targets until one answers it or none may.

        Raises:
            TimeoutError: If its deadline passed.
        """
        self._retry_budget.add_tokens(context.service, self._loop.time())
        while True:
            candidate = await self._selector.select(context)
            if isinstance(candidate, outcomes.Failure):
                return candidate
            result = await self._send_hedged(context, candidate)
            if result.outcome is request_context.AttemptOutcome.ANSWERED:
                return result
            if not self._may_retry(context, result):
                return self._build_result(context, result)

    async def _send_hedged(
        self,
        context: request_context.RequestContext,
        candidate: target_probes.Candidate,
    ) -> request_context.AttemptResult:
        """Sends an attempt, and a second one beside it if it takes long.

        Returns:
            The answer that came first, or the result that came last.
        """
        now = self._loop.time()
        baseline_seconds = self._selector.find_baseline(context)
        hedge_at = retry_policy.find_hedge_at(
            now, baseline_seconds, context.objective_at
        )
        if (
            hedge_at is None
            or not context.rule.idempotent
            or not context.replayable
        ):
            return await self._send(context, candidate)
        tasks = {self._loop.create_task(self._send(context, candidate))}
        try:
            done, _ = await asyncio.wait(tasks, timeout=hedge_at - now)
            if not done:
                hedge_candidate = await self._select_hedge_target(context)
                if hedge_candidate is not None:
                    context.hedges_sent += 1
                    sending = self._send(context, hedge_candidate)
                    tasks.add(self._loop.create_task(sending))
            return await _wait_for_best(tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _select_hedge_target(
        self, context: request_context.RequestContext
    ) -> target_probes.Candidate | None:
        """Returns where to send a second attempt, or None if nowhere.

        Second attempts must not take room that first attempts need, so only a
        target that is good at once is used.
        """
        if context.possible_runs >= context.rule.max_targets:
            return None
        now = self._loop.time()
        reserve = retry_policy.HEDGE_RESERVE_TOKENS
        if not self._retry_budget.spend_token(context.service, now, reserve):
            return None
        return await self._selector.find_fast_target(context)

    async def _send(
        self,
        context: request_context.RequestContext,
        candidate: target_probes.Candidate,
    ) -> request_context.AttemptResult:
        """Sends one attempt and learns from how it ends."""
        row = candidate.row
        started_at = self._loop.time()
        estimates.record_reservation(row.health, started_at)
        context.attempts_sent += 1
        # Until there is proof of the contrary, it may run.
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
        now = self._loop.time()
        context.record_step(now, result.outcome.value, row.entry.identity, 0.0)
        self._record_result(context, candidate, result, now - started_at)
        return result

    def _record_result(
        self,
        context: request_context.RequestContext,
        candidate: target_probes.Candidate,
        result: request_context.AttemptResult,
        seconds: float,
    ) -> None:
        """Takes from the result of an attempt what it tells of the target."""
        row = candidate.row
        now = self._loop.time()
        if result.outcome is request_context.AttemptOutcome.ANSWERED:
            self._selector.record_response(context, seconds, candidate)
            self._cluster.suspects.clear(context.fingerprint)
            return
        if result.outcome is request_context.AttemptOutcome.NOT_RUN:
            context.possible_runs -= 1
            estimates.record_failure(row.health, now, NOT_RUN_FAILURE_WEIGHT)
            return
        estimates.record_failure(row.health, now)
        if result.outcome is request_context.AttemptOutcome.UNKNOWN:
            self._start_crash_check(context.fingerprint, row.entry)

    def _start_crash_check(
        self, fingerprint: int, entry: fleet.TargetEntry
    ) -> None:
        """Finds out beside the request whether its target crashed."""
        task = self._loop.create_task(self._check_crash(fingerprint, entry))
        self._crash_checks.add(task)
        task.add_done_callback(self._crash_checks.discard)

    async def _check_crash(
        self, fingerprint: int, entry: fleet.TargetEntry
    ) -> None:
        """Tells of a crash if a target takes no connection any more."""
        await asyncio.sleep(CRASH_CHECK_DELAY_SECONDS)
        if await self._prober.is_reachable(entry.address):
            return
        now = self._loop.time()
        self._cluster.suspects.record_crash(now, fingerprint, entry.identity)
        crashes = self._cluster.suspects.list_crashed_targets(fingerprint)
        log.warning(
            "target crashed",
            target=entry.identity,
            fingerprint=f"{fingerprint:016x}",
            crashes=len(crashes),
        )
        if entry.identity in crashes:
            await self.on_crash(fingerprint, entry.identity)

    def _may_retry(
        self,
        context: request_context.RequestContext,
        result: request_context.AttemptResult,
    ) -> bool:
        """Returns True if a request goes to another target, and charges it."""
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
        if not self._retry_budget.spend_token(context.service, now):
            context.record_step(now, "allowance-spent", "", 0.0)
            return False
        return True

    def _build_result(
        self,
        context: request_context.RequestContext,
        result: request_context.AttemptResult,
    ) -> RequestResult:
        """Returns the ending of a request that is not sent again."""
        proves_not_run = (
            result.status in self._protocol_adapter.not_run_statuses
        )
        if (
            result.outcome is request_context.AttemptOutcome.FAILED
            and not proves_not_run
        ):
            return result
        if result.outcome is request_context.AttemptOutcome.FAILED:
            return context.build_failure(outcomes.Reason.TARGET_FAILED)
        if result.outcome is request_context.AttemptOutcome.NOT_RUN:
            return context.build_failure(outcomes.Reason.TARGET_REFUSED)
        return context.build_failure(outcomes.Reason.CONNECTION_LOST)


async def _ignore_crash(fingerprint: int, target: str) -> None:
    """Tells nobody of a crash."""


async def _wait_for_best(
    tasks: set[asyncio.Task[request_context.AttemptResult]],
) -> request_context.AttemptResult:
    """Returns the first answer of some attempts, or the last result."""
    pending = set(tasks)
    while True:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        results = [task.result() for task in done]
        for result in results:
            if (
                result.outcome is request_context.AttemptOutcome.ANSWERED
                or not pending
            ):
                return result

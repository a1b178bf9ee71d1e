"""Decides for each request when it runs and on which target.

One dispatcher holds the requests and targets of a gateway. Requests queue here
in order of deadline rather than at targets, because a request that is queued at
a target can no longer be overtaken or refused.
"""

import collections
from collections.abc import Callable, Iterable, Mapping

from wigeonspool.core import actions
from wigeonspool.core import explanations
from wigeonspool.core import outlier_ejection
from wigeonspool.core import overdue_attempts
from wigeonspool.core import pools
from wigeonspool.core import probe_results
from wigeonspool.core import quarantine
from wigeonspool.core import retry_budget
from wigeonspool.core import tables
from wigeonspool.model import entities
from wigeonspool.model import outcomes
from wigeonspool.model import probe_messages


class Dispatcher:
    """Holds the tables of one gateway and schedules its requests.

    Attributes:
        on_explained: Called with the explanation of each decision on a sampled
            request.
    """

    def __init__(self, zone: str) -> None:
        """Creates a dispatcher without pools.

        Args:
            zone: Availability zone of the gateway.
        """
        self._zone = zone
        self._near_zones: frozenset[str] = frozenset()
        self._pools: dict[str, pools.PoolRow] = {}
        self._requests: dict[int, tables.RequestRow] = {}
        self._draining_addresses: frozenset[str] = frozenset()
        self._pools_with_queue: set[str] = set()
        self._pools_with_timers: set[str] = set()
        self._degraded: set[tuple[str, str]] = set()
        self._quarantine = quarantine.QuarantineTable()
        self.on_explained: Callable[[explanations.Explanation], None]
        self.on_explained = lambda explanation: None

    def configure(self, configured: Iterable[entities.Pool]) -> None:
        """Replaces the pools by those of a new generation.

        Running attempts continue, and targets that stay keep their health. A
        pool that is no longer configured keeps its row, without targets, since
        queued and running requests refer to it.
        """
        pools_by_name = {pool.name: pool for pool in configured}
        for name in self._pools.keys() - pools_by_name.keys():
            self._pools[name].replace_targets({})
        for name, pool in pools_by_name.items():
            row = self._pools.get(name)
            if row is None:
                row = pools.PoolRow(pool, self._zone, self._degraded)
                self._pools[name] = row
            row.set_near_zones(self._near_zones)
            row.pool = pool
            row.replace_targets(
                {
                    target.address: outlier_ejection.merge_target(
                        row, target, target.address in self._draining_addresses
                    )
                    for target in pool.targets
                }
            )

    def set_near_zones(self, zones: Iterable[str]) -> None:
        """Sets the availability zones of the gateway's region."""
        self._near_zones = frozenset(zones)
        for row in self._pools.values():
            row.set_near_zones(self._near_zones)

    def set_slot_limits(
        self, pool: str, limits: Mapping[str, int] | None
    ) -> None:
        """Sets the slots of a pool that this gateway may use.

        Args:
            pool: Name of the pool.
            limits: Slots by target address, or None to use all slots.
        """
        row = self._pools.get(pool)
        if row is not None:
            row.set_slot_limits(limits)

    def list_suspects(self) -> list[tuple[int, tuple[str, ...]]]:
        """Returns the fingerprint and the crashed targets of each suspect.

        A suspect is a request that was running when a target crashed. The list
        is sent to other gateways, which merge it into their own.
        """
        return self._quarantine.list_suspects()

    def list_crashed_targets(self, fingerprint: int) -> tuple[str, ...]:
        """Returns the targets that crashed while they ran a request."""
        return self._quarantine.list_crashed_targets(fingerprint)

    def merge_suspects(
        self, now: float, suspects: Iterable[tuple[int, tuple[str, ...]]]
    ) -> None:
        """Adds the suspects that another gateway reported."""
        for fingerprint, targets in suspects:
            self._quarantine.merge(now, fingerprint, targets)

    def remove_crashes(self, fingerprint: int, targets: Iterable[str]) -> None:
        """Removes crashes of a suspect that another gateway has answered."""
        for target in targets:
            self._quarantine.remove_crash(fingerprint, target)

    def set_draining_targets(self, addresses: Iterable[str]) -> None:
        """Sets the targets that the VM list marks as leaving, by address."""
        self._draining_addresses = frozenset(addresses)
        # A removed pool is left out: its row has no targets, and configuring
        # its last configuration again would restore them.
        self.configure(
            [row.pool for row in self._pools.values() if row.targets]
        )

    def count_unsettled(self) -> int:
        """Returns the number of requests that are not settled."""
        return len(self._requests)

    def list_targets(self, pool: str) -> list[tables.TargetRow]:
        """Returns the targets of a pool, for status pages."""
        row = self._pools.get(pool)
        return list(row.targets.values()) if row else []

    def list_degraded(self) -> list[tuple[entities.Pool, tables.TargetRow]]:
        """Returns the targets that are not fully serving, with their pools.

        A target that serves fully again is listed once more.
        """
        return outlier_ejection.list_degraded(self._pools, self._degraded)

    def count_queued(self) -> collections.Counter[str]:
        """Returns the number of queued requests by pool."""
        return collections.Counter(
            request.pool
            for request in self._requests.values()
            if request.state is tables.RequestState.QUEUED
        )

    def list_probe_targets(self, now: float) -> dict[str, tuple[str, ...]]:
        """Returns the unavailable targets that should be probed, by pool."""
        unavailable = {
            name: probe_results.list_probe_targets(now, self._pools[name])
            for name in self._pools_with_timers
        }
        return {
            name: addresses
            for name, addresses in unavailable.items()
            if addresses
        }

    def handle_probe_result(
        self, now: float, result: probe_messages.ProbeResult
    ) -> None:
        """Applies the result of a probe; the next tick acts on it."""
        row = self._pools.get(result.pool)
        if row is not None:
            probe_results.apply_result(now, row, result.target, result.state)

    def submit(
        self, now: float, request: tables.RequestRow
    ) -> list[actions.Action]:
        """Admits a new request to the queue, or refuses it.

        Args:
            now: Time on the core's clock, in seconds.
            request: Row of the request, in state QUEUED.

        Returns:
            Actions that the driver must perform.
        """
        row = self._pools.get(request.pool)
        if row is None:
            return [self._refuse(now, request, outcomes.Reason.NOT_CONFIGURED)]
        if request.deadline <= now:
            return [self._refuse(now, request, outcomes.Reason.DEADLINE_PASSED)]
        if self._quarantine.is_refused(now, request.fingerprint):
            return [self._refuse(now, request, outcomes.Reason.QUARANTINED)]
        if not row.admits(now, request):
            reason = outcomes.Reason.DEADLINE_UNREACHABLE
            return [self._refuse(now, request, reason)]
        request.arrived_at = now
        self._requests[request.request_id] = request
        retry_budget.add_tokens(row.retry_budget, row.pool.retry_fraction)
        row.enqueue(request)
        pending_actions = self._dispatch(now, row)
        if request.sample_id and request.state is tables.RequestState.QUEUED:
            avoided = self._find_avoided(row, request)
            self.on_explained(
                explanations.explain_wait(now, row, request, avoided)
            )
        return pending_actions

    def handle_result(
        self, now: float, request_id: int, target: str, result: tables.Result
    ) -> list[actions.Action]:
        """Settles or retries a request after one of its attempts ended.

        The result is ignored if the request is settled or cancelled.

        Args:
            now: Time on the core's clock, in seconds.
            request_id: Request of the attempt.
            target: Address that the attempt was sent to.
            result: How the attempt ended.

        Returns:
            Actions that the driver must perform.
        """
        request = self._requests.get(request_id)
        if request is None:
            return []
        row = self._pools[request.pool]
        if result.kind is tables.ResultKind.ANSWERED:
            row.times.record(request.route, now - request.sent_at)
            self._quarantine.remove_suspect(request.fingerprint)
        elif result.crashed:
            self._quarantine.record_crash(now, request.fingerprint, target)
        self._release_slot(now, row, request, target, result)
        if result.kind is not tables.ResultKind.ANSWERED:
            request.failed_targets |= {target}
        pending_actions = self._settle_or_retry(now, row, request, result)
        return pending_actions + self._dispatch(now, row)

    def cancel(self, now: float, request_id: int) -> list[actions.Action]:
        """Drops a request whose caller disconnected or whose deadline passed.

        Returns:
            A Cancel for the running attempt, if there is one, and the actions
            for queued requests, which may use the freed slot.
        """
        request = self._requests.pop(request_id, None)
        if request is None:
            return []
        row = self._pools[request.pool]
        pending_actions: list[actions.Action] = []
        if request.state is tables.RequestState.RUNNING:
            pending_actions.append(actions.Cancel(request_id, request.target))
            self._release_slot(now, row, request, request.target, None)
        request.state = tables.RequestState.SETTLED
        return pending_actions + self._dispatch(now, row)

    def refuse_queued(self, now: float) -> list[actions.Action]:
        """Refuses all queued requests because this gateway is stopping."""
        queued = [
            request
            for request in self._requests.values()
            if request.state is tables.RequestState.QUEUED
        ]
        return [
            self._refuse(now, request, outcomes.Reason.DRAINING)
            for request in queued
        ]

    def tick(self, now: float) -> list[actions.Action]:
        """Checks overdue attempts, restores targets and sends queued requests.

        Returns:
            Actions that the driver must perform.
        """
        pending_actions: list[actions.Action] = []
        for name in list(self._pools_with_timers):
            row = self._pools[name]
            overdue_attempts.check_overdue(now, row)
            outlier_ejection.restore_targets(now, row)
            if not row.overdue_checks and not row.restore_times:
                self._pools_with_timers.discard(name)
        for name in list(self._pools_with_queue):
            pending_actions += self._dispatch(now, self._pools[name])
        return pending_actions

    def find_next_tick(self) -> float:
        """Returns when `tick` should run next, on the core's clock.

        The time is -inf (as soon as possible) while requests are queued, and
        inf if nothing is due.
        """
        if self._pools_with_queue:
            return float("-inf")
        rows = [self._pools[name] for name in self._pools_with_timers]
        planned = [overdue_attempts.find_next_check(row) for row in rows]
        planned += [
            row.restore_times[0][0] for row in rows if row.restore_times
        ]
        return min(planned, default=float("inf"))

    def _release_slot(
        self,
        now: float,
        row: pools.PoolRow,
        request: tables.RequestRow,
        address: str,
        result: tables.Result | None,
    ) -> None:
        """Frees the slot of an attempt and updates the health of its target.

        Args:
            now: Time on the core's clock, in seconds.
            row: Pool of the request.
            request: Request of the attempt.
            address: Address of the target.
            result: How the attempt ended, or None if it was cancelled.
        """
        row.record_end(request, address)
        target = row.targets.get(address)
        if target is None:
            return
        target.in_flight = max(0, target.in_flight - 1)
        if result is not None:
            outlier_ejection.record_result(now, row, request, target, result)
            if row.restore_times:
                self._pools_with_timers.add(row.pool.name)
        row.index.update(target)

    def _settle_or_retry(
        self,
        now: float,
        row: pools.PoolRow,
        request: tables.RequestRow,
        result: tables.Result,
    ) -> list[actions.Action]:
        """Settles a request, or requeues it for a retry."""
        if result.kind is tables.ResultKind.ANSWERED:
            return [self._settle(request, None)]
        if result.kind is not tables.ResultKind.NOT_RUN:
            request.may_have_run = True
        if self._quarantine.is_refused(now, request.fingerprint):
            return [self._refuse(now, request, outcomes.Reason.QUARANTINED)]
        if retry_budget.may_retry(now, row.retry_budget, request, result):
            request.state = tables.RequestState.QUEUED
            request.target = ""
            row.enqueue(request)
            return []
        if result.kind is tables.ResultKind.FAILED:
            return [self._settle(request, None)]
        if result.kind is tables.ResultKind.NOT_RUN:
            return [self._refuse(now, request, outcomes.Reason.TARGET_REFUSED)]
        failure = outcomes.build_unknown_outcome(
            outcomes.Reason.CONNECTION_LOST
        )
        return [self._settle(request, failure)]

    def _settle(
        self, request: tables.RequestRow, failure: outcomes.Failure | None
    ) -> actions.Action:
        """Marks a request as settled and removes it from the table."""
        request.state = tables.RequestState.SETTLED
        self._requests.pop(request.request_id, None)
        return actions.Settle(request.request_id, failure)

    def _refuse(
        self,
        now: float,
        request: tables.RequestRow,
        reason: outcomes.Reason,
    ) -> actions.Action:
        """Settles a request that will not be sent again.

        The failure is NOT_RUN only if no earlier attempt may have run.
        """
        if request.sample_id:
            row = self._pools.get(request.pool)
            self.on_explained(
                explanations.explain_refusal(now, row, request, reason)
            )
        failure = (
            outcomes.build_unknown_outcome(reason)
            if request.may_have_run
            else outcomes.build_refusal(reason)
        )
        return self._settle(request, failure)

    def _dispatch(self, now: float, row: pools.PoolRow) -> list[actions.Action]:
        """Sends queued requests while targets have free slots.

        Requests that can no longer be answered by their deadline are refused.
        """
        row.refresh(now)
        pending_actions: list[actions.Action] = []
        while (request := row.peek()) is not None:
            if not row.can_start(now, request):
                row.queue.pop(request)
                reason = outcomes.Reason.DEADLINE_UNREACHABLE
                if request.deadline <= now:
                    reason = outcomes.Reason.DEADLINE_PASSED
                pending_actions.append(self._refuse(now, request, reason))
                continue
            avoided = self._find_avoided(row, request)
            target = row.choose(request, avoided)
            if target is None:
                break
            row.queue.pop(request)
            if request.sample_id:
                self.on_explained(
                    explanations.explain_send(
                        now, row, request, target, avoided
                    )
                )
            pending_actions.append(self._send(now, row, request, target))
        if row.queue:
            self._pools_with_queue.add(row.pool.name)
        else:
            self._pools_with_queue.discard(row.pool.name)
        return pending_actions

    def _find_avoided(
        self, row: pools.PoolRow, request: tables.RequestRow
    ) -> frozenset[str]:
        """Returns the targets that a request uses only if there is no other.

        These are the targets that failed it and, for a suspect, those that run
        another suspect, so that a further crash points to one request.
        """
        if self._quarantine.is_suspect(request.fingerprint):
            return request.failed_targets | row.suspect_attempts.keys()
        return request.failed_targets

    def _send(
        self,
        now: float,
        row: pools.PoolRow,
        request: tables.RequestRow,
        target: tables.TargetRow,
    ) -> actions.Action:
        """Starts an attempt and schedules its overdue check."""
        request.is_suspect_attempt = self._quarantine.is_suspect(
            request.fingerprint
        )
        row.record_start(now, request, target)
        if overdue_attempts.schedule_check(row, request):
            self._pools_with_timers.add(row.pool.name)
        return actions.Send(request.request_id, target.address)

"""Decides for each request when and where it runs.

One dispatcher holds the requests and targets of a gateway. Requests wait here
in order of deadline rather than at targets, where nobody could overtake or
refuse them any more.
"""

import collections
from collections.abc import Iterable, Mapping
import heapq
from typing import Final

from wigeonspool.core import actions
from wigeonspool.core import choosing
from wigeonspool.core import pools
from wigeonspool.core import tables
from wigeonspool.model import entities
from wigeonspool.model import outcomes

MAX_ATTEMPTS: Final = 3
EJECTION_FAILURES: Final = 3
EJECTION_SECONDS: Final = 1.0


class Dispatcher:
    """Holds the tables of one gateway and runs the systems over them."""

    def __init__(self, zone: str) -> None:
        """Prepares empty tables.

        Args:
            zone: Availability zone of the gateway.
        """
        self._zone = zone
        self._pools: dict[str, pools.PoolRow] = {}
        self._requests: dict[int, tables.RequestRow] = {}
        self._leaving: frozenset[str] = frozenset()
        self._waiting: set[str] = set()
        self._ejected: list[tuple[float, str, str]] = []

    def configure(self, listed: Iterable[entities.Pool]) -> None:
        """Takes the pools of a new generation; running work goes on."""
        wanted = {pool.name: pool for pool in listed}
        for name in self._pools.keys() - wanted.keys():
            self._pools[name].replace_targets({})
        for name, pool in wanted.items():
            row = self._pools.setdefault(name, pools.PoolRow(pool, self._zone))
            row.pool = pool
            row.replace_targets(
                {
                    target.address: self._merge_target(row, target)
                    for target in pool.targets
                }
            )

    def _merge_target(
        self, row: pools.PoolRow, target: entities.Target
    ) -> tables.TargetRow:
        """Returns the row of a target, with what is known of it."""
        known = row.targets.get(target.address)
        if known is None:
            known = tables.TargetRow(
                target.address, target.zone, row.pool.slots
            )
        known.slots = row.pool.slots
        if target.drained or target.address in self._leaving:
            known.state = tables.TargetState.DRAINING
        elif known.state is tables.TargetState.DRAINING:
            known.state = tables.TargetState.SERVING
        return known

    def share(self, pool: str, limits: Mapping[str, int] | None) -> None:
        """Takes the slots that this gateway may use.

        Args:
            pool: Pool that is shared.
            limits: Slots by target address, or None to use them all.
        """
        row = self._pools.get(pool)
        if row is not None:
            row.share(limits)

    def mark_leaving(self, addresses: Iterable[str]) -> None:
        """Takes the addresses of all targets that the VM list calls leaving."""
        self._leaving = frozenset(addresses)
        self.configure([row.pool for row in self._pools.values()])

    def count_running(self) -> int:
        """Returns the number of requests that are not settled."""
        return len(self._requests)

    def list_targets(self, pool: str) -> list[tables.TargetRow]:
        """Returns the targets of a pool, for status pages."""
        row = self._pools.get(pool)
        return list(row.targets.values()) if row else []

    def count_queued(self) -> collections.Counter[str]:
        """Returns the number of requests that wait for a slot, by pool."""
        return collections.Counter(
            request.pool
            for request in self._requests.values()
            if request.state is tables.RequestState.QUEUED
        )

    def submit(
        self, now: float, request: tables.RequestRow
    ) -> list[actions.Action]:
        """Takes a new request.

        Args:
            now: Time on the core's clock, in seconds.
            request: Its row; its state is QUEUED.

        Returns:
            What the driver must do next.
        """
        row = self._pools.get(request.pool)
        if row is None:
            return [self._refuse(request, outcomes.Reason.NOT_CONFIGURED)]
        if request.deadline <= now:
            return [self._refuse(request, outcomes.Reason.DEADLINE_PASSED)]
        request.arrived_at = now
        self._requests[request.request_id] = request
        row.enqueue(request)
        return self._dispatch(now, row)

    def finish(
        self, now: float, request_id: int, target: str, result: tables.Result
    ) -> list[actions.Action]:
        """Takes the result of one attempt.

        Args:
            now: Time on the core's clock, in seconds.
            request_id: Request of the attempt.
            target: Address that the attempt was sent to.
            result: What the driver learned.
        """
        request = self._requests.get(request_id)
        if request is None:
            return []
        row = self._pools[request.pool]
        if result.kind is tables.ResultKind.ANSWERED:
            row.times.record(request.route, now - request.sent_at)
        self._release(now, row, request, target, result)
        request.tried.add(target)
        done = self._conclude(now, row, request, result)
        return done + self._dispatch(now, row)

    def abandon(self, now: float, request_id: int) -> list[actions.Action]:
        """Drops a request whose caller left or whose deadline passed.

        Returns:
            A Cancel for its running attempt, if there is one, and Sends for
            requests that take its slot.
        """
        request = self._requests.pop(request_id, None)
        if request is None:
            return []
        row = self._pools[request.pool]
        done: list[actions.Action] = []
        if request.state is tables.RequestState.RUNNING:
            done.append(actions.Cancel(request_id, request.target))
            lost = tables.Result(tables.ResultKind.ANSWERED)
            self._release(now, row, request, request.target, lost)
        request.state = tables.RequestState.SETTLED
        return done + self._dispatch(now, row)

    def tick(self, now: float) -> list[actions.Action]:
        """Runs the systems that depend on time alone."""
        self._restore(now)
        done: list[actions.Action] = []
        for name in list(self._waiting):
            done += self._dispatch(now, self._pools[name])
        return done

    def _restore(self, now: float) -> None:
        """Lets targets serve again whose ejection is over."""
        while self._ejected and self._ejected[0][0] <= now:
            _, pool, address = heapq.heappop(self._ejected)
            row = self._pools[pool]
            target = row.targets.get(address)
            if target is None or target.ejected_until > now:
                continue
            if target.state is tables.TargetState.EJECTED:
                target.state = tables.TargetState.SERVING
                row.index.place(target)

    def _release(
        self,
        now: float,
        row: pools.PoolRow,
        request: tables.RequestRow,
        address: str,
        result: tables.Result,
    ) -> None:
        """Frees the slot of an attempt and learns from its result."""
        row.count_end(request)
        target = row.targets.get(address)
        if target is None:
            return
        target.in_flight = max(0, target.in_flight - 1)
        if result.draining:
            target.state = tables.TargetState.DRAINING
        if result.kind is tables.ResultKind.ANSWERED:
            target.failures = 0
        else:
            target.failures += 1
            if target.failures >= EJECTION_FAILURES:
                self._eject(now, row, target)
        row.index.place(target)

    def _eject(
        self, now: float, row: pools.PoolRow, target: tables.TargetRow
    ) -> None:
        """Keeps new work from a target, within the pool's bound."""
        states = [t.state for t in row.targets.values()]
        bound = int(len(states) * row.pool.max_ejected_fraction)
        if states.count(tables.TargetState.EJECTED) >= bound:
            return
        if target.state is tables.TargetState.SERVING:
            target.state = tables.TargetState.EJECTED
            target.ejected_until = now + EJECTION_SECONDS
            entry = (target.ejected_until, row.pool.name, target.address)
            heapq.heappush(self._ejected, entry)

    def _conclude(
        self,
        now: float,
        row: pools.PoolRow,
        request: tables.RequestRow,
        result: tables.Result,
    ) -> list[actions.Action]:
        """Settles a request or puts it back into the queue."""
        if result.kind is tables.ResultKind.ANSWERED:
            return [self._settle(request, None)]
        if result.kind is not tables.ResultKind.NOT_RUN:
            request.may_have_run = True
        safe = result.kind is tables.ResultKind.NOT_RUN or request.idempotent
        if safe and request.attempts < MAX_ATTEMPTS and now < request.deadline:
            request.state = tables.RequestState.QUEUED
            request.target = ""
            row.enqueue(request)
            return []
        if result.kind is tables.ResultKind.FAILED:
            return [self._settle(request, None)]
        if result.kind is tables.ResultKind.NOT_RUN:
            return [self._refuse(request, outcomes.Reason.TARGET_REFUSED)]
        failure = outcomes.doubt(outcomes.Reason.CONNECTION_LOST)
        return [self._settle(request, failure)]

    def _settle(
        self, request: tables.RequestRow, failure: outcomes.Failure | None
    ) -> actions.Action:
        """Ends a request."""
        request.state = tables.RequestState.SETTLED
        self._requests.pop(request.request_id, None)
        return actions.Settle(request.request_id, failure)

    def _refuse(
        self, request: tables.RequestRow, reason: outcomes.Reason
    ) -> actions.Action:
        """Ends a request that will not be sent any more."""
        failure = (
            outcomes.doubt(reason)
            if request.may_have_run
            else outcomes.refuse(reason)
        )
        return self._settle(request, failure)

    def _dispatch(self, now: float, row: pools.PoolRow) -> list[actions.Action]:
        """Sends queued requests while targets have free slots."""
        row.refresh(now)
        done: list[actions.Action] = []
        while (request := row.peek()) is not None:
            if request.deadline <= now:
                row.queue.pop(request)
                reason = outcomes.Reason.DEADLINE_PASSED
                done.append(self._refuse(request, reason))
                continue
            target = self._choose(row, request)
            if target is None:
                break
            row.queue.pop(request)
            done.append(self._send(now, row, request, target))
        if row.queue:
            self._waiting.add(row.pool.name)
        else:
            self._waiting.discard(row.pool.name)
        return done

    def _choose(
        self, row: pools.PoolRow, request: tables.RequestRow
    ) -> tables.TargetRow | None:
        """Returns the target with the most free slots, near ones first."""
        return row.index.choose(request.tried, choosing.Group.REMOTE)

    def _send(
        self,
        now: float,
        row: pools.PoolRow,
        request: tables.RequestRow,
        target: tables.TargetRow,
    ) -> actions.Action:
        """Starts an attempt."""
        row.count_start(request)
        target.in_flight += 1
        row.index.place(target)
        request.state = tables.RequestState.RUNNING
        request.target = target.address
        request.sent_at = now
        request.attempts += 1
        return actions.Send(request.request_id, target.address)

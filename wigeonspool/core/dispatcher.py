"""Decides for each request when and where it runs.

One dispatcher holds the requests and targets of a gateway. Requests wait here
in order of deadline rather than at targets, where nobody could overtake or
refuse them any more.
"""

from collections.abc import Iterable
import dataclasses
import heapq
from typing import Final

from wigeonspool.core import actions
from wigeonspool.core import tables
from wigeonspool.model import entities
from wigeonspool.model import outcomes

MAX_ATTEMPTS: Final = 3
EJECTION_FAILURES: Final = 3
EJECTION_SECONDS: Final = 1.0


@dataclasses.dataclass(slots=True)
class PoolRow:
    """The targets and the queue of one pool.

    Attributes:
        pool: The operators' row.
        targets: Targets by address.
        queue: Heap of (deadline, request id).
    """

    pool: entities.Pool
    targets: dict[str, tables.TargetRow]
    queue: list[tuple[float, int]] = dataclasses.field(default_factory=list)


class Dispatcher:
    """Holds the tables of one gateway and runs the systems over them."""

    def __init__(self, zone: str) -> None:
        """Prepares empty tables.

        Args:
            zone: Availability zone of the gateway.
        """
        self._zone = zone
        self._pools: dict[str, PoolRow] = {}
        self._requests: dict[int, tables.RequestRow] = {}
        self._leaving: frozenset[str] = frozenset()

    def configure(self, pools: Iterable[entities.Pool]) -> None:
        """Takes the pools of a new generation; running work goes on."""
        wanted = {pool.name: pool for pool in pools}
        for name in self._pools.keys() - wanted.keys():
            self._pools[name].targets = {}
        for name, pool in wanted.items():
            row = self._pools.setdefault(name, PoolRow(pool, {}))
            row.pool = pool
            row.targets = {
                target.address: self._merge_target(row, target)
                for target in pool.targets
            }

    def _merge_target(
        self, row: PoolRow, target: entities.Target
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

    def count_queued(self, pool: str) -> int:
        """Returns the number of requests of a pool that wait for a slot."""
        return sum(
            request.pool == pool and request.state is tables.RequestState.QUEUED
            for request in self._requests.values()
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
        heapq.heappush(row.queue, (request.deadline, request.request_id))
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
        self._release(now, row, target, result)
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
            self._release(now, row, request.target, lost)
        request.state = tables.RequestState.SETTLED
        return done + self._dispatch(now, row)

    def tick(self, now: float) -> list[actions.Action]:
        """Runs the systems that depend on time alone."""
        done: list[actions.Action] = []
        for row in self._pools.values():
            for target in row.targets.values():
                if (
                    target.state is tables.TargetState.EJECTED
                    and target.ejected_until <= now
                ):
                    target.state = tables.TargetState.SERVING
            done += self._dispatch(now, row)
        return done

    def _release(
        self, now: float, row: PoolRow, address: str, result: tables.Result
    ) -> None:
        """Frees the slot of an attempt and learns from its result."""
        target = row.targets.get(address)
        if target is None:
            return
        target.in_flight = max(0, target.in_flight - 1)
        if result.draining:
            target.state = tables.TargetState.DRAINING
        if result.kind is tables.ResultKind.ANSWERED:
            target.failures = 0
            return
        target.failures += 1
        if target.failures >= EJECTION_FAILURES:
            self._eject(now, row, target)

    def _eject(
        self, now: float, row: PoolRow, target: tables.TargetRow
    ) -> None:
        """Keeps new work from a target, within the pool's bound."""
        states = [t.state for t in row.targets.values()]
        bound = int(len(states) * row.pool.max_ejected_fraction)
        if states.count(tables.TargetState.EJECTED) >= bound:
            return
        if target.state is tables.TargetState.SERVING:
            target.state = tables.TargetState.EJECTED
            target.ejected_until = now + EJECTION_SECONDS

    def _conclude(
        self,
        now: float,
        row: PoolRow,
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
            heapq.heappush(row.queue, (request.deadline, request.request_id))
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

    def _dispatch(self, now: float, row: PoolRow) -> list[actions.Action]:
        """Sends queued requests while targets have free slots."""
        done: list[actions.Action] = []
        while row.queue:
            deadline, request_id = row.queue[0]
            request = self._requests.get(request_id)
            if (
                request is None
                or request.state is not tables.RequestState.QUEUED
            ):
                heapq.heappop(row.queue)
                continue
            if deadline <= now:
                heapq.heappop(row.queue)
                done.append(
                    self._refuse(request, outcomes.Reason.DEADLINE_PASSED)
                )
                continue
            target = self._choose(row, request)
            if target is None:
                break
            heapq.heappop(row.queue)
            done.append(self._send(now, request, target))
        return done

    def _choose(
        self, row: PoolRow, request: tables.RequestRow
    ) -> tables.TargetRow | None:
        """Returns the target with the fewest attempts, near ones first."""
        best: tables.TargetRow | None = None
        best_rank = (True, True, 0)
        for target in row.targets.values():
            if target.state is not tables.TargetState.SERVING:
                continue
            if target.in_flight >= target.slots:
                continue
            rank = (
                target.address in request.tried,
                target.zone != self._zone,
                target.in_flight,
            )
            if best is None or rank < best_rank:
                best = target
                best_rank = rank
        return best

    def _send(
        self, now: float, request: tables.RequestRow, target: tables.TargetRow
    ) -> actions.Action:
        """Starts an attempt."""
        target.in_flight += 1
        request.state = tables.RequestState.RUNNING
        request.target = target.address
        request.sent_at = now
        request.attempts += 1
        return actions.Send(request.request_id, target.address)

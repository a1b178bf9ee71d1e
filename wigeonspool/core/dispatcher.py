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
from wigeonspool.core import health
from wigeonspool.core import pools
from wigeonspool.core import probing
from wigeonspool.core import quarantine
from wigeonspool.core import retrying
from wigeonspool.core import supervision
from wigeonspool.core import tables
from wigeonspool.model import entities
from wigeonspool.model import measurements
from wigeonspool.model import outcomes

MAX_ATTEMPTS: Final = 3
# Attempts that provably did not run cost a target nothing, so more are made.
MAX_SENDS: Final = 12


class Dispatcher:
    """Holds the tables of one gateway and runs the systems over them."""

    def __init__(self, zone: str) -> None:
        """Prepares empty tables.

        Args:
            zone: Availability zone of the gateway.
        """
        self._zone = zone
        self._near_zones: frozenset[str] = frozenset()
        self._pools: dict[str, pools.PoolRow] = {}
        self._requests: dict[int, tables.RequestRow] = {}
        self._leaving: frozenset[str] = frozenset()
        self._waiting: set[str] = set()
        self._watched: set[str] = set()
        self._quarantine = quarantine.QuarantineTable()

    def configure(self, listed: Iterable[entities.Pool]) -> None:
        """Takes the pools of a new generation; running work goes on."""
        wanted = {pool.name: pool for pool in listed}
        for name in self._pools.keys() - wanted.keys():
            self._pools[name].replace_targets({})
        for name, pool in wanted.items():
            row = self._pools.setdefault(name, pools.PoolRow(pool, self._zone))
            row.set_near_zones(self._near_zones)
            row.pool = pool
            row.replace_targets(
                {
                    target.address: supervision.merge_target(
                        row, target, target.address in self._leaving
                    )
                    for target in pool.targets
                }
            )

    def set_near_zones(self, zones: Iterable[str]) -> None:
        """Takes the availability zones of the gateway's region."""
        self._near_zones = frozenset(zones)
        for row in self._pools.values():
            row.set_near_zones(self._near_zones)

    def share(self, pool: str, limits: Mapping[str, int] | None) -> None:
        """Takes the slots that this gateway may use.

        Args:
            pool: Pool that is shared.
            limits: Slots by target address, or None to use them all.
        """
        row = self._pools.get(pool)
        if row is not None:
            row.share(limits)

    def list_suspects(self) -> list[tuple[int, tuple[str, ...]]]:
        """Returns fingerprints and crashed targets, for other gateways."""
        return self._quarantine.list_suspects()

    def find_crashes(self, fingerprint: int) -> tuple[str, ...]:
        """Returns the targets that crashed while a request ran there."""
        return self._quarantine.find_crashes(fingerprint)

    def merge_suspects(
        self, now: float, suspects: Iterable[tuple[int, tuple[str, ...]]]
    ) -> None:
        """Takes the suspects of another gateway."""
        for fingerprint, targets in suspects:
            self._quarantine.merge(now, fingerprint, targets)

    def mark_leaving(self, addresses: Iterable[str]) -> None:
        """Takes the addresses of all targets that the VM list calls leaving."""
        self._leaving = frozenset(addresses)
        # A pool that was removed has no targets, and gets none back here.
        self.configure(
            [row.pool for row in self._pools.values() if row.targets]
        )

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

    def list_out(self, now: float) -> dict[str, tuple[str, ...]]:
        """Returns the targets that should be measured, by pool."""
        out = {
            name: probing.list_out(now, self._pools[name])
            for name in self._watched
        }
        return {name: addresses for name, addresses in out.items() if addresses}

    def take_probe(self, now: float, result: measurements.ProbeResult) -> None:
        """Takes the result of a probe; the next tick acts on it."""
        row = self._pools.get(result.pool)
        if row is not None:
            probing.take_result(now, row, result.target, result.state)

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
        if self._quarantine.is_refused(now, request.fingerprint):
            return [self._refuse(request, outcomes.Reason.QUARANTINED)]
        if not row.admits(now, request):
            reason = outcomes.Reason.DEADLINE_UNREACHABLE
            return [self._refuse(request, reason)]
        request.arrived_at = now
        self._requests[request.request_id] = request
        retrying.earn_retries(row.retries, row.pool.retry_fraction)
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
            self._quarantine.clear(request.fingerprint)
        elif result.crashed:
            self._quarantine.note_crash(now, request.fingerprint, target)
        self._release(now, row, request, target, result)
        if result.kind is not tables.ResultKind.ANSWERED:
            request.tried |= {target}
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
            self._release(now, row, request, request.target, None)
        request.state = tables.RequestState.SETTLED
        return done + self._dispatch(now, row)

    def refuse_queued(self) -> list[actions.Action]:
        """Refuses all requests that wait, since this gateway stops."""
        queued = [
            request
            for request in self._requests.values()
            if request.state is tables.RequestState.QUEUED
        ]
        return [
            self._refuse(request, outcomes.Reason.DRAINING)
            for request in queued
        ]

    def tick(self, now: float) -> list[actions.Action]:
        """Runs the systems that depend on time alone."""
        done: list[actions.Action] = []
        for name in list(self._watched):
            row = self._pools[name]
            self._note_overdue(now, row)
            supervision.restore_targets(now, row)
            if not row.overdue and not row.returns:
                self._watched.discard(name)
        for name in list(self._waiting):
            done += self._dispatch(now, self._pools[name])
        return done

    def _note_overdue(self, now: float, row: pools.PoolRow) -> None:
        """Judges targets by attempts that should have ended by now."""
        while row.overdue and row.overdue[0][0] <= now:
            _, request_id, attempt = heapq.heappop(row.overdue)
            request = self._requests.get(request_id)
            if (
                request is not None
                and request.state is tables.RequestState.RUNNING
                and request.attempts == attempt
            ):
                supervision.learn_overdue(now, row, request)

    def _release(
        self,
        now: float,
        row: pools.PoolRow,
        request: tables.RequestRow,
        address: str,
        result: tables.Result | None,
    ) -> None:
        """Frees the slot of an attempt and learns from its result, if any."""
        row.count_end(request)
        if request.suspect:
            request.suspect = False
            row.suspects[address] -= 1
            row.suspects += collections.Counter()
        target = row.targets.get(address)
        if target is None:
            return
        target.in_flight = max(0, target.in_flight - 1)
        if result is not None:
            supervision.learn_result(now, row, request, target, result)
            if row.returns:
                self._watched.add(row.pool.name)
        row.index.place(target)

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
        if self._quarantine.is_refused(now, request.fingerprint):
            return [self._refuse(request, outcomes.Reason.QUARANTINED)]
        if self._may_retry(now, row, request, result):
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

    def _may_retry(
        self,
        now: float,
        row: pools.PoolRow,
        request: tables.RequestRow,
        result: tables.Result,
    ) -> bool:
        """Returns True if a request may be sent once more.

        What did not run costs nothing and needs no budget.
        """
        if now >= request.deadline or request.attempts >= MAX_SENDS:
            return False
        if result.kind is tables.ResultKind.NOT_RUN:
            return True
        request.failures += 1
        if not request.idempotent or request.failures >= MAX_ATTEMPTS:
            return False
        return retrying.spend_retry(row.retries)

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
            if not row.can_start(now, request):
                row.queue.pop(request)
                reason = outcomes.Reason.DEADLINE_UNREACHABLE
                if request.deadline <= now:
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
        avoided = request.tried
        if self._quarantine.is_suspect(request.fingerprint):
            avoided = avoided | row.suspects.keys()
        return row.choose(request, avoided)

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
        request.overdue = False
        if self._quarantine.is_suspect(request.fingerprint):
            request.suspect = True
            row.suspects[target.address] += 1
        self._expect_end(now, row, request)
        return actions.Send(request.request_id, target.address)

    def _expect_end(
        self, now: float, row: pools.PoolRow, request: tables.RequestRow
    ) -> None:
        """Plans a look at an attempt when it should have ended."""
        median = row.times.find(request.route).median
        if median:
            at = now + health.find_slow_seconds(median)
            entry = (at, request.request_id, request.attempts)
            heapq.heappush(row.overdue, entry)
            self._watched.add(row.pool.name)

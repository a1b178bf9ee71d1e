"""One pool as a gateway holds it: targets, queue and what was learned."""

import collections
from collections.abc import Mapping
from typing import Final

from wigeonspool.core import admission
from wigeonspool.core import health
from wigeonspool.core import rendezvous
from wigeonspool.core import request_queue
from wigeonspool.core import retry_budget
from wigeonspool.core import service_times
from wigeonspool.core import tables
from wigeonspool.core import target_index
from wigeonspool.model import entities

REFRESH_SECONDS: Final = 0.05
USAGE_SAMPLE_WEIGHT: Final = 0.05
SHARED_LIMIT: Final = 1
SHORT_USED_FRACTION: Final = 0.75
SHORT_SPARE_FRACTION: Final = 0.25


class PoolRow:
    """The targets and the queue of one pool.

    Attributes:
        pool: The operators' row.
        targets: Targets by address.
        index: The same targets, arranged for a choice.
        queue: Requests that wait for a slot.
        times: Service times of the pool's routes.
        slots: Slots that this gateway may use at its own targets.
        long_limit: How many of them long work may use.
        permit_count: Ejections that this gateway may hold at once.
        ejected: Addresses of the targets that use one.
        recovering: Addresses of own targets that have not all their slots.
        return_times: Heap of (time, address) at which targets may serve again.
        overdue_checks: Attempts by route as (time, number, request), in the
            order in
            which they were sent, to be looked at when they should have ended.
        retry_budget: Budget of retries.
        suspects: Running attempts of suspects by target address.
        degraded: Pool and address of targets that do not simply serve, shared
            by all pools; see `Dispatcher.list_unusual`.
    """

    __slots__ = (
        "_limits",
        "_near_zones",
        "_permits",
        "_permits_pool",
        "_refresh_at",
        "_running",
        "_mean_running",
        "_zone",
        "ejected",
        "recovering",
        "index",
        "long_limit",
        "permit_count",
        "pool",
        "queue",
        "retry_budget",
        "return_times",
        "overdue_checks",
        "slots",
        "suspects",
        "targets",
        "times",
        "degraded",
    )

    def __init__(
        self,
        pool: entities.Pool,
        zone: str,
        degraded: set[tuple[str, str]],
    ) -> None:
        """Prepares a pool without targets.

        Args:
            pool: The operators' row.
            zone: Availability zone of the gateway.
            degraded: Where to note targets that do not simply serve.
        """
        self.degraded = degraded
        self.pool = pool
        self.targets: dict[str, tables.TargetRow] = {}
        self.index = target_index.TargetIndex()
        self.queue = request_queue.RequestQueue()
        self.times = service_times.PoolServiceTimes()
        self.slots = 0
        self.long_limit = 0
        self.permit_count = 0
        self.ejected: set[str] = set()
        self.recovering: set[str] = set()
        self.return_times: list[tuple[float, str]] = []
        self.overdue_checks: dict[
            str, collections.deque[tuple[float, int, tables.RequestRow]]
        ] = {}
        self.retry_budget = retry_budget.RetryBudget()
        self.suspects: collections.Counter[str] = collections.Counter()
        self._zone = zone
        self._near_zones: frozenset[str] = frozenset()
        self._limits: Mapping[str, int] | None = None
        self._permits: frozenset[str] = frozenset()
        self._permits_pool: entities.Pool | None = None
        # Attempts in flight of short and of long work, and their means.
        self._running = [0, 0]
        self._mean_running = [0.0, 0.0]
        self._refresh_at = 0.0

    def record_degraded(self, target: tables.TargetRow) -> None:
        """Notes that a target does not simply serve."""
        self.degraded.add((self.pool.name, target.address))

    def replace_targets(self, targets: dict[str, tables.TargetRow]) -> None:
        """Takes the targets of a new generation."""
        for address in self.targets.keys() - targets.keys():
            self.index.remove(address)
            self.ejected.discard(address)
            self.recovering.discard(address)
        self.targets = targets
        self.set_slot_limits(self._limits)

    def set_slot_limits(self, limits: Mapping[str, int] | None) -> None:
        """Takes the slots that this gateway may use, or None for all."""
        self._limits = limits
        self.slots = 0
        for target in self.targets.values():
            self._set_limit(target)
            if target.group == target_index.Group.OWN:
                self.slots += target.limit
            self.index.update(target)
        self.long_limit = min(self.long_limit or self.slots, self.slots)
        self._count_permits()
        self._demote_unpermitted()

    def _count_permits(self) -> None:
        """Counts the permits to eject of which this gateway is the owner.

        A target shared by two gateways belongs to the one that has most of its
        slots; nobody else can tell that it has them.
        """
        if self._permits_pool is not self.pool:
            self._permits_pool = self.pool
            near = (
                t.address for t in self.pool.targets if t.zone == self._zone
            )
            order = rendezvous.rank_members(self.pool.name, near)
            fraction = self.pool.max_ejected_fraction
            self._permits = health.list_ejection_permits(order, fraction)
        limits = self._limits
        if limits is None:
            self.permit_count = len(self._permits)
            return
        half = self.pool.slots / 2
        self.permit_count = sum(limits.get(a, 0) > half for a in self._permits)

    def _demote_unpermitted(self) -> None:
        """Holds ejected targets whose permits went to another gateway."""
        kept = [a for a in sorted(self.ejected) if self._is_permitted(a)]
        for address in self.ejected.difference(kept[: self.permit_count]):
            target = self.targets[address]
            target.state = tables.TargetState.SERVING
            target.health.demoted = True
            target.health.concurrency_limit = 1
            self.ejected.discard(address)
            self.index.update(target)

    def _is_permitted(self, address: str) -> bool:
        """Returns True if a permit of this gateway may serve for a target.

        Others may use all targets too while they are not divided, so that the
        permits then hold for the very targets that stand for them.
        """
        if self._limits is None:
            return address in self._permits
        return self.targets[address].group == target_index.Group.OWN

    def may_eject(self, target: tables.TargetRow) -> bool:
        """Returns True if the bound allows this gateway to eject a target."""
        allowed = self._is_permitted(target.address)
        return allowed and len(self.ejected) < self.permit_count

    def set_near_zones(self, zones: frozenset[str]) -> None:
        """Takes the zones of the gateway's region."""
        if zones != self._near_zones:
            self._near_zones = zones
            self.set_slot_limits(self._limits)

    def _set_limit(self, target: tables.TargetRow) -> None:
        """Sets the group of a target and the slots to use there."""
        if target.zone != self._zone:
            near = target.zone in self._near_zones
            group = (
                target_index.Group.NEAR if near else target_index.Group.REMOTE
            )
            target.group = group
            target.limit = target.slots
        elif self._limits is None:
            target.group = target_index.Group.OWN
            target.limit = target.slots
        elif target.address in self._limits:
            target.group = target_index.Group.OWN
            target.limit = min(self._limits[target.address], target.slots)
        else:
            target.group = target_index.Group.SHARED
            target.limit = SHARED_LIMIT

    def enqueue(self, request: tables.RequestRow) -> None:
        """Adds a request to the queue, with what is known of its route."""
        times = self.times.find(request.route)
        request.expected_seconds = times.mean
        request.is_long = times.is_long
        self.queue.push(request)

    def admits(self, now: float, request: tables.RequestRow) -> bool:
        """Returns True if a new request can be answered by its deadline."""
        times = self.times.find(request.route)
        if not times.mean:
            return True
        request.expected_seconds = times.mean
        wait = self.predict_wait(times.is_long)
        return admission.can_finish(now, request, times.p99, wait)

    def can_start(self, now: float, request: tables.RequestRow) -> bool:
        """Returns True if a queued request can still be answered in time."""
        high = self.times.find(request.route).p99
        return admission.can_start(now, request, high)

    def predict_wait(self, is_long: bool) -> float:
        """Returns the time until queued work leaves a slot, in seconds."""
        if not self.queue:
            return 0.0
        if is_long:
            return self.queue.long_work / max(1, self.long_limit)
        slots = max(1, self.slots - self._running[1])
        return self.queue.short_work / slots

    def peek(self) -> tables.RequestRow | None:
        """Returns the next request that may have a slot."""
        return self.queue.peek(self.allows_long())

    def allows_long(self) -> bool:
        """Returns True if long work may have one more slot."""
        return self._running[1] < max(1, self.long_limit)

    def choose(
        self, request: tables.RequestRow, avoided: frozenset[str]
    ) -> tables.TargetRow | None:
        """Returns the target to send a request to, or None.

        Slots of other gateways are used only by short work while long work
        holds own ones; if all are busy, that would only move the queue to
        where nobody counts it.

        Args:
            request: The request to send.
            avoided: Addresses to use only if there is no other.
        """
        own = self.index.choose(avoided, target_index.Group.OWN)
        if own is not None:
            return own
        first = target_index.Group.NEAR
        if self._may_share(request):
            first = target_index.Group.SHARED
        other = self.index.choose(avoided, target_index.Group.REMOTE, first)
        return other or self._choose_demoted(request, avoided)

    def _choose_demoted(
        self, request: tables.RequestRow, avoided: frozenset[str]
    ) -> tables.TargetRow | None:
        """Returns a held target, if waiting costs as much as a slow answer."""
        times = self.times.find(request.route)
        wait = self.predict_wait(times.is_long)
        if wait < health.find_slow_threshold_seconds(times.median):
            return None
        reserve = target_index.Group.RESERVE
        return self.index.choose(avoided, reserve, reserve)

    def is_open(self, request: tables.RequestRow, group: int) -> bool:
        """Returns True if a request may use the targets of a group."""
        return group != target_index.Group.SHARED or self._may_share(request)

    def _may_share(self, request: tables.RequestRow) -> bool:
        """Returns True if a request may use slots of other gateways."""
        blocked_by_long = self._running[1] > 0 and not request.is_long
        return bool(blocked_by_long or self.recovering or not self.slots)

    def record_start(
        self, now: float, request: tables.RequestRow, target: tables.TargetRow
    ) -> None:
        """Counts an attempt that begins, in its row and at its target."""
        self._running[request.is_long] += 1
        target.in_flight += 1
        self.index.update(target)
        request.state = tables.RequestState.RUNNING
        request.target = target.address
        request.sent_at = now
        request.attempts += 1
        request.overdue = False
        if request.suspect:
            self.suspects[target.address] += 1

    def record_end(self, request: tables.RequestRow, address: str) -> None:
        """Counts an attempt that ended at a target."""
        self._running[request.is_long] -= 1
        if request.suspect:
            request.suspect = False
            self.suspects[address] -= 1
            self.suspects += collections.Counter()

    def refresh(self, now: float) -> None:
        """Brings the slots kept for short work up to date.

        Short work keeps most of what it uses and a part of the spare slots.
        It may lose the rest, since its own slots are free again soon.
        """
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_SECONDS
        self.times.refresh(now)
        for kind, running in enumerate(self._running):
            self._mean_running[kind] += (
                running - self._mean_running[kind]
            ) * USAGE_SAMPLE_WEIGHT
        short, long = self._mean_running
        spare = max(0.0, self.slots - short - long)
        reserved = SHORT_USED_FRACTION * short + SHORT_SPARE_FRACTION * spare
        self.long_limit = max(1, round(self.slots - reserved))

"""State of one pool at a gateway: its targets, its queue and its statistics."""

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
# Slots that a gateway may use at a target whose slots belong to others.
SHARED_SLOT_LIMIT: Final = 1
RESERVED_USED_FRACTION: Final = 0.75
RESERVED_SPARE_FRACTION: Final = 0.25


class PoolRow:
    """The targets and the queue of one pool.

    Attributes:
        pool: Configuration of the pool.
        targets: Targets by address.
        index: The same targets, ordered for the choice of a target.
        queue: Requests that wait for a slot.
        times: Service times of the pool's routes.
        slots: Slots that this gateway may use at its own targets.
        long_limit: How many of these slots long work may use.
        permit_count: Ejection permits of this gateway: how many targets it may
            keep ejected at once.
        ejected: Addresses of the targets that use an ejection permit.
        recovering: Addresses of own targets whose concurrency limit is below
            their slots after a failure.
        restore_times: Heap of (time, address) at which targets may be restored.
        overdue_checks: Attempts by route as (sent_at, attempt number, request),
            in the order in which they were sent, to be checked when they should
            have ended.
        retry_budget: Budget of retries.
        suspect_attempts: Running attempts of suspects by target address.
        degraded: Pool name and address of targets that are not fully serving,
            shared by all pools; see `Dispatcher.list_degraded`.
    """

    __slots__ = (
        "_slot_limits",
        "_near_zones",
        "_ejection_permits",
        "_permits_computed_for",
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
        "restore_times",
        "overdue_checks",
        "slots",
        "suspect_attempts",
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
        """Creates a pool without targets.

        Args:
            pool: Configuration of the pool.
            zone: Availability zone of the gateway.
            degraded: Set in which to record targets that are not fully serving.
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
        self.restore_times: list[tuple[float, str]] = []
        self.overdue_checks: dict[
            str, collections.deque[tuple[float, int, tables.RequestRow]]
        ] = {}
        self.retry_budget = retry_budget.RetryBudget()
        self.suspect_attempts: collections.Counter[str] = collections.Counter()
        self._zone = zone
        self._near_zones: frozenset[str] = frozenset()
        self._slot_limits: Mapping[str, int] | None = None
        self._ejection_permits: frozenset[str] = frozenset()
        self._permits_computed_for: entities.Pool | None = None
        # Running attempts of short and of long work, and their moving means.
        self._running = [0, 0]
        self._mean_running = [0.0, 0.0]
        self._refresh_at = 0.0

    def record_degraded(self, target: tables.TargetRow) -> None:
        """Records that a target is not fully serving."""
        self.degraded.add((self.pool.name, target.address))

    def replace_targets(self, targets: dict[str, tables.TargetRow]) -> None:
        """Replaces the targets by those of a new generation."""
        for address in self.targets.keys() - targets.keys():
            self.index.remove(address)
            self.ejected.discard(address)
            self.recovering.discard(address)
        self.targets = targets
        self.set_slot_limits(self._slot_limits)

    def set_slot_limits(self, limits: Mapping[str, int] | None) -> None:
        """Sets the slots that this gateway may use, or None for all slots."""
        self._slot_limits = limits
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
        """Counts the ejection permits that this gateway owns.

        Each permit belongs to a target. If several gateways share that target,
        the one that holds more than half of its slots owns the permit. At most
        one gateway does, and its own slot limits show it without a message.
        """
        if self._permits_computed_for is not self.pool:
            self._permits_computed_for = self.pool
            near = (
                t.address for t in self.pool.targets if t.zone == self._zone
            )
            order = rendezvous.rank_members(self.pool.name, near)
            fraction = self.pool.max_ejected_fraction
            self._ejection_permits = health.list_ejection_permits(
                order, fraction
            )
        limits = self._slot_limits
        if limits is None:
            self.permit_count = len(self._ejection_permits)
            return
        half_of_slots = self.pool.slots / 2
        self.permit_count = sum(
            limits.get(a, 0) > half_of_slots for a in self._ejection_permits
        )

    def _demote_unpermitted(self) -> None:
        """Demotes ejected targets whose permits moved to another gateway."""
        permitted = [a for a in sorted(self.ejected) if self._is_permitted(a)]
        for address in self.ejected.difference(permitted[: self.permit_count]):
            target = self.targets[address]
            target.state = tables.TargetState.SERVING
            target.health.demoted = True
            target.health.concurrency_limit = 1
            self.ejected.discard(address)
            self.index.update(target)

    def _is_permitted(self, address: str) -> bool:
        """Returns True if a permit of this gateway covers a target.

        While the pool is not divided, other gateways may use all targets too
        and hold the same permits. A permit then covers only the target that it
        belongs to, so that all gateways use it for the same target.
        """
        if self._slot_limits is None:
            return address in self._ejection_permits
        return self.targets[address].group == target_index.Group.OWN

    def may_eject(self, target: tables.TargetRow) -> bool:
        """Returns True if the pool's bound lets this gateway eject a target."""
        allowed = self._is_permitted(target.address)
        return allowed and len(self.ejected) < self.permit_count

    def set_near_zones(self, zones: frozenset[str]) -> None:
        """Sets the availability zones of the gateway's region."""
        if zones != self._near_zones:
            self._near_zones = zones
            self.set_slot_limits(self._slot_limits)

    def _set_limit(self, target: tables.TargetRow) -> None:
        """Sets the group of a target and the slots to use there."""
        if target.zone != self._zone:
            near = target.zone in self._near_zones
            group = (
                target_index.Group.NEAR if near else target_index.Group.REMOTE
            )
            target.group = group
            target.limit = target.slots
        elif self._slot_limits is None:
            target.group = target_index.Group.OWN
            target.limit = target.slots
        elif target.address in self._slot_limits:
            target.group = target_index.Group.OWN
            target.limit = min(self._slot_limits[target.address], target.slots)
        else:
            target.group = target_index.Group.SHARED
            target.limit = SHARED_SLOT_LIMIT

    def enqueue(self, request: tables.RequestRow) -> None:
        """Queues a request with the expected service time of its route."""
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
        p99 = self.times.find(request.route).p99
        return admission.can_start(now, request, p99)

    def predict_wait(self, is_long: bool) -> float:
        """Returns the expected wait behind queued work, in seconds."""
        if not self.queue:
            return 0.0
        if is_long:
            return self.queue.long_work / max(1, self.long_limit)
        slots = max(1, self.slots - self._running[1])
        return self.queue.short_work / slots

    def peek(self) -> tables.RequestRow | None:
        """Returns the next request that may use a slot, or None."""
        return self.queue.peek(self.allows_long())

    def allows_long(self) -> bool:
        """Returns True if long work may use one more slot."""
        return self._running[1] < max(1, self.long_limit)

    def choose(
        self, request: tables.RequestRow, avoided: frozenset[str]
    ) -> tables.TargetRow | None:
        """Returns the target to send a request to, or None.

        Slots of other gateways are used only in the cases that
        `_may_use_shared` lists. Using them whenever all own slots are busy
        would only move the queue to targets where no gateway counts it.

        Args:
            request: The request to send.
            avoided: Addresses to use only if there is no other.
        """
        own = self.index.choose(avoided, target_index.Group.OWN)
        if own is not None:
            return own
        first = target_index.Group.NEAR
        if self._may_use_shared(request):
            first = target_index.Group.SHARED
        fallback = self.index.choose(avoided, target_index.Group.REMOTE, first)
        return fallback or self._choose_demoted(request, avoided)

    def _choose_demoted(
        self, request: tables.RequestRow, avoided: frozenset[str]
    ) -> tables.TargetRow | None:
        """Returns a demoted target if waiting takes as long as slow work."""
        times = self.times.find(request.route)
        wait = self.predict_wait(times.is_long)
        if wait < health.find_slow_threshold_seconds(times.median):
            return None
        reserve = target_index.Group.RESERVE
        return self.index.choose(avoided, reserve, reserve)

    def may_use_group(self, request: tables.RequestRow, group: int) -> bool:
        """Returns True if a request may use the targets of a group."""
        return group != target_index.Group.SHARED or self._may_use_shared(
            request
        )

    def _may_use_shared(self, request: tables.RequestRow) -> bool:
        """Returns True if a request may use slots of other gateways.

        It may if it is short work while long work holds own slots, if own
        targets are recovering, or if this gateway has no own slots.
        """
        blocked_by_long = self._running[1] > 0 and not request.is_long
        return bool(blocked_by_long or self.recovering or not self.slots)

    def record_start(
        self, now: float, request: tables.RequestRow, target: tables.TargetRow
    ) -> None:
        """Counts an attempt that starts, in its request and at its target."""
        self._running[request.is_long] += 1
        target.in_flight += 1
        self.index.update(target)
        request.state = tables.RequestState.RUNNING
        request.target = target.address
        request.sent_at = now
        request.attempts += 1
        request.overdue = False
        if request.is_suspect_attempt:
            self.suspect_attempts[target.address] += 1

    def record_end(self, request: tables.RequestRow, address: str) -> None:
        """Removes an ended attempt from the counts of the pool."""
        self._running[request.is_long] -= 1
        if request.is_suspect_attempt:
            request.is_suspect_attempt = False
            self.suspect_attempts[address] -= 1
            # Drops the targets whose count is zero.
            self.suspect_attempts += collections.Counter()

    def refresh(self, now: float) -> None:
        """Updates the service times and the slots reserved for short work.

        Most of the slots that short work uses and a fraction of the spare slots
        are reserved. Long work may use all other slots, since short work soon
        frees its own slots again.
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
        reserved = (
            RESERVED_USED_FRACTION * short + RESERVED_SPARE_FRACTION * spare
        )
        self.long_limit = max(1, round(self.slots - reserved))

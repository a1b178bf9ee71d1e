"""A model of many VMs that share a retry budget and come and go.

Each VM has the real budget, and finds its share of the slack in its own copy of
the list of VMs, which lags behind the store. The store with its leases, the
feeds, the callers and the targets are modelled in virtual time.
"""

import bisect
from collections.abc import Callable, Iterable
import dataclasses
import math
import random

from wigeonspool.core import retry_policy
from wigeonspool.core import shared_retry_budget
from wigeonspool.core import vm_assignment
from wigeonspool.model import fleet
from wigeonspool.vm import vm_registration

FRACTION = 0.2
WINDOW_SECONDS = 10.0
TICK_SECONDS = 0.1
SERVICE = "reads"
# Bound of the platform on the age of what VMs know.
MAX_LAG_SECONDS = 3.0
CAUSE = shared_retry_budget.ExtraAttemptCause.REFUSED


class ModelStore:
    """The store, with the entries of VMs under leases.

    Attributes:
        is_away: True while it serves no calls.
        log: Its changes: their time, the name of the VM, and its entry or None.
    """

    def __init__(self) -> None:
        """Creates a store without entries."""
        self.is_away = False
        self.log: list[tuple[float, str, fleet.VmEntry | None]] = []
        self._lease_ends: dict[str, float] = {}

    def renew(self, entry: fleet.VmEntry, now: float) -> None:
        """Renews the lease of an entry, and writes it if it is missing."""
        if entry.name not in self._lease_ends:
            self.log.append((now, entry.name, entry))
        self._lease_ends[entry.name] = now + vm_registration.LEASE_SECONDS

    def expire(self, now: float) -> None:
        """Removes the entries whose leases have ended.

        Leases also end while the store is away; VMs learn of it later.
        """
        for name, end in list(self._lease_ends.items()):
            if end <= now:
                del self._lease_ends[name]
                self.log.append((now, name, None))


@dataclasses.dataclass(slots=True)
class ModelVm:
    """An entry VM.

    Attributes:
        entry: Its entry.
        budget: Its retry budget.
        running: False while its process is stopped.
        is_cut_off: True while it reaches neither the store nor a feeder.
        lag_seconds: Time after which it learns of a change of the store.
        listed: Entries of VMs that it knows, by name.
        read_changes: Changes of the store that it has applied.
        share: Fraction of the slack that it holds while it is registered.
        registered_until: Time until which it knows itself to be registered.
        renew_at: Time of its next call to the store.
    """

    entry: fleet.VmEntry
    budget: shared_retry_budget.ServiceRetryBudget
    running: bool = True
    is_cut_off: bool = False
    lag_seconds: float = 0.0
    listed: dict[str, fleet.VmEntry] = dataclasses.field(default_factory=dict)
    read_changes: int = 0
    share: float = 0.0
    registered_until: float = -math.inf
    renew_at: float = 0.0


class Deployment:
    """VMs that serve the callers of one service.

    Attributes:
        now: Virtual time, in seconds.
        store: The store.
        vms: All VMs.
        zones: Availability zones.
        request_times: When requests arrived.
        extra_times: When extra attempts were sent.
        refused_fraction: Fraction of all attempts that targets refuse.
    """

    def __init__(
        self, zone_count: int, vms_per_zone: int, slack: float, seed: int = 1
    ) -> None:
        """Starts the VMs.

        Args:
            zone_count: Number of availability zones.
            vms_per_zone: VMs of each zone at the start.
            slack: Extra attempts that all VMs may send in a window, in
                addition to the fraction.
            seed: Seed of all random choices.
        """
        self.now = 0.0
        self.store = ModelStore()
        self.vms: list[ModelVm] = []
        self.request_times: list[float] = []
        self.extra_times: list[float] = []
        self.refused_fraction = 0.0
        self._slack = slack
        self.zones = [f"zone-{i}" for i in range(zone_count)]
        self._rng = random.Random(seed)
        for zone in self.zones:
            self.add_vms(zone, vms_per_zone)

    def add_vms(self, zone: str, count: int) -> list[ModelVm]:
        """Starts new VMs in a zone and returns them."""
        added = [self._build_vm(zone) for _ in range(count)]
        self.vms += added
        return added

    def _build_vm(self, zone: str) -> ModelVm:
        """Returns a VM with a name of its own."""
        name = f"vm-{len(self.vms)}-{self._rng.getrandbits(32):08x}"
        entry = fleet.VmEntry(
            name=name,
            region=zone,
            zone=zone,
            address=name,
            peer_address=name,
            capacity=1.0,
        )
        lag_seconds = self._rng.uniform(0.0, MAX_LAG_SECONDS)
        return ModelVm(entry, self._build_budget(), lag_seconds=lag_seconds)

    def _build_budget(self) -> shared_retry_budget.ServiceRetryBudget:
        """Returns the budget of a process that starts now."""
        rng = random.Random(self._rng.random())
        budget = shared_retry_budget.ServiceRetryBudget(rng.random)
        budget.set_limits(FRACTION, self._slack, WINDOW_SECONDS)
        return budget

    def restart(self, vms: Iterable[ModelVm]) -> None:
        """Replaces the processes of some VMs by new ones."""
        for vm in vms:
            vm.running = True
            vm.budget = self._build_budget()
            vm.listed = {}
            vm.share = 0.0
            vm.read_changes = 0
            vm.registered_until = -math.inf
            vm.renew_at = self.now

    def stop(self, vms: Iterable[ModelVm]) -> None:
        """Stops the processes of some VMs."""
        for vm in vms:
            vm.running = False

    def list_assigned(self, vms_per_zone: int) -> list[ModelVm]:
        """Returns the VMs that callers of all zones use.

        Args:
            vms_per_zone: VMs that the callers of one zone use.
        """
        assigned = []
        for zone in self.zones:
            running = {vm.entry.name: vm for vm in self.vms if vm.running}
            ranked = vm_assignment.rank_vms(
                zone, zone, [vm.entry for vm in running.values()]
            )
            in_zone = [entry for entry in ranked if entry.zone == zone]
            assigned += [running[e.name] for e in in_zone[:vms_per_zone]]
        return assigned

    def serve(
        self,
        seconds: float,
        requests_per_second: float,
        choose_vm: Callable[[random.Random], ModelVm],
    ) -> None:
        """Serves requests that arrive at regular intervals.

        Each one is sent again while targets refuse it and its VM may retry.

        Args:
            seconds: Length of the time.
            requests_per_second: Requests to all VMs together.
            choose_vm: Returns the VM that gets the next request.
        """
        steps = round(seconds / TICK_SECONDS)
        due = 0.0
        for _ in range(steps):
            self.now += TICK_SECONDS
            self.store.expire(self.now)
            for vm in self.vms:
                self._update_share(vm)
            due += requests_per_second * TICK_SECONDS
            while due >= 1.0:
                due -= 1.0
                self._serve_request(choose_vm(self._rng))

    def _update_share(self, vm: ModelVm) -> None:
        """Renews the registration of a VM and updates its share."""
        if not vm.running:
            return
        has_store = not (vm.is_cut_off or self.store.is_away)
        if has_store and self.now >= vm.renew_at:
            self.store.renew(vm.entry, self.now)
            vm.registered_until = self.now + vm_registration.LEASE_SECONDS
            vm.renew_at = self.now + vm_registration.RENEW_INTERVAL_SECONDS
        if has_store:
            self._read_changes(vm)
        is_registered = self.now < vm.registered_until
        vm.budget.set_slack_share(vm.share if is_registered else 0.0, self.now)

    def _read_changes(self, vm: ModelVm) -> None:
        """Applies the changes that a VM learns of by now."""
        log = self.store.log
        first_change = vm.read_changes
        while (
            vm.read_changes < len(log)
            and log[vm.read_changes][0] <= self.now - vm.lag_seconds
        ):
            _, name, entry = log[vm.read_changes]
            vm.read_changes += 1
            if entry is not None:
                vm.listed[name] = entry
                continue
            vm.listed.pop(name, None)
            if name == vm.entry.name:
                vm.registered_until = -math.inf
                vm.renew_at = self.now
        if vm.read_changes > first_change:
            vm.share = shared_retry_budget.find_slack_share(
                vm.entry, vm.listed.values(), self.zones
            )

    def _serve_request(self, vm: ModelVm) -> None:
        """Serves one request, whose caller counts even if the VM is stopped."""
        self.request_times.append(self.now)
        if not vm.running:
            return
        vm.budget.add_tokens(SERVICE, self.now)
        attempts = 1
        while (
            attempts < retry_policy.MAX_ATTEMPTS
            and self._rng.random() < self.refused_fraction
            and vm.budget.consume_token(SERVICE, self.now, CAUSE)
        ):
            attempts += 1
            self.extra_times.append(self.now)

    def find_overdraft(self) -> tuple[float, float]:
        """Returns the window with the most extra attempts beyond the limit.

        Requests are counted in the window, the one before it or the one half a
        window before it, whichever has most.

        Returns:
            How many extra attempts of the window are not allowed, which is
            negative if all are, and when it begins.
        """
        return max(
            (self._count_not_allowed(start), start)
            for start in sorted(set(self.extra_times)) or [0.0]
        )

    def _count_not_allowed(self, start: float) -> float:
        """Returns the extra attempts of a window that are not allowed."""
        requests = max(
            _count_between(self.request_times, start - earlier)
            for earlier in (0.0, WINDOW_SECONDS / 2, WINDOW_SECONDS)
        )
        extra = _count_between(self.extra_times, start)
        return extra - (FRACTION * requests + self._slack)

    def count_extra(self, start: float) -> int:
        """Returns the extra attempts of the window that begins at a time."""
        return _count_between(self.extra_times, start)


def _count_between(times: list[float], start: float) -> int:
    """Returns how many sorted times lie in the window from a start on."""
    # Times of a tick are equal up to rounding.
    margin = TICK_SECONDS / 2
    first = bisect.bisect_left(times, start - margin)
    return bisect.bisect_left(times, start + WINDOW_SECONDS - margin) - first

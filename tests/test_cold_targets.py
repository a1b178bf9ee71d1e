"""Requests to cold targets, by one VM and by all VMs together."""

import bisect
from collections.abc import Callable
import dataclasses
import math
import random

import hypothesis
from hypothesis import strategies

from wigeonspool.core import cold_targets
from wigeonspool.model import fleet
from wigeonspool.vm import vm_registration

RATE = 4.0
OVERRUN = 1.5
SLACK = 8.0
LIMIT = RATE * OVERRUN + SLACK
# Bound of the platform on the age of what VMs know.
MAX_LAG_SECONDS = 3.0
STEP_SECONDS = 0.01
# Longest time that a request takes to a target.
MAX_TRIP_SECONDS = 0.015


def build_target(
    identity: str, started_at_ms: int = 0, cold_seconds: float = 0.0
) -> fleet.TargetEntry:
    """Returns the entry of a target."""
    return fleet.TargetEntry(
        identity,
        "reads",
        "127.0.0.1:1",
        "zone-0",
        4,
        fleet.TargetState.SERVING,
        cold_seconds,
        started_at_ms,
    )


def build_limits(
    share: cold_targets.Share | None, slack: float = SLACK
) -> cold_targets.ColdTargets:
    """Returns the limits of a VM that has held a share for long."""
    cold = cold_targets.ColdTargets()
    cold.set_limits(OVERRUN, slack)
    cold.set_share(share, math.inf, -100.0)
    return cold


def send_all(
    cold: cold_targets.ColdTargets, entry: fleet.TargetEntry, until: float
) -> list[float]:
    """Returns when a VM sends that always has a request for a target."""
    sent = []
    for step in range(round(until / STEP_SECONDS)):
        now = step * STEP_SECONDS
        if cold.consume(now, entry, RATE):
            sent.append(now)
    return sent


def count_most(times: list[float]) -> int:
    """Returns the most of some sorted times in any window of a second."""
    return max(
        (
            bisect.bisect_left(times, at + 1.0) - first
            for first, at in enumerate(times)
        ),
        default=0,
    )


class TestShares:
    # Guards against shares that together exceed the limit of a target, for
    # limits from less than one request for each VM on.
    @hypothesis.settings(derandomize=True)
    @hypothesis.given(
        strategies.integers(1, 8),
        strategies.floats(0.0, 200.0),
        strategies.integers(0, 99),
    )
    def test_all_shares_together_keep_the_limit(
        self, zones: int, slack: float, number: int
    ) -> None:
        entry = build_target(f"t-{number}")
        limit = RATE * OVERRUN + slack
        most = held = 0
        for position in range(2 * zones):
            cold = build_limits(cold_targets.Share(position, 2 * zones), slack)
            held += cold._count_held(entry.identity, RATE)
            most += count_most(send_all(cold, entry, 3.0))
        assert most <= limit
        assert held == int(limit * cold_targets.USED_FRACTION)

    # Guards against VMs that get the remainder of each division.
    def test_shares_are_equal_over_many_targets(self) -> None:
        counts = [0] * 12
        for position in range(12):
            cold = build_limits(cold_targets.Share(position, 12), 2.0)
            for number in range(600):
                entry = build_target(f"t-{number}")
                counts[position] += cold.consume(0.0, entry, RATE)
        mean = sum(counts) / len(counts)
        assert max(abs(count - mean) for count in counts) < mean / 4

    def test_vm_without_a_share_sends_nothing(self) -> None:
        cold = build_limits(None)
        assert not cold.consume(0.0, build_target("t"), RATE)
        at = cold.find_sendable_at(0.0, build_target("t"), RATE)
        assert math.isinf(at)

    # Guards against a share that two VMs use: its old holder does not know of
    # the new one yet.
    def test_new_share_is_used_later(self) -> None:
        cold = build_limits(None)
        cold.set_share(cold_targets.Share(0, 2), math.inf, 10.0)
        entry = build_target("t")
        usable_at = 10.0 + cold_targets.HANDOVER_SECONDS
        assert not cold.consume(usable_at - 0.1, entry, RATE)
        assert cold.consume(usable_at, entry, RATE)

    # Guards against a process that was suspended and uses its share before it
    # has noticed that its registration ended.
    def test_share_ends_with_the_registration(self) -> None:
        cold = build_limits(cold_targets.Share(0, 2))
        cold.set_share(cold_targets.Share(0, 2), 20.0, 10.0)
        assert cold.consume(15.0, build_target("t"), RATE)
        assert not cold.consume(20.0, build_target("t"), RATE)
        cold.set_share(cold_targets.Share(0, 2), 40.0, 21.0)
        assert not cold.consume(21.5, build_target("t"), RATE)

    def test_first_vms_of_each_zone_hold_different_positions(self) -> None:
        zones = ["zone-0", "zone-1", "zone-2"]
        vms = [
            fleet.VmEntry(f"vm-{zone}-{n}", "r", zone, "a", "p")
            for zone in zones
            for n in range(4)
        ]
        shares = [cold_targets.find_share(vm, vms, zones) for vm in vms]
        held = [share for share in shares if share is not None]
        assert sorted(share.position for share in held) == list(range(6))
        assert {share.holders for share in held} == {6}
        stranger = dataclasses.replace(vms[0], zone="zone-x")
        assert cold_targets.find_share(stranger, vms, zones) is None


class TestSpacing:
    # Guards against all requests of a second at its start and its end.
    def test_requests_are_spread_over_the_second(self) -> None:
        cold = build_limits(cold_targets.Share(0, 2))
        sent = send_all(cold, build_target("t"), 5.0)
        held = int(LIMIT * cold_targets.USED_FRACTION) // 2
        assert count_most(sent) == held
        gaps = [b - a for a, b in zip(sent, sent[1:], strict=False)]
        assert min(gaps) >= 1.0 / held - STEP_SECONDS

    # Guards against a request that did not count and costs the next one.
    def test_misdirected_request_does_not_count(self) -> None:
        cold = build_limits(cold_targets.Share(0, 2))
        entry = build_target("t")
        assert cold.consume(0.0, entry, RATE)
        assert not cold.consume(0.01, entry, RATE)
        cold.refund(entry, 0.0)
        assert cold.consume(0.02, entry, RATE)

    # Guards against a refund that moves later requests together.
    def test_late_refund_changes_nothing(self) -> None:
        cold = build_limits(cold_targets.Share(0, 2))
        entry = build_target("t")
        assert cold.consume(0.0, entry, RATE)
        assert cold.consume(0.5, entry, RATE)
        cold.refund(entry, 0.0)
        assert not cold.consume(0.51, entry, RATE)


class TestColdTime:
    def test_report_counts_until_its_end_or_the_next_report(self) -> None:
        cold = build_limits(None)
        entry = build_target("t", 1)
        assert cold.find_reported_until(entry) == -math.inf
        cold.record_report(10.0, entry, 5.0)
        assert cold.find_reported_until(entry) == 15.0
        cold.record_report(12.0, entry, 0.0)
        assert cold.find_reported_until(entry) == 12.0

    # Guards against a wrong report that keeps a target cold for days.
    def test_long_report_must_be_repeated(self) -> None:
        cold = build_limits(None)
        entry = build_target("t")
        cold.record_report(0.0, entry, 1e6)
        until = cold.find_reported_until(entry)
        assert until == cold_targets.MAX_REPORTED_SECONDS

    # Guards against a new start whose first requests exceed the limit with
    # those of the start before it.
    def test_new_start_is_not_cold_but_keeps_its_requests(self) -> None:
        cold = build_limits(cold_targets.Share(0, 2))
        cold.record_report(0.0, build_target("t", 1), 9.0)
        assert cold.consume(0.0, build_target("t", 1), RATE)
        replaced = build_target("t", 2)
        assert cold.find_reported_until(replaced) == -math.inf
        cold.record_report(0.01, replaced, 9.0)
        assert not cold.consume(0.02, replaced, RATE)

    # Guards against memory that grows with each target that was ever cold.
    def test_states_without_effect_are_dropped(self) -> None:
        cold = build_limits(None)
        for number in range(cold_targets.MAX_TARGETS + 100):
            entry = build_target(f"t-{number}")
            cold.record_report(float(number), entry, 1.0)
        assert len(cold._states) <= cold_targets.MAX_TARGETS

    def test_cold_time_begins_at_the_start(self) -> None:
        entry = build_target("t", 1_000_000, 6.0)
        margin = cold_targets.CLOCK_MARGIN_SECONDS
        # The clock of the core shows 50 when it is 1,002 s after the epoch.
        find = cold_targets.find_start_until
        assert find(entry, 50.0, 952.0, 0.0) == 48.0 + 6.0 + margin
        assert find(entry, 50.0, 952.0, 9.0) == 48.0 + 9.0 + margin

    # Guards against a VM that starts and takes all targets for cold.
    def test_old_start_is_not_cold(self) -> None:
        entry = build_target("t", 1_000_000, 6.0)
        until = cold_targets.find_start_until(entry, 50.0, 5000.0, 9.0)
        assert until < 0.0
        unknown = build_target("t")
        until = cold_targets.find_start_until(unknown, 50.0, 952.0, 9.0)
        assert until == -math.inf

    # Guards against a target with a wrong clock that stays cold for days.
    def test_start_in_the_future_counts_from_the_registration(self) -> None:
        entry = build_target("t", 10**12, 6.0)
        until = cold_targets.find_start_until(entry, 50.0, 952.0, 0.0)
        assert until == 56.0 + cold_targets.CLOCK_MARGIN_SECONDS


@dataclasses.dataclass(slots=True)
class ModelVm:
    """An entry VM with its own copy of the list of VMs."""

    entry: fleet.VmEntry
    lag_seconds: float
    cold: cold_targets.ColdTargets
    started_at: float
    running: bool = True
    read: int = 0
    listed: dict[str, fleet.VmEntry] = dataclasses.field(default_factory=dict)
    share: cold_targets.Share | None = None


class Model:
    """Many VMs that send as much as they may to cold targets.

    Attributes:
        now: Virtual time, in seconds.
        arrivals: When requests reached each target.
    """

    def __init__(self, zones: int, vms_per_zone: int, seed: int) -> None:
        """Starts the VMs, all of which are registered and know each other."""
        self.now = 0.0
        self.arrivals: dict[str, list[float]] = {}
        self.zones = [f"zone-{number}" for number in range(zones)]
        self.vms: list[ModelVm] = []
        self._rng = random.Random(seed)
        # Changes of the store: their time, a VM, and its entry or None.
        self._log: list[tuple[float, str, fleet.VmEntry | None]] = []
        self._lease_ends: dict[str, float] = {}
        for zone in self.zones:
            for _ in range(vms_per_zone):
                self.add_vm(zone)

    def add_vm(self, zone: str) -> None:
        """Starts a VM that registers itself at once."""
        name = f"vm-{self._rng.getrandbits(48):012x}"
        entry = fleet.VmEntry(name, zone, zone, name, name)
        lag_seconds = self._rng.uniform(0.0, MAX_LAG_SECONDS)
        cold = cold_targets.ColdTargets()
        cold.set_limits(OVERRUN, SLACK)
        self.vms.append(ModelVm(entry, lag_seconds, cold, self.now))
        self._log.append((self.now, name, entry))

    def stop_vms(self, chooses: Callable[[ModelVm], bool]) -> None:
        """Kills VMs; their leases end later."""
        for vm in self.vms:
            if vm.running and chooses(vm):
                vm.running = False

    def run(self, seconds: float, targets: list[fleet.TargetEntry]) -> None:
        """Lets each VM send whenever it may."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_SECONDS
            self._expire()
            for vm in self._rng.sample(self.vms, len(self.vms)):
                if not vm.running:
                    continue
                self._update(vm)
                for entry in targets:
                    if vm.cold.consume(self.now, entry, RATE):
                        trip = self._rng.uniform(0.0, MAX_TRIP_SECONDS)
                        times = self.arrivals.setdefault(entry.identity, [])
                        times.append(self.now + trip)

    def _expire(self) -> None:
        """Renews the leases of running VMs, and ends those that ran out."""
        for vm in self.vms:
            name = vm.entry.name
            lease = vm_registration.LEASE_SECONDS
            if vm.running:
                self._lease_ends[name] = self.now + lease
            elif self._lease_ends.get(name, math.inf) <= self.now:
                del self._lease_ends[name]
                self._log.append((self.now, name, None))

    def _update(self, vm: ModelVm) -> None:
        """Applies the changes that a VM learns of by now."""
        first = vm.read
        while (
            vm.read < len(self._log)
            and self._log[vm.read][0] <= self.now - vm.lag_seconds
        ):
            _, name, entry = self._log[vm.read]
            vm.read += 1
            if entry is None:
                vm.listed.pop(name, None)
            else:
                vm.listed[name] = entry
        if vm.read != first:
            vm.share = cold_targets.find_share(
                vm.entry, vm.listed.values(), self.zones
            )
        until = self._lease_ends[vm.entry.name]
        vm.cold.set_share(vm.share, until, self.now)

    def find_most(self) -> int:
        """Returns the most requests that a target got in any second."""
        return max(count_most(sorted(t)) for t in self.arrivals.values())


class TestManyVms:
    TARGETS = [build_target(f"t-{number}") for number in range(3)]

    # Guards against VMs that all send to the targets of a zone at once when it
    # returns cold, and against targets that get nothing while they are cold.
    def test_zone_that_returns_cold_gets_a_good_part_of_the_limit(self) -> None:
        model = Model(zones=6, vms_per_zone=4, seed=1)
        model.run(2 * MAX_LAG_SECONDS, [])
        model.run(5.0, self.TARGETS)
        assert model.find_most() <= LIMIT
        for times in model.arrivals.values():
            assert len(times) / 5.0 >= 0.7 * LIMIT

    # Guards against a share that two VMs use while VMs join and are replaced,
    # in one zone or in all of them at once.
    @hypothesis.settings(derandomize=True, max_examples=10, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["join", "kill", "kill all"]),
                strategies.integers(0, 3),
                strategies.floats(0.0, 3.0),
            ),
            max_size=5,
        ),
        strategies.integers(0, 5),
    )
    def test_limit_holds_while_vms_come_and_go(
        self, events: list[tuple[str, int, float]], seed: int
    ) -> None:
        model = Model(zones=3, vms_per_zone=3, seed=seed)
        model.run(2 * MAX_LAG_SECONDS, self.TARGETS[:1])
        for event, number, seconds in events:
            zones = model.zones if number == 3 else [model.zones[number]]
            if event == "join":
                for zone in zones:
                    model.add_vm(zone)
            else:
                limit = 0.9 if event == "kill all" else 0.3
                rng = random.Random(seconds)
                model.stop_vms(
                    lambda vm, zones=zones, limit=limit, rng=rng: (
                        vm.entry.zone in zones and rng.random() < limit
                    )
                )
            model.run(seconds, self.TARGETS[:1])
        model.run(vm_registration.LEASE_SECONDS + 5.0, self.TARGETS[:1])
        assert model.find_most() <= LIMIT

    # Guards against VMs that join in all zones at once and use shares whose
    # holders do not know of them yet.
    def test_limit_holds_while_vms_join_in_all_zones(self) -> None:
        for seed in range(5):
            model = Model(zones=6, vms_per_zone=2, seed=seed)
            model.run(2 * MAX_LAG_SECONDS, self.TARGETS)
            for zone in model.zones * 2:
                model.add_vm(zone)
            model.run(2 * MAX_LAG_SECONDS, self.TARGETS)
            assert model.find_most() <= LIMIT

"""Decisions of an entry VM, as pure functions over tables."""

import collections
import random

import pytest

from wigeonspool.core import cluster_state
from wigeonspool.core import estimates
from wigeonspool.core import feeders
from wigeonspool.core import last_slots
from wigeonspool.core import retry_policy
from wigeonspool.core import traffic_split
from wigeonspool.core import vm_assignment
from wigeonspool.core import waiting_policy
from wigeonspool.model import fleet


def build_vm(
    name: str, zone: str = "z-1", region: str = "r-1", capacity: float = 1.0
) -> fleet.VmEntry:
    return fleet.VmEntry(name, region, zone, f"{name}:1", f"{name}:2", capacity)


def build_target(
    identity: str = "t-1",
    state: fleet.TargetState = fleet.TargetState.SERVING,
    born_ms: int = 1,
    service: str = "s",
) -> fleet.TargetEntry:
    return fleet.TargetEntry(
        identity, service, "10.0.0.1:80", "z-1", 4, state, 0.0, born_ms
    )


class TestNaming:
    def test_all_name_the_same_vms_of_the_zone(self) -> None:
        vms = [build_vm(f"vm-{n}", f"z-{n % 3}") for n in range(12)]
        ranked = vm_assignment.rank_vms("z-1", "r-1", vms)
        again = vm_assignment.rank_vms("z-1", "r-1", reversed(vms))
        assert ranked == again
        live = {vm.name for vm in vms}
        named = vm_assignment.assign_vms("z-1", ranked, live, 0.0)
        assert [vm.zone for vm in named] == ["z-1", "z-1"]

    def test_larger_vms_are_named_first(self) -> None:
        small = [build_vm(f"s-{n}", capacity=0.4) for n in range(9)]
        large = [build_vm(f"l-{n}", capacity=2.1) for n in range(2)]
        ranked = vm_assignment.rank_vms("z-1", "r-1", [*small, *large])
        assert {vm.name for vm in ranked[:2]} == {"l-0", "l-1"}

    def test_lost_vm_is_replaced_and_moves_no_other(self) -> None:
        vms = [build_vm(f"vm-{n}") for n in range(6)]
        ranked = vm_assignment.rank_vms("z-1", "r-1", vms)
        live = {vm.name for vm in vms}
        first, second = vm_assignment.assign_vms("z-1", ranked, live, 0.0)
        live.discard(first.name)
        assert vm_assignment.assign_vms("z-1", ranked, live, 0.0)[0] == second

    def test_zone_without_live_vms_uses_its_region(self) -> None:
        vms = [
            build_vm("a", "z-1"),
            build_vm("b", "z-2"),
            build_vm("c", "z-3", "r-2"),
        ]
        ranked = vm_assignment.rank_vms("z-1", "r-1", vms)
        named = vm_assignment.assign_vms("z-1", ranked, {"b", "c"}, 0.0, 1)
        assert [vm.name for vm in named] == ["b"]

    def test_busy_vms_get_company(self) -> None:
        vms = [build_vm(f"vm-{n}") for n in range(8)]
        ranked = vm_assignment.rank_vms("z-1", "r-1", vms)
        live = {vm.name for vm in vms}
        assert len(vm_assignment.assign_vms("z-1", ranked, live, 0.5)) == 2
        assert len(vm_assignment.assign_vms("z-1", ranked, live, 1.1)) == 4


class TestFeeders:
    def test_one_vm_of_each_region_is_first(self) -> None:
        vms = [build_vm(f"vm-{n}", region=f"r-{n % 3}") for n in range(12)]
        firsts = [vm for vm in vms if feeders.list_feeders(vm, vms) is None]
        assert sorted(vm.region for vm in firsts) == ["r-0", "r-1", "r-2"]

    def test_others_try_their_region_then_the_rest(self) -> None:
        vms = [build_vm(f"vm-{n}", region=f"r-{n % 2}") for n in range(8)]
        own = next(v for v in vms if feeders.list_feeders(v, vms) is not None)
        listed = feeders.list_feeders(own, vms)
        assert listed is not None
        regions = [vm.region for vm in listed]
        assert own not in listed
        assert regions[0] == own.region
        assert regions[-1] != own.region

    def test_vm_that_lost_the_store_goes_to_another_region_first(self) -> None:
        vms = [build_vm(f"vm-{n}", region=f"r-{n % 2}") for n in range(8)]
        found = feeders.list_fallbacks(vms[0], vms)
        assert [vm.region for vm in found] == ["r-1", "r-0"]


class TestWeights:
    @pytest.mark.parametrize("parts", [(90, 10), (50, 50), (1, 2, 3), (7, 0)])
    def test_parts_hold_within_one_request(self, parts: tuple[int]) -> None:
        shares = [fleet.Share(f"s-{i}", w) for i, w in enumerate(parts)]
        rotation = traffic_split.WeightedRoundRobin(shares, 0.3)
        counts: collections.Counter[str | None] = collections.Counter()
        for total in range(1, 400):
            counts[rotation.choose()] += 1
            for share in shares:
                wanted = total * share.weight / sum(parts)
                assert abs(counts[share.service] - wanted) <= 1.3

    def test_nothing_is_chosen_without_weight(self) -> None:
        assert traffic_split.WeightedRoundRobin([], 0.0).choose() is None


class TestAttempting:
    def test_all_vms_together_keep_to_the_promise(self) -> None:
        # 12 VMs, demand that is all repeated if the allowance lets it.
        fraction, slack, window, vms, rate = 0.2, 64.0, 10.0, 12, 12.0
        allowances = [retry_policy.ServiceRetryBudget() for _ in range(vms)]
        for allowance in allowances:
            allowance.set_limits(fraction, slack, window, vms)
        sent = []
        for step in range(int(60 * rate)):
            now = step / rate
            for allowance in allowances:
                allowance.add_tokens("s", now)
                while allowance.spend_token("s", now):
                    sent.append(now)
        for start in range(50):
            requests = rate * window * vms
            extra = sum(start <= at < start + window for at in sent)
            assert extra <= fraction * requests + slack
        assert len(sent) > 0.1 * rate * vms * 60

    @pytest.mark.parametrize(
        ("repeatable", "not_run", "sends", "runs", "most", "expected"),
        [
            (True, False, 1, 1, 2, True),
            (True, False, 2, 2, 2, False),
            (True, False, 1, 1, 1, False),
            (False, False, 1, 1, 3, False),
            (False, True, 1, 0, 1, True),
            (False, True, 2, 1, 3, False),
            (True, True, 4, 0, 9, False),
        ],
    )
    def test_what_may_be_sent_again(
        self,
        repeatable: bool,
        not_run: bool,
        sends: int,
        runs: int,
        most: int,
        expected: bool,
    ) -> None:
        may = retry_policy.may_retry(repeatable, not_run, sends, runs, most)
        assert may is expected


class TestEstimates:
    def test_full_and_slow_targets_look_longer(self) -> None:
        idle = estimates.estimate_slowdown(0, 0, 4, 1.0)
        busy = estimates.estimate_slowdown(3, 0, 4, 1.0)
        full = estimates.estimate_slowdown(4, 2, 4, 1.0)
        slow = estimates.estimate_slowdown(0, 0, 4, 5.0)
        assert idle < busy < full < slow

    def test_failures_fade(self) -> None:
        health = estimates.TargetHealth()
        estimates.record_failure(health, 0.0)
        half = estimates.FAILURE_HALF_LIFE_SECONDS
        assert estimates.decay_failures(health, half) == pytest.approx(0.5)

    def test_failure_of_all_speaks_against_none(self) -> None:
        """Pattern: all targets of a service refuse a part of their work."""
        healths = [estimates.TargetHealth() for _ in range(5)]
        for health in healths:
            estimates.record_failure(health, 0.0, 2.0)
        assert estimates.find_median_failures(healths, 0.0) == 2.0
        for health in healths[:4]:
            health.failures = 0.0
        assert estimates.find_median_failures(healths, 0.0) == 0.0

    def test_unreachable_target_is_out_longer_each_time(self) -> None:
        health = estimates.TargetHealth()
        outs = []
        for _ in range(6):
            estimates.record_unreachable(health, 0.0)
            outs.append(health.ejected_until)
        assert outs == sorted(outs)
        assert outs[-1] == estimates.MAX_EJECTION_SECONDS
        estimates.record_reachable(health)
        assert health.ejected_until == 0.0


class TestPatience:
    """Pattern: work takes five times longer on a third of the targets."""

    @pytest.mark.parametrize(
        ("now", "cost", "unasked", "expected"),
        [
            (0.0, 1.2, True, waiting_policy.Step.SEND),
            (0.0, 5.0, True, waiting_policy.Step.PROBE),
            (0.0, 5.0, False, waiting_policy.Step.WAIT),
            # Late work leaves slow targets alone while others are fast.
            (0.35, 5.0, False, waiting_policy.Step.WAIT),
            (0.35, 1.2, False, waiting_policy.Step.SEND),
            (0.9, 5.0, False, waiting_policy.Step.WAIT),
            (1.05, 5.0, False, waiting_policy.Step.REFUSE),
            (0.0, 2.0, True, waiting_policy.Step.SEND),
            (0.0, None, True, waiting_policy.Step.PROBE),
            (0.0, None, False, waiting_policy.Step.WAIT),
            (1.05, None, False, waiting_policy.Step.REFUSE),
        ],
    )
    def test_step(
        self,
        now: float,
        cost: float | None,
        unasked: bool,
        expected: waiting_policy.Step,
    ) -> None:
        best = (
            None if cost is None else waiting_policy.TargetEstimate(cost, cost)
        )
        step = waiting_policy.decide(now, 0.14, best, 0.4, 1.2, unasked)
        assert step is expected

    @pytest.mark.parametrize(
        ("now", "cost", "expected"),
        [
            # It ends by its deadline, and no target is faster.
            (0.35, 5.0, waiting_policy.Step.SEND),
            (0.9, 5.0, waiting_policy.Step.WAIT),
            (1.05, 5.0, waiting_policy.Step.REFUSE),
        ],
    )
    def test_slow_targets_are_used_where_all_are_slow(
        self, now: float, cost: float, expected: waiting_policy.Step
    ) -> None:
        best = waiting_policy.TargetEstimate(cost, cost)
        step = waiting_policy.decide(
            now, 0.14, best, 0.4, 1.2, False, others_fast=False
        )
        assert step is expected

    @pytest.mark.parametrize(
        ("now", "unasked", "expected"),
        [
            (0.0, True, waiting_policy.Step.PROBE),
            (0.0, False, waiting_policy.Step.WAIT),
            (0.5, False, waiting_policy.Step.WAIT),
            # The last moment: it may end in time behind others.
            (1.02, False, waiting_policy.Step.SEND),
        ],
    )
    def test_full_targets_are_used_at_the_last_moment_only(
        self, now: float, unasked: bool, expected: waiting_policy.Step
    ) -> None:
        full = waiting_policy.TargetEstimate(1.2, 1.2, full=True)
        step = waiting_policy.decide(now, 0.14, full, 0.4, 1.2, unasked)
        assert step is expected

    def test_large_answers_leave_their_zone_before_they_are_late(self) -> None:
        best = waiting_policy.TargetEstimate(5.0, 5.0)
        step = waiting_policy.decide(
            0.35, 0.14, best, 0.4, 0.6, False, may_be_late=False
        )
        assert step is waiting_policy.Step.REFUSE

    @pytest.mark.parametrize(
        ("now", "waiting", "expected"),
        [
            (0.0, 1, 0.02),
            (0.0, 5, 0.1),
            # The last question comes while an answer can be in time.
            (0.2, 9, 0.039),
            # What is late asks less often.
            (0.4, 2, 0.16),
            (1.0, 9, 0.02),
        ],
    )
    def test_pauses_grow_with_those_who_wait(
        self, now: float, waiting: int, expected: float
    ) -> None:
        pause = waiting_policy.find_probe_delay(
            now, 0.14, 0.4, 1.2, waiting, 0.02
        )
        assert pause == pytest.approx(expected)

    def test_what_is_less_urgent_asks_less_often(self) -> None:
        pause = waiting_policy.find_probe_delay(
            0.0, 0.14, 0.4, 1.2, 3, 0.02, True
        )
        assert pause == pytest.approx(0.18)

    def test_doubts_do_not_refuse_what_would_be_in_time(self) -> None:
        best = waiting_policy.TargetEstimate(1.0, 20.0)
        step = waiting_policy.decide(0.0, 0.14, best, 0.4, 1.2, False)
        assert step is waiting_policy.Step.SEND


class TestKnowledge:
    def test_old_news_change_nothing(self) -> None:
        known = cluster_state.ClusterState()
        new = cluster_state.TargetChange("t-1", build_target())
        gone = cluster_state.TargetChange("t-1", None)
        assert known.apply(0.0, "k", 5, new)
        assert not known.apply(0.0, "k", 4, gone)
        assert "t-1" in known.targets
        assert known.apply(0.0, "k", 6, gone)
        assert not known.apply(0.0, "k", 5, new)
        assert not known.targets

    def test_another_run_of_a_target_begins_anew(self) -> None:
        known = cluster_state.ClusterState()
        first = cluster_state.TargetChange("t-1", build_target(born_ms=1))
        known.apply(0.0, "k", 1, first)
        estimates.record_failure(known.targets["t-1"].health, 0.0)
        again = cluster_state.TargetChange("t-1", build_target(born_ms=2))
        known.apply(0.0, "k", 2, again)
        assert known.targets["t-1"].health.failures == 0.0

    def test_target_that_moved_leaves_its_service(self) -> None:
        known = cluster_state.ClusterState()
        for revision, service in enumerate(("a", "b"), 1):
            entry = build_target(service=service)
            known.apply(
                0.0, "k", revision, cluster_state.TargetChange("t-1", entry)
            )
        assert not list(known.list_targets("a"))
        assert len(list(known.list_targets("b"))) == 1

    def test_lapsed_entry_is_kept_for_a_while_after_an_outage(self) -> None:
        known = cluster_state.ClusterState()
        known.apply(
            0.0, "k", 1, cluster_state.TargetChange("t-1", build_target())
        )
        known.store_recovered_at = 10.0
        known.apply(10.1, "k", 2, cluster_state.TargetChange("t-1", None))
        assert known.targets["t-1"].suspect_until == 12.0
        assert known.remove_expired_suspects(11.9) == []
        assert known.remove_expired_suspects(12.0) == ["t-1"]

    def test_draining_target_is_not_kept_after_an_outage(self) -> None:
        known = cluster_state.ClusterState()
        draining = build_target(state=fleet.TargetState.DRAINING)
        known.apply(0.0, "k", 1, cluster_state.TargetChange("t-1", draining))
        known.store_recovered_at = 10.0
        known.apply(10.1, "k", 2, cluster_state.TargetChange("t-1", None))
        assert not known.targets

    def test_configuration_never_goes_back(self) -> None:
        known = cluster_state.ClusterState()
        for revision, version in enumerate((4, 9, 7), 1):
            found = fleet.Configuration(version, {}, {}, fleet.CallerLimits())
            known.apply(
                0.0, "k", revision, cluster_state.ConfigurationChange(found)
            )
        assert known.configuration is not None
        assert known.configuration.version == 9


class TestLastSlots:
    """Pattern: some targets are slower while they are nearly full."""

    def test_ratio_follows_what_answers_show(self) -> None:
        slots = last_slots.LastSlotSlowdowns()
        assert not last_slots.is_at_limit(3, 0, 4, slots.find("reads"))
        for _ in range(15):
            slots.record("reads", 0.32, 0.2)
        assert slots.find("reads") == pytest.approx(1.6, abs=0.15)
        assert last_slots.is_at_limit(3, 0, 4, slots.find("reads"))
        assert not last_slots.is_at_limit(2, 0, 4, slots.find("reads"))
        # Another service is another matter.
        assert not last_slots.is_at_limit(3, 0, 4, slots.find("writes"))

    def test_noise_does_not_keep_last_slots_free(self) -> None:
        slots = last_slots.LastSlotSlowdowns()
        rng = random.Random(1)
        for _ in range(300):
            seconds = 0.2 * rng.lognormvariate(0.0, 0.3)
            slots.record("reads", seconds, 0.2)
            ratio = slots.find("reads")
            assert ratio < last_slots.FULL_SLOWDOWN

    @pytest.mark.parametrize(
        ("running", "waiting", "full"),
        [(4, 0, True), (3, 1, True), (0, 0, False)],
    )
    def test_what_would_queue_is_full(
        self, running: int, waiting: int, full: bool
    ) -> None:
        assert last_slots.is_at_limit(running, waiting, 4, 1.0) is full

    def test_only_the_last_slot_teaches(self) -> None:
        assert last_slots.takes_last_slot(3, 0, 4)
        assert not last_slots.takes_last_slot(2, 0, 4)
        assert not last_slots.takes_last_slot(3, 1, 4)

"""Tests of the decisions of an entry VM, which are pure functions."""

import collections
import random

import hypothesis
from hypothesis import strategies
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
    started_at_ms: int = 1,
    service: str = "s",
) -> fleet.TargetEntry:
    return fleet.TargetEntry(
        identity, service, "10.0.0.1:80", "z-1", 4, state, 0.0, started_at_ms
    )


class TestVmAssignment:
    def test_all_vms_assign_the_same_vms_of_the_zone(self) -> None:
        vms = [build_vm(f"vm-{n}", f"z-{n % 3}") for n in range(12)]
        ranked = vm_assignment.rank_vms("z-1", "r-1", vms)
        ranked_in_reverse = vm_assignment.rank_vms("z-1", "r-1", reversed(vms))
        assert ranked == ranked_in_reverse
        live = {vm.name for vm in vms}
        assigned = vm_assignment.assign_vms("z-1", ranked, live, 0.0)
        assert [vm.zone for vm in assigned] == ["z-1", "z-1"]

    def test_larger_vms_are_ranked_first(self) -> None:
        small = [build_vm(f"s-{n}", capacity=0.4) for n in range(9)]
        large = [build_vm(f"l-{n}", capacity=2.1) for n in range(2)]
        ranked = vm_assignment.rank_vms("z-1", "r-1", [*small, *large])
        assert {vm.name for vm in ranked[:2]} == {"l-0", "l-1"}

    def test_unavailable_vm_is_replaced_and_the_other_one_stays(self) -> None:
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
        assigned = vm_assignment.assign_vms("z-1", ranked, {"b", "c"}, 0.0, 1)
        assert [vm.name for vm in assigned] == ["b"]

    def test_more_vms_are_assigned_if_these_are_busy(self) -> None:
        vms = [build_vm(f"vm-{n}") for n in range(8)]
        ranked = vm_assignment.rank_vms("z-1", "r-1", vms)
        live = {vm.name for vm in vms}
        assert len(vm_assignment.assign_vms("z-1", ranked, live, 0.5)) == 2
        assert len(vm_assignment.assign_vms("z-1", ranked, live, 1.1)) == 4

    def test_vm_that_has_not_replied_waits_for_its_reply(self) -> None:
        # Guards against callers that are sent to VMs without power, whose
        # registrations are still in the store.
        vms = [build_vm("large", capacity=2.1), build_vm("small")]
        ranked = vm_assignment.rank_vms("z-1", "r-1", vms)
        live = {"large", "small"}
        for confirmed, names in (
            ({"small"}, ["small"]),
            ({"large", "small"}, ["large", "small"]),
            (set(), ["large", "small"]),
        ):
            assigned = vm_assignment.assign_vms(
                "z-1", ranked, live, 0.0, confirmed=confirmed
            )
            assert [vm.name for vm in assigned] == names

    def test_zone_without_replies_uses_vms_that_have_replied(self) -> None:
        vms = [build_vm("a", "z-1"), build_vm("b", "z-2"), build_vm("c", "z-2")]
        ranked = vm_assignment.rank_vms("z-1", "r-1", vms)
        assigned = vm_assignment.assign_vms(
            "z-1", ranked, {"a", "b", "c"}, 0.0, confirmed={"b"}
        )
        assert [vm.name for vm in assigned] == ["b"]

    @hypothesis.given(
        sizes=strategies.lists(
            strategies.sampled_from([0.4, 2.1]), min_size=1, max_size=12
        ),
        data=strategies.data(),
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_vms_without_a_reply_are_assigned_only_if_none_replied(
        self, sizes: list[float], data: strategies.DataObject
    ) -> None:
        vms = [
            build_vm(f"vm-{n}", f"z-{n % 3}", capacity=size)
            for n, size in enumerate(sizes)
        ]
        names = strategies.sets(
            strategies.sampled_from([vm.name for vm in vms])
        )
        live, confirmed = data.draw(names), data.draw(names)
        ranked = vm_assignment.rank_vms("z-1", "r-1", vms)
        assigned = vm_assignment.assign_vms(
            "z-1", ranked, live, 0.0, confirmed=confirmed
        )
        assert {vm.name for vm in assigned} <= (live & confirmed or live)
        assert bool(assigned) == bool(live)
        in_zone = {vm.name for vm in vms if vm.zone == "z-1"}
        if len(live & confirmed & in_zone) >= 2:
            assert [vm.zone for vm in assigned] == ["z-1", "z-1"]

    def test_pinged_vms_include_live_ones_behind_unavailable_ones(
        self,
    ) -> None:
        # Guards against live VMs that are never pinged, and so never assigned.
        vms = [build_vm(f"vm-{n}") for n in range(40)]
        ranked = vm_assignment.rank_vms("z-1", "r-1", vms)
        live = {vm.name for vm in ranked[7:]}
        monitored = vm_assignment.list_monitored(ranked, live, 4)
        assert monitored == ranked[:11]
        monitored = vm_assignment.list_monitored(ranked, set(), 4)
        assert monitored == ranked[: vm_assignment.MAX_MONITORED_VMS]


class TestFeeders:
    def test_one_vm_of_each_region_follows_the_store(self) -> None:
        vms = [build_vm(f"vm-{n}", region=f"r-{n % 3}") for n in range(12)]
        region_feeders = [
            vm for vm in vms if feeders.list_feeders(vm, vms) is None
        ]
        assert sorted(vm.region for vm in region_feeders) == [
            "r-0",
            "r-1",
            "r-2",
        ]

    def test_followers_prefer_feeders_of_their_region(self) -> None:
        vms = [build_vm(f"vm-{n}", region=f"r-{n % 2}") for n in range(8)]
        own = next(v for v in vms if feeders.list_feeders(v, vms) is not None)
        feeder_vms = feeders.list_feeders(own, vms)
        assert feeder_vms is not None
        regions = [vm.region for vm in feeder_vms]
        assert own not in feeder_vms
        assert regions[0] == own.region
        assert regions[-1] != own.region

    def test_fallback_feeders_of_other_regions_come_first(self) -> None:
        vms = [build_vm(f"vm-{n}", region=f"r-{n % 2}") for n in range(8)]
        fallbacks = feeders.list_fallbacks(vms[0], vms)
        assert [vm.region for vm in fallbacks] == ["r-1", "r-0"]


class TestTrafficSplit:
    @pytest.mark.parametrize("weights", [(90, 10), (50, 50), (1, 2, 3), (7, 0)])
    def test_weights_hold_within_about_one_request(
        self, weights: tuple[int]
    ) -> None:
        services = [
            fleet.WeightedService(f"s-{i}", w) for i, w in enumerate(weights)
        ]
        rotation = traffic_split.WeightedRoundRobin(services, 0.3)
        counts: collections.Counter[str | None] = collections.Counter()
        for total in range(1, 400):
            counts[rotation.choose()] += 1
            for weighted in services:
                expected_count = total * weighted.weight / sum(weights)
                assert abs(counts[weighted.service] - expected_count) <= 1.3

    def test_nothing_is_chosen_without_services(self) -> None:
        assert traffic_split.WeightedRoundRobin([], 0.0).choose() is None


class TestRetries:
    @pytest.mark.parametrize(
        ("idempotent", "not_run", "sends", "runs", "max_targets", "expected"),
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
    def test_which_requests_may_be_retried(
        self,
        idempotent: bool,
        not_run: bool,
        sends: int,
        runs: int,
        max_targets: int,
        expected: bool,
    ) -> None:
        allowed = retry_policy.may_retry(
            idempotent, not_run, sends, runs, max_targets
        )
        assert allowed is expected


class TestHedges:
    # Guards against a hedge of a request whose response is on its way.
    @pytest.mark.parametrize("round_trip_seconds", [0.0, 0.02, 0.1])
    def test_target_has_a_round_trip_more_time(
        self, round_trip_seconds: float
    ) -> None:
        hedge_at = retry_policy.find_hedge_at(
            10.0, 0.005, round_trip_seconds, 11.0
        )
        assert hedge_at is not None
        assert hedge_at >= 10.0 + 0.005 + round_trip_seconds

    def test_late_hedge_is_not_sent(self) -> None:
        assert retry_policy.find_hedge_at(10.0, 0.4, 0.0, 11.1) is not None
        assert retry_policy.find_hedge_at(10.0, 0.4, 0.1, 11.1) is None


class TestEstimates:
    def test_full_and_slow_targets_have_a_higher_slowdown(self) -> None:
        idle = estimates.estimate_slowdown(0, 0, 4, 1.0)
        busy = estimates.estimate_slowdown(3, 0, 4, 1.0)
        full = estimates.estimate_slowdown(4, 2, 4, 1.0)
        slow = estimates.estimate_slowdown(0, 0, 4, 5.0)
        assert idle < busy < full < slow

    def test_failure_score_decays(self) -> None:
        health = estimates.TargetHealth()
        estimates.record_failure(health, 0.0)
        half_life = estimates.FAILURE_HALF_LIFE_SECONDS
        assert estimates.decay_failures(health, half_life) == pytest.approx(0.5)

    def test_median_shows_failures_that_most_targets_share(self) -> None:
        """All targets of a service refuse some of their requests.

        The median is subtracted from the failures of each target, so failures
        that all targets share count against none of them.
        """
        healths = [estimates.TargetHealth() for _ in range(5)]
        for health in healths:
            estimates.record_failure(health, 0.0, 2.0)
        assert estimates.find_median_failures(healths, 0.0) == 2.0
        for health in healths[:4]:
            health.failures = 0.0
        assert estimates.find_median_failures(healths, 0.0) == 0.0

    def test_unreachable_target_is_ejected_longer_each_time(self) -> None:
        health = estimates.TargetHealth()
        ejection_times = []
        for _ in range(6):
            estimates.record_unreachable(health, 0.0)
            ejection_times.append(health.ejected_until)
        assert ejection_times == sorted(ejection_times)
        assert ejection_times[-1] == estimates.MAX_EJECTION_SECONDS
        estimates.record_reachable(health)
        assert health.ejected_until == 0.0


class TestWaitingPolicy:
    """Requests take five times longer on a third of the targets."""

    @pytest.mark.parametrize(
        ("now", "cost", "has_unprobed", "expected"),
        [
            (0.0, 1.2, True, waiting_policy.Step.SEND),
            (0.0, 5.0, True, waiting_policy.Step.PROBE),
            (0.0, 5.0, False, waiting_policy.Step.WAIT),
            # Late requests do not use slow targets while others are fast.
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
    def test_next_step_by_time_and_cost(
        self,
        now: float,
        cost: float | None,
        has_unprobed: bool,
        expected: waiting_policy.Step,
    ) -> None:
        best = (
            None if cost is None else waiting_policy.TargetEstimate(cost, cost)
        )
        step = waiting_policy.decide(now, 0.14, best, 0.4, 1.2, has_unprobed)
        assert step is expected

    @pytest.mark.parametrize(
        ("now", "cost", "expected"),
        [
            # The response arrives by the deadline, and no target is faster.
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
            now, 0.14, best, 0.4, 1.2, False, has_fast_target=False
        )
        assert step is expected

    @pytest.mark.parametrize(
        ("now", "has_unprobed", "expected"),
        [
            (0.0, True, waiting_policy.Step.PROBE),
            (0.0, False, waiting_policy.Step.WAIT),
            (0.5, False, waiting_policy.Step.WAIT),
            # The last moment: queued at a target, the request may still be
            # complete by its deadline.
            (1.02, False, waiting_policy.Step.SEND),
        ],
    )
    def test_full_targets_are_used_at_the_last_moment_only(
        self, now: float, has_unprobed: bool, expected: waiting_policy.Step
    ) -> None:
        full = waiting_policy.TargetEstimate(1.2, 1.2, full=True)
        step = waiting_policy.decide(now, 0.14, full, 0.4, 1.2, has_unprobed)
        assert step is expected

    def test_large_responses_leave_their_zone_before_they_are_late(
        self,
    ) -> None:
        best = waiting_policy.TargetEstimate(5.0, 5.0)
        step = waiting_policy.decide(
            0.35, 0.14, best, 0.4, 0.6, False, may_be_late=False
        )
        assert step is waiting_policy.Step.REFUSE

    @pytest.mark.parametrize(
        ("now", "queued", "expected"),
        [
            (0.0, 1, 0.02),
            (0.0, 5, 0.1),
            # The last probe is sent while a response can still be in time.
            (0.2, 9, 0.039),
            # Late requests probe less often.
            (0.4, 2, 0.16),
            (1.0, 9, 0.02),
        ],
    )
    def test_probe_delay_grows_with_queued_requests(
        self, now: float, queued: int, expected: float
    ) -> None:
        delay = waiting_policy.find_probe_delay(
            now, 0.14, 0.4, 1.2, queued, 0.02
        )
        assert delay == pytest.approx(expected)

    def test_less_urgent_requests_probe_less_often(self) -> None:
        delay = waiting_policy.find_probe_delay(
            0.0, 0.14, 0.4, 1.2, 3, 0.02, True
        )
        assert delay == pytest.approx(0.18)

    def test_cost_alone_does_not_refuse_a_request_that_is_in_time(self) -> None:
        best = waiting_policy.TargetEstimate(1.0, 20.0)
        step = waiting_policy.decide(0.0, 0.14, best, 0.4, 1.2, False)
        assert step is waiting_policy.Step.SEND


class TestClusterState:
    def test_outdated_changes_are_ignored(self) -> None:
        cluster = cluster_state.ClusterState()
        added = cluster_state.TargetChange("t-1", build_target())
        removed = cluster_state.TargetChange("t-1", None)
        assert cluster.apply(0.0, "k", 5, added)
        assert not cluster.apply(0.0, "k", 4, removed)
        assert "t-1" in cluster.targets
        assert cluster.apply(0.0, "k", 6, removed)
        assert not cluster.apply(0.0, "k", 5, added)
        assert not cluster.targets

    def test_new_incarnation_of_a_target_has_no_failures(self) -> None:
        cluster = cluster_state.ClusterState()
        first = cluster_state.TargetChange("t-1", build_target(started_at_ms=1))
        cluster.apply(0.0, "k", 1, first)
        estimates.record_failure(cluster.targets["t-1"].health, 0.0)
        second = cluster_state.TargetChange(
            "t-1", build_target(started_at_ms=2)
        )
        cluster.apply(0.0, "k", 2, second)
        assert cluster.targets["t-1"].health.failures == 0.0

    def test_target_that_changes_service_leaves_the_old_one(self) -> None:
        cluster = cluster_state.ClusterState()
        for revision, service in enumerate(("a", "b"), 1):
            entry = build_target(service=service)
            cluster.apply(
                0.0, "k", revision, cluster_state.TargetChange("t-1", entry)
            )
        assert not list(cluster.list_targets("a"))
        assert len(list(cluster.list_targets("b"))) == 1

    def test_expired_entry_is_suspect_for_a_while_after_an_outage(self) -> None:
        cluster = cluster_state.ClusterState()
        cluster.apply(
            0.0, "k", 1, cluster_state.TargetChange("t-1", build_target())
        )
        cluster.store_recovered_at = 10.0
        cluster.apply(10.1, "k", 2, cluster_state.TargetChange("t-1", None))
        assert cluster.targets["t-1"].suspect_until == 12.0
        assert cluster.remove_expired_targets(11.9) == []
        assert cluster.remove_expired_targets(12.0) == ["t-1"]

    def test_expired_draining_target_is_removed_after_an_outage(self) -> None:
        cluster = cluster_state.ClusterState()
        draining = build_target(state=fleet.TargetState.DRAINING)
        cluster.apply(0.0, "k", 1, cluster_state.TargetChange("t-1", draining))
        cluster.store_recovered_at = 10.0
        cluster.apply(10.1, "k", 2, cluster_state.TargetChange("t-1", None))
        assert not cluster.targets

    def test_older_configuration_is_ignored(self) -> None:
        cluster = cluster_state.ClusterState()
        for revision, version in enumerate((4, 9, 7), 1):
            configuration = fleet.Configuration(
                version, {}, {}, fleet.CallerLimits()
            )
            cluster.apply(
                0.0,
                "k",
                revision,
                cluster_state.ConfigurationChange(configuration),
            )
        assert cluster.configuration is not None
        assert cluster.configuration.version == 9


class TestLastSlots:
    """Some targets are slower while they are nearly full."""

    def test_slowdown_follows_the_measured_responses(self) -> None:
        slots = last_slots.LastSlotSlowdowns()
        assert not last_slots.is_at_limit(3, 0, 4, slots.find("reads"))
        for _ in range(15):
            slots.record("reads", 0.32, 0.2)
        assert slots.find("reads") == pytest.approx(1.6, abs=0.15)
        assert last_slots.is_at_limit(3, 0, 4, slots.find("reads"))
        assert not last_slots.is_at_limit(2, 0, 4, slots.find("reads"))
        # The slowdown of one service does not affect another one.
        assert not last_slots.is_at_limit(3, 0, 4, slots.find("writes"))

    def test_noise_does_not_make_last_slots_unusable(self) -> None:
        slots = last_slots.LastSlotSlowdowns()
        rng = random.Random(1)
        for _ in range(300):
            seconds = 0.2 * rng.lognormvariate(0.0, 0.3)
            slots.record("reads", seconds, 0.2)
            slowdown = slots.find("reads")
            assert slowdown < last_slots.FULL_SLOWDOWN

    @pytest.mark.parametrize(
        ("running", "waiting", "full"),
        [(4, 0, True), (3, 1, True), (0, 0, False)],
    )
    def test_target_at_which_a_request_would_queue_is_full(
        self, running: int, waiting: int, full: bool
    ) -> None:
        assert last_slots.is_at_limit(running, waiting, 4, 1.0) is full

    def test_only_the_last_free_slot_is_the_last_slot(self) -> None:
        assert last_slots.takes_last_slot(3, 0, 4)
        assert not last_slots.takes_last_slot(2, 0, 4)
        assert not last_slots.takes_last_slot(3, 1, 4)

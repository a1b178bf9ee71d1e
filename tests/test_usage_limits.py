"""Tests of the quotas of client accounts over all VMs, with many VMs."""

from collections.abc import Callable
import math
import random

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from tests import usage_model
from wigeonspool.core import usage_limits
from wigeonspool.core import vm_assignment
from wigeonspool.model import fleet
from wigeonspool.vm import usage_messages
from wigeonspool.vm import usage_node

ZONES = 6
LARGE = "large"
SMALL = "small"
# A large account, a small one, one with a large burst, and one without.
QUOTAS = {
    LARGE: usage_limits.Quota(190.0, 190.0),
    SMALL: usage_limits.Quota(1.6, 2.0),
    "bursty": usage_limits.Quota(50.0, 300.0),
    "even": usage_limits.Quota(20.0, 0.0),
}
# A usual demand, as a fraction of the rate of a quota.
USUAL = 1 / 1.6
# Time in which buckets are filled.
REST_SECONDS = 10.0


def build_deployment(
    vms_per_zone: int = 3, seed: int = 1
) -> usage_model.Deployment:
    """Returns a deployment whose buckets are full."""
    deployment = usage_model.Deployment(QUOTAS, vms_per_zone, ZONES, seed)
    deployment.run(REST_SECONDS)
    return deployment


def flood(
    deployment: usage_model.Deployment,
    seconds: float,
    vms: list[usage_model.ModelVm] | None = None,
) -> None:
    """Plans five times the usual demand, and each burst, for each account."""
    for account, quota in QUOTAS.items():
        rate = max(5 * USUAL * quota.rate, 2 * quota.burst, 10.0)
        deployment.send_requests(account, rate, vms or deployment.vms, seconds)


def serve(deployment: usage_model.Deployment, seconds: float) -> None:
    """Plans the usual demand; all callers of an account may be in one zone."""
    holders = deployment.list_holders()
    in_zone = [vm for vm in holders if vm.entry.zone == "z3"]
    for account, quota in QUOTAS.items():
        vms = in_zone if account in (SMALL, "even") else holders
        deployment.send_requests(account, USUAL * quota.rate, vms, seconds)


def assert_within_bound(deployment: usage_model.Deployment) -> None:
    """Fails if the requests of an account exceed its bound in a window."""
    for account, quota in QUOTAS.items():
        assert deployment.find_overdraft(account, quota) <= 0, account


def find_wrong_fraction(
    deployment: usage_model.Deployment, start: float
) -> float:
    """Returns the fraction of the requests that were refused wrongly."""
    counts = [
        deployment.count_wrong(account, quota, start)
        for account, quota in QUOTAS.items()
    ]
    return sum(c[0] for c in counts) / max(1, sum(c[1] for c in counts))


class TestBound:
    """Guards against VMs that together send more than a quota allows."""

    @pytest.mark.parametrize("vms_per_zone", [2, 17, 167])
    def test_hot_accounts(self, vms_per_zone: int) -> None:
        deployment = build_deployment(vms_per_zone)
        flood(deployment, 8.0)
        deployment.run(8.0)
        assert_within_bound(deployment)
        granted = len(deployment.list_delays(LARGE))
        quota = QUOTAS[LARGE]
        assert granted >= 0.95 * (quota.burst + 8.0 * quota.rate)

    @pytest.mark.parametrize("down_seconds", [0.4, 1.2])
    @pytest.mark.parametrize("kills", [1, 3])
    def test_kill_of_all(self, kills: int, down_seconds: float) -> None:
        deployment = build_deployment()
        flood(deployment, 12.0)
        for _ in range(kills):
            deployment.run(1.5)
            deployment.stop(deployment.vms, down_seconds)
        deployment.run(8.0)
        assert_within_bound(deployment)

    # A killed holder starts without a record of its delegation.
    def test_kill_of_all_but_the_coordinator(self) -> None:
        deployment = build_deployment()
        flood(deployment, 12.0)
        coordinator = deployment.list_holders()[0]
        others = [vm for vm in deployment.vms if vm is not coordinator]
        for _ in range(3):
            deployment.run(1.0)
            deployment.stop(others, 0.4)
        deployment.run(8.0)
        assert_within_bound(deployment)

    def test_kills_of_coordinators(self) -> None:
        deployment = build_deployment()
        flood(deployment, 16.0)
        for _ in range(6):
            deployment.run(1.2)
            deployment.stop(deployment.list_holders()[:1], 0.5)
        deployment.run(8.0)
        assert_within_bound(deployment)

    @pytest.mark.parametrize("groups", [2, 4, 100])
    def test_partition_with_full_buckets(self, groups: int) -> None:
        deployment = build_deployment()
        flood(deployment, 20.0)
        deployment.run(0.5)
        for i, vm in enumerate(deployment.vms):
            vm.group = i % groups
        deployment.run(6.0)
        for vm in deployment.vms:
            vm.group = 0
        deployment.run(8.0)
        assert_within_bound(deployment)

    # The shares of VMs that are cut off must end before others hold them.
    def test_successors_of_vms_that_are_cut_off(self) -> None:
        deployment = build_deployment(6)
        flood(deployment, 30.0)
        for i, vm in enumerate(deployment.list_holders()):
            vm.group = i + 1
        deployment.run(30.0)
        assert_within_bound(deployment)

    # New holders must wait until those that they displace know it.
    def test_larger_vms_join_all_zones(self) -> None:
        deployment = build_deployment()
        flood(deployment, 20.0)
        for _ in range(3):
            for zone in deployment.zones:
                for vm in deployment.add_vms(zone, 2):
                    deployment.start(vm)
            deployment.run(2.0)
        deployment.run(10.0)
        assert_within_bound(deployment)

    # As after an outage in which all leases ended: each VM that registers
    # looks like the only one of its zone.
    def test_empty_store(self) -> None:
        deployment = build_deployment(6)
        deployment.has_store = False
        flood(deployment, 30.0)
        deployment.run(15.0)
        deployment.has_store = True
        deployment.run(15.0)
        assert_within_bound(deployment)

    # Tokens and delegations expire while a process is paused.
    @pytest.mark.parametrize("seconds", [0.4, 0.9, 3.0])
    def test_paused_processes(self, seconds: float) -> None:
        deployment = build_deployment()
        flood(deployment, 20.0)
        for _ in range(4):
            deployment.run(1.0)
            vms = deployment.rng.sample(
                deployment.vms, len(deployment.vms) // 2
            )
            for vm in vms:
                vm.paused_until = deployment.now + seconds
        deployment.run(10.0)
        assert_within_bound(deployment)

    def test_lost_and_delayed_datagrams(self) -> None:
        deployment = build_deployment()
        deployment.loss = 0.3
        deployment.extra_delay = 0.6
        flood(deployment, 15.0)
        deployment.run(15.0)
        assert_within_bound(deployment)

    # A lowered quota binds one window after all VMs have applied it.
    def test_lowered_quota(self) -> None:
        deployment = build_deployment()
        flood(deployment, 25.0)
        deployment.run(8.0)
        lowered = {
            name: usage_limits.Quota(quota.rate / 5, quota.burst / 5)
            for name, quota in QUOTAS.items()
        }
        deployment.set_quotas(lowered)
        binding_at = deployment.now + (
            usage_model.MAX_LAG_SECONDS + usage_model.BOUNDS.window_seconds
        )
        deployment.run(17.0)
        for account, quota in lowered.items():
            overdraft = deployment.find_overdraft(account, quota, binding_at)
            assert overdraft <= 0, account
        assert len(deployment.list_delays(LARGE, binding_at)) > 100


class TestRequestsWithinTheQuota:
    """Guards against requests that are refused for lack of a share."""

    def test_usual_demand(self) -> None:
        deployment = build_deployment(17)
        start = deployment.now
        serve(deployment, 30.0)
        deployment.run(30.0)
        assert find_wrong_fraction(deployment, start) <= 0.002
        # A round trip between regions takes 24 ms. Random requests exceed a
        # quota without a burst, and wait for tokens.
        for account in (LARGE, SMALL, "bursty"):
            assert deployment.list_delays(account, start)[-1] <= 0.025

    def test_other_accounts_beside_hot_ones(self) -> None:
        deployment = build_deployment(17)
        start = deployment.now
        serve(deployment, 20.0)
        deployment.send_requests(LARGE, 600.0, deployment.vms, 20.0)
        deployment.run(20.0)
        for account in (SMALL, "bursty", "even"):
            wrong, within = deployment.count_wrong(
                account, QUOTAS[account], start
            )
            assert wrong <= 0.01 * within, account

    def test_after_a_kill_of_all(self) -> None:
        deployment = build_deployment(17)
        serve(deployment, 3.0)
        deployment.run(3.0)
        for vm in deployment.vms:
            deployment.stop([vm], 1.2 + deployment.rng.uniform(0.2, 0.4))
        deployment.run(1.7)
        start = deployment.now
        serve(deployment, 15.0)
        deployment.run(15.0)
        assert find_wrong_fraction(deployment, start) <= 0.02

    # Delegations to a coordinator that stopped end after a second.
    def test_after_the_coordinator_stopped(self) -> None:
        deployment = build_deployment(17)
        serve(deployment, 20.0)
        deployment.run(3.0)
        deployment.stop(deployment.list_holders()[:1])
        start = deployment.now
        deployment.run(1.5)
        settled_at = deployment.now
        deployment.run(15.0)
        assert find_wrong_fraction(deployment, settled_at) <= 0.05
        assert find_wrong_fraction(deployment, start) <= 0.1

    # Holders leave a coordinator that is paused again and again.
    def test_pauses_of_the_coordinator(self) -> None:
        deployment = build_deployment(17)
        start = deployment.now
        serve(deployment, 20.0)
        coordinator = deployment.list_holders()[0]
        for _ in range(6):
            deployment.run(3.0)
            coordinator.paused_until = deployment.now + 0.4
        deployment.run(5.0)
        assert find_wrong_fraction(deployment, start) <= 0.01

    # A VM that stops as planned lets others choose another coordinator first.
    def test_planned_stop_of_the_coordinator(self) -> None:
        deployment = build_deployment(17)
        start = deployment.now
        serve(deployment, 14.0)
        deployment.run(2.0)
        coordinator = deployment.list_holders()[0]
        assert coordinator.node is not None
        coordinator.node.is_leaving = True
        # Its callers are sent to other VMs meanwhile.
        deployment.run(2.0)
        deployment.stop([coordinator], 0.5)
        deployment.run(10.0)
        assert find_wrong_fraction(deployment, start) <= 0.02

    def test_lost_datagrams(self) -> None:
        deployment = build_deployment(17)
        deployment.loss = 0.02
        start = deployment.now
        serve(deployment, 20.0)
        deployment.run(20.0)
        assert find_wrong_fraction(deployment, start) <= 0.01


class TestCost:
    def test_messages_of_usual_demand(self) -> None:
        deployment = build_deployment(17)
        deployment.datagrams = deployment.bytes = 0
        serve(deployment, 10.0)
        deployment.run(10.0)
        requests = sum(len(a) for a in deployment.arrivals.values())
        assert deployment.datagrams <= 3 * requests
        assert deployment.bytes <= 200 * requests

    # Bytes between regions have a price.
    def test_messages_without_demand(self) -> None:
        deployment = build_deployment(17)
        deployment.datagrams = 0
        deployment.run(10.0)
        # Eleven holders delegate four times a second, and get replies.
        assert deployment.datagrams <= 11 * 4 * 2 * 10


# What may happen to a deployment: the name of the event and its size, 0 to 1.
Event = tuple[str, float]
EVENTS = strategies.tuples(
    strategies.sampled_from(
        [
            "kill",
            "lose",
            "add",
            "cut",
            "heal",
            "store",
            "pause",
            "network",
            "rest",
        ]
    ),
    strategies.floats(0.0, 1.0),
)


class EventfulDeployment:
    """A deployment in which VMs come and go while accounts are hot."""

    def __init__(self, vms_per_zone: int, seed: int) -> None:
        """Starts the VMs."""
        self.deployment = build_deployment(vms_per_zone, seed)
        self._rng = random.Random(seed)
        self._handlers: dict[str, Callable[[float], None]] = {
            "kill": self._kill,
            "lose": self._lose,
            "add": self._add,
            "cut": self._cut,
            "heal": self._heal,
            "store": self._take_store_away,
            "pause": self._pause,
            "network": self._disturb_network,
            "rest": self._rest,
        }

    def apply(self, event: Event) -> None:
        """Lets an event happen."""
        name, size = event
        self._handlers[name](size)

    def _sample(self, share: float) -> list[usage_model.ModelVm]:
        vms = self.deployment.vms
        return self._rng.sample(vms, math.ceil(share * len(vms)))

    def _kill(self, share: float) -> None:
        """Kills some VMs, or all of them at a large size."""
        self.deployment.stop(
            self._sample(min(1.0, 2 * share)), self._rng.uniform(0.4, 1.6)
        )

    def _lose(self, share: float) -> None:
        self.deployment.stop(self._sample(share / 3))

    def _add(self, share: float) -> None:
        for zone in self.deployment.zones:
            for vm in self.deployment.add_vms(zone, round(3 * share)):
                self.deployment.start(vm)

    def _cut(self, share: float) -> None:
        groups = 1 + round(1 / (1.01 - share))
        for vm in self.deployment.vms:
            vm.group = self._rng.randrange(groups)

    def _heal(self, share: float) -> None:
        self.deployment.has_store = True
        for vm in self.deployment.vms:
            vm.group = 0

    def _take_store_away(self, share: float) -> None:
        self.deployment.has_store = share < 0.5

    def _pause(self, share: float) -> None:
        for vm in self._sample(share):
            vm.paused_until = self.deployment.now + self._rng.uniform(0.1, 2.0)

    def _disturb_network(self, share: float) -> None:
        self.deployment.loss = share / 3
        self.deployment.extra_delay = share * self._rng.random()

    def _rest(self, share: float) -> None:
        self.deployment.run(6.0 * share)


class TestEvents:
    """Guards against events that let VMs together exceed a quota."""

    @hypothesis.settings(max_examples=25, derandomize=True, deadline=None)
    @hypothesis.given(
        vms_per_zone=strategies.integers(2, 4),
        seed=strategies.integers(0, 2**32),
        events=strategies.lists(EVENTS, min_size=5, max_size=5),
        seconds=strategies.lists(
            strategies.sampled_from([0.3, 1.0, 3.0]), min_size=5, max_size=5
        ),
    )
    def test_sum_of_all_vms_stays_within_the_bound(
        self,
        vms_per_zone: int,
        seed: int,
        events: list[Event],
        seconds: list[float],
    ) -> None:
        eventful = EventfulDeployment(vms_per_zone, seed)
        for event, length in zip(events, seconds, strict=True):
            flood(eventful.deployment, length)
            eventful.deployment.run(length / 2)
            eventful.apply(event)
            eventful.deployment.run(length / 2)
        assert_within_bound(eventful.deployment)


BOUNDS = usage_limits.Bounds(5.0, 0.1, 20.0)
NONE = usage_limits.StartingTokens.NONE
START = usage_limits.StartingTokens.START


def build_coordinator(shares: int) -> usage_limits.Coordinator:
    """Returns a coordinator of two shares with full buckets at 10 s."""
    coordinator = usage_limits.Coordinator(2, BOUNDS)
    coordinator.set_quotas({"a": usage_limits.Quota(10.0, 20.0)}, 0.0)
    for i in range(shares):
        coordinator.add_share(f"vm-{i}", 0.0, 100.0, NONE, 0.0)
    return coordinator


class TestCoordinator:
    def test_depth_and_rate_follow_the_shares(self) -> None:
        coordinator = build_coordinator(1)
        grant = coordinator.take("a", 50, 0, 10.0)
        assert grant == usage_limits.Grant(10, 40, pytest.approx(0.2))
        grant = coordinator.take("a", 50, 0, 11.0)
        assert grant is not None and grant.granted == 5

    def test_share_that_ended_takes_its_tokens_along(self) -> None:
        coordinator = build_coordinator(1)
        coordinator.add_share("vm-1", 0.0, 10.0, NONE, 0.0)
        grant = coordinator.take("a", 50, 0, 10.5)
        assert grant is not None and grant.granted == 10

    def test_added_share_brings_no_tokens_by_itself(self) -> None:
        coordinator = build_coordinator(1)
        coordinator.add_share("vm-1", 0.0, 100.0, NONE, 10.0)
        grant = coordinator.take("a", 50, 0, 10.0)
        assert grant is not None and grant.granted == 10

    # A repeated delegation must not bring its starting tokens again.
    def test_starting_tokens_count_once(self) -> None:
        coordinator = build_coordinator(0)
        for _ in range(3):
            coordinator.add_share("vm-0", 1.0, 100.0, START, 1.0)
        grant = coordinator.take("a", 50, 0, 1.0)
        margin = (10.0 * 5.0 + 20.0) * 0.1 + 20.0
        assert grant is not None and grant.granted == int(margin / 2 / 2)

    def test_late_share_brings_no_starting_tokens(self) -> None:
        coordinator = build_coordinator(1)
        coordinator.take("a", 10, 0, 10.0)
        coordinator.add_share("vm-1", 10.0, 100.0, START, 10.0)
        grant = coordinator.take("a", 50, 0, 10.0)
        assert grant is not None and grant.granted == 0

    def test_refused_callers_return_one_after_the_other(self) -> None:
        coordinator = build_coordinator(2)
        coordinator.take("a", 20, 0, 10.0)
        delays = []
        for _ in range(3):
            grant = coordinator.take("a", 1, 0, 10.0)
            assert grant is not None
            delays.append(grant.retry_seconds)
        assert delays == pytest.approx([0.1, 0.2, 0.3])

    def test_expected_requests_leave_tokens_for_waiting_ones(self) -> None:
        coordinator = build_coordinator(2)
        grant = coordinator.take("a", 0, 50, 10.0)
        assert grant is not None and grant.granted == 15

    def test_lowered_quota_drops_tokens(self) -> None:
        coordinator = build_coordinator(2)
        quotas = {"a": usage_limits.Quota(1.0, 2.0)}
        coordinator.set_quotas(quotas, 10.0)
        grant = coordinator.take("a", 50, 0, 10.0)
        assert grant is not None and grant.granted == 2


class TestDelegation:
    def test_share_has_one_coordinator_at_a_time(self) -> None:
        delegation = usage_limits.Delegation(5.0)
        assert delegation.begin("a", 1, 0.0)
        delegation.renew(1.0, 0.0)
        assert not delegation.begin("b", 1, 0.9)
        # A coordinator that started again has no record.
        assert not delegation.begin("a", 2, 0.9)
        assert delegation.begin("a", 1, 0.9)
        assert delegation.begin("b", 1, 1.0)

    def test_starting_tokens_are_brought_once_in_a_window(self) -> None:
        delegation = usage_limits.Delegation(5.0)
        delegation.begin("a", 1, 0.0)
        delegation.bring_tokens(True, 0.0)
        assert delegation.starting is START
        delegation.begin("b", 1, 2.0)
        delegation.bring_tokens(True, 2.0)
        assert delegation.starting is NONE
        delegation.begin("a", 1, 6.0)
        delegation.bring_tokens(True, 6.0)
        assert delegation.starting is usage_limits.StartingTokens.HANDOVER


def build_entry(name: str, zone: str = "z0") -> fleet.VmEntry:
    """Returns the entry of a VM."""
    return fleet.VmEntry(name, "r0", zone, name, name, 1.0)


class TestHolderRole:
    ZONES = {"z0": "r0"}

    def list_ranked(self, count: int) -> list[fleet.VmEntry]:
        """Returns VMs of a zone, the one to which callers go first in front."""
        vms = [build_entry(f"vm-{i}") for i in range(count)]
        return vm_assignment.rank_vms("z0", "r0", vms)

    def find_held_from(
        self, own: fleet.VmEntry, vms: list[fleet.VmEntry], known: bool = False
    ) -> float:
        """Returns from when a VM holds a share that registers at 5 s.

        The others of the list registered before it.
        """
        role = usage_limits.HolderRole()
        revisions = {vm.name: 2 if vm == own else 1 for vm in vms}
        role.update(own, vms, self.ZONES, revisions, known, 5.0)
        return role.held_from

    def test_first_two_vms_hold_shares_at_once(self) -> None:
        vms = self.list_ranked(2)
        assert self.find_held_from(vms[0], vms) == 5.0

    # Failure: VMs that started together all waited for each other.
    def test_vm_does_not_wait_for_those_that_registered_later(self) -> None:
        vms = self.list_ranked(4)
        role = usage_limits.HolderRole()
        revisions = {vm.name: i for i, vm in enumerate(vms)}
        role.update(vms[0], vms, self.ZONES, revisions, False, 5.0)
        assert role.held_from == 5.0

    def test_vm_that_displaces_another_waits(self) -> None:
        vms = self.list_ranked(3)
        held_from = self.find_held_from(vms[0], vms)
        assert held_from == 5.0 + usage_limits.DISPLACEMENT_SECONDS

    def test_vm_that_was_known_before_its_start_does_not_wait(self) -> None:
        vms = self.list_ranked(3)
        assert self.find_held_from(vms[0], vms, known=True) == 5.0

    def test_successor_of_a_vm_that_is_gone_does_not_wait(self) -> None:
        vms = self.list_ranked(4)
        role = usage_limits.HolderRole()
        revisions = {vm.name: i for i, vm in enumerate(vms)}
        role.update(vms[2], vms, self.ZONES, revisions, False, 5.0)
        assert role.held_from == math.inf
        role.update(vms[2], vms[1:], self.ZONES, revisions, False, 6.0)
        assert role.held_from == 6.0


class TestTokens:
    def test_tokens_expire(self) -> None:
        stock = usage_limits.TokenStock()
        stock.add(2, 1.0)
        stock.add(1, 2.0)
        assert stock.take(0.9) == 1.0
        assert stock.take(1.0) == 2.0
        assert stock.take(1.0) is None

    def test_rare_requests_need_no_tokens_ahead(self) -> None:
        demand = usage_limits.Demand()
        for second in range(20):
            demand.add_request(float(second))
        assert demand.find_missing(0, 19.0) == 0


class TestMessages:
    """Guards against datagrams of other programs."""

    @hypothesis.settings(max_examples=200, derandomize=True)
    @hypothesis.given(data=strategies.binary(max_size=200))
    def test_odd_datagrams_are_dropped(self, data: bytes) -> None:
        message = usage_messages.decode(data)
        if message is not None:
            assert usage_messages.decode(usage_messages.encode(message))

    @pytest.mark.parametrize("value", [math.nan, math.inf, -1.0])
    def test_odd_times_are_dropped(self, value: float) -> None:
        data = usage_messages.encode(usage_messages.TokenRequest(value))
        assert usage_messages.decode(data) is None

    def test_wants_are_split_into_datagrams(self) -> None:
        wants = [usage_messages.Want("ü" * 100, 5, 5) for _ in range(20)]
        groups = usage_messages.split_wants(wants)
        assert [w for group in groups for w in group] == wants
        for group in groups:
            message = usage_messages.TokenRequest(1.0, group)
            data = usage_messages.encode(message)
            assert usage_messages.decode(data) == message


class NodePair:
    """A holder that is not preferred, and the node that it prefers.

    Attributes:
        sent: Messages of both, with the address of the receiver.
        coordinator: The preferred node.
        holder: The other node.
    """

    def __init__(self) -> None:
        """Creates the nodes, both registered until 1,000 s."""
        self.sent: list[tuple[str, usage_messages.Message]] = []
        zones = {"z0": "r0"}
        vms = [
            fleet.VmEntry(
                f"vm-{i}", "r0", "z0", "", f"10.0.0.{i}:7000", 2.0 - i
            )
            for i in range(2)
        ]
        self.addresses = ["10.0.0.0:7001", "10.0.0.1:7001"]
        nodes = []
        for i, vm in enumerate(vms):
            node = usage_node.UsageNode(
                vm,
                i + 1,
                zones,
                BOUNDS,
                0.0,
                lambda address, message: self.sent.append((address, message)),
                lambda: 0.5,
            )
            node.set_quotas({"a": usage_limits.Quota(10.0, 20.0)}, 0.0)
            node.set_registered_until(1000.0, 10.0)
            node.set_members(vms, {"vm-0": 1, "vm-1": 2}, True, 10.0)
            nodes.append(node)
        self.coordinator, self.holder = nodes

    def pop(self, kind: type[usage_messages.Message]) -> usage_messages.Message:
        """Returns the latest message, which must be of a kind."""
        message = self.sent.pop()[1]
        assert isinstance(message, kind)
        return message

    def exchange_clock(self, now: float) -> usage_messages.Delegation:
        """Returns the first delegation, which is not delivered yet."""
        self.holder.tick(now)
        hello = self.pop(usage_messages.Delegation)
        self.coordinator.receive(self.addresses[1], hello, now)
        reply = self.pop(usage_messages.DelegationReply)
        self.holder.receive(self.addresses[0], reply, now)
        delegation = self.pop(usage_messages.Delegation)
        assert isinstance(delegation, usage_messages.Delegation)
        return delegation

    def count_shares(
        self, delegation: usage_messages.Delegation, now: float
    ) -> int:
        """Returns the shares of the coordinator once it got a delegation."""
        self.coordinator.receive(self.addresses[1], delegation, now)
        return self.coordinator.coordinator.count_shares(now)


class TestNode:
    """Guards against shares and tokens that are used after their end."""

    def test_delegation_counts_from_the_clock_that_it_echoes(self) -> None:
        pair = NodePair()
        delegation = pair.exchange_clock(20.0)
        assert delegation.seconds == usage_limits.DELEGATION_SECONDS
        assert pair.holder.delegation.ends_at >= 21.0
        assert pair.count_shares(delegation, 20.9) == 1
        assert pair.count_shares(delegation, 21.1) == 0

    def test_late_delegation_does_not_count(self) -> None:
        pair = NodePair()
        delegation = pair.exchange_clock(20.0)
        assert pair.count_shares(delegation, 21.1) == 0

    def test_delegation_to_an_earlier_process_does_not_count(self) -> None:
        pair = NodePair()
        delegation = pair.exchange_clock(20.0)
        later = msgspec.structs.replace(delegation, incarnation=7)
        assert pair.count_shares(later, 20.1) == 0

    def test_delegation_ends_with_the_registration(self) -> None:
        pair = NodePair()
        pair.holder.set_registered_until(20.4, 20.0)
        delegation = pair.exchange_clock(20.0)
        assert delegation.seconds == pytest.approx(0.4)

    def test_unregistered_vm_holds_no_share(self) -> None:
        pair = NodePair()
        assert pair.holder.role.held_from == 10.0
        pair.holder.set_registered_until(19.0, 20.0)
        assert pair.holder.role.held_from == math.inf

    def request_token(
        self, pair: NodePair, decisions: list[usage_node.Decision]
    ) -> usage_messages.Message:
        """Returns the reply to a request for a token at 30 s."""
        pair.count_shares(pair.exchange_clock(29.9), 29.9)
        pair.sent.clear()
        waiter = usage_node.Waiter("a", decisions.append)
        assert pair.holder.acquire(waiter, 30.0) is None
        pair.holder.flush(30.0)
        request = pair.pop(usage_messages.TokenRequest)
        pair.coordinator.receive(pair.addresses[1], request, 30.0)
        return pair.pop(usage_messages.TokenReply)

    def test_token_counts_from_the_request(self) -> None:
        pair = NodePair()
        decisions: list[usage_node.Decision] = []
        reply = self.request_token(pair, decisions)
        pair.holder.receive(pair.addresses[0], reply, 30.1)
        expires_at = decisions[0].expires_at
        assert expires_at == pytest.approx(30.0 + usage_limits.TOKEN_SECONDS)

    # Guards against requests that are refused right after a start of all VMs,
    # while the holders still delegate their shares one after the other.
    @pytest.mark.parametrize("started_at", [29.6, 20.0])
    def test_request_waits_for_shares_after_a_start(
        self, started_at: float
    ) -> None:
        pair = NodePair()
        decisions: list[usage_node.Decision] = []
        reply = self.request_token(pair, decisions)
        pair.holder._started_at = started_at
        none_granted = usage_messages.Granted("a", 0, 1, 500)
        assert isinstance(reply, usage_messages.TokenReply)
        refusal = msgspec.structs.replace(
            reply, shares=1, grants=(none_granted,)
        )
        pair.holder.receive(pair.addresses[0], refusal, 30.1)
        is_starting = started_at > 29.0
        assert bool(decisions) is not is_starting

    def test_token_of_a_late_reply_is_not_used(self) -> None:
        pair = NodePair()
        decisions: list[usage_node.Decision] = []
        reply = self.request_token(pair, decisions)
        pair.holder.receive(pair.addresses[0], reply, 30.6)
        assert decisions == []

    def test_token_of_a_request_that_did_not_run_serves_another(self) -> None:
        pair = NodePair()
        decisions: list[usage_node.Decision] = []
        reply = self.request_token(pair, decisions)
        pair.holder.receive(pair.addresses[0], reply, 30.1)
        expires_at = decisions[0].expires_at
        assert expires_at is not None
        pair.holder.give_back("a", expires_at, 30.2)
        waiter = usage_node.Waiter("a", decisions.append)
        assert pair.holder.acquire(waiter, 30.3) == expires_at
        pair.holder.give_back("a", expires_at, 30.4)
        assert pair.holder.acquire(waiter, 30.6) is None

    # Failure: a datagram that the network repeated brought its tokens again.
    def test_tokens_of_a_repeated_reply_count_once(self) -> None:
        pair = NodePair()
        decisions: list[usage_node.Decision] = []
        reply = self.request_token(pair, decisions)
        for _ in range(3):
            pair.holder.receive(pair.addresses[0], reply, 30.1)
        assert len(decisions) == 1
        waiter = usage_node.Waiter("a", decisions.append)
        assert pair.holder.acquire(waiter, 30.2) is None
        assert len(decisions) == 1

    # Failure: requests hung when a version dropped the quota they waited for.
    def test_request_goes_on_when_its_quota_is_dropped(self) -> None:
        pair = NodePair()
        decisions: list[usage_node.Decision] = []
        waiter = usage_node.Waiter("a", decisions.append)
        assert pair.holder.acquire(waiter, 30.0) is None
        pair.holder.set_quotas({"b": usage_limits.Quota(1.0, 1.0)}, 30.1)
        assert len(decisions) == 1
        expires_at = decisions[0].expires_at
        assert expires_at is not None
        assert expires_at > 30.1

    # Failure: a coordinator that was stopping refused its own callers.
    def test_stopping_coordinator_asks_another_one(self) -> None:
        pair = NodePair()
        own, other = pair.addresses
        assert pair.coordinator.find_coordinator(20.0) == own
        pair.coordinator.is_leaving = True
        assert pair.coordinator.find_coordinator(20.1) == other

    # Failure: a VM that stops had no coordinator once no other one replied.
    def test_stopping_coordinator_stays_if_no_other_one_replies(self) -> None:
        pair = NodePair()
        own, other = pair.addresses
        pair.coordinator.is_leaving = True
        choice = pair.coordinator.choice
        for _ in range(2):
            choice.record_sent(other, 20.0)
        assert choice.detect_failures(21.0)
        assert pair.coordinator.find_coordinator(21.0) == own

    def test_request_waits_a_quarter_of_a_second(self) -> None:
        pair = NodePair()
        decisions: list[usage_node.Decision] = []
        waiter = usage_node.Waiter("a", decisions.append)
        pair.holder.acquire(waiter, 30.0)
        for tick in range(1, 6):
            assert decisions == []
            pair.holder.tick(30.0 + tick * usage_node.TICK_SECONDS)
        assert [d.cause for d in decisions] == [usage_node.Cause.NO_REPLY]

"""How gateways divide a pool, and which of them callers are assigned to."""

import dataclasses

import hypothesis
from hypothesis import strategies

from wigeonspool.core import slot_division
from wigeonspool.model import entities


def build_pool(targets: int, slots: int) -> entities.Pool:
    listed = (entities.Target(f"t{i}:1", "zone-0") for i in range(targets))
    return entities.Pool("queue", slots, tuple(listed))


def build_gateways(count: int, demand: float) -> list[entities.Gateway]:
    return [
        entities.Gateway(
            f"g{i}",
            "1",
            f"g{i}:1",
            "zone-0",
            f"vm-{i}",
            False,
            {"queue": demand},
        )
        for i in range(count)
    ]


class TestDivision:
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        targets=strategies.integers(0, 40),
        slots=strategies.integers(1, 9),
        gateways=strategies.integers(0, 20),
    )
    def test_each_slot_belongs_to_one_gateway(
        self, targets: int, slots: int, gateways: int
    ) -> None:
        names = {f"g{i}": 1.0 for i in range(gateways)}
        pool = build_pool(targets, slots)
        shares = slot_division.divide_slots(pool, "zone-0", names)
        if gateways:
            for target in pool.targets:
                held = sum(s.get(target.address, 0) for s in shares.values())
                assert held == slots
            sizes = [sum(share.values()) for share in shares.values()]
            assert max(sizes) - min(sizes) <= 1

    def test_drained_and_remote_targets_are_not_divided(self) -> None:
        near, *_ = build_pool(1, 4).targets
        far = dataclasses.replace(near, address="f:1", zone="zone-1")
        drained = dataclasses.replace(near, address="d:1", drained=True)
        pool = entities.Pool("queue", 4, (near, far, drained))
        shares = slot_division.divide_slots(pool, "zone-0", {"g0": 1.0})
        assert shares == {"g0": {"t0:1": 4}}


class TestWeights:
    def test_slots_stay_with_gateways_that_callers_still_use(self) -> None:
        old, new = build_gateways(2, 1000)
        new = dataclasses.replace(new, demand={"queue": 0.0})
        weights = slot_division.compute_weights("queue", [old, new], [old, new])
        assert weights == {"g0": 2.0, "g1": 0.05}
        # A gateway that is no longer assigned keeps slots for its callers.
        weights = slot_division.compute_weights("queue", [new], [old, new])
        assert weights == {"g0": 1.0, "g1": 0.05}

    def test_slots_move_ahead_to_gateways_that_callers_will_use(self) -> None:
        # Three of four gateways are no longer assigned; a quarter of the
        # callers refresh their addresses until the next digest.
        gateways = build_gateways(4, 1000)
        assigned = gateways[:1]
        weights_now = slot_division.compute_weights("queue", assigned, gateways)
        assert set(weights_now.values()) == {0.25}
        weights_ahead = slot_division.compute_weights(
            "queue", assigned, gateways, refreshed_fraction=0.25
        )
        assert weights_ahead == {"g0": 0.5, "g1": 0.25, "g2": 0.25, "g3": 0.25}

    def test_noise_moves_no_slots(self) -> None:
        one, two = build_gateways(2, 1000)
        two = dataclasses.replace(two, demand={"queue": 1080.0})
        weights = slot_division.compute_weights("queue", [one, two], [one, two])
        assert weights == {"g0": 1.0, "g1": 1.0}


class TestGatewayAssignments:
    def test_count_grows_immediately_and_shrinks_late(self) -> None:
        assignments = slot_division.GatewayAssignments(
            gateway_capacity=1000, min_gateways=2
        )
        counts = []
        for demand in (100, 450, 380, 100):
            gateways = build_gateways(10, demand)
            counts.append(len(assignments.find("queue", "zone-0", gateways)))
        assert counts == [2, 5, 5, 2]

    def test_unassigned_gateway_owns_no_slots(self) -> None:
        assignments = slot_division.GatewayAssignments(
            gateway_capacity=1000, min_gateways=2
        )
        gateways = build_gateways(4, 0)
        pool = build_pool(6, 2)
        assigned = assignments.find("queue", "zone-0", gateways)
        for gateway in gateways:
            slots = assignments.divide(pool, "zone-0", gateways, gateway.name)
            assert sum(slots.values()) == (6 if gateway in assigned else 0)

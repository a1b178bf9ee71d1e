"""The pool's bound on ejected targets, over all gateways together."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from tests import test_decide
from wigeonspool.core import outlier_ejection
from wigeonspool.core import pools
from wigeonspool.core import slot_division
from wigeonspool.core import tables
from wigeonspool.model import entities

FAILED = tables.Result(tables.ResultKind.FAILED)
ZONE = "zone-0"


def build_pool(targets: int, slots: int, fraction: float) -> entities.Pool:
    """Returns a pool of targets in one zone."""
    listed = tuple(entities.Target(f"t{i}:1", ZONE) for i in range(targets))
    return entities.Pool("p", slots, listed, max_ejected_fraction=fraction)


def build_row(pool: entities.Pool) -> pools.PoolRow:
    """Returns the state of the pool at one gateway."""
    row = pools.PoolRow(pool, ZONE, set())
    row.replace_targets(
        {
            t.address: outlier_ejection.merge_target(row, t, False)
            for t in pool.targets
        }
    )
    return row


def fail_attempts(row: pools.PoolRow, address: str, times: int = 3) -> None:
    """Fails attempts at a target, one after the other."""
    for number in range(times):
        request = tables.RequestRow(number, "p", "read", 100.0, True)
        target = row.targets[address]
        outlier_ejection.record_result(1.0, row, request, target, FAILED)
        row.index.update(target)


def list_ejected(rows: list[pools.PoolRow]) -> set[str]:
    """Returns the targets that at least one gateway ejected."""
    return {
        target.address
        for row in rows
        for target in row.targets.values()
        if target.state is tables.TargetState.EJECTED
    }


class TestEjectionBound:
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        targets=st.integers(1, 45),
        slots=st.integers(1, 5),
        fraction=st.floats(0.0, 1.0),
        weights_by_step=st.lists(
            st.none() | st.lists(st.floats(0.05, 2.0), min_size=1, max_size=20),
            min_size=1,
            max_size=3,
        ),
    )
    def test_all_gateways_together_keep_the_bound(
        self,
        targets: int,
        slots: int,
        fraction: float,
        weights_by_step: list[list[float] | None],
    ) -> None:
        """All targets fail at all gateways while slots move between these."""
        pool = build_pool(targets, slots, fraction)
        rows = [build_row(pool) for _ in range(20)]
        bound = int(targets * fraction)
        for step_weights in weights_by_step:
            weights = {
                str(i): weight for i, weight in enumerate(step_weights or [])
            }
            slots_by_gateway = slot_division.divide_slots(pool, ZONE, weights)
            for index, row in enumerate(rows):
                slot_limits = slots_by_gateway.get(str(index), {})
                row.set_slot_limits(
                    None if step_weights is None else slot_limits
                )
            for row in rows:
                for address in row.targets:
                    fail_attempts(row, address)
            assert len(list_ejected(rows)) <= bound

    def test_one_gateway_may_use_the_whole_bound(self) -> None:
        row = build_row(build_pool(14, 4, 0.34))
        row.set_slot_limits(dict.fromkeys(row.targets, 4))
        for address in row.targets:
            fail_attempts(row, address)
        assert len(list_ejected([row])) == 4


class TestDemotion:
    """A failing target that may not be ejected is demoted."""

    def test_demoted_target_gets_nothing_while_others_have_free_slots(
        self,
    ) -> None:
        row = build_row(build_pool(2, 4, 0.34))
        fail_attempts(row, "t0:1")
        request = tables.RequestRow(9, "p", "read", 100.0, True)
        assert not list_ejected([row])
        for _ in range(8):
            target = row.choose(request, frozenset())
            assert target is None or target.address == "t1:1"
            if target is not None:
                target.in_flight += 1
                row.index.update(target)
        assert target is None

    def test_demoted_target_is_restored_after_its_time(self) -> None:
        row = build_row(build_pool(2, 4, 0.34))
        fail_attempts(row, "t0:1")
        health = row.targets["t0:1"].health
        outlier_ejection.restore_targets(health.ejected_until - 0.001, row)
        assert health.demoted
        outlier_ejection.restore_targets(health.ejected_until, row)
        assert not health.demoted
        assert health.concurrency_limit == 1


class TestSmallGateways:
    """Sixteen gateways, each with one or two targets of its own."""

    @pytest.mark.parametrize("seed", [1, 2])
    def test_failing_target_gets_at_most_one_percent_of_requests(
        self, seed: int
    ) -> None:
        fields = ["seconds=9", "policies=[policy]", "gateways.least=16"]
        results = test_decide.run("fast-failure", *fields, f"seed={seed}")
        window = results["policy"]["windows"]["failing"]
        assert 0 < window["faulty_share"] <= 0.01

    def test_p99_recovers_after_a_target_became_slow(self) -> None:
        fields = ["seconds=12", "policies=[policy]", "gateways.least=16"]
        windows = test_decide.run("slow", *fields)["policy"]["windows"]
        healthy, slow = windows["healthy"], windows["one-slow"]
        assert slow["p99_ms"] <= 1.3 * healthy["p99_ms"]
        assert slow["not_run"] == 0

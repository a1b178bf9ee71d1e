"""The health score of targets, ejections and degraded targets."""

from wigeonspool.core import actions
from wigeonspool.core import dispatcher
from wigeonspool.core import health
from wigeonspool.core import tables
from wigeonspool.model import entities

GOOD = tables.Result(tables.ResultKind.ANSWERED)
FAILED = tables.Result(tables.ResultKind.FAILED)


class TestScore:
    def test_three_failures_in_a_row_mark_a_target_as_failing(self) -> None:
        row = tables.HealthRow()
        for _ in range(3):
            assert not health.is_failing(row)
            health.record_failure(row, health.score_result(FAILED, 0.0, 1.0), 4)
        assert health.is_failing(row)

    def test_rare_slow_responses_do_not_mark_a_target_as_failing(self) -> None:
        row = tables.HealthRow()
        for _ in range(1000):
            health.record_failure(row, health.SLOW_SCORE, 4)
            for _ in range(5):
                health.record_success(row, 4)
        assert not health.is_failing(row)
        assert row.concurrency_limit >= 4

    def test_slow_threshold_is_a_multiple_of_the_route_median(self) -> None:
        slow = health.find_slow_threshold_seconds(0.005)
        assert health.score_result(GOOD, 0.039, slow) == 0.0
        assert health.score_result(GOOD, 0.041, slow) > 0.0

    def test_nothing_is_slow_before_the_median_is_known(self) -> None:
        assert health.find_slow_threshold_seconds(0.0) == float("inf")


class TestEjection:
    def test_ejection_time_doubles_up_to_a_bound(self) -> None:
        row = tables.HealthRow()
        ejection_seconds = []
        for _ in range(10):
            health.begin_ejection(row, 100.0)
            ejection_seconds.append(row.ejected_until - 100.0)
        assert ejection_seconds[1] > 1.9 * ejection_seconds[0]
        assert max(ejection_seconds) == health.MAX_EJECTION_SECONDS

    def test_restored_target_gets_one_attempt_then_doubles_up_to_its_slots(
        self,
    ) -> None:
        row = tables.HealthRow()
        health.begin_ejection(row, 0.0)
        health.end_ejection(row)
        concurrency_limits = []
        for _ in range(3):
            concurrency_limits.append(row.concurrency_limit)
            health.record_success(row, 4)
        assert concurrency_limits == [1, 2, 4]
        assert row.ejections == 0

    def test_one_failure_after_restoration_ejects_again(self) -> None:
        row = tables.HealthRow()
        health.end_ejection(row)
        health.record_failure(row, health.FAILED_SCORE, 4)
        assert health.is_failing(row)


class TestShedding:
    def test_target_that_sheds_is_tried_at_growing_intervals(self) -> None:
        """The only target is ejected too, although the bound allows none."""
        core = dispatcher.Dispatcher("zone-0")
        listed = (entities.Target("t0:1", "zone-0"),)
        core.configure([entities.Pool("queue", 4, listed)])
        shed = tables.Result(tables.ResultKind.NOT_RUN)
        request = tables.RequestRow(1, "queue", "read", 100.0, True)
        sends: list[float] = []
        pending_actions = core.submit(0.0, request)
        for step in range(1000):
            now = step / 1000
            pending_actions = pending_actions or core.tick(now)
            if pending_actions and isinstance(pending_actions[0], actions.Send):
                sends.append(now)
                pending_actions = core.handle_result(now, 1, "t0:1", shed)
        assert 3 < len(sends) < 10
        assert sends[-1] - sends[-2] > sends[-3] - sends[-4]


class TestDegradedTargets:
    def test_only_targets_not_fully_serving_are_listed(self) -> None:
        pool = entities.Pool(
            "a", 1, (entities.Target("t1:1", "z"), entities.Target("t2:1", "z"))
        )
        core = dispatcher.Dispatcher("z")
        core.configure([pool])
        assert core.list_degraded() == []
        for number in range(6):
            row = tables.RequestRow(number, "a", "r", 10.0, True)
            for action in core.submit(0.0, row):
                if action.target == "t1:1":
                    refused = tables.Result(
                        tables.ResultKind.NOT_RUN, connection_refused=True
                    )
                    core.handle_result(0.0, number, "t1:1", refused)
        assert self.list_states(core) == [("t1:1", "EJECTED")]
        core.set_draining_targets(["t2:1"])
        expected_states = [("t1:1", "EJECTED"), ("t2:1", "DRAINING")]
        assert self.list_states(core) == expected_states
        core.set_draining_targets([])
        expected_states = [("t1:1", "EJECTED"), ("t2:1", "SERVING")]
        assert self.list_states(core) == expected_states
        assert self.list_states(core) == expected_states[:1]

    def list_states(self, core: dispatcher.Dispatcher) -> list[tuple[str, str]]:
        return [(t.address, t.state.name) for _, t in core.list_degraded()]

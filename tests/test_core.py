"""The dispatcher: its queue, zones, and draining targets."""

from wigeonspool.core import actions
from wigeonspool.core import dispatcher
from wigeonspool.core import tables
from wigeonspool.model import entities
from wigeonspool.model import outcomes


def build_request(number: int, deadline: float = 10.0) -> tables.RequestRow:
    return tables.RequestRow(number, "queue", "read", deadline, idempotent=True)


class TestDispatcher:
    def build_dispatcher(
        self, targets: int = 2, slots: int = 1
    ) -> dispatcher.Dispatcher:
        built = dispatcher.Dispatcher("zone-0")
        listed = tuple(
            entities.Target(f"t{i}:1", "zone-0") for i in range(targets)
        )
        built.configure([entities.Pool("queue", slots, listed)])
        return built

    def test_queued_request_uses_the_freed_slot(self) -> None:
        core = self.build_dispatcher(targets=1)
        assert core.submit(0.0, build_request(1)) == [actions.Send(1, "t0:1")]
        assert core.submit(0.0, build_request(2)) == []
        pending_actions = core.handle_result(
            1.0, 1, "t0:1", tables.Result(tables.ResultKind.ANSWERED)
        )
        assert pending_actions == [
            actions.Settle(1, None),
            actions.Send(2, "t0:1"),
        ]

    def test_earliest_deadline_is_sent_first(self) -> None:
        core = self.build_dispatcher(targets=1)
        core.submit(0.0, build_request(1))
        core.submit(0.0, build_request(2, deadline=9.0))
        core.submit(0.0, build_request(3, deadline=5.0))
        pending_actions = core.handle_result(
            1.0, 1, "t0:1", tables.Result(tables.ResultKind.ANSWERED)
        )
        assert pending_actions[-1] == actions.Send(3, "t0:1")

    def test_request_that_expires_in_the_queue_is_reported_as_not_run(
        self,
    ) -> None:
        core = self.build_dispatcher(targets=1)
        core.submit(0.0, build_request(1))
        core.submit(0.0, build_request(2, deadline=1.0))
        failure = outcomes.build_refusal(outcomes.Reason.DEADLINE_PASSED)
        assert core.tick(2.0) == [actions.Settle(2, failure)]

    def test_lost_request_that_expires_later_is_not_reported_as_not_run(
        self,
    ) -> None:
        core = self.build_dispatcher(targets=1)
        core.submit(0.0, build_request(1, deadline=5.0))
        core.configure([entities.Pool("queue", 1, ())])
        core.handle_result(
            1.0, 1, "t0:1", tables.Result(tables.ResultKind.LOST)
        )
        failure = outcomes.build_unknown_outcome(
            outcomes.Reason.DEADLINE_PASSED
        )
        assert core.tick(6.0) == [actions.Settle(1, failure)]

    def test_drained_target_gets_no_requests(self) -> None:
        core = dispatcher.Dispatcher("zone-0")
        listed = (
            entities.Target("t0:1", "zone-0", drained=True),
            entities.Target("t1:1", "zone-0"),
        )
        core.configure([entities.Pool("queue", 4, listed)])
        pending_actions = [
            core.submit(0.0, build_request(i))[0] for i in range(4)
        ]
        assert {send.target for send in pending_actions} == {"t1:1"}


class TestZones:
    def test_targets_of_other_regions_are_used_last(self) -> None:
        core = dispatcher.Dispatcher("zone-0")
        core.set_near_zones(["zone-0", "zone-1"])
        listed = tuple(
            entities.Target(f"t{i}:1", zone)
            for i, zone in enumerate(["far-0", "zone-1", "zone-0"])
        )
        core.configure([entities.Pool("queue", 1, listed)])
        sends = [core.submit(0.0, build_request(i))[0] for i in range(3)]
        assert [s.target for s in sends if isinstance(s, actions.Send)] == [
            "t2:1",
            "t1:1",
            "t0:1",
        ]


class TestDrainingTargets:
    def test_draining_does_not_restore_targets_of_a_removed_pool(self) -> None:
        core = dispatcher.Dispatcher("zone-0")
        listed = (entities.Target("t0:1", "zone-0"),)
        core.configure([entities.Pool("queue", 4, listed)])
        core.configure([])
        core.set_draining_targets(["t9:1"])
        assert core.list_targets("queue") == []

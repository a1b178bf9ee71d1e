from wigeonspool.core import actions
from wigeonspool.core import dispatcher
from wigeonspool.core import once
from wigeonspool.core import tables
from wigeonspool.model import entities
from wigeonspool.model import outcomes


def build_request(number: int, deadline: float = 10.0) -> tables.RequestRow:
    return tables.RequestRow(number, "queue", "read", deadline, idempotent=True)


class TestDispatcher:
    def build(self, targets: int = 2, slots: int = 1) -> dispatcher.Dispatcher:
        built = dispatcher.Dispatcher("zone-0")
        listed = tuple(
            entities.Target(f"t{i}:1", "zone-0") for i in range(targets)
        )
        built.configure([entities.Pool("queue", slots, listed)])
        return built

    def test_queued_request_takes_the_slot_that_is_freed(self) -> None:
        core = self.build(targets=1)
        assert core.submit(0.0, build_request(1)) == [actions.Send(1, "t0:1")]
        assert core.submit(0.0, build_request(2)) == []
        done = core.finish(
            1.0, 1, "t0:1", tables.Result(tables.ResultKind.ANSWERED)
        )
        assert done == [actions.Settle(1, None), actions.Send(2, "t0:1")]

    def test_earliest_deadline_is_sent_first(self) -> None:
        core = self.build(targets=1)
        core.submit(0.0, build_request(1))
        core.submit(0.0, build_request(2, deadline=9.0))
        core.submit(0.0, build_request(3, deadline=5.0))
        done = core.finish(
            1.0, 1, "t0:1", tables.Result(tables.ResultKind.ANSWERED)
        )
        assert done[-1] == actions.Send(3, "t0:1")

    def test_request_that_expires_in_the_queue_is_told_not_run(self) -> None:
        core = self.build(targets=1)
        core.submit(0.0, build_request(1))
        core.submit(0.0, build_request(2, deadline=1.0))
        failure = outcomes.refuse(outcomes.Reason.DEADLINE_PASSED)
        assert core.tick(2.0) == [actions.Settle(2, failure)]

    def test_lost_request_that_expires_later_is_not_told_not_run(self) -> None:
        core = self.build(targets=1)
        core.submit(0.0, build_request(1, deadline=5.0))
        core.configure([entities.Pool("queue", 1, ())])
        core.finish(1.0, 1, "t0:1", tables.Result(tables.ResultKind.LOST))
        failure = outcomes.doubt(outcomes.Reason.DEADLINE_PASSED)
        assert core.tick(6.0) == [actions.Settle(1, failure)]

    def test_drained_target_gets_nothing(self) -> None:
        core = dispatcher.Dispatcher("zone-0")
        listed = (
            entities.Target("t0:1", "zone-0", drained=True),
            entities.Target("t1:1", "zone-0"),
        )
        core.configure([entities.Pool("queue", 4, listed)])
        done = [core.submit(0.0, build_request(i))[0] for i in range(4)]
        assert {send.target for send in done} == {"t1:1"}


class TestOnceTable:
    def test_key_is_claimed_once(self) -> None:
        table = once.OnceTable(10)
        assert table.claim(0.0, "a", "k", b"d", 100.0) is None
        row = table.claim(1.0, "a", "k", b"d", 100.0)
        assert isinstance(row, once.OnceRow)
        assert table.mark_sent("a", "k")
        assert not table.mark_sent("a", "k")

    def test_forgotten_key_is_refused_in_doubt(self) -> None:
        table = once.OnceTable(10)
        table.claim(0.0, "a", "k", b"d", 100.0)
        table.claim(101.0, "a", "other", b"d", 200.0)
        failure = table.claim(50.0, "a", "k", b"d", 100.0)
        assert failure == outcomes.doubt(outcomes.Reason.TOKEN_EXPIRED)

    def test_full_table_refuses_new_keys(self) -> None:
        table = once.OnceTable(1)
        table.claim(0.0, "a", "k", b"d", 100.0)
        failure = table.claim(0.0, "a", "l", b"d", 100.0)
        assert failure == outcomes.refuse(outcomes.Reason.TABLE_FULL)

    def test_other_body_under_the_same_key_is_left_in_doubt(self) -> None:
        table = once.OnceTable(10)
        table.claim(0.0, "a", "k", b"d", 100.0)
        failure = table.claim(0.0, "a", "k", b"e", 100.0)
        assert failure == outcomes.doubt(outcomes.Reason.KEY_REUSED)

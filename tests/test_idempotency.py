"""The idempotency table of a gateway."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from wigeonspool.core import idempotency
from wigeonspool.model import outcomes

TOKEN_SECONDS = 100.0
REFUSED = outcomes.build_refusal(outcomes.Reason.TARGET_REFUSED)


def build_submission(
    key: str = "k",
    digest: bytes = b"d",
    expires_at: float = 100.0,
    attempt: int = 0,
) -> idempotency.KeySubmission:
    return idempotency.KeySubmission("a", key, digest, expires_at, attempt)


def build_table(
    rows: int = 10, response_bytes: int = 100
) -> idempotency.IdempotencyTable:
    return idempotency.IdempotencyTable(rows, response_bytes, TOKEN_SECONDS)


def record_response(
    table: idempotency.IdempotencyTable, key: str, size: int
) -> None:
    assert table.reserve(0.0, build_submission(key)) is None
    assert table.mark_sent(0.0, ("a", key))
    table.mark_answered(("a", key), idempotency.Response(200, (), b"x" * size))


class TestIdempotencyTable:
    def test_key_is_reserved_and_sent_once(self) -> None:
        table = build_table()
        assert table.reserve(0.0, build_submission()) is None
        assert isinstance(
            table.reserve(1.0, build_submission()), idempotency.KeyRow
        )
        assert table.mark_sent(1.0, ("a", "k"))
        assert not table.mark_sent(1.0, ("a", "k"))

    def test_removed_key_has_an_unknown_outcome(self) -> None:
        table = build_table()
        table.reserve(0.0, build_submission())
        table.mark_refused(("a", "k"), REFUSED)
        table.reserve(101.0, build_submission("other", expires_at=200.0))
        failure = table.reserve(50.0, build_submission())
        assert failure == outcomes.build_unknown_outcome(
            outcomes.Reason.TOKEN_EXPIRED
        )

    def test_full_table_refuses_new_keys(self) -> None:
        table = build_table(rows=1)
        table.reserve(0.0, build_submission())
        failure = table.reserve(0.0, build_submission("l"))
        assert failure == outcomes.build_refusal(outcomes.Reason.TABLE_FULL)

    def test_reused_key_with_another_body_has_an_unknown_outcome(self) -> None:
        table = build_table()
        table.reserve(0.0, build_submission())
        failure = table.reserve(0.0, build_submission(digest=b"e"))
        assert failure == outcomes.build_unknown_outcome(
            outcomes.Reason.KEY_REUSED
        )

    def test_earlier_submission_of_a_refused_key_stays_refused(self) -> None:
        table = build_table()
        table.reserve(0.0, build_submission(attempt=2))
        table.mark_refused(("a", "k"), REFUSED)
        assert table.reserve(1.0, build_submission(attempt=1)) == REFUSED
        assert table.reserve(1.0, build_submission(attempt=2)) == REFUSED
        assert table.reserve(1.0, build_submission(attempt=3)) is None

    def test_key_refused_by_a_full_table_stays_refused(self) -> None:
        table = build_table(rows=1)
        table.reserve(0.0, build_submission(expires_at=10.0))
        table.mark_refused(("a", "k"), REFUSED)
        table.reserve(0.0, build_submission("l", expires_at=50.0))
        failure = table.reserve(20.0, build_submission("l", expires_at=50.0))
        assert failure == outcomes.build_refusal(outcomes.Reason.TABLE_FULL)
        assert (
            table.reserve(20.0, build_submission("m", expires_at=60.0)) is None
        )

    def test_token_from_a_clock_ahead_does_not_invalidate_others(self) -> None:
        table = build_table(rows=1)
        table.reserve(0.0, build_submission(expires_at=10.0))
        table.mark_refused(("a", "k"), REFUSED)
        failure = table.reserve(0.0, build_submission("l", expires_at=4000.0))
        assert failure == outcomes.build_unknown_outcome(
            outcomes.Reason.TABLE_FULL
        )
        assert (
            table.reserve(20.0, build_submission("m", expires_at=60.0)) is None
        )

    def test_sent_key_cannot_be_refused(self) -> None:
        table = build_table()
        table.reserve(0.0, build_submission())
        table.mark_sent(0.0, ("a", "k"))
        assert not table.mark_refused(("a", "k"), REFUSED)

    def test_key_whose_token_expires_in_the_queue_is_not_sent(self) -> None:
        table = build_table()
        table.reserve(0.0, build_submission())
        assert not table.mark_sent(100.0, ("a", "k"))
        assert table.mark_refused(("a", "k"), REFUSED)

    def test_running_key_stays_after_its_token_expired(self) -> None:
        table = build_table()
        table.reserve(0.0, build_submission())
        table.mark_sent(0.0, ("a", "k"))
        row = table.reserve(101.0, build_submission())
        assert isinstance(row, idempotency.KeyRow)
        table.mark_answered(("a", "k"), idempotency.Response(200, (), b"x"))
        assert idempotency.find_outcome(row) == idempotency.Response(
            200, (), b"x"
        )

    def test_removed_key_does_not_run_if_the_wall_clock_steps_back(
        self,
    ) -> None:
        table = build_table()
        record_response(table, "k", 1)
        table.reserve(150.0, build_submission("other", expires_at=200.0))
        failure = table.reserve(10.0, build_submission())
        assert failure == outcomes.build_unknown_outcome(
            outcomes.Reason.TOKEN_EXPIRED
        )

    def test_oldest_responses_are_dropped_first_and_their_keys_stay(
        self,
    ) -> None:
        table = build_table(response_bytes=100)
        record_response(table, "k", 60)
        record_response(table, "l", 60)
        assert table.response_bytes == 60
        row = table.reserve(1.0, build_submission("k"))
        assert isinstance(row, idempotency.KeyRow)
        failure = outcomes.build_unknown_outcome(
            outcomes.Reason.ANSWER_NOT_KEPT
        )
        assert idempotency.find_outcome(row) == failure

    def test_response_above_the_bound_drops_no_other(self) -> None:
        table = build_table(response_bytes=100)
        record_response(table, "k", 60)
        record_response(table, "l", 101)
        row = table.reserve(1.0, build_submission("k"))
        assert isinstance(row, idempotency.KeyRow)
        assert isinstance(idempotency.find_outcome(row), idempotency.Response)

    def test_responses_of_removed_rows_free_their_bytes(self) -> None:
        table = build_table(response_bytes=100)
        record_response(table, "k", 60)
        table.reserve(101.0, build_submission("other", expires_at=200.0))
        assert (table.response_bytes, len(table)) == (0, 1)


KEYS = strategies.sampled_from(["k", "l", "m"])
ATTEMPTS = strategies.integers(0, 2)


class TableMachine(stateful.RuleBasedStateMachine):
    """Submits a few keys under expiring tokens, while the clock jumps."""

    def __init__(self) -> None:
        super().__init__()
        self.table = idempotency.IdempotencyTable(2, 50, TOKEN_SECONDS)
        self.now = 0.0
        self.expiries: dict[str, float] = {}
        self.may_have_run: set[str] = set()
        self.running: set[str] = set()
        self.refused: dict[str, int] = {}

    @stateful.rule(key=KEYS, attempt=ATTEMPTS, digest=strategies.booleans())
    def submit(self, key: str, attempt: int, digest: bool) -> None:
        expires_at = self.expiries.setdefault(key, self.now + TOKEN_SECONDS)
        body = b"d" if digest else b"e"
        submission = build_submission(key, body, expires_at, attempt)
        reply = self.table.reserve(self.now, submission)
        if reply is None:
            assert key not in self.may_have_run | self.running
            assert attempt > self.refused.get(key, -1)
            self.running.add(key)
        self._check_reply(key, attempt, reply)

    def _check_reply(self, key: str, attempt: int, reply: object) -> None:
        if (
            isinstance(reply, outcomes.Failure)
            and reply.outcome is outcomes.Outcome.NOT_RUN
        ):
            assert key not in self.may_have_run
            self.refused[key] = max(attempt, self.refused.get(key, -1))

    @stateful.rule(key=KEYS)
    def send_attempt(self, key: str) -> None:
        if self.table.mark_sent(self.now, ("a", key)):
            assert key in self.running
            assert key not in self.may_have_run
            self.may_have_run.add(key)

    @stateful.rule(key=KEYS)
    def end_not_run(self, key: str) -> None:
        if key in self.running & self.may_have_run:
            self.table.allow_retry(("a", key))
            self.may_have_run.discard(key)

    @stateful.rule(key=KEYS)
    def end_refused(self, key: str) -> None:
        if key in self.running and self.table.mark_refused(("a", key), REFUSED):
            assert key not in self.may_have_run
            row = self.table.find(("a", key))
            assert row is not None
            self.refused[key] = row.attempt
            self.running.discard(key)

    @stateful.rule(key=KEYS, size=strategies.integers(1, 60))
    def end_answered(self, key: str, size: int) -> None:
        if key in self.running & self.may_have_run:
            response = idempotency.Response(200, (), b"x" * size)
            self.table.mark_answered(("a", key), response)
            self.running.discard(key)

    @stateful.rule(key=KEYS)
    def end_unknown(self, key: str) -> None:
        if key in self.running & self.may_have_run:
            failure = outcomes.build_unknown_outcome(
                outcomes.Reason.CONNECTION_LOST
            )
            self.table.mark_unknown(("a", key), failure)
            self.running.discard(key)

    @stateful.rule(seconds=strategies.sampled_from([-90.0, 1.0, 60.0, 150.0]))
    def step_clock(self, seconds: float) -> None:
        self.now += seconds

    @stateful.invariant()
    def bounds_hold(self) -> None:
        assert len(self.table) <= 2
        assert self.table.response_bytes <= 50


TestTableMachine = TableMachine.TestCase
TestTableMachine.settings = hypothesis.settings(
    derandomize=True,
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    database=None,
)


@pytest.mark.parametrize("size", [0, 50])
def test_stored_response_is_returned_complete(size: int) -> None:
    table = build_table()
    record_response(table, "k", size)
    row = table.reserve(1.0, build_submission())
    assert isinstance(row, idempotency.KeyRow)
    assert idempotency.find_outcome(row) == idempotency.Response(
        200, (), b"x" * size
    )

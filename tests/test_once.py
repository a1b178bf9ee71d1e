import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from wigeonspool.core import idempotency
from wigeonspool.model import outcomes

TOKEN_SECONDS = 100.0
REFUSED = outcomes.build_refusal(outcomes.Reason.TARGET_REFUSED)


def present(
    key: str = "k",
    digest: bytes = b"d",
    expires_at: float = 100.0,
    attempt: int = 0,
) -> idempotency.KeySubmission:
    return idempotency.KeySubmission("a", key, digest, expires_at, attempt)


def build_table(
    rows: int = 10, answer_bytes: int = 100
) -> idempotency.IdempotencyTable:
    return idempotency.IdempotencyTable(rows, answer_bytes, TOKEN_SECONDS)


def answer_key(
    table: idempotency.IdempotencyTable, key: str, size: int
) -> None:
    assert table.reserve(0.0, present(key)) is None
    assert table.mark_sent(0.0, ("a", key))
    table.mark_answered(("a", key), idempotency.Response(200, (), b"x" * size))


class TestOnceTable:
    def test_key_is_claimed_once(self) -> None:
        table = build_table()
        assert table.reserve(0.0, present()) is None
        assert isinstance(table.reserve(1.0, present()), idempotency.KeyRow)
        assert table.mark_sent(1.0, ("a", "k"))
        assert not table.mark_sent(1.0, ("a", "k"))

    def test_forgotten_key_is_refused_in_doubt(self) -> None:
        table = build_table()
        table.reserve(0.0, present())
        table.mark_refused(("a", "k"), REFUSED)
        table.reserve(101.0, present("other", expires_at=200.0))
        failure = table.reserve(50.0, present())
        assert failure == outcomes.build_unknown(outcomes.Reason.TOKEN_EXPIRED)

    def test_full_table_refuses_new_keys(self) -> None:
        table = build_table(rows=1)
        table.reserve(0.0, present())
        failure = table.reserve(0.0, present("l"))
        assert failure == outcomes.build_refusal(outcomes.Reason.TABLE_FULL)

    def test_other_body_under_the_same_key_is_left_in_doubt(self) -> None:
        table = build_table()
        table.reserve(0.0, present())
        failure = table.reserve(0.0, present(digest=b"e"))
        assert failure == outcomes.build_unknown(outcomes.Reason.KEY_REUSED)

    def test_older_send_of_a_refused_key_stays_refused(self) -> None:
        table = build_table()
        table.reserve(0.0, present(attempt=2))
        table.mark_refused(("a", "k"), REFUSED)
        assert table.reserve(1.0, present(attempt=1)) == REFUSED
        assert table.reserve(1.0, present(attempt=2)) == REFUSED
        assert table.reserve(1.0, present(attempt=3)) is None

    def test_key_refused_by_a_full_table_stays_refused(self) -> None:
        table = build_table(rows=1)
        table.reserve(0.0, present(expires_at=10.0))
        table.mark_refused(("a", "k"), REFUSED)
        table.reserve(0.0, present("l", expires_at=50.0))
        failure = table.reserve(20.0, present("l", expires_at=50.0))
        assert failure == outcomes.build_refusal(outcomes.Reason.TABLE_FULL)
        assert table.reserve(20.0, present("m", expires_at=60.0)) is None

    def test_token_from_a_clock_ahead_does_not_close_others(self) -> None:
        table = build_table(rows=1)
        table.reserve(0.0, present(expires_at=10.0))
        table.mark_refused(("a", "k"), REFUSED)
        failure = table.reserve(0.0, present("l", expires_at=4000.0))
        assert failure == outcomes.build_unknown(outcomes.Reason.TABLE_FULL)
        assert table.reserve(20.0, present("m", expires_at=60.0)) is None

    def test_sent_key_cannot_be_refused(self) -> None:
        table = build_table()
        table.reserve(0.0, present())
        table.mark_sent(0.0, ("a", "k"))
        assert not table.mark_refused(("a", "k"), REFUSED)

    def test_key_whose_token_expires_in_the_queue_is_not_sent(self) -> None:
        table = build_table()
        table.reserve(0.0, present())
        assert not table.mark_sent(100.0, ("a", "k"))
        assert table.mark_refused(("a", "k"), REFUSED)

    def test_running_key_outlives_its_token(self) -> None:
        table = build_table()
        table.reserve(0.0, present())
        table.mark_sent(0.0, ("a", "k"))
        row = table.reserve(101.0, present())
        assert isinstance(row, idempotency.KeyRow)
        table.mark_answered(("a", "k"), idempotency.Response(200, (), b"x"))
        assert idempotency.find_outcome(row) == idempotency.Response(
            200, (), b"x"
        )

    def test_wall_clock_that_steps_back_revives_nothing(self) -> None:
        table = build_table()
        answer_key(table, "k", 1)
        table.reserve(150.0, present("other", expires_at=200.0))
        failure = table.reserve(10.0, present())
        assert failure == outcomes.build_unknown(outcomes.Reason.TOKEN_EXPIRED)

    def test_oldest_answers_make_room_and_their_keys_stay(self) -> None:
        table = build_table(answer_bytes=100)
        answer_key(table, "k", 60)
        answer_key(table, "l", 60)
        assert table.answer_bytes == 60
        row = table.reserve(1.0, present("k"))
        assert isinstance(row, idempotency.KeyRow)
        failure = outcomes.build_unknown(outcomes.Reason.ANSWER_NOT_KEPT)
        assert idempotency.find_outcome(row) == failure

    def test_answer_above_the_bound_drops_no_other(self) -> None:
        table = build_table(answer_bytes=100)
        answer_key(table, "k", 60)
        answer_key(table, "l", 101)
        row = table.reserve(1.0, present("k"))
        assert isinstance(row, idempotency.KeyRow)
        assert isinstance(idempotency.find_outcome(row), idempotency.Response)

    def test_answers_of_forgotten_rows_free_their_bytes(self) -> None:
        table = build_table(answer_bytes=100)
        answer_key(table, "k", 60)
        table.reserve(101.0, present("other", expires_at=200.0))
        assert (table.answer_bytes, len(table)) == (0, 1)


KEYS = strategies.sampled_from(["k", "l", "m"])
ATTEMPTS = strategies.integers(0, 2)


class TableMachine(stateful.RuleBasedStateMachine):
    """Sends of few keys under expiring tokens, and clocks that jump."""

    def __init__(self) -> None:
        super().__init__()
        self.table = idempotency.IdempotencyTable(2, 50, TOKEN_SECONDS)
        self.now = 0.0
        self.expiries: dict[str, float] = {}
        self.ran: set[str] = set()
        self.running: set[str] = set()
        self.refused: dict[str, int] = {}

    @stateful.rule(key=KEYS, attempt=ATTEMPTS, digest=strategies.booleans())
    def send(self, key: str, attempt: int, digest: bool) -> None:
        expires_at = self.expiries.setdefault(key, self.now + TOKEN_SECONDS)
        body = b"d" if digest else b"e"
        sent = present(key, body, expires_at, attempt)
        told = self.table.reserve(self.now, sent)
        if told is None:
            assert key not in self.ran | self.running
            assert attempt > self.refused.get(key, -1)
            self.running.add(key)
        self._check_told(key, attempt, told)

    def _check_told(self, key: str, attempt: int, told: object) -> None:
        if (
            isinstance(told, outcomes.Failure)
            and told.outcome is outcomes.Outcome.NOT_RUN
        ):
            assert key not in self.ran
            self.refused[key] = max(attempt, self.refused.get(key, -1))

    @stateful.rule(key=KEYS)
    def leave(self, key: str) -> None:
        if self.table.mark_sent(self.now, ("a", key)):
            assert key in self.running
            assert key not in self.ran
            self.ran.add(key)

    @stateful.rule(key=KEYS)
    def come_back_not_run(self, key: str) -> None:
        if key in self.running & self.ran:
            self.table.allow_retry(("a", key))
            self.ran.discard(key)

    @stateful.rule(key=KEYS)
    def end_refused(self, key: str) -> None:
        if key in self.running and self.table.mark_refused(("a", key), REFUSED):
            assert key not in self.ran
            row = self.table.find(("a", key))
            assert row is not None
            self.refused[key] = row.attempt
            self.running.discard(key)

    @stateful.rule(key=KEYS, size=strategies.integers(1, 60))
    def end_answered(self, key: str, size: int) -> None:
        if key in self.running & self.ran:
            answer = idempotency.Response(200, (), b"x" * size)
            self.table.mark_answered(("a", key), answer)
            self.running.discard(key)

    @stateful.rule(key=KEYS)
    def lose(self, key: str) -> None:
        if key in self.running & self.ran:
            doubt = outcomes.build_unknown(outcomes.Reason.CONNECTION_LOST)
            self.table.mark_unknown(("a", key), doubt)
            self.running.discard(key)

    @stateful.rule(seconds=strategies.sampled_from([-90.0, 1.0, 60.0, 150.0]))
    def step_clock(self, seconds: float) -> None:
        self.now += seconds

    @stateful.invariant()
    def bounds_hold(self) -> None:
        assert len(self.table) <= 2
        assert self.table.answer_bytes <= 50


TestTableMachine = TableMachine.TestCase
TestTableMachine.settings = hypothesis.settings(
    derandomize=True,
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    database=None,
)


@pytest.mark.parametrize("size", [0, 50])
def test_kept_answer_is_given_whole(size: int) -> None:
    table = build_table()
    answer_key(table, "k", size)
    row = table.reserve(1.0, present())
    assert isinstance(row, idempotency.KeyRow)
    assert idempotency.find_outcome(row) == idempotency.Response(
        200, (), b"x" * size
    )

"""The table of non-idempotent requests, at the gateway that is their home.

A row is written before the first attempt is sent and stays until its token
has expired. A key that was refused stays refused, since an older send of it
may still be under way; only a send with a higher attempt number may claim it
again. A full table refuses new keys rather than forget old ones.
"""

import collections
import dataclasses
import enum
import heapq
from typing import Final

from wigeonspool.model import outcomes

Index = tuple[str, str]

# Clocks of gateways that sign tokens may differ by this much.
CLOCK_SKEW_SECONDS: Final = 5.0
# A row that is still running when its token expires is looked at again.
RUNNING_RETAIN_SECONDS: Final = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of a target.

    Attributes:
        status: HTTP status.
        headers: Header fields to give to the caller.
        body: The whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def count_bytes(self) -> int:
        """Returns the bytes that keeping this answer takes."""
        fields = sum(len(name) + len(value) for name, value in self.headers)
        return fields + len(self.body)


class OnceState(enum.Enum):
    """What is known of a key."""

    CLAIMED = enum.auto()
    SENT = enum.auto()
    ANSWERED = enum.auto()
    REFUSED = enum.auto()
    UNKNOWN = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Presentation:
    """One send of a key, as a caller presents it.

    Attributes:
        caller: Name of the caller.
        key: Its idempotency key.
        body_digest: Digest of method, path and body.
        expires_at: Expiry of its token, wall clock in seconds.
        attempt: Rises with each send of the key by its caller.
    """

    caller: str
    key: str
    body_digest: bytes
    expires_at: float
    attempt: int = 0

    @property
    def index(self) -> Index:
        """Returns the index of the row."""
        return (self.caller, self.key)


@dataclasses.dataclass(slots=True)
class OnceRow:
    """One key of one caller.

    Attributes:
        body_digest: Digest of method, path and body.
        expires_at: Expiry of its token, wall clock in seconds.
        attempt: Attempt number of the send that claimed it last.
        state: What is known of it.
        answer: The answer, while it is kept.
        failure: What its caller was told, if it was not answered.
    """

    body_digest: bytes
    expires_at: float
    attempt: int
    state: OnceState = OnceState.CLAIMED
    answer: Answer | None = None
    failure: outcomes.Failure | None = None


class OnceTable:
    """Holds the rows of one gateway incarnation.

    Attributes:
        answer_bytes: Bytes of the answers that are kept.
    """

    def __init__(
        self, capacity: int, max_answer_bytes: int, token_seconds: float
    ) -> None:
        """Prepares an empty table.

        Args:
            capacity: Most rows held at once.
            max_answer_bytes: Most bytes of answers kept at once.
            token_seconds: Lifetime of a token.
        """
        self.answer_bytes = 0
        self._capacity = capacity
        self._max_answer_bytes = max_answer_bytes
        self._token_seconds = token_seconds
        self._rows: dict[Index, OnceRow] = {}
        self._expiries: list[tuple[float, Index]] = []
        self._kept: collections.deque[Index] = collections.deque()
        self._forgotten_until = 0.0
        self._closed_until = 0.0

    def __len__(self) -> int:
        """Returns the number of rows."""
        return len(self._rows)

    def find(self, index: Index) -> OnceRow | None:
        """Returns the row of a key, if there is one."""
        return self._rows.get(index)

    def claim(
        self, now: float, sent: Presentation
    ) -> OnceRow | outcomes.Failure | None:
        """Claims a key for its first attempt.

        Args:
            now: Wall clock, in seconds.
            sent: The send that presents the key.

        Returns:
            None if the key is claimed now and may be sent; the row if it was
            claimed before; a failure if it may not run.
        """
        self._forget_expired(now)
        row = self._rows.get(sent.index)
        if row is None:
            return self._claim_new(now, sent)
        if row.body_digest != sent.body_digest:
            # What the key stood for first may have run.
            return outcomes.doubt(outcomes.Reason.KEY_REUSED)
        if row.state is not OnceState.REFUSED:
            return row
        if sent.attempt <= row.attempt:
            return row.failure
        row.attempt = sent.attempt
        if sent.expires_at <= now:
            return row.failure
        row.state = OnceState.CLAIMED
        row.failure = None
        return None

    def _claim_new(
        self, now: float, sent: Presentation
    ) -> outcomes.Failure | None:
        """Writes the row of a key that the table does not hold."""
        # Rows up to this expiry are forgotten, so the key may have run.
        if sent.expires_at <= max(now, self._forgotten_until):
            return outcomes.doubt(outcomes.Reason.TOKEN_EXPIRED)
        full = len(self._rows) >= self._capacity
        if full or sent.expires_at <= self._closed_until:
            return self._refuse_without_row(now, sent)
        self._rows[sent.index] = OnceRow(
            sent.body_digest, sent.expires_at, sent.attempt
        )
        heapq.heappush(self._expiries, (sent.expires_at, sent.index))
        return None

    def _refuse_without_row(
        self, now: float, sent: Presentation
    ) -> outcomes.Failure:
        """Refuses a new key that no row can remember.

        No new key is taken any more under a token that expires no later, so
        that an older send of the refused key cannot run. Callers get a newer
        token with their next address answer.
        """
        lead = sent.expires_at - now
        if lead > self._token_seconds + CLOCK_SKEW_SECONDS:
            # A signer whose clock is ahead must not close all other tokens.
            return outcomes.doubt(outcomes.Reason.TABLE_FULL)
        self._closed_until = max(self._closed_until, sent.expires_at)
        return outcomes.refuse(outcomes.Reason.TABLE_FULL)

    def mark_sent(self, now: float, index: Index) -> bool:
        """Records that an attempt leaves now.

        Args:
            now: Wall clock, in seconds.
            index: Key to send.

        Returns:
            False if the row is gone, was sent before or has expired; then
            nothing may be sent.
        """
        row = self._rows.get(index)
        if row is None or row.state is not OnceState.CLAIMED:
            return False
        if row.expires_at <= now:
            return False
        row.state = OnceState.SENT
        return True

    def allow_retry(self, index: Index) -> None:
        """Frees a row to be sent again, since its attempt did not run."""
        row = self._rows.get(index)
        if row is not None and row.state is OnceState.SENT:
            row.state = OnceState.CLAIMED

    def mark_refused(self, index: Index, failure: outcomes.Failure) -> bool:
        """Records that a key ran nowhere; its sends stay refused.

        Returns:
            False if an attempt of it may have run; then it is not refused.
        """
        row = self._rows.get(index)
        if row is None or row.state is not OnceState.CLAIMED:
            return False
        row.state = OnceState.REFUSED
        row.failure = failure
        return True

    def mark_answered(self, index: Index, answer: Answer) -> None:
        """Records the answer of a key and keeps it if there is room.

        The answers that were kept first are dropped first; their keys stay.
        """
        row = self._rows.get(index)
        if row is None:
            return
        row.state = OnceState.ANSWERED
        size = answer.count_bytes()
        if size > self._max_answer_bytes:
            return
        while self.answer_bytes + size > self._max_answer_bytes:
            self._drop_answer(self._kept.popleft())
        row.answer = answer
        self.answer_bytes += size
        self._kept.append(index)

    def mark_unknown(self, index: Index, failure: outcomes.Failure) -> None:
        """Records that a sent request has no known answer."""
        row = self._rows.get(index)
        if row is not None and row.state is not OnceState.ANSWERED:
            row.state = OnceState.UNKNOWN
            row.failure = failure

    def _drop_answer(self, index: Index) -> None:
        """Drops a kept answer; its row stays, so it cannot run again."""
        row = self._rows.get(index)
        if row is not None and row.answer is not None:
            self.answer_bytes -= row.answer.count_bytes()
            row.answer = None

    def _forget_expired(self, now: float) -> None:
        """Drops rows whose token has expired, but for those that run."""
        while self._expiries and self._expiries[0][0] <= now:
            _, index = heapq.heappop(self._expiries)
            row = self._rows[index]
            if row.state in (OnceState.CLAIMED, OnceState.SENT):
                retained = (now + RUNNING_RETAIN_SECONDS, index)
                heapq.heappush(self._expiries, retained)
                continue
            self._forgotten_until = max(self._forgotten_until, row.expires_at)
            self._drop_answer(index)
            del self._rows[index]
        # Rows leave in the order of expiry, and so do most kept answers.
        while self._kept and self._kept[0] not in self._rows:
            self._kept.popleft()


def tell_row(row: OnceRow) -> Answer | outcomes.Failure:
    """Returns what is known of a key that does not run any more."""
    if row.answer is not None:
        return row.answer
    if row.state is OnceState.ANSWERED:
        return outcomes.doubt(outcomes.Reason.ANSWER_NOT_KEPT)
    if row.failure is not None:
        return row.failure
    return outcomes.doubt(outcomes.Reason.CONNECTION_LOST)

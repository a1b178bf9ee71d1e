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

KeyIndex = tuple[str, str]

# Clocks of gateways that sign tokens may differ by this much.
CLOCK_SKEW_SECONDS: Final = 5.0
# A row that is still running when its token expires is looked at again.
RUNNING_RETENTION_SECONDS: Final = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
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


class KeyState(enum.Enum):
    """What is known of a key."""

    RESERVED = enum.auto()
    SENT = enum.auto()
    ANSWERED = enum.auto()
    REFUSED = enum.auto()
    UNKNOWN = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class KeySubmission:
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
    def index(self) -> KeyIndex:
        """Returns the index of the row."""
        return (self.caller, self.key)


@dataclasses.dataclass(slots=True)
class KeyRow:
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
    state: KeyState = KeyState.RESERVED
    answer: Response | None = None
    failure: outcomes.Failure | None = None


class IdempotencyTable:
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
        self._rows: dict[KeyIndex, KeyRow] = {}
        self._expiries: list[tuple[float, KeyIndex]] = []
        self._answered_keys: collections.deque[KeyIndex] = collections.deque()
        self._removed_until = 0.0
        self._rejected_until = 0.0

    def __len__(self) -> int:
        """Returns the number of rows."""
        return len(self._rows)

    def find(self, index: KeyIndex) -> KeyRow | None:
        """Returns the row of a key, if there is one."""
        return self._rows.get(index)

    def reserve(
        self, now: float, submission: KeySubmission
    ) -> KeyRow | outcomes.Failure | None:
        """Claims a key for its first attempt.

        Args:
            now: Wall clock, in seconds.
            submission: The send that presents the key.

        Returns:
            None if the key is claimed now and may be sent; the row if it was
            claimed before; a failure if it may not run.
        """
        self._remove_expired(now)
        row = self._rows.get(submission.index)
        if row is None:
            return self._reserve_new(now, submission)
        if row.body_digest != submission.body_digest:
            # What the key stood for first may have run.
            return outcomes.build_unknown(outcomes.Reason.KEY_REUSED)
        if row.state is not KeyState.REFUSED:
            return row
        if submission.attempt <= row.attempt:
            return row.failure
        row.attempt = submission.attempt
        if submission.expires_at <= now:
            return row.failure
        row.state = KeyState.RESERVED
        row.failure = None
        return None

    def _reserve_new(
        self, now: float, submission: KeySubmission
    ) -> outcomes.Failure | None:
        """Writes the row of a key that the table does not hold."""
        # Rows up to this expiry are forgotten, so the key may have run.
        if submission.expires_at <= max(now, self._removed_until):
            return outcomes.build_unknown(outcomes.Reason.TOKEN_EXPIRED)
        full = len(self._rows) >= self._capacity
        if full or submission.expires_at <= self._rejected_until:
            return self._refuse_without_row(now, submission)
        self._rows[submission.index] = KeyRow(
            submission.body_digest, submission.expires_at, submission.attempt
        )
        heapq.heappush(
            self._expiries, (submission.expires_at, submission.index)
        )
        return None

    def _refuse_without_row(
        self, now: float, submission: KeySubmission
    ) -> outcomes.Failure:
        """Refuses a new key that no row can remember.

        No new key is taken any more under a token that expires no later, so
        that an older send of the refused key cannot run. Callers get a newer
        token with their next address answer.
        """
        remaining = submission.expires_at - now
        if remaining > self._token_seconds + CLOCK_SKEW_SECONDS:
            # A signer whose clock is ahead must not close all other tokens.
            return outcomes.build_unknown(outcomes.Reason.TABLE_FULL)
        self._rejected_until = max(self._rejected_until, submission.expires_at)
        return outcomes.build_refusal(outcomes.Reason.TABLE_FULL)

    def mark_sent(self, now: float, index: KeyIndex) -> bool:
        """Records that an attempt leaves now.

        Args:
            now: Wall clock, in seconds.
            index: Key to send.

        Returns:
            False if the row is gone, was sent before or has expired; then
            nothing may be sent.
        """
        row = self._rows.get(index)
        if row is None or row.state is not KeyState.RESERVED:
            return False
        if row.expires_at <= now:
            return False
        row.state = KeyState.SENT
        return True

    def allow_retry(self, index: KeyIndex) -> None:
        """Frees a row to be sent again, since its attempt did not run."""
        row = self._rows.get(index)
        if row is not None and row.state is KeyState.SENT:
            row.state = KeyState.RESERVED

    def mark_refused(self, index: KeyIndex, failure: outcomes.Failure) -> bool:
        """Records that a key ran nowhere; its sends stay refused.

        Returns:
            False if an attempt of it may have run; then it is not refused.
        """
        row = self._rows.get(index)
        if row is None or row.state is not KeyState.RESERVED:
            return False
        row.state = KeyState.REFUSED
        row.failure = failure
        return True

    def mark_answered(self, index: KeyIndex, answer: Response) -> None:
        """Records the answer of a key and keeps it if there is room.

        The answers that were kept first are dropped first; their keys stay.
        """
        row = self._rows.get(index)
        if row is None:
            return
        row.state = KeyState.ANSWERED
        size = answer.count_bytes()
        if size > self._max_answer_bytes:
            return
        while self.answer_bytes + size > self._max_answer_bytes:
            self._drop_answer(self._answered_keys.popleft())
        row.answer = answer
        self.answer_bytes += size
        self._answered_keys.append(index)

    def mark_unknown(self, index: KeyIndex, failure: outcomes.Failure) -> None:
        """Records that a sent request has no known answer."""
        row = self._rows.get(index)
        if row is not None and row.state is not KeyState.ANSWERED:
            row.state = KeyState.UNKNOWN
            row.failure = failure

    def _drop_answer(self, index: KeyIndex) -> None:
        """Drops a kept answer; its row stays, so it cannot run again."""
        row = self._rows.get(index)
        if row is not None and row.answer is not None:
            self.answer_bytes -= row.answer.count_bytes()
            row.answer = None

    def _remove_expired(self, now: float) -> None:
        """Drops rows whose token has expired, but for those that run."""
        while self._expiries and self._expiries[0][0] <= now:
            _, index = heapq.heappop(self._expiries)
            row = self._rows[index]
            if row.state in (KeyState.RESERVED, KeyState.SENT):
                retained = (now + RUNNING_RETENTION_SECONDS, index)
                heapq.heappush(self._expiries, retained)
                continue
            self._removed_until = max(self._removed_until, row.expires_at)
            self._drop_answer(index)
            del self._rows[index]
        # Rows leave in the order of expiry, and so do most kept answers.
        while self._answered_keys and self._answered_keys[0] not in self._rows:
            self._answered_keys.popleft()


def find_outcome(row: KeyRow) -> Response | outcomes.Failure:
    """Returns what is known of a key that does not run any more."""
    if row.answer is not None:
        return row.answer
    if row.state is KeyState.ANSWERED:
        return outcomes.build_unknown(outcomes.Reason.ANSWER_NOT_KEPT)
    if row.failure is not None:
        return row.failure
    return outcomes.build_unknown(outcomes.Reason.CONNECTION_LOST)

"""The table of non-idempotent requests, at the gateway that owns their keys.

A row is written before the first attempt is sent and stays until its token has
expired. A refused key stays refused, since an earlier submission of it may
still be under way; only a submission with a higher attempt number may reserve
it again. A full table refuses new keys rather than forget old ones.
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
# Delay until a row that still runs when its token expires is checked again.
RUNNING_RETENTION_SECONDS: Final = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response of a target.

    Attributes:
        status: HTTP status.
        headers: Header fields to send to the caller.
        body: The complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def count_bytes(self) -> int:
        """Returns the bytes that storing this response takes."""
        fields = sum(len(name) + len(value) for name, value in self.headers)
        return fields + len(self.body)


class KeyState(enum.Enum):
    """State of a key.

    RESERVED: no attempt was sent yet.
    SENT: an attempt was sent and may run.
    ANSWERED: a target responded.
    REFUSED: the key ran nowhere and is refused.
    UNKNOWN: the key may have run and has no known response.
    """

    RESERVED = enum.auto()
    SENT = enum.auto()
    ANSWERED = enum.auto()
    REFUSED = enum.auto()
    UNKNOWN = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class KeySubmission:
    """One submission of a key by a caller.

    Attributes:
        caller: Name of the caller.
        key: Idempotency key.
        body_digest: Digest of method, path and body.
        expires_at: Expiry of its token, wall clock in seconds.
        attempt: Increases with each submission of the key by its caller.
    """

    caller: str
    key: str
    body_digest: bytes
    expires_at: float
    attempt: int = 0

    @property
    def index(self) -> KeyIndex:
        """Returns the index of the key's row."""
        return (self.caller, self.key)


@dataclasses.dataclass(slots=True)
class KeyRow:
    """One key of one caller.

    Attributes:
        body_digest: Digest of method, path and body.
        expires_at: Expiry of its token, wall clock in seconds.
        attempt: Attempt number of the submission that reserved it last.
        state: State of the key.
        response: Response to the key, while it is stored.
        failure: Failure that was reported to the caller, if there was one.
    """

    body_digest: bytes
    expires_at: float
    attempt: int
    state: KeyState = KeyState.RESERVED
    response: Response | None = None
    failure: outcomes.Failure | None = None


class IdempotencyTable:
    """Holds the keys that one gateway incarnation owns.

    Attributes:
        response_bytes: Bytes of the stored responses.
    """

    def __init__(
        self, capacity: int, max_response_bytes: int, token_seconds: float
    ) -> None:
        """Creates an empty table.

        Args:
            capacity: Most rows held at once.
            max_response_bytes: Most bytes of responses stored at once.
            token_seconds: Lifetime of a token.
        """
        self.response_bytes = 0
        self._capacity = capacity
        self._max_response_bytes = max_response_bytes
        self._token_seconds = token_seconds
        self._rows: dict[KeyIndex, KeyRow] = {}
        self._expiries: list[tuple[float, KeyIndex]] = []
        self._stored_response_keys: collections.deque[KeyIndex] = (
            collections.deque()
        )
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
        """Reserves a key for its first attempt.

        Args:
            now: Wall clock, in seconds.
            submission: Submission of the key.

        Returns:
            None if the key is now reserved and may be sent; its row if it was
            reserved before; a failure if it may not run.
        """
        self._remove_expired(now)
        row = self._rows.get(submission.index)
        if row is None:
            return self._reserve_new(now, submission)
        if row.body_digest != submission.body_digest:
            # The request that used the key first may have run.
            return outcomes.build_unknown_outcome(outcomes.Reason.KEY_REUSED)
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
        """Reserves a key that has no row, or returns why it cannot."""
        # Rows up to this expiry were removed, so the key may have run.
        if submission.expires_at <= max(now, self._removed_until):
            return outcomes.build_unknown_outcome(outcomes.Reason.TOKEN_EXPIRED)
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
        """Refuses a new key that the table has no row to record.

        From now on no new key is accepted under a token that expires no later
        than this one, so that an earlier submission of the refused key cannot
        run. Callers get a newer token with their next address response.
        """
        remaining = submission.expires_at - now
        if remaining > self._token_seconds + CLOCK_SKEW_SECONDS:
            # A token from a signer whose clock is ahead must not invalidate
            # all other tokens.
            return outcomes.build_unknown_outcome(outcomes.Reason.TABLE_FULL)
        self._rejected_until = max(self._rejected_until, submission.expires_at)
        return outcomes.build_refusal(outcomes.Reason.TABLE_FULL)

    def mark_sent(self, now: float, index: KeyIndex) -> bool:
        """Records that an attempt of a key is about to be sent.

        Args:
            now: Wall clock, in seconds.
            index: Key of the attempt.

        Returns:
            False if the row was removed, was sent or refused before, or has
            expired; then the attempt must not be sent.
        """
        row = self._rows.get(index)
        if row is None or row.state is not KeyState.RESERVED:
            return False
        if row.expires_at <= now:
            return False
        row.state = KeyState.SENT
        return True

    def allow_retry(self, index: KeyIndex) -> None:
        """Lets a key be sent again, since its attempt did not run."""
        row = self._rows.get(index)
        if row is not None and row.state is KeyState.SENT:
            row.state = KeyState.RESERVED

    def mark_refused(self, index: KeyIndex, failure: outcomes.Failure) -> bool:
        """Records that a key ran nowhere; its submissions stay refused.

        Returns:
            False if an attempt of the key may have run; then the key is not
            refused.
        """
        row = self._rows.get(index)
        if row is None or row.state is not KeyState.RESERVED:
            return False
        row.state = KeyState.REFUSED
        row.failure = failure
        return True

    def mark_answered(self, index: KeyIndex, response: Response) -> None:
        """Records the response to a key and stores it.

        Older responses are dropped to make room for it; their rows stay. A
        response that alone exceeds the bound is not stored.
        """
        row = self._rows.get(index)
        if row is None:
            return
        row.state = KeyState.ANSWERED
        size = response.count_bytes()
        if size > self._max_response_bytes:
            return
        while self.response_bytes + size > self._max_response_bytes:
            self._drop_response(self._stored_response_keys.popleft())
        row.response = response
        self.response_bytes += size
        self._stored_response_keys.append(index)

    def mark_unknown(self, index: KeyIndex, failure: outcomes.Failure) -> None:
        """Records that a key may have run but has no known response."""
        row = self._rows.get(index)
        if row is not None and row.state is not KeyState.ANSWERED:
            row.state = KeyState.UNKNOWN
            row.failure = failure

    def _drop_response(self, index: KeyIndex) -> None:
        """Drops a stored response; its row stays, so the key cannot rerun."""
        row = self._rows.get(index)
        if row is not None and row.response is not None:
            self.response_bytes -= row.response.count_bytes()
            row.response = None

    def _remove_expired(self, now: float) -> None:
        """Removes rows whose token has expired, except those still running."""
        while self._expiries and self._expiries[0][0] <= now:
            _, index = heapq.heappop(self._expiries)
            row = self._rows[index]
            if row.state in (KeyState.RESERVED, KeyState.SENT):
                next_check = (now + RUNNING_RETENTION_SECONDS, index)
                heapq.heappush(self._expiries, next_check)
                continue
            self._removed_until = max(self._removed_until, row.expires_at)
            self._drop_response(index)
            del self._rows[index]
        # Rows are removed in the order of expiry. Most responses were stored
        # in that order too, so it is enough to look at the front.
        while (
            self._stored_response_keys
            and self._stored_response_keys[0] not in self._rows
        ):
            self._stored_response_keys.popleft()


def find_outcome(row: KeyRow) -> Response | outcomes.Failure:
    """Returns the response or failure of a key that no longer runs."""
    if row.response is not None:
        return row.response
    if row.state is KeyState.ANSWERED:
        return outcomes.build_unknown_outcome(outcomes.Reason.ANSWER_NOT_KEPT)
    if row.failure is not None:
        return row.failure
    return outcomes.build_unknown_outcome(outcomes.Reason.CONNECTION_LOST)

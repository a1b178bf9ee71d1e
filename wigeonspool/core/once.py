"""The table of non-idempotent requests, at the gateway that is their home.

A row is written before the first attempt is sent and stays until its token
has expired; a full table refuses new keys rather than forget old ones. Thus a
key can run at most once, and a caller that asks again gets its own answer.
"""

import dataclasses
import enum
import heapq

from wigeonspool.model import outcomes


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


class OnceState(enum.Enum):
    """What is known of a key."""

    CLAIMED = enum.auto()
    SENT = enum.auto()
    ANSWERED = enum.auto()
    UNKNOWN = enum.auto()


@dataclasses.dataclass(slots=True)
class OnceRow:
    """One key of one caller.

    Attributes:
        caller: Name of the caller.
        key: Its idempotency key.
        body_digest: Digest of method, path and body.
        expires_at: Expiry of its token, wall clock in seconds.
        state: What is known of it.
        answer: The answer, once there is one.
    """

    caller: str
    key: str
    body_digest: bytes
    expires_at: float
    state: OnceState = OnceState.CLAIMED
    answer: Answer | None = None


class OnceTable:
    """Holds the rows of one gateway incarnation."""

    def __init__(self, capacity: int) -> None:
        """Prepares an empty table.

        Args:
            capacity: Most rows held at once.
        """
        self._capacity = capacity
        self._rows: dict[tuple[str, str], OnceRow] = {}
        self._expiries: list[tuple[float, tuple[str, str]]] = []
        self._forgotten_until = 0.0

    def __len__(self) -> int:
        """Returns the number of rows."""
        return len(self._rows)

    def claim(
        self,
        now: float,
        caller: str,
        key: str,
        body_digest: bytes,
        expires_at: float,
    ) -> OnceRow | outcomes.Failure | None:
        """Claims a key for its first attempt.

        Args:
            now: Wall clock, in seconds.
            caller: Name of the caller.
            key: Its idempotency key.
            body_digest: Digest of what it asks for.
            expires_at: Expiry of its token.

        Returns:
            None if the key is claimed now and may be sent; the row if it was
            claimed before; a failure if it may not run.
        """
        self._forget_expired(now)
        row = self._rows.get((caller, key))
        if row is not None:
            if row.body_digest != body_digest:
                # What the key stood for first may have run.
                return outcomes.doubt(outcomes.Reason.KEY_REUSED)
            return row
        # Rows up to this expiry are forgotten, so the key may have run.
        if expires_at <= max(now, self._forgotten_until):
            return outcomes.doubt(outcomes.Reason.TOKEN_EXPIRED)
        if len(self._rows) >= self._capacity:
            return outcomes.refuse(outcomes.Reason.TABLE_FULL)
        self._rows[(caller, key)] = OnceRow(
            caller, key, body_digest, expires_at
        )
        heapq.heappush(self._expiries, (expires_at, (caller, key)))
        return None

    def mark_sent(self, caller: str, key: str) -> bool:
        """Records that an attempt leaves now.

        Returns:
            False if the row is gone or was sent before; then nothing may be
            sent.
        """
        row = self._rows.get((caller, key))
        if row is None or row.state is not OnceState.CLAIMED:
            return False
        row.state = OnceState.SENT
        return True

    def mark_not_run(self, caller: str, key: str) -> None:
        """Frees a key whose request provably ran nowhere."""
        self._rows.pop((caller, key), None)

    def allow_retry(self, caller: str, key: str) -> None:
        """Frees a row to be sent again, since its attempt did not run."""
        row = self._rows.get((caller, key))
        if row is not None and row.state is OnceState.SENT:
            row.state = OnceState.CLAIMED

    def mark_answered(self, caller: str, key: str, answer: Answer) -> None:
        """Records the answer of a key."""
        row = self._rows.get((caller, key))
        if row is not None:
            row.state = OnceState.ANSWERED
            row.answer = answer

    def mark_unknown(self, caller: str, key: str) -> None:
        """Records that a sent request has no known answer."""
        row = self._rows.get((caller, key))
        if row is not None and row.state is not OnceState.ANSWERED:
            row.state = OnceState.UNKNOWN

    def _forget_expired(self, now: float) -> None:
        """Drops rows whose token has expired."""
        while self._expiries and self._expiries[0][0] <= now:
            expires_at, index = heapq.heappop(self._expiries)
            self._forgotten_until = max(self._forgotten_until, expires_at)
            row = self._rows.get(index)
            if row is not None and row.expires_at == expires_at:
                del self._rows[index]

"""What callers saw and what targets wrote down, as one history."""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True)
class Invocation:
    """One attempt of a caller to have a request served.

    Attributes:
        request: Identity of the request.
        caller: Name of the caller.
        key: Its idempotency key, or "".
        pool: Pool that serves it.
        idempotent: True if it may run more than once.
        started_at: Wall clock when it was due, in seconds.
        deadline: Wall clock by which an answer is in time, in seconds.
        ended_at: Wall clock when it ended, in seconds.
        outcome: "answered", "not_run", "unknown" or "cut".
        reason: Typed reason, if it was not answered.
        own: True if the answer was for this request.
        target: Address that the answer names.
    """

    request: str
    caller: str
    key: str
    pool: str
    idempotent: bool
    started_at: float
    deadline: float
    ended_at: float = 0.0
    outcome: str = ""
    reason: str = ""
    own: bool = True
    target: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run that a target wrote down; times are wall clock seconds."""

    target: str
    request: str
    caller: str
    key: str
    path: str
    started_at: float
    ended_at: float
    ending: str
    body_bytes: int = 0


@dataclasses.dataclass(slots=True)
class History:
    """All that one experiment recorded."""

    invocations: list[Invocation] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)

    def add_runs(self, documents: list[dict[str, Any]]) -> None:
        """Adds the runs that a target showed."""
        self.runs += [Run(**document) for document in documents]

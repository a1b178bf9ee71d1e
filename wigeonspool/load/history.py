"""What callers, targets, gateways and operators saw, as one history.

All times are wall clock seconds of one machine.
"""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True)
class Invocation:
    """One send of a request by its caller.

    Attributes:
        request: Identity of the request.
        caller: Name of the caller.
        key: Its idempotency key, or "".
        pool: Pool that serves it.
        idempotent: True if it may run more than once.
        started_at: When it was due.
        deadline: By when an answer is in time.
        ended_at: When it ended.
        outcome: "answered", "not_run", "unknown", "cut" if the connection
            ended without an answer, "left" if the caller gave up, or
            "unreached" if no connection was made.
        reason: Typed reason, if it was not answered.
        own: True if the answer was for this request.
        whole: True if all bytes of the answer came.
        target: Address that the answer names.
        status: HTTP status, or 0.
        attempt: Which send of its key it is, from 0.
        gateway: Address that it was sent to.
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
    whole: bool = True
    target: str = ""
    status: int = 0
    attempt: int = 0
    gateway: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run that a target wrote down."""

    target: str
    request: str
    caller: str
    key: str
    path: str
    started_at: float
    ended_at: float
    ending: str
    body_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """A time in which a target may receive no new work.

    Attributes:
        target: Its address.
        started_at: When that was declared.
        ended_at: When it was taken back, or infinity.
    """

    target: str
    started_at: float
    ended_at: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Something that went wrong on purpose, other than a planned stop.

    Attributes:
        kind: What it was.
        subject: Address of the gateway or target that it struck, or name of
            the VM whose agent it struck, or "" for all.
        started_at: When it began.
        ended_at: When it ended, or infinity.
    """

    kind: str
    subject: str
    started_at: float
    ended_at: float = float("inf")

    def overlaps(self, started_at: float, ended_at: float) -> bool:
        """Returns True if it lasted in some part of an interval."""
        return self.started_at <= ended_at and self.ended_at >= started_at


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """One request that measured a target of a pool."""

    pool: str
    at: float
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """What measuring a pool may cost, over all VMs together."""

    pool: str
    requests_per_second: float
    bytes_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A generation that the store holds and its operator was told of."""

    generation: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """A process put a generation in force."""

    process: str
    incarnation: str
    generation: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Life:
    """One run of a process that puts generations in force."""

    process: str
    vm: str
    incarnation: str
    started_at: float
    ended_at: float = float("inf")


@dataclasses.dataclass(slots=True)
class History:
    """All that one experiment recorded."""

    invocations: list[Invocation] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    leavings: list[Leaving] = dataclasses.field(default_factory=list)
    faults: list[Fault] = dataclasses.field(default_factory=list)
    probes: list[Probe] = dataclasses.field(default_factory=list)
    budgets: list[Budget] = dataclasses.field(default_factory=list)
    accepted: list[Accepted] = dataclasses.field(default_factory=list)
    in_force: list[InForce] = dataclasses.field(default_factory=list)
    lives: list[Life] = dataclasses.field(default_factory=list)
    ended_at: float = 0.0

    def add_runs(self, documents: list[dict[str, Any]]) -> None:
        """Adds the runs that a target showed."""
        self.runs += [Run(**document) for document in documents]

    def count_operations(self) -> int:
        """Returns the number of sends and of accepted changes."""
        return len(self.invocations) + len(self.accepted)

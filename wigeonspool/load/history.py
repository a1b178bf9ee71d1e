"""What callers, targets, gateways and operators saw, as one history.

All times are wall-clock seconds of one machine. The class names and fields of
the records are printed in the traces of violations.
"""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True)
class Invocation:
    """One submission of a request by its caller.

    Attributes:
        request: Identity of the request.
        caller: Name of the caller.
        key: Idempotency key of the request, or "".
        pool: Pool that serves it.
        idempotent: True if it may run more than once.
        started_at: When it was due or, if it had no due time, was sent.
        deadline: Time until which a response counts as in time.
        ended_at: When it ended.
        outcome: "answered", "not_run", "unknown", "cut" if the connection
            ended without a response, "left" if the caller gave up,
            "unreached" if no connection was made, or "untold" if the response
            states no outcome.
        reason: Typed reason that the gateway sent, or error of the caller, if
            there was no response of a target.
        own: True if the response was for this request.
        whole: True if all bytes of the response arrived.
        target: Address that the response names.
        status: HTTP status, or 0.
        attempt: Number of this submission of its key, from 0.
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
    """One run of a request, as its target recorded it.

    Attributes:
        target: Address of the target.
        request: Identity of the request.
        caller: Name of its caller.
        key: Idempotency key of the request, or "".
        path: Path of the request.
        started_at: When the target received it.
        ended_at: When it ended; 0 while it runs.
        ending: "answered" or "cancelled"; "" while it runs or if the response
            could not be sent.
        body_bytes: Length of the request body.
    """

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
class DrainingPeriod:
    """A period in which a target must receive no new requests.

    Attributes:
        target: Its address.
        started_at: When the target was declared draining.
        ended_at: When it was declared available again, or infinity.
    """

    target: str
    started_at: float
    ended_at: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """An injected fault; planned stops are not faults.

    Attributes:
        kind: Name of the fault.
        subject: Address of the affected gateway or target, or name of the VM
            whose agent is affected, or "" for all.
        started_at: When it began.
        ended_at: When it ended, or infinity.
    """

    kind: str
    subject: str
    started_at: float
    ended_at: float = float("inf")

    def overlaps(self, started_at: float, ended_at: float) -> bool:
        """Returns True if the fault was active at any time of an interval."""
        return self.started_at <= ended_at and self.ended_at >= started_at


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """One probe of a target of a pool."""

    pool: str
    at: float
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeBudget:
    """Limits on the probes of a pool, summed over all VMs."""

    pool: str
    requests_per_second: float
    bytes_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedGeneration:
    """A generation in the store whose operator received a confirmation."""

    generation: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Activation:
    """The activation of a generation by a process."""

    process: str
    incarnation: str
    generation: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessLifetime:
    """The lifetime of an incarnation of a process that uses generations."""

    process: str
    vm: str
    incarnation: str
    started_at: float
    ended_at: float = float("inf")


@dataclasses.dataclass(slots=True)
class History:
    """Everything that was recorded in one experiment."""

    invocations: list[Invocation] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    draining_periods: list[DrainingPeriod] = dataclasses.field(
        default_factory=list
    )
    faults: list[Fault] = dataclasses.field(default_factory=list)
    probes: list[Probe] = dataclasses.field(default_factory=list)
    budgets: list[ProbeBudget] = dataclasses.field(default_factory=list)
    accepted: list[AcceptedGeneration] = dataclasses.field(default_factory=list)
    activations: list[Activation] = dataclasses.field(default_factory=list)
    lifetimes: list[ProcessLifetime] = dataclasses.field(default_factory=list)
    ended_at: float = 0.0

    def add_runs(self, documents: list[dict[str, Any]]) -> None:
        """Adds the runs that a target recorded; keys are fields of `Run`."""
        self.runs += [Run(**document) for document in documents]

    def count_operations(self) -> int:
        """Returns the number of submissions and of accepted changes."""
        return len(self.invocations) + len(self.accepted)

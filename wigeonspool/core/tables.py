"""The rows that the core works on.

Systems run over these tables each tick; the path of one request touches only
its own row and that of its target.
"""

import dataclasses
import enum
from typing import Final

UNLIMITED: Final = 1_000_000


class TargetState(enum.Enum):
    """Whether a target may receive work."""

    SERVING = enum.auto()
    EJECTED = enum.auto()
    DRAINING = enum.auto()


@dataclasses.dataclass(slots=True)
class HealthRow:
    """What the attempts at one target have shown.

    Attributes:
        score: Weight of recent bad signs.
        concurrency_limit: Attempts that it may have in flight.
        ejections: Ejections since it last had all its slots.
        ejected_until: Deadline of its ejection, on the core's clock.
        draining_until: Deadline of its own word that it is leaving.
        demoted: True if it is out only while other targets have room.
        unavailable_since: When it last went out, on the core's clock.
        probe_failed: True once a probe showed since then that it does not
            serve.
        trial_advanced: True if a probe ended a time out, until it has all its
            slots.
    """

    score: float = 0.0
    concurrency_limit: int = UNLIMITED
    ejections: int = 0
    ejected_until: float = 0.0
    draining_until: float = 0.0
    demoted: bool = False
    unavailable_since: float = 0.0
    probe_failed: bool = False
    trial_advanced: bool = False


@dataclasses.dataclass(slots=True)
class TargetRow:
    """One target of a pool as this gateway knows it.

    Attributes:
        address: host:port.
        zone: Availability zone.
        slots: Requests that it runs at once.
        limit: Slots that this gateway may use.
        group: Place in the order of preference; 0 comes first.
        in_flight: Attempts of this gateway that run there.
        state: Whether it may receive work.
        withdrawn: True if the tables or the VM list take it out.
        health: What its attempts have shown.
    """

    address: str
    zone: str
    slots: int
    limit: int = 0
    group: int = 0
    in_flight: int = 0
    state: TargetState = TargetState.SERVING
    withdrawn: bool = False
    health: HealthRow = dataclasses.field(default_factory=HealthRow)


def is_fully_serving(target: TargetRow) -> bool:
    """Returns True if a target serves and earned its slots again."""
    serving = target.state is TargetState.SERVING
    return serving and not target.health.ejections


class RequestState(enum.Enum):
    """Where a request is."""

    QUEUED = enum.auto()
    RUNNING = enum.auto()
    SETTLED = enum.auto()


@dataclasses.dataclass(slots=True)
class RequestRow:
    """One request of a caller.

    Attributes:
        request_id: Unique within the gateway.
        pool: Pool that serves it.
        route: Route that it matched.
        deadline: Time by which its caller wants the answer.
        idempotent: True if it may run more than once.
        priority: 0 is refused last.
        fingerprint: Equal for resends of the same request.
        arrived_at: Time at which it was submitted.
        state: Where it is.
        target: Address of its running attempt, or "".
        sent_at: Time at which that attempt was sent.
        attempts: Attempts sent so far.
        failures: Attempts that may have run without a good answer.
        may_have_run: True once an attempt was lost.
        tried: Addresses that failed it.
        overdue: True once its running attempt counted as slow.
        suspect: True if its attempt is that of a suspect.
        expected_seconds: Service time that its route has taken, in seconds.
        is_long: True if its route takes many times longer than others.
        sample_id: Identity under which its decisions are explained, or "".
    """

    request_id: int
    pool: str
    route: str
    deadline: float
    idempotent: bool
    priority: int = 1
    fingerprint: int = 0
    arrived_at: float = 0.0
    state: RequestState = RequestState.QUEUED
    target: str = ""
    sent_at: float = 0.0
    attempts: int = 0
    failures: int = 0
    may_have_run: bool = False
    tried: frozenset[str] = frozenset()
    overdue: bool = False
    suspect: bool = False
    expected_seconds: float = 0.0
    is_long: bool = False
    sample_id: str = ""


class ResultKind(enum.Enum):
    """How one attempt ended."""

    ANSWERED = enum.auto()
    FAILED = enum.auto()
    NOT_RUN = enum.auto()
    LOST = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What a target said of itself on an answer.

    Attributes:
        in_flight: Requests that ran there, of all gateways.
        measured_at: Time of the reading, on the core's clock.
    """

    in_flight: int
    measured_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What the driver learned from one attempt.

    Attributes:
        kind: ANSWERED for a whole answer; FAILED for a whole answer that
            tells of a server failure; NOT_RUN if the target provably did not
            begin; LOST if it may have run and no whole answer came.
        report: Load report that came with the answer.
        draining: True if the target said that it is leaving.
        crashed: True if the connection broke while the attempt ran.
        refused: True if no connection could be opened.
    """

    kind: ResultKind
    report: LoadReport | None = None
    draining: bool = False
    crashed: bool = False
    refused: bool = False

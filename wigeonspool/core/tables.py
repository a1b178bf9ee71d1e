"""The rows that the core works on.

Periodic functions go over these tables at each tick; the handling of one
request touches only its own row and that of its target.
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
    """Health of one target by the results of attempts.

    Attributes:
        score: Sum of the scores of recent failures.
        concurrency_limit: Attempts that it may run at once.
        ejections: Ejections since it last had all its slots.
        ejected_until: End of its ejection or demotion, on the core's clock.
        draining_until: Time until which its own report of draining counts, on
            the core's clock; 0.0 if there is none.
        demoted: True if it is used only while other targets have no free slots.
        unavailable_since: When it last became unavailable, on the core's clock.
        probe_failed: True if a probe since then showed that it does not serve.
        trial_advanced: True if a probe ended its unavailability early; stays
            set until it has all its slots.
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
        group: Its `target_index.Group`, by this gateway's preference.
        in_flight: Attempts of this gateway that run there.
        state: Whether it may receive work.
        drain_requested: True if the configuration or the VM list drains it.
        health: Health by the results of its attempts.
    """

    address: str
    zone: str
    slots: int
    limit: int = 0
    group: int = 0
    in_flight: int = 0
    state: TargetState = TargetState.SERVING
    drain_requested: bool = False
    health: HealthRow = dataclasses.field(default_factory=HealthRow)


def is_fully_serving(target: TargetRow) -> bool:
    """Returns True if a target serves and has all its slots again."""
    serving = target.state is TargetState.SERVING
    return serving and not target.health.ejections


class RequestState(enum.Enum):
    """Progress of a request."""

    QUEUED = enum.auto()
    RUNNING = enum.auto()
    SETTLED = enum.auto()


@dataclasses.dataclass(slots=True)
class RequestRow:
    """One request of a caller.

    All times are on the core's clock, in seconds.

    Attributes:
        request_id: Unique within the gateway.
        pool: Pool that serves it.
        route: Route that it matched.
        deadline: Time by which its caller needs the response.
        idempotent: True if it may run more than once.
        priority: 0 is refused last.
        fingerprint: Equal for resubmissions of the same request.
        arrived_at: Time at which it was submitted.
        state: Progress of the request.
        target: Address of its running attempt, or "".
        sent_at: Time at which that attempt was sent.
        attempts: Attempts sent so far.
        failures: Attempts that may have run without a successful response.
        may_have_run: True once an attempt ended that may have run and got no
            successful response.
        failed_targets: Addresses of the targets on which an attempt failed.
        overdue: True if its running attempt was already counted as slow.
        is_suspect_attempt: True if it was a suspect when its running attempt
            was sent.
        expected_seconds: Mean service time of its route, in seconds.
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
    failed_targets: frozenset[str] = frozenset()
    overdue: bool = False
    is_suspect_attempt: bool = False
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
    """Load that a target reported with a response.

    Attributes:
        in_flight: Requests that ran there, of all gateways.
        measured_at: Time of the measurement, on the core's clock.
    """

    in_flight: int
    measured_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """How one attempt ended.

    Attributes:
        kind: ANSWERED for a complete response; FAILED for a complete response
            that reports a server failure; NOT_RUN if the target provably did
            not start the work; LOST if it may have run and no complete response
            came.
        report: Load report that came with the response.
        draining: True if the target reported that it is draining.
        crashed: True if the connection broke while the attempt ran.
        connection_refused: True if no connection could be opened.
    """

    kind: ResultKind
    report: LoadReport | None = None
    draining: bool = False
    crashed: bool = False
    connection_refused: bool = False

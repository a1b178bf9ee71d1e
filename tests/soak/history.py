"""What a soak records: attempts of callers, disturbances and ended processes.

All times are readings of the event loop's clock.
"""

import dataclasses
import enum


class End(enum.Enum):
    """How an attempt ended for its caller.

    ANSWERED: a complete response arrived.
    CLOSED: the connection ended before a complete response.
    UNCONNECTED: no connection could be opened, so nothing was sent.
    LEFT: the caller gave up after its time limit.
    UNREAD: a response in front of it closed the connection, so that the caller
        may send it again, also if it may run at most once.
    """

    ANSWERED = "answered"
    CLOSED = "closed"
    UNCONNECTED = "unconnected"
    LEFT = "left"
    UNREAD = "unread"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a caller.

    Attributes:
        identity: Identity of the attempt.
        vm: VM that it was sent to.
        method: HTTP method; GET may run more than once, POST at most once.
        path: Path.
        body: Request body.
        limit_seconds: How long the caller waits.
        reused: True if its connection had been used before.
        sent_at: When its last byte was sent.
        ended_at: When it ended.
        end: How it ended.
        status: Status of the response, or 0 without a complete one.
        echoed: Identity that the response states, or "".
        sealed: True if the response has the proof of a target.
        response: Body of the response.
    """

    identity: str
    vm: str
    method: str
    path: str
    body: bytes
    limit_seconds: float
    reused: bool
    sent_at: float
    ended_at: float = float("inf")
    end: End = End.UNCONNECTED
    status: int = 0
    echoed: str = ""
    sealed: bool = False
    response: bytes = b""


@dataclasses.dataclass(slots=True)
class Disturbance:
    """A fault or a piece of planned work.

    Attributes:
        kind: Name of the fault or the work.
        subject: VM or target that it affects, or "store".
        planned: True for planned work.
        started_at: When it began.
        ended_at: When it ended, or infinity.
    """

    kind: str
    subject: str
    planned: bool
    started_at: float
    ended_at: float = float("inf")


@dataclasses.dataclass(slots=True)
class Run:
    """An attempt that a target ran.

    Attributes:
        target: Identity of the target.
        method: Method that the target received.
        path: Path that it received.
        body: Body that it received.
    """

    target: str
    method: str
    path: str
    body: bytes


@dataclasses.dataclass(slots=True)
class Arrival:
    """An attempt that reached a target, also one that the target refused.

    Attributes:
        target: Identity of the target.
        at: When it arrived.
        attempt: Identity of the attempt.
        refused: True if the target refused it.
    """

    target: str
    at: float
    attempt: str
    refused: bool


@dataclasses.dataclass(slots=True)
class Notice:
    """A time in which a target states something in its responses.

    Attributes:
        target: Identity of the target.
        started_at: When it began to state it.
        ended_at: When it stopped, or when its process ended.
        declined_seconds: For how long each refusal asks for no requests, or
            None if the target states that it leaves.
    """

    target: str
    started_at: float
    ended_at: float
    declined_seconds: float | None


@dataclasses.dataclass(slots=True)
class History:
    """Everything that the checks need.

    Attributes:
        grace_seconds: Time from SIGTERM to SIGKILL.
        attempts: Attempts by identity.
        runs: Runs by identity of the attempt.
        arrivals: Attempts that reached targets.
        notices: What targets stated.
        disturbances: All faults and planned work.
        self_ended: VMs whose process ended without a signal, with its exit
            code.
        calm_from: Start of the calm phase at the end.
        unregistered: VMs that had no entry under a lease of their own at the
            end.
    """

    grace_seconds: float
    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    runs: dict[str, list[Run]] = dataclasses.field(default_factory=dict)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    notices: list[Notice] = dataclasses.field(default_factory=list)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    self_ended: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    calm_from: float = float("inf")
    unregistered: list[str] = dataclasses.field(default_factory=list)

    def list_disturbances(
        self, subject: str, start: float, end: float
    ) -> list[Disturbance]:
        """Returns the disturbances of a subject that overlap a time span."""
        return [
            d
            for d in self.disturbances
            if d.subject == subject
            and d.started_at <= end
            and d.ended_at >= start
        ]

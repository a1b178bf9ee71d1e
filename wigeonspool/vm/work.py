"""One request of a caller while this VM serves it."""

import dataclasses
import enum

from aiohttp import web

from wigeonspool.gateway import exchanges
from wigeonspool.model import fleet
from wigeonspool.model import outcomes


@dataclasses.dataclass(slots=True)
class Work:
    """A request and what became of it so far.

    Attributes:
        request: Request of the caller.
        identity: Identity of the caller's attempt.
        rule: Rule that it matched.
        service: Service that runs it.
        body: Its body.
        held: True if the body can be sent more than once.
        fingerprint: Equal for resends of the same request.
        arrived_at: When its head was read, loop clock.
        objective_at: When its answer loses its full value, loop clock.
        deadline: When the caller or the rule gives up, loop clock.
        sends: Attempts sent to targets.
        runs: Attempts of these that may have run.
        tried: Identities of the targets that had it.
        asked: Health checks made for it.
        seconds: Attempts that joined one which took long.
        steps: What became of it so far, for the log: milliseconds after its
            arrival, what happened, where, and the stretch of the offer.
    """

    request: web.BaseRequest
    identity: str
    rule: fleet.Rule
    service: str
    body: exchanges.Body
    held: bool
    fingerprint: int
    arrived_at: float
    objective_at: float
    deadline: float
    sends: int = 0
    runs: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    asked: int = 0
    seconds: int = 0
    steps: list[tuple[int, str, str, float]] = dataclasses.field(
        default_factory=list
    )

    @property
    def kind(self) -> str:
        """Name of requests that take about as long as this one."""
        return f"{self.rule.prefix}{self.service}"

    def note(self, now: float, what: str, target: str, stretch: float) -> None:
        """Notes a step for the log."""
        elapsed_ms = round((now - self.arrived_at) * 1000)
        self.steps.append((elapsed_ms, what, target, round(stretch, 2)))

    def fail(self, reason: outcomes.Reason) -> outcomes.Failure:
        """Returns a failure; it tells whether the request may have run."""
        tell = outcomes.doubt if self.runs else outcomes.refuse
        return tell(reason)


class Ended(enum.Enum):
    """How one attempt ended.

    ANSWERED: the target answered with success.
    FAILED: the target ran it and told of a failure.
    NOT_RUN: the target proved that it did not run it.
    LOST: nothing proves whether it ran.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not-run"
    LOST = "lost"


@dataclasses.dataclass(slots=True)
class AttemptResult:
    """What one attempt came to.

    Attributes:
        ended: How it ended.
        status: Status of the target's answer, or 0.
        fields: Fields of the answer that pass on.
        body: Whole body of the answer.
        source: Open answer, if it is too long to hold.
        detail: What went wrong, for the log.
    """

    ended: Ended
    status: int = 0
    fields: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    source: exchanges.TargetResponse | None = None
    detail: str = ""

"""One request of a caller while this VM serves it."""

import dataclasses
import enum

from aiohttp import web

from wigeonspool.gateway import exchanges
from wigeonspool.model import fleet
from wigeonspool.model import outcomes


@dataclasses.dataclass(slots=True)
class RequestContext:
    """A request and what became of it so far.

    Attributes:
        request: Request of the caller.
        identity: Identity of the caller's attempt.
        rule: Rule that it matched.
        service: Service that runs it.
        body: Its body.
        replayable: True if the body can be sent more than once.
        fingerprint: Equal for resends of the same request.
        arrived_at: When its head was read, loop clock.
        objective_at: When its answer loses its full value, loop clock.
        deadline: When the caller or the rule gives up, loop clock.
        attempts_sent: Attempts sent to targets.
        possible_runs: Attempts of these that may have run.
        tried_targets: Identities of the targets that had it.
        probes_sent: Health checks made for it.
        hedges_sent: Attempts that joined one which took long.
        steps: What became of it so far, for the log: milliseconds after its
            arrival, what happened, where, and the stretch of the offer.
    """

    request: web.BaseRequest
    identity: str
    rule: fleet.Rule
    service: str
    body: exchanges.Body
    replayable: bool
    fingerprint: int
    arrived_at: float
    objective_at: float
    deadline: float
    attempts_sent: int = 0
    possible_runs: int = 0
    tried_targets: set[str] = dataclasses.field(default_factory=set)
    probes_sent: int = 0
    hedges_sent: int = 0
    steps: list[tuple[int, str, str, float]] = dataclasses.field(
        default_factory=list
    )

    @property
    def baseline_key(self) -> str:
        """Name of requests that take about as long as this one."""
        return f"{self.rule.prefix}{self.service}"

    def record_step(
        self, now: float, event: str, target: str, slowdown: float
    ) -> None:
        """Notes a step for the log."""
        elapsed_ms = round((now - self.arrived_at) * 1000)
        self.steps.append((elapsed_ms, event, target, round(slowdown, 2)))

    def build_failure(self, reason: outcomes.Reason) -> outcomes.Failure:
        """Returns a failure; it tells whether the request may have run."""
        build = (
            outcomes.build_unknown
            if self.possible_runs
            else outcomes.build_refusal
        )
        return build(reason)


class AttemptOutcome(enum.Enum):
    """How one attempt ended.

    ANSWERED: the target answered with success.
    FAILED: the target ran it and told of a failure.
    NOT_RUN: the target proved that it did not run it.
    UNKNOWN: nothing proves whether it ran.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "lost"


@dataclasses.dataclass(slots=True)
class AttemptResult:
    """What one attempt came to.

    Attributes:
        outcome: How it ended.
        status: Status of the target's answer, or 0.
        fields: Fields of the answer that pass on.
        body: Whole body of the answer.
        stream: Open answer, if it is too long to hold.
        detail: What went wrong, for the log.
    """

    outcome: AttemptOutcome
    status: int = 0
    fields: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    stream: exchanges.TargetResponse | None = None
    detail: str = ""

"""The state of a caller's request while this VM serves it."""

import dataclasses
import enum
from typing import Protocol

from aiohttp import web

from wigeonspool.gateway import exchanges
from wigeonspool.model import fleet
from wigeonspool.model import outcomes
from wigeonspool.vm import channels


class UsageToken(Protocol):
    """The token of a request whose account has a quota."""

    async def refresh(self) -> outcomes.Failure | None:
        """Replaces an expired token; returns why there is none, or None."""


@dataclasses.dataclass(slots=True)
class RequestContext:
    """A request and the attempts made for it so far.

    Attributes:
        request: Request of the caller.
        identity: Identity of the caller's attempt.
        rule: Rule that it matched.
        service: Service that runs it.
        body: Its body.
        replayable: True if the body can be sent more than once.
        fingerprint: Hash that is equal for resends of the same request.
        arrived_at: Estimated time of its arrival, loop clock.
        objective_at: Time by which the latency objective of the rule requires
            a response, loop clock.
        deadline: Time at which the caller gives up or the time limit of the
            rule ends, whichever is earlier, loop clock.
        attempts_sent: Number of attempts sent to targets.
        possible_runs: Number of those attempts that may have run.
        tried_targets: Identities of the targets that it was sent to.
        used_channels: Connections that it was sent over.
        probes_sent: Number of health checks sent for it.
        hedges_sent: Number of hedged requests, sent because an earlier attempt
            took long.
        closes_connection: True if its connection closes after the response.
        account: Client account of the caller, or None.
        has_accounts: True if client accounts are configured.
        configuration_version: Version of the configuration that `rule` and
            `account` are from.
        token: Token of a request whose account has a quota, or None.
        steps: Events so far, for the log: milliseconds since the arrival, name
            of the event, identity of the target, slowdown of the target.
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
    used_channels: list[channels.Channel] = dataclasses.field(
        default_factory=list
    )
    probes_sent: int = 0
    hedges_sent: int = 0
    closes_connection: bool = False
    account: fleet.ClientAccount | None = None
    token: "UsageToken | None" = None
    has_accounts: bool = False
    configuration_version: int = -1
    steps: list[tuple[int, str, str, float]] = dataclasses.field(
        default_factory=list
    )

    @property
    def baseline_key(self) -> str:
        """Key for the baseline service time, shared by similar requests."""
        return f"{self.rule.prefix}{self.service}"

    @property
    def priority(self) -> int:
        """Priority of the account, or else of the rule; 0 is most urgent."""
        if self.account is None or self.account.priority is None:
            return self.rule.priority
        return self.account.priority

    @property
    def account_name(self) -> str:
        """Name of the client account, or ""."""
        return self.account.name if self.account else ""

    @property
    def regions(self) -> frozenset[str] | None:
        """Regions whose targets may serve the request, or None for all.

        Where both the rule and the account restrict the regions, both
        restrictions apply, so there may be no region left.
        """
        account_regions = self.account.regions if self.account else None
        if self.rule.regions and account_regions:
            return self.rule.regions & account_regions
        return self.rule.regions or account_regions or None

    def allows_region(self, region: str) -> bool:
        """Returns True if targets of a region may serve the request."""
        regions = self.regions
        return regions is None or region in regions

    def update_regions(self, configuration: fleet.Configuration | None) -> None:
        """Applies the regions that a newer configuration allows.

        The other fields of the rule and of the account stay as they were when
        the request arrived. A rule or an account that the configuration lacks
        keeps its regions.
        """
        if (
            configuration is None
            or configuration.version == self.configuration_version
        ):
            return
        self.configuration_version = configuration.version
        # A key must not be forwarded once accounts are configured.
        self.has_accounts = self.has_accounts or bool(configuration.accounts)
        host = self.request.headers.get("Host", "").partition(":")[0].lower()
        path = self.request.raw_path.partition("?")[0]
        rule = configuration.find_rule(host, path)
        if rule is not None and rule.regions != self.rule.regions:
            self.rule = dataclasses.replace(self.rule, regions=rule.regions)
        if self.account is None:
            return
        account = configuration.accounts.get(self.account.name)
        if account is not None and account.regions != self.account.regions:
            self.account = dataclasses.replace(
                self.account, regions=account.regions
            )

    def record_step(
        self, now: float, event: str, target: str, slowdown: float
    ) -> None:
        """Records a step for the log.

        Args:
            now: Time of the step, loop clock.
            event: Name of the event, as it is logged.
            target: Identity of the target, or "".
            slowdown: Expected slowdown of the target, or 0.
        """
        elapsed_ms = round((now - self.arrived_at) * 1000)
        self.steps.append((elapsed_ms, event, target, round(slowdown, 2)))

    def build_failure(
        self, reason: outcomes.Reason, retry_at: float | None = None
    ) -> outcomes.Failure:
        """Returns a failure that states whether the request may have run.

        Args:
            reason: Cause of the failure.
            retry_at: Time at which the caller should retry, loop clock, or None
                if it follows from the reason.
        """
        outcome = (
            outcomes.Outcome.UNKNOWN
            if self.possible_runs
            else outcomes.Outcome.NOT_RUN
        )
        return outcomes.Failure(outcome, reason, retry_at)


class AttemptOutcome(enum.Enum):
    """How one attempt ended.

    ANSWERED: the target ran the request and reported success.
    FAILED: the target ran the request and reported a failure.
    NOT_RUN: the target proved that it did not run the request.
    UNKNOWN: nothing proves whether the request ran.
    WITHHELD: the attempt was not sent, since its target had just stated that it
        wants no requests.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "lost"
    WITHHELD = "withheld"


@dataclasses.dataclass(slots=True)
class AttemptResult:
    """The result of one attempt.

    Attributes:
        outcome: How the attempt ended.
        status: Status code of the target's response, or 0 without a response.
        fields: Header fields of the response to forward to the caller.
        body: Complete body of the response, or b"" if it is streamed or was
            too long to buffer.
        stream: Open response, if its body is too long to buffer.
        detail: Description of the error, or "".
        declined: True if the target refused the request because it wants none
            now, which is no sign of a fault.
    """

    outcome: AttemptOutcome
    status: int = 0
    fields: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    stream: exchanges.TargetResponse | None = None
    detail: str = ""
    declined: bool = False

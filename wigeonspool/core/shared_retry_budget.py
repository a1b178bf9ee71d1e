"""The part of the retry budget of each service that this VM may use.

All VMs together may send a service only a limited number of attempts beyond the
first of each request: a fraction of its requests, and a slack. No VM knows how
many others serve, so nothing here depends on their number:

- A VM earns tokens by its own requests only, and unused ones expire soon.
- The slack is divided among the VMs that the callers of each zone are assigned
  to first. A VM uses its share only while it is registered as one of them.
- A process starts without tokens.
"""

from collections.abc import Callable, Collection, Iterable
import dataclasses
import enum
import math
from typing import Final

from wigeonspool.core import vm_assignment
from wigeonspool.model import fleet

# Fraction of the tokens that requests could earn. The rest covers tokens that
# are earned before a window and used in it.
USED_RETRY_FRACTION: Final = 0.9
# Mean time after which earned tokens expire.
EARNED_LIFETIME_SECONDS: Final = 1.0
# A VM may save up a part of its slack, and use another part in each window. The
# rest covers VMs that disagree for a moment on which of them hold the slack.
SAVED_SLACK_FRACTION: Final = 0.4
REFILL_SLACK_FRACTION: Final = 0.5


class ExtraAttemptCause(enum.Enum):
    """Why an attempt beyond the first of a request is sent.

    REFUSED: the last attempt provably did not run.
    FAILED: the last attempt failed, or its outcome is unknown.
    HEDGED: the first attempt takes long.
    """

    REFUSED = "refused"
    FAILED = "failed"
    HEDGED = "hedged"


@dataclasses.dataclass(slots=True)
class RetryUse:
    """What the requests to one service have used of the budget of this VM.

    Attributes:
        requests: Requests that added tokens.
        extra_attempts: Attempts that used a token, by cause.
        denied: Attempts that the budget did not allow.
    """

    requests: int = 0
    extra_attempts: dict[ExtraAttemptCause, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(ExtraAttemptCause, 0)
    )
    denied: int = 0


@dataclasses.dataclass(slots=True)
class _Tokens:
    """Tokens of one service; an extra attempt uses one.

    Attributes:
        updated_at: Time of these counts, on the core's clock.
        earned: Tokens earned by requests; negative if an attempt has used more
            than there were, until requests have earned that.
        slack: Tokens of this VM's share of the slack.
    """

    updated_at: float
    earned: float = 0.0
    slack: float = 0.0


class ServiceRetryBudget:
    """Budget of this VM for attempts beyond the first, by service.

    Attributes:
        uses: What was used of the budget since the start, by service.
    """

    __slots__ = (
        "_draw_fraction",
        "_fraction",
        "_share",
        "_share_since",
        "_slack",
        "_tokens",
        "_window_seconds",
        "uses",
    )

    def __init__(self, draw_fraction: Callable[[], float]) -> None:
        """Creates a budget that allows no extra attempts.

        Args:
            draw_fraction: Returns a random number from 0 to 1.
        """
        self.uses: dict[str, RetryUse] = {}
        self._draw_fraction = draw_fraction
        self._tokens: dict[str, _Tokens] = {}
        self._share = 0.0
        self._share_since = 0.0
        self.set_limits(0.0, 0.0, 1.0)

    def set_limits(
        self, fraction: float, slack: float, window_seconds: float
    ) -> None:
        """Sets the limits that all VMs together must keep.

        Args:
            fraction: Attempts beyond the first, as a fraction of the requests.
            slack: Attempts allowed in addition to that in a window.
            window_seconds: Length of the window.
        """
        self._fraction = fraction * USED_RETRY_FRACTION
        self._slack = slack
        self._window_seconds = window_seconds

    def set_slack_share(self, share: float, now: float) -> None:
        """Sets the fraction of the slack that this VM may use.

        A new share is filled up from now on.

        Args:
            share: Fraction of the slack, 0 to 1.
            now: Time on the core's clock, in seconds.
        """
        if share == self._share:
            return
        for service in self._tokens:
            self._update_tokens(service, now)
        self._share = share
        self._share_since = now
        for tokens in self._tokens.values():
            tokens.slack = min(tokens.slack, self._find_slack_capacity())

    def add_tokens(self, service: str, now: float) -> None:
        """Adds the tokens that one request to a service earns.

        Args:
            service: Service that the request goes to.
            now: Time on the core's clock, in seconds.
        """
        self._update_tokens(service, now).earned += self._fraction
        self.uses.setdefault(service, RetryUse()).requests += 1

    def consume_token(
        self,
        service: str,
        now: float,
        cause: ExtraAttemptCause,
        reserve: float = 0.0,
    ) -> bool:
        """Returns True if an extra attempt may be sent, and uses a token.

        A part of a token allows an attempt with that probability. The part that
        was missing must be earned before the next one, so that many VMs with
        few requests together send as many as their requests earn.

        Args:
            service: Service that the attempt goes to.
            now: Time on the core's clock, in seconds.
            cause: Why the attempt is sent.
            reserve: Tokens that must be left for more urgent attempts.
        """
        use = self.uses.setdefault(service, RetryUse())
        tokens = self._update_tokens(service, now)
        available = tokens.earned + tokens.slack - reserve
        if available < 1.0 and self._draw_fraction() >= available:
            use.denied += 1
            return False
        use.extra_attempts[cause] += 1
        # Earned tokens are used first, since they expire.
        from_slack = min(tokens.slack, 1.0 - min(1.0, max(0.0, tokens.earned)))
        tokens.slack -= from_slack
        tokens.earned -= 1.0 - from_slack
        return True

    def count_tokens(self, service: str, now: float) -> float:
        """Returns the tokens of a service; negative if some are owed."""
        tokens = self._update_tokens(service, now)
        return tokens.earned + tokens.slack

    def _update_tokens(self, service: str, now: float) -> _Tokens:
        """Returns the tokens of a service, expired and refilled until now."""
        tokens = self._tokens.get(service)
        if tokens is None:
            tokens = _Tokens(min(now, self._share_since))
            self._tokens[service] = tokens
        elapsed_seconds = now - tokens.updated_at
        tokens.updated_at = now
        if tokens.earned > 0.0:
            tokens.earned *= math.exp(
                -elapsed_seconds / EARNED_LIFETIME_SECONDS
            )
        refill = self._slack * self._share * REFILL_SLACK_FRACTION
        tokens.slack = min(
            self._find_slack_capacity(),
            tokens.slack + elapsed_seconds * refill / self._window_seconds,
        )
        return tokens

    def _find_slack_capacity(self) -> float:
        """Returns the most tokens of slack that this VM may save up."""
        return self._slack * self._share * SAVED_SLACK_FRACTION


def find_slack_share(
    own: fleet.VmEntry, vms: Iterable[fleet.VmEntry], zones: Collection[str]
) -> float:
    """Returns the fraction of the retry slack that a VM holds.

    It is the same for the first VMs of each zone, and 0 for all others.

    Args:
        own: Entry of the VM.
        vms: Entries of all registered VMs.
        zones: Availability zones of the deployment.
    """
    if own.zone not in zones:
        return 0.0
    in_zone = [vm for vm in vms if vm.zone == own.zone]
    ranked = vm_assignment.rank_vms(own.zone, own.region, in_zone)
    holders = ranked[: vm_assignment.MIN_ASSIGNED_VMS]
    if own not in holders:
        return 0.0
    return 1.0 / (vm_assignment.MIN_ASSIGNED_VMS * len(zones))

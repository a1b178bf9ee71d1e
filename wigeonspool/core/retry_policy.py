"""Decides when a request may be retried or hedged on another target.

All VMs together may send a service only a limited number of attempts beyond the
first of each request. Each VM keeps to its fraction of that number.
"""

import dataclasses
import enum
from typing import Final

# Fractions of this VM's limits that it uses. The rest is a margin for VMs that
# serve beyond the expected number, and for counts that lag.
USED_RETRY_FRACTION: Final = 0.85
REFILL_FRACTION: Final = 0.5
BURST_FRACTION: Final = 0.4
# Limits all attempts, including those that did not run, since an overloaded
# service refuses every one.
MAX_ATTEMPTS: Final = 4
# A retry is sent only if the time left is at least this many baseline service
# times.
MIN_REMAINING_RATIO: Final = 1.1
# An attempt without a response after this many baseline service times runs on a
# target that is slow now, or its response is lost. Half of all responses arrive
# within one baseline service time.
HEDGE_DELAY_RATIO: Final = 1.5
# A hedged request is sent only if it can still be in time.
HEDGE_REMAINING_RATIO: Final = 1.15
# Tokens that hedged requests leave for retries of failed attempts.
HEDGE_RESERVE_TOKENS: Final = 0.5


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


class ServiceRetryBudget:
    """Budget of this VM for attempts beyond the first, by service.

    Each service has a token bucket; an extra attempt uses one token.

    Attributes:
        uses: What was used of the budget since the start, by service.
    """

    __slots__ = ("_burst", "_tokens", "_fraction", "_rate", "uses")

    def __init__(self) -> None:
        """Creates a budget that allows only one extra attempt per service."""
        self._tokens: dict[str, tuple[float, float]] = {}
        self.uses: dict[str, RetryUse] = {}
        self.set_limits(0.0, 0.0, 1.0, 1)

    def set_limits(
        self, fraction: float, slack: float, window_seconds: float, vms: int
    ) -> None:
        """Sets the limits that all VMs together must keep.

        Args:
            fraction: Attempts beyond the first, as a fraction of the requests.
            slack: Attempts allowed in addition to that in a window, over all
                VMs.
            window_seconds: Length of the window.
            vms: VMs that serve callers at the same time.
        """
        vm_slack = slack / max(1, vms)
        self._fraction = fraction * USED_RETRY_FRACTION
        self._burst = vm_slack * BURST_FRACTION
        self._rate = vm_slack * REFILL_FRACTION / window_seconds

    def add_tokens(self, service: str, now: float) -> None:
        """Adds the tokens that one request to a service allows.

        Args:
            service: Service that the request goes to.
            now: Time on the core's clock, in seconds.
        """
        tokens = self.count_tokens(service, now)
        capacity = max(1.0, self._burst)
        self._tokens[service] = (min(capacity, tokens + self._fraction), now)
        self.uses.setdefault(service, RetryUse()).requests += 1

    def consume_token(
        self,
        service: str,
        now: float,
        cause: ExtraAttemptCause,
        reserve: float = 0.0,
    ) -> bool:
        """Returns True if an extra attempt may be sent, and uses a token.

        Args:
            service: Service that the attempt goes to.
            now: Time on the core's clock, in seconds.
            cause: Why the attempt is sent.
            reserve: Tokens that must be left for more urgent attempts.
        """
        use = self.uses.setdefault(service, RetryUse())
        tokens = self.count_tokens(service, now)
        if tokens < 1.0 + reserve:
            use.denied += 1
            self._tokens[service] = (tokens, now)
            return False
        use.extra_attempts[cause] += 1
        self._tokens[service] = (tokens - 1.0, now)
        return True

    def count_tokens(self, service: str, now: float) -> float:
        """Returns the tokens of a service, with those added over time."""
        capacity = max(1.0, self._burst)
        bucket = self._tokens.get(service)
        if bucket is None:
            return capacity
        tokens, updated_at = bucket
        return min(capacity, tokens + (now - updated_at) * self._rate)


def find_hedge_at(
    started_at: float, baseline_seconds: float, objective_at: float
) -> float | None:
    """Returns when to hedge an attempt that has no response yet.

    Args:
        started_at: Time at which the first attempt was sent.
        baseline_seconds: Baseline service time of the work.
        objective_at: Time after which the response has less value.

    Returns:
        The time, or None if a hedged request would be late as well.
    """
    at = started_at + HEDGE_DELAY_RATIO * baseline_seconds
    latest = objective_at - HEDGE_REMAINING_RATIO * baseline_seconds
    return at if at <= latest else None


def may_retry(
    idempotent: bool,
    not_run: bool,
    attempts: int,
    possible_runs: int,
    max_targets: int,
) -> bool:
    """Returns True if a request may be sent to another target.

    Args:
        idempotent: True if the request may run more than once.
        not_run: True if the last attempt provably did not run.
        attempts: Attempts sent so far.
        possible_runs: Attempts sent so far that may have run.
        max_targets: Most targets that may run the request.
    """
    if attempts >= MAX_ATTEMPTS:
        return False
    if possible_runs and not idempotent:
        return False
    return not_run or possible_runs < max_targets

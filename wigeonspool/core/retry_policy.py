"""Says when a request may be sent once more.

All VMs together may send a service only so many attempts beyond the first of
each request. Each VM keeps to its part of that.
"""

from typing import Final

# Parts of what all VMs may send that this VM counts on; the rest allows for
# VMs that serve beyond those that are expected, and for counts that lag.
FRACTION_SHARE: Final = 0.85
REFILL_SHARE: Final = 0.5
BURST_SHARE: Final = 0.4
# Attempts that did not run are limited too, for a full service refuses all.
MAX_SENDS: Final = 4
# What is left of the time must allow for this many usual service times.
MIN_REMAINING_RATIO: Final = 1.1
# An attempt that takes this much longer than usual runs where work is slow now,
# or its answer is lost; half of all are answered by the usual time.
HEDGE_DELAY_RATIO: Final = 1.5
# A second attempt is sent only if it can still be in time.
HEDGE_REMAINING_RATIO: Final = 1.15
# Allowance that is left for requests whose first attempt failed.
HEDGE_RESERVE_TOKENS: Final = 0.5


class ServiceRetryBudget:
    """What this VM may send beyond first attempts, by service.

    Attributes:
        refused: Attempts that the allowance did not cover.
    """

    __slots__ = ("_burst", "_tokens", "_fraction", "_rate", "refused")

    def __init__(self) -> None:
        """Prepares an allowance of nothing."""
        self._tokens: dict[str, tuple[float, float]] = {}
        self.refused = 0
        self.set_limits(0.0, 0.0, 1.0, 1)

    def set_limits(
        self, fraction: float, slack: float, window_seconds: float, vms: int
    ) -> None:
        """Takes what is promised.

        Args:
            fraction: Attempts beyond the first, as a part of the requests.
            slack: Attempts allowed beside that in a window, over all VMs.
            window_seconds: Length of the window.
            vms: VMs that serve callers at the same time.
        """
        share = slack / max(1, vms)
        self._fraction = fraction * FRACTION_SHARE
        self._burst = share * BURST_SHARE
        self._rate = share * REFILL_SHARE / window_seconds

    def add_tokens(self, service: str, now: float) -> None:
        """Adds what one request to a service allows.

        Args:
            service: Service that it goes to.
            now: Time on the core's clock, in seconds.
        """
        tokens = self._refill(service, now)
        capacity = max(1.0, self._burst)
        self._tokens[service] = (min(capacity, tokens + self._fraction), now)

    def spend_token(
        self, service: str, now: float, reserve: float = 0.0
    ) -> bool:
        """Returns True if one more attempt may be sent, and charges it.

        Args:
            service: Service that it goes to.
            now: Time on the core's clock, in seconds.
            reserve: Attempts that must be left for more urgent needs.
        """
        tokens = self._refill(service, now)
        if tokens < 1.0 + reserve:
            self.refused += 1
            self._tokens[service] = (tokens, now)
            return False
        self._tokens[service] = (tokens - 1.0, now)
        return True

    def _refill(self, service: str, now: float) -> float:
        """Returns what may be sent to a service now."""
        capacity = max(1.0, self._burst)
        known = self._tokens.get(service)
        if known is None:
            return capacity
        tokens, updated_at = known
        return min(capacity, tokens + (now - updated_at) * self._rate)


def find_hedge_at(
    started_at: float, baseline_seconds: float, objective_at: float
) -> float | None:
    """Returns when a second attempt should join one without an answer.

    Args:
        started_at: When the first attempt was sent.
        baseline_seconds: Time that the work takes at the usual pace.
        objective_at: When the answer loses its full value.

    Returns:
        The time, or None if a second attempt would be late as well.
    """
    at = started_at + HEDGE_DELAY_RATIO * baseline_seconds
    latest = objective_at - HEDGE_REMAINING_RATIO * baseline_seconds
    return at if at <= latest else None


def may_retry(
    idempotent: bool, not_run: bool, sends: int, runs: int, max_targets: int
) -> bool:
    """Returns True if a request may be sent to another target.

    Args:
        idempotent: True if it may run more than once.
        not_run: True if the last attempt provably did not run.
        sends: Attempts sent so far.
        runs: Attempts of these that may have run.
        max_targets: Most targets that may run it.
    """
    if sends >= MAX_SENDS:
        return False
    if runs and not idempotent:
        return False
    return not_run or runs < max_targets

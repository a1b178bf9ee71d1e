"""Decides when a request may be retried or hedged on another target."""

from typing import Final

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
HEDGE_RESERVE_TOKENS: Final = 1.0


def find_hedge_at(
    started_at: float,
    baseline_seconds: float,
    round_trip_seconds: float,
    objective_at: float,
) -> float | None:
    """Returns when to hedge an attempt that has no response yet.

    Args:
        started_at: Time at which the first attempt was sent.
        baseline_seconds: Baseline service time of the work.
        round_trip_seconds: Time of a round trip to the target of the attempt,
            during which its response may be on the way.
        objective_at: Time after which the response has less value.

    Returns:
        The time, or None if a hedged request would be late as well.
    """
    delay_seconds = HEDGE_DELAY_RATIO * baseline_seconds + round_trip_seconds
    at = started_at + delay_seconds
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

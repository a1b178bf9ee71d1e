"""Estimates the slowdown of targets from their latest load reports.

The slowdown of a target changes several times a second, so an estimate is only
as good as its load report is recent. Requests sent to the target since the
report, and its recent failures, raise the estimate.
"""

from collections.abc import Iterable
import dataclasses
import math
from typing import Final

# Added cost of a target, times the fraction of its slots that is in use. It
# spreads work and keeps targets below the load at which some of them become
# slow.
UTILIZATION_COST: Final = 0.25
# Added cost of each recent failure, as a multiple of the slowdown.
FAILURE_COST: Final = 1.5
# Time in which the weight of a failure halves.
FAILURE_HALF_LIFE_SECONDS: Final = 4.0
# Approximate slowdown of a target that just started.
WARMUP_COST: Final = 2.0
# Cost factor of a target that is suspect or reports itself unhealthy: it is
# chosen last.
UNHEALTHY_COST: Final = 20.0
# Most reservations that are recorded for one target. One VM sends it fewer
# requests between two load reports: about as many as its slots and a few extra.
MAX_RESERVATIONS: Final = 16
BASE_EJECTION_SECONDS: Final = 0.25
MAX_EJECTION_SECONDS: Final = 3.0


@dataclasses.dataclass(slots=True)
class TargetHealth:
    """Health of a target as attempts and health checks of this VM showed it.

    Attributes:
        failures: Weight of recent failures, which decays.
        failures_updated_at: Time at which `failures` was last updated.
        ejected_until: Time until which it gets no work, on the core's clock.
        consecutive_ejections: Consecutive times that it was unreachable.
        reservations: Times at which requests were recently sent to it.
        rejected_at: Time at which it last rejected a request, which shows that
            it had no room.
    """

    failures: float = 0.0
    failures_updated_at: float = 0.0
    ejected_until: float = 0.0
    consecutive_ejections: int = 0
    reservations: list[float] = dataclasses.field(default_factory=list)
    rejected_at: float = -math.inf


def decay_failures(health: TargetHealth, now: float) -> float:
    """Returns the decayed weight of recent failures."""
    if not health.failures:
        return 0.0
    age = now - health.failures_updated_at
    return health.failures * float(0.5 ** (age / FAILURE_HALF_LIFE_SECONDS))


def find_median_failures(healths: Iterable[TargetHealth], now: float) -> float:
    """Returns the median weight of recent failures of a service's targets.

    Only failures beyond the median count against a target, since the targets of
    a service have the others in common.
    """
    weights = sorted(decay_failures(health, now) for health in healths)
    return weights[len(weights) // 2] if weights else 0.0


def record_failure(
    health: TargetHealth, now: float, weight: float = 1.0
) -> None:
    """Adds a failure to the decayed weight of a target's failures."""
    health.failures = decay_failures(health, now) + weight
    health.failures_updated_at = now


def record_unreachable(health: TargetHealth, now: float) -> None:
    """Ejects an unreachable target and records a failure.

    The time doubles with each consecutive ejection, up to MAX_EJECTION_SECONDS.
    """
    seconds = min(
        MAX_EJECTION_SECONDS,
        BASE_EJECTION_SECONDS * 2**health.consecutive_ejections,
    )
    health.consecutive_ejections += 1
    health.ejected_until = now + seconds
    record_failure(health, now)


def record_reachable(health: TargetHealth) -> None:
    """Ends the ejection of a target that replied to a health check."""
    health.consecutive_ejections = 0
    health.ejected_until = 0.0


def record_reservation(health: TargetHealth, now: float) -> None:
    """Records that a request is now sent to a target."""
    health.reservations.append(now)
    if len(health.reservations) > MAX_RESERVATIONS:
        del health.reservations[: MAX_RESERVATIONS // 2]


def count_reservations(health: TargetHealth, since: float) -> int:
    """Returns the number of requests sent to a target since a time."""
    return sum(at >= since for at in health.reservations)


def estimate_slowdown(
    running: int,
    waiting: int,
    slots: int,
    target_slowdown: float,
    last_slot_slowdown: float = 1.0,
) -> float:
    """Returns the expected slowdown of a new request at a target.

    Args:
        running: Requests that run there, including those on their way.
        waiting: Requests that are queued there.
        slots: Requests that it runs at once.
        target_slowdown: Ratio of its current to its baseline service time.
        last_slot_slowdown: Slowdown of work that uses its last slot.
    """
    slots = max(1, slots)
    excess = running + waiting + 1 - slots
    queued = max(0, excess) / slots
    utilization_cost = UTILIZATION_COST * min(running, slots) / slots
    last_slot_factor = last_slot_slowdown if excess >= 0 else 1.0
    return (
        target_slowdown
        * max(1.0, last_slot_factor)
        * (1.0 + utilization_cost + queued)
    )

"""Estimates how soon targets would answer, from what they told just now.

A target's pace changes several times a second, so an estimate is worth no
more than the report that it rests on is fresh. What was sent there since the
report, and what went wrong there lately, weighs on top.
"""

from collections.abc import Iterable
import dataclasses
from typing import Final

# Relative cost of each request that a target already runs below its slots;
# spreads work and keeps targets off the load at which some become slow.
UTILIZATION_COST: Final = 0.25
# Each recent failure makes a target look this much slower.
FAILURE_COST: Final = 1.5
# Failures lose half of their weight in this time.
FAILURE_HALF_LIFE_SECONDS: Final = 4.0
# A target that just started is about this much slower.
WARMUP_COST: Final = 2.0
# A target that says it is ill is the last to be chosen.
UNHEALTHY_COST: Final = 20.0
# Requests sent to one target by one VM between a report and the next; more
# than its slots and a few.
MAX_RESERVATIONS: Final = 16
BASE_EJECTION_SECONDS: Final = 0.25
MAX_EJECTION_SECONDS: Final = 3.0


@dataclasses.dataclass(slots=True)
class TargetHealth:
    """What attempts at a target showed of it.

    Attributes:
        failures: Recent failures, decaying.
        failures_updated_at: Time at which `failures` was last brought up to
            date.
        ejected_until: Deadline until which it gets no work, core clock.
        consecutive_ejections: Times in a row that it was unreachable.
        reservations: Times of the requests sent to it lately.
    """

    failures: float = 0.0
    failures_updated_at: float = 0.0
    ejected_until: float = 0.0
    consecutive_ejections: int = 0
    reservations: list[float] = dataclasses.field(default_factory=list)


def decay_failures(health: TargetHealth, now: float) -> float:
    """Returns the weight of recent failures."""
    if not health.failures:
        return 0.0
    age = now - health.failures_updated_at
    return health.failures * float(0.5 ** (age / FAILURE_HALF_LIFE_SECONDS))


def find_median_failures(healths: Iterable[TargetHealth], now: float) -> float:
    """Returns the weight of recent failures that half of the targets reach.

    What all targets of a service do alike speaks against none of them.
    """
    weights = sorted(decay_failures(health, now) for health in healths)
    return weights[len(weights) // 2] if weights else 0.0


def record_failure(
    health: TargetHealth, now: float, weight: float = 1.0
) -> None:
    """Notes a failure of a target."""
    health.failures = decay_failures(health, now) + weight
    health.failures_updated_at = now


def record_unreachable(health: TargetHealth, now: float) -> None:
    """Takes a target out for a while that doubles each time in a row."""
    seconds = min(
        MAX_EJECTION_SECONDS,
        BASE_EJECTION_SECONDS * 2**health.consecutive_ejections,
    )
    health.consecutive_ejections += 1
    health.ejected_until = now + seconds
    record_failure(health, now)


def record_reachable(health: TargetHealth) -> None:
    """Notes that a target answered a health check."""
    health.consecutive_ejections = 0
    health.ejected_until = 0.0


def record_reservation(health: TargetHealth, now: float) -> None:
    """Notes that a request is sent to a target now."""
    health.reservations.append(now)
    if len(health.reservations) > MAX_RESERVATIONS:
        del health.reservations[: MAX_RESERVATIONS // 2]


def count_reservations(health: TargetHealth, since: float) -> int:
    """Returns the requests sent since a time."""
    return sum(at >= since for at in health.reservations)


def estimate_slowdown(
    running: int,
    waiting: int,
    slots: int,
    target_slowdown: float,
    last_slot_slowdown: float = 1.0,
) -> float:
    """Returns how many times longer than usual a new request would take.

    Args:
        running: Requests that run there, with those on their way.
        waiting: Requests that wait there.
        slots: Requests that it runs at once.
        target_slowdown: How many times longer than usual work takes there now.
        last_slot_slowdown: How many times longer work takes on its last slot.
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

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
CROWDING: Final = 0.25
# Each recent failure makes a target look this much slower.
FAULT_COST: Final = 1.5
# Failures lose half of their weight in this time.
FAULT_HALF_LIFE_SECONDS: Final = 4.0
# A target that just started is about this much slower.
COLD_COST: Final = 2.0
# A target that says it is ill is the last to be chosen.
ILL_COST: Final = 20.0
# Requests sent to one target by one VM between a report and the next; more
# than its slots and a few.
MOST_CLAIMS: Final = 16
FIRST_OUT_SECONDS: Final = 0.25
MOST_OUT_SECONDS: Final = 3.0


@dataclasses.dataclass(slots=True)
class TargetHealth:
    """What attempts at a target showed of it.

    Attributes:
        faults: Recent failures, decaying.
        faulted_at: Time at which `faults` was last brought up to date.
        out_until: Deadline until which it gets no work, core clock.
        outs: Times in a row that it was unreachable.
        claims: Times of the requests sent to it lately.
    """

    faults: float = 0.0
    faulted_at: float = 0.0
    out_until: float = 0.0
    outs: int = 0
    claims: list[float] = dataclasses.field(default_factory=list)


def read_faults(health: TargetHealth, now: float) -> float:
    """Returns the weight of recent failures."""
    if not health.faults:
        return 0.0
    age = now - health.faulted_at
    return health.faults * float(0.5 ** (age / FAULT_HALF_LIFE_SECONDS))


def find_typical_faults(healths: Iterable[TargetHealth], now: float) -> float:
    """Returns the weight of recent failures that half of the targets reach.

    What all targets of a service do alike speaks against none of them.
    """
    weights = sorted(read_faults(health, now) for health in healths)
    return weights[len(weights) // 2] if weights else 0.0


def note_fault(health: TargetHealth, now: float, weight: float = 1.0) -> None:
    """Notes a failure of a target."""
    health.faults = read_faults(health, now) + weight
    health.faulted_at = now


def note_unreachable(health: TargetHealth, now: float) -> None:
    """Takes a target out for a while that doubles each time in a row."""
    seconds = min(MOST_OUT_SECONDS, FIRST_OUT_SECONDS * 2**health.outs)
    health.outs += 1
    health.out_until = now + seconds
    note_fault(health, now)


def note_reachable(health: TargetHealth) -> None:
    """Notes that a target answered a health check."""
    health.outs = 0
    health.out_until = 0.0


def claim(health: TargetHealth, now: float) -> None:
    """Notes that a request is sent to a target now."""
    health.claims.append(now)
    if len(health.claims) > MOST_CLAIMS:
        del health.claims[: MOST_CLAIMS // 2]


def count_claims(health: TargetHealth, since: float) -> int:
    """Returns the requests sent since a time."""
    return sum(at >= since for at in health.claims)


def estimate_stretch(
    running: int, waiting: int, slots: int, pace: float, last_slot: float = 1.0
) -> float:
    """Returns how many times longer than usual a new request would take.

    Args:
        running: Requests that run there, with those on their way.
        waiting: Requests that wait there.
        slots: Requests that it runs at once.
        pace: How many times longer than usual work takes there now.
        last_slot: How many times longer work takes on its last slot.
    """
    slots = max(1, slots)
    over = running + waiting + 1 - slots
    queued = max(0, over) / slots
    crowd = CROWDING * min(running, slots) / slots
    full = last_slot if over >= 0 else 1.0
    return pace * max(1.0, full) * (1.0 + crowd + queued)

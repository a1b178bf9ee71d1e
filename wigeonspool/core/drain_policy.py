"""Decides until when requests may start while a VM prepares to stop.

A request whose target cannot finish before the process ends would be aborted.
It is refused instead, so that its caller sends it to another VM at once.
"""

import dataclasses
import math
from typing import Final

# Fraction of the grace period during which requests start as usual. Callers
# hold addresses that they resolved before the VM began to drain.
UNRESTRICTED_FRACTION: Final = 0.5
# Fraction of the grace period during which callers may still open connections.
# After that, they have discarded those addresses.
ACCEPT_FRACTION: Final = 0.55
# Fraction of the grace period after which no request may wait or start.
START_FRACTION: Final = 0.88
# Fraction of the grace period after which no request may run any more.
FINISH_FRACTION: Final = 0.92
# Fraction of the grace period after which all connections must be closed. The
# process needs the rest to end.
CLOSE_FRACTION: Final = 0.97
# Service times vary. On a slow target they reach this many baseline times.
SLOW_TARGET_RATIO: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class DrainSchedule:
    """Times of a planned stop, on the core's clock in seconds.

    Attributes:
        unrestricted_until: Until then, requests start as usual.
        accept_until: Until then, callers may open connections.
        start_until: After that, no request starts or waits for a target.
        finish_at: Requests that still run are aborted.
        close_by: All connections must be closed.
    """

    unrestricted_until: float
    accept_until: float
    start_until: float
    finish_at: float
    close_by: float


def build_schedule(started_at: float, grace_seconds: float) -> DrainSchedule:
    """Returns the schedule of a stop.

    Args:
        started_at: Time at which the stop was requested.
        grace_seconds: Time from then until the process is killed.
    """
    return DrainSchedule(
        started_at + grace_seconds * UNRESTRICTED_FRACTION,
        started_at + grace_seconds * ACCEPT_FRACTION,
        started_at + grace_seconds * START_FRACTION,
        started_at + grace_seconds * FINISH_FRACTION,
        started_at + grace_seconds * CLOSE_FRACTION,
    )


def find_latest_start(
    schedule: DrainSchedule | None, baseline_seconds: float, deadline: float
) -> float:
    """Returns the latest time at which an attempt may be sent to a target.

    Args:
        schedule: Schedule of the stop, or None if the VM does not drain.
        baseline_seconds: Baseline service time of the request.
        deadline: Time at which its caller gives up. A request that ends before
            the process in any case may start at any time.
    """
    if schedule is None or deadline <= schedule.finish_at:
        return math.inf
    ends_in_time = schedule.finish_at - baseline_seconds * SLOW_TARGET_RATIO
    return max(
        schedule.unrestricted_until, min(ends_in_time, schedule.start_until)
    )

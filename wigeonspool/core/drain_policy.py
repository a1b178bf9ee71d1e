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
# Longest such time, also in a long grace period. Callers discard addresses
# sooner, and the platform excuses no cut of a request that they sent 3 s after
# the begin of the stop or later.
MAX_UNRESTRICTED_SECONDS: Final = 2.8
# Fraction of the grace period during which callers may still open connections.
# After that, they have discarded those addresses.
ACCEPT_FRACTION: Final = 0.55
# Fraction of the grace period after which no request is read.
READ_FRACTION: Final = 0.88
# Fraction of the grace period after which no request may run any more.
FINISH_FRACTION: Final = 0.92
# Fraction of the grace period after which all connections must be closed. The
# process needs the rest to end.
CLOSE_FRACTION: Final = 0.97


@dataclasses.dataclass(frozen=True, slots=True)
class DrainSchedule:
    """Times of a planned stop, on the core's clock in seconds.

    Attributes:
        unrestricted_until: Until then, requests start as usual.
        accept_until: Until then, callers may open connections.
        read_until: After that, no request is read.
        finish_at: Requests that still run are aborted.
        close_by: All connections must be closed.
    """

    unrestricted_until: float
    accept_until: float
    read_until: float
    finish_at: float
    close_by: float


def build_schedule(started_at: float, grace_seconds: float) -> DrainSchedule:
    """Returns the schedule of a stop.

    Args:
        started_at: Time at which the stop was requested.
        grace_seconds: Time from then until the process is killed.
    """
    unrestricted_seconds = min(
        grace_seconds * UNRESTRICTED_FRACTION, MAX_UNRESTRICTED_SECONDS
    )
    return DrainSchedule(
        started_at + unrestricted_seconds,
        started_at + grace_seconds * ACCEPT_FRACTION,
        started_at + grace_seconds * READ_FRACTION,
        started_at + grace_seconds * FINISH_FRACTION,
        started_at + grace_seconds * CLOSE_FRACTION,
    )


def find_latest_start(schedule: DrainSchedule | None, deadline: float) -> float:
    """Returns the latest time at which an attempt may be sent to a target.

    After the unrestricted time, only a deadline makes sure that a request ends
    before the process: any target may be slower than usual.

    Args:
        schedule: Schedule of the stop, or None if the VM does not drain.
        deadline: Time at which the caller of the request gives up.
    """
    if schedule is None or deadline <= schedule.finish_at:
        return math.inf
    return schedule.unrestricted_until


def find_latest_read(schedule: DrainSchedule | None) -> float:
    """Returns the time until which requests are read.

    Args:
        schedule: Schedule of the stop, or None if the VM does not drain.
    """
    return math.inf if schedule is None else schedule.read_until

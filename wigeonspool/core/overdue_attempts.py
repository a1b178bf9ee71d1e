"""Checks attempts that should have ended by now.

An attempt that hangs has no result to judge its target by, so each attempt is
checked once, at the time from which it counts as slow. The attempts of a route
are checked in the order in which they were sent; those that have ended are
dropped when they become the first.
"""

import collections
import math

from wigeonspool.core import health
from wigeonspool.core import outlier_ejection
from wigeonspool.core import pools
from wigeonspool.core import tables


def schedule_check(row: pools.PoolRow, request: tables.RequestRow) -> bool:
    """Schedules a check of an attempt for when it should have ended.

    Args:
        row: Pool of the request.
        request: Request of the attempt.

    Returns:
        False if the service time of the route is not known yet.
    """
    median = row.times.find(request.route).median
    if not median:
        return False
    scheduled = row.overdue_checks.get(request.route)
    if scheduled is None:
        scheduled = row.overdue_checks[request.route] = collections.deque()
    scheduled.append((request.sent_at, request.attempts, request))
    return True


def check_overdue(now: float, row: pools.PoolRow) -> None:
    """Records a failure for each attempt that should have ended by now.

    Args:
        now: Time on the core's clock, in seconds.
        row: Pool whose attempts are checked.
    """
    for route, scheduled in list(row.overdue_checks.items()):
        slow_threshold_seconds = health.find_slow_threshold_seconds(
            row.times.find(route).median
        )
        while scheduled:
            sent_at, attempt, request = scheduled[0]
            if _is_running(request, attempt):
                if sent_at + slow_threshold_seconds > now:
                    break
                outlier_ejection.record_overdue(now, row, request)
            scheduled.popleft()
        if not scheduled:
            del row.overdue_checks[route]


def find_next_check(row: pools.PoolRow) -> float:
    """Returns when the next check of an attempt may be due."""
    return min(
        (
            scheduled[0][0]
            + health.find_slow_threshold_seconds(row.times.find(route).median)
            for route, scheduled in row.overdue_checks.items()
        ),
        default=math.inf,
    )


def _is_running(request: tables.RequestRow, attempt: int) -> bool:
    """Returns True if an attempt of a request has not ended."""
    running = request.state is tables.RequestState.RUNNING
    return running and request.attempts == attempt

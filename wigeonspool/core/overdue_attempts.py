"""Looks at attempts that should have ended by now.

An attempt that hangs has no result to judge its target by, so each is looked
at once at the time from which it counts as slow. Attempts of a route wait for
that look in the order in which they were sent; those that ended are dropped
when they come first.
"""

import collections
import math

from wigeonspool.core import health
from wigeonspool.core import outlier_ejection
from wigeonspool.core import pools
from wigeonspool.core import tables


def schedule_check(row: pools.PoolRow, request: tables.RequestRow) -> bool:
    """Plans a look at an attempt when it should have ended.

    Args:
        row: Pool of the request.
        request: Request of the attempt.

    Returns:
        False if too little is known of its route.
    """
    median = row.times.find(request.route).median
    if not median:
        return False
    sent = row.overdue_checks.get(request.route)
    if sent is None:
        sent = row.overdue_checks[request.route] = collections.deque()
    sent.append((request.sent_at, request.attempts, request))
    return True


def check_overdue(now: float, row: pools.PoolRow) -> None:
    """Judges targets by attempts that should have ended by now.

    Args:
        now: Time on the core's clock, in seconds.
        row: Pool whose attempts are looked at.
    """
    for route, sent in list(row.overdue_checks.items()):
        slow = health.find_slow_threshold_seconds(row.times.find(route).median)
        while sent:
            sent_at, attempt, request = sent[0]
            if _is_running(request, attempt):
                if sent_at + slow > now:
                    break
                outlier_ejection.record_overdue(now, row, request)
            sent.popleft()
        if not sent:
            del row.overdue_checks[route]


def find_next_check(row: pools.PoolRow) -> float:
    """Returns by when an attempt may have to be looked at."""
    return min(
        (
            sent[0][0]
            + health.find_slow_threshold_seconds(row.times.find(route).median)
            for route, sent in row.overdue_checks.items()
        ),
        default=math.inf,
    )


def _is_running(request: tables.RequestRow, attempt: int) -> bool:
    """Returns True if an attempt of a request has not ended."""
    running = request.state is tables.RequestState.RUNNING
    return running and request.attempts == attempt

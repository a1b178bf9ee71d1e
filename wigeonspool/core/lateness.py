"""Looks at attempts that should have ended by now.

An attempt that hangs has no result to judge its target by, so each is looked
at once at the time from which it counts as slow.
"""

from collections.abc import Mapping
import heapq

from wigeonspool.core import health
from wigeonspool.core import pools
from wigeonspool.core import supervision
from wigeonspool.core import tables


def expect_end(
    now: float, row: pools.PoolRow, request: tables.RequestRow
) -> bool:
    """Plans a look at an attempt when it should have ended.

    Args:
        now: Time at which it was sent, on the core's clock, in seconds.
        row: Pool of the request.
        request: Request of the attempt.

    Returns:
        False if too little is known of its route.
    """
    median = row.times.find(request.route).median
    if not median:
        return False
    at = now + health.find_slow_seconds(median)
    heapq.heappush(row.overdue, (at, request.request_id, request.attempts))
    return True


def judge_overdue(
    now: float,
    row: pools.PoolRow,
    requests: Mapping[int, tables.RequestRow],
) -> None:
    """Judges targets by attempts that should have ended by now.

    Args:
        now: Time on the core's clock, in seconds.
        row: Pool whose attempts are looked at.
        requests: Requests that are not settled, by their numbers.
    """
    while row.overdue and row.overdue[0][0] <= now:
        _, request_id, attempt = heapq.heappop(row.overdue)
        request = requests.get(request_id)
        if (
            request is not None
            and request.state is tables.RequestState.RUNNING
            and request.attempts == attempt
        ):
            supervision.learn_overdue(now, row, request)

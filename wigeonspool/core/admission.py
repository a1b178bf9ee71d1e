"""Refuses requests that cannot be answered by their deadline.

A request waits behind the work that is queued before it. If that wait and its
own service time do not fit into the time left, it is refused as not run, so
that its caller may act early and no slot runs work whose response comes late.
"""

from typing import Final

from wigeonspool.core import tables

MAX_P99_FRACTION: Final = 0.5
# The wait may get longer than expected, because slots may move to another
# gateway in the meantime.
MAX_WAIT_FRACTION: Final = 0.5


def can_finish(
    now: float,
    request: tables.RequestRow,
    p99: float,
    wait: float,
) -> bool:
    """Returns True if a new request should be queued.

    Requests of lower priority may use only a fraction of the time that is left
    for waiting, so that they are refused first.

    Args:
        now: Time on the core's clock, in seconds.
        request: The new request.
        p99: 99th percentile of the service time of its route, in seconds.
        wait: Expected time until a slot is free for it, in seconds.
    """
    remaining = request.deadline - now
    # The p99 must fit too, but counts for at most a fraction of the time left,
    # so that an idle pool does not refuse a request whose p99 is longer.
    service_time = max(
        request.expected_seconds, min(p99, remaining * MAX_P99_FRACTION)
    )
    max_wait = (
        (remaining - service_time) * MAX_WAIT_FRACTION / (1 + request.priority)
    )
    return wait <= max_wait


def can_start(now: float, request: tables.RequestRow, p99: float) -> bool:
    """Returns True if a queued request may still be answered in time.

    A request that has waited yields to later ones unless it is likely to be in
    time; otherwise slots would run work that ends just after its deadline.

    Args:
        now: Time on the core's clock, in seconds.
        request: The next request of the queue.
        p99: 99th percentile of the service time of its route, in seconds.
    """
    service_time = request.expected_seconds
    if request.arrived_at < now:
        service_time = (service_time + max(service_time, p99)) / 2
    return now + service_time <= request.deadline

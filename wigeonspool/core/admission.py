"""Refuses at once what cannot be answered by its deadline.

A request waits behind the work that is queued before it. If that wait and its
own service time do not fit into the time that is left, it is refused as not
run, so that its caller may act and no slot works for nothing.
"""

from typing import Final

from wigeonspool.core import tables

MAX_P99_FRACTION: Final = 0.5
# Slots may move to another gateway while a request waits.
MAX_WAIT_FRACTION: Final = 0.5


def can_finish(
    now: float,
    request: tables.RequestRow,
    p99: float,
    wait: float,
) -> bool:
    """Returns True if a new request should be queued.

    Less important work may use only a part of the time that a queue can
    last, so that it is refused first.

    Args:
        now: Time on the core's clock, in seconds.
        request: The new request.
        p99: Time in which nearly all requests of its route are served.
        wait: Expected time until a slot is free for it.
    """
    remaining = request.deadline - now
    # Nearly all must fit, unless even an idle pool leaves no time for that.
    service_time = max(
        request.expected_seconds, min(p99, remaining * MAX_P99_FRACTION)
    )
    max_wait = (
        (remaining - service_time) * MAX_WAIT_FRACTION / (1 + request.priority)
    )
    return wait <= max_wait


def can_start(now: float, request: tables.RequestRow, p99: float) -> bool:
    """Returns True if a queued request may still be answered in time.

    One that has waited gives way to later ones unless it is likely to make
    it; otherwise slots would work for what ends just after its deadline.

    Args:
        now: Time on the core's clock, in seconds.
        request: The request whose turn it is.
        p99: Time in which nearly all requests of its route are served.
    """
    service_time = request.expected_seconds
    if request.arrived_at < now:
        service_time = (service_time + max(service_time, p99)) / 2
    return now + service_time <= request.deadline

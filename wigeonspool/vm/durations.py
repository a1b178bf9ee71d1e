"""Counts the durations of answered requests, by service.

The metrics library keeps such counts too, but is loaded only at the first
scrape, to which the durations before it must not be lost.
"""

import bisect
from typing import Final

# Upper bounds of the histogram of durations, in seconds.
BUCKETS_SECONDS: Final = (
    0.005,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    10.0,
)


class ServiceDurations:
    """The durations of the requests to one service.

    Attributes:
        counts: Requests by bucket, each counted in the first bucket that holds
            it; the last count is that of requests beyond all buckets.
        total_seconds: Sum of the durations.
    """

    __slots__ = ("counts", "total_seconds")

    def __init__(self) -> None:
        """Starts with no durations."""
        self.counts = [0] * (len(BUCKETS_SECONDS) + 1)
        self.total_seconds = 0.0


class Durations:
    """The durations of all requests.

    Attributes:
        services: Durations by service.
    """

    def __init__(self) -> None:
        """Starts with no durations."""
        self.services: dict[str, ServiceDurations] = {}

    def observe(self, service: str, seconds: float) -> None:
        """Counts one request.

        Args:
            service: Service that answered it.
            seconds: Time from its head to its response.
        """
        durations = self.services.get(service)
        if durations is None:
            durations = self.services[service] = ServiceDurations()
        durations.counts[bisect.bisect_left(BUCKETS_SECONDS, seconds)] += 1
        durations.total_seconds += seconds

"""Records the service times of each route.

The service time of an attempt is measured at this gateway, so it includes the
network latency to the target.
"""

from typing import Any, Final

from hdrh import histogram

MAX_MICROSECONDS: Final = 3_600_000_000
SIGNIFICANT_DIGITS: Final = 2
MIN_SAMPLES: Final = 20
REFRESH_SECONDS: Final = 0.25
WINDOW_SECONDS: Final = 5.0
FULL_RATE_SAMPLES: Final = 500
SAMPLING_INTERVAL: Final = 8
# A route has long work if its median exceeds the pool's median by this factor.
LONG_RATIO: Final = 8.0
MEAN_WEIGHT: Final = 0.01


class RouteServiceTimes:
    """Service times of one route, in seconds.

    Attributes:
        mean: Moving mean, or 0.0 before the first sample.
        median: Median of the last seconds, or 0.0 if not known.
        p99: 99th percentile of the last seconds, or 0.0 if not known.
        is_long: True if the route takes many times longer than others.
    """

    __slots__ = (
        "_count",
        "_window_ends_at",
        "_recorded",
        "_samples",
        "p99",
        "is_long",
        "mean",
        "median",
    )

    def __init__(self) -> None:
        """Creates an empty histogram."""
        self._samples: Any = histogram.HdrHistogram(
            1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS
        )
        self._count = 0
        self._recorded = 0
        self._window_ends_at = 0.0
        self.mean = 0.0
        self.median = 0.0
        self.p99 = 0.0
        self.is_long = False

    def record(self, seconds: float) -> None:
        """Adds the service time of one attempt."""
        self._count += 1
        self._recorded += 1
        # Once there are many samples, the quantiles do not need every one.
        if (
            self._count <= FULL_RATE_SAMPLES
            or not self._count % SAMPLING_INTERVAL
        ):
            self._samples.record_value(max(1, int(seconds * 1e6)))
        # With a constant weight, the first sample would dominate the mean of
        # the next hundred.
        weight = max(MEAN_WEIGHT, 1 / self._recorded)
        self.mean += (seconds - self.mean) * weight

    def refresh(self, now: float) -> None:
        """Updates the quantiles, and drops the samples after each window.

        Too few samples leave the quantiles as they are.
        """
        if self._count < MIN_SAMPLES:
            return
        find_percentile = self._samples.get_value_at_percentile
        self.median = find_percentile(50) / 1e6
        self.p99 = find_percentile(99) / 1e6
        if now >= self._window_ends_at:
            self._samples.reset()
            self._count = 0
            self._window_ends_at = now + WINDOW_SECONDS


class PoolServiceTimes:
    """Service times of the routes of one pool."""

    __slots__ = ("_counts", "_refresh_at", "_routes")

    def __init__(self) -> None:
        """Creates an empty table."""
        self._routes: dict[str, RouteServiceTimes] = {}
        self._counts: dict[str, int] = {}
        self._refresh_at = 0.0

    def find(self, route: str) -> RouteServiceTimes:
        """Returns the service times of a route, which it adds if needed."""
        times = self._routes.get(route)
        if times is None:
            times = RouteServiceTimes()
            self._routes[route] = times
        return times

    def record(self, route: str, seconds: float) -> None:
        """Adds the service time of one attempt of a route."""
        self.find(route).record(seconds)
        self._counts[route] = self._counts.get(route, 0) + 1

    def refresh(self, now: float) -> None:
        """Updates the quantiles and marks the routes with long work."""
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_SECONDS
        for times in self._routes.values():
            times.refresh(now)
        medians = {r: t.median for r, t in self._routes.items() if t.median}
        if not medians:
            return
        pool_median = _find_weighted_median(medians, self._counts)
        for route, times in self._routes.items():
            times.is_long = medians.get(route, 0.0) > LONG_RATIO * pool_median


def _find_weighted_median(
    medians: dict[str, float], counts: dict[str, int]
) -> float:
    """Returns the median of the routes' medians, weighted by requests."""
    half = sum(counts[route] for route in medians) / 2
    counted = 0
    median = 0.0
    for route in sorted(medians, key=lambda route: medians[route]):
        median = medians[route]
        counted += counts[route]
        if counted >= half:
            break
    return median

"""Learns how long the requests of each route run.

The service time of an attempt is what this gateway saw, so it contains the
link to the target.
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
LONG_RATIO: Final = 8.0
MEAN_WEIGHT: Final = 0.01


class RouteServiceTimes:
    """Service times of one route, in seconds.

    Attributes:
        mean: Moving mean, or 0.0 while nothing is known.
        median: Median of the last seconds, or 0.0.
        p99: Ninety-ninth percentile of the last seconds, or 0.0.
        is_long: True if its requests run many times longer than others.
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
        """Prepares an empty sketch."""
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
        """Takes the service time of one attempt."""
        self._count += 1
        self._recorded += 1
        # Quantiles of many samples do not need each of them.
        if (
            self._count <= FULL_RATE_SAMPLES
            or not self._count % SAMPLING_INTERVAL
        ):
            self._samples.record_value(max(1, int(seconds * 1e6)))
        # The first sample alone would stand for the next hundred.
        weight = max(MEAN_WEIGHT, 1 / self._recorded)
        self.mean += (seconds - self.mean) * weight

    def refresh(self, now: float) -> None:
        """Reads the quantiles; drops samples that are too old."""
        if self._count < MIN_SAMPLES:
            return
        read = self._samples.get_value_at_percentile
        self.median = read(50) / 1e6
        self.p99 = read(99) / 1e6
        if now >= self._window_ends_at:
            self._samples.reset()
            self._count = 0
            self._window_ends_at = now + WINDOW_SECONDS


class PoolServiceTimes:
    """Service times of the routes of one pool."""

    __slots__ = ("_counts", "_refresh_at", "_routes")

    def __init__(self) -> None:
        """Prepares an empty table."""
        self._routes: dict[str, RouteServiceTimes] = {}
        self._counts: dict[str, int] = {}
        self._refresh_at = 0.0

    def find(self, route: str) -> RouteServiceTimes:
        """Returns what is known of a route."""
        times = self._routes.get(route)
        if times is None:
            times = RouteServiceTimes()
            self._routes[route] = times
        return times

    def record(self, route: str, seconds: float) -> None:
        """Takes the service time of one attempt of a route."""
        self.find(route).record(seconds)
        self._counts[route] = self._counts.get(route, 0) + 1

    def refresh(self, now: float) -> None:
        """Brings quantiles up to date and marks the long routes."""
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_SECONDS
        for times in self._routes.values():
            times.refresh(now)
        known = {r: t.median for r, t in self._routes.items() if t.median}
        if not known:
            return
        typical = _find_weighted_median(known, self._counts)
        for route, times in self._routes.items():
            times.is_long = known.get(route, 0.0) > LONG_RATIO * typical


def _find_weighted_median(
    medians: dict[str, float], counts: dict[str, int]
) -> float:
    """Returns the median of routes' medians, weighted by requests."""
    half = sum(counts[route] for route in medians) / 2
    seen = 0
    median = 0.0
    for route in sorted(medians, key=lambda route: medians[route]):
        median = medians[route]
        seen += counts[route]
        if seen >= half:
            break
    return median

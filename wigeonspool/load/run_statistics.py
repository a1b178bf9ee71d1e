"""Statistics of one run of a policy in virtual time."""

import dataclasses
from typing import Any, Final

from hdrh import histogram

from wigeonspool.load import experiment as experiments
from wigeonspool.load import simulated_fleet
from wigeonspool.model import outcomes

MAX_LATENCY_MICROSECONDS: Final = 3_600_000_000
SIGNIFICANT_DIGITS: Final = 3


def _create_histogram() -> Any:
    """Returns an empty histogram of latencies in microseconds."""
    return histogram.HdrHistogram(
        1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS
    )


def get_percentile_ms(latencies: Any, percent: float) -> float:
    """Returns a percentile in milliseconds; NaN if nothing was recorded."""
    if not latencies.get_total_count():
        return float("nan")
    value: float = latencies.get_value_at_percentile(percent)
    return value / 1000


@dataclasses.dataclass(slots=True)
class RequestStatistics:
    """Counts of requests by outcome, and their latencies.

    Attributes:
        offered: Requests that callers sent.
        answered_in_time: Complete responses within the caller's deadline.
        delivered: Responses within the deadline that arrived within the
            window, regardless of when their requests were sent; counted for
            windows only.
        late: Successful responses after the caller's deadline.
        not_run: Requests that were reported to the caller as not run.
        unknown: Requests that were reported to the caller as possibly run.
        failed: Responses of a target that report a failure.
        attempts: Attempts that were sent to targets.
        faulty_attempts: Attempts sent to a target that had a fault.
        latencies: Histogram of the time to a successful response.
        refusals: Histogram of the time to a refusal.
    """

    offered: int = 0
    answered_in_time: int = 0
    delivered: int = 0
    late: int = 0
    not_run: int = 0
    unknown: int = 0
    failed: int = 0
    attempts: int = 0
    faulty_attempts: int = 0
    latencies: Any = dataclasses.field(default_factory=_create_histogram)
    refusals: Any = dataclasses.field(default_factory=_create_histogram)

    def record_success(self, latency: float, in_time: bool) -> None:
        """Records a successful response; the latency is in seconds."""
        self.latencies.record_value(max(1, round(latency * 1e6)))
        if in_time:
            self.answered_in_time += 1
        else:
            self.late += 1

    def record_refusal(self, latency: float) -> None:
        """Records a refusal; the latency is in seconds."""
        self.refusals.record_value(max(1, round(latency * 1e6)))
        self.not_run += 1

    def summarize(self) -> dict[str, float]:
        """Returns the statistics by name; times are in milliseconds."""
        return {
            "offered": self.offered,
            "answered_in_time": self.answered_in_time,
            "delivered": self.delivered,
            "late": self.late,
            "not_run": self.not_run,
            "unknown": self.unknown,
            "failed": self.failed,
            "attempts": self.attempts,
            "faulty_attempts": self.faulty_attempts,
            "faulty_share": self.faulty_attempts / max(1, self.attempts),
            "p50_ms": get_percentile_ms(self.latencies, 50),
            "p99_ms": get_percentile_ms(self.latencies, 99),
            "p99_9_ms": get_percentile_ms(self.latencies, 99.9),
            "refusal_p99_ms": get_percentile_ms(self.refusals, 99),
            "refusal_max_ms": get_percentile_ms(self.refusals, 100),
        }


class RunStatistics:
    """All statistics of one run of one policy.

    The warm-up is left out of the statistics by kind and window, and of the
    bytes sent; all other counts include it.

    Attributes:
        kinds: Statistics of "short" and of "long" requests.
        windows: Statistics of the requests and attempts that were sent in
            each window of the experiment, by its name.
        attempts: Attempts that were sent to targets.
        runs_twice: Non-idempotent requests that ran more than once.
        refused_but_ran: Requests that were reported as not run although a
            target began them.
        measuring_requests: Probes sent only to measure; always 0, since load
            is only reported on responses here.
        measuring_bytes: Bytes of load reports.
        total_bytes: Bytes between gateways, targets and callers.
        cross_region_bytes: Bytes that crossed regions.
        by_target: Attempts that each target began, by address.
        crashes: Target crashes caused by a request.
        suspected: Attempts that gateways gave up because their connection
            seemed unresponsive.
        silence_found_ms: Longest time until an unresponsive connection was
            detected.
    """

    def __init__(self, experiment: experiments.Experiment) -> None:
        """Creates empty statistics for the windows of an experiment."""
        self._experiment = experiment
        self.kinds = {"short": RequestStatistics(), "long": RequestStatistics()}
        self.windows = {w.name: RequestStatistics() for w in experiment.windows}
        self.attempts = 0
        self.runs_twice = 0
        self.refused_but_ran = 0
        self.measuring_requests = 0
        self.measuring_bytes = 0
        self.total_bytes = 0
        self.cross_region_bytes = 0
        self.crashes = 0
        self.suspected = 0
        self.silence_found_ms = 0.0
        self.by_target: dict[str, int] = {}

    def is_measured(self, sent_at: float) -> bool:
        """Returns True if a sending time is after the warm-up."""
        return sent_at >= self._experiment.warmup_seconds

    def record_request(self, request: simulated_fleet.SimulatedRequest) -> None:
        """Records a request that a caller sends."""
        for statistics in self._find_statistics(
            request.request_kind, request.sent_at
        ):
            statistics.offered += 1

    def record_attempt(
        self,
        sent_at: float,
        request: simulated_fleet.SimulatedRequest,
        is_faulty: bool,
    ) -> None:
        """Records an attempt under the time at which it was sent.

        Args:
            sent_at: When it was sent, in seconds.
            request: Its request.
            is_faulty: True if its target had a fault at that time.
        """
        for statistics in self._find_statistics(request.request_kind, sent_at):
            statistics.attempts += 1
            statistics.faulty_attempts += is_faulty

    def record_outcome(
        self,
        ended_at: float,
        request: simulated_fleet.SimulatedRequest,
        failure: outcomes.Failure | None,
    ) -> None:
        """Records the outcome of a request under the time it was sent.

        Args:
            ended_at: When the outcome reached the caller, in seconds.
            request: The request.
            failure: Failure that the caller received, or None if it received
                the response of a target.
        """
        if not request.request_kind.idempotent and request.runs > 1:
            self.runs_twice += 1
        reported_not_run = (
            failure is not None and failure.outcome is outcomes.Outcome.NOT_RUN
        )
        if reported_not_run and request.runs:
            self.refused_but_ran += 1
        if (
            failure is None
            and not request.failed
            and ended_at <= request.deadline
        ):
            for window in self._experiment.windows:
                if window.from_s <= ended_at < window.to_s:
                    self.windows[window.name].delivered += 1
        for statistics in self._find_statistics(
            request.request_kind, request.sent_at
        ):
            if reported_not_run:
                statistics.record_refusal(ended_at - request.sent_at)
            elif failure is not None:
                statistics.unknown += 1
            elif request.failed:
                statistics.failed += 1
            else:
                statistics.record_success(
                    ended_at - request.sent_at, ended_at <= request.deadline
                )

    def _find_statistics(
        self, request_kind: experiments.RequestKind, sent_at: float
    ) -> list[RequestStatistics]:
        """Returns the statistics of a kind and of the windows at a time.

        What is sent during the warm-up counts in no statistics.
        """
        if not self.is_measured(sent_at):
            return []
        kind = "long" if request_kind.long else "short"
        return [self.kinds[kind]] + [
            self.windows[window.name]
            for window in self._experiment.windows
            if window.from_s <= sent_at < window.to_s
        ]

    def summarize(self) -> dict[str, Any]:
        """Returns all statistics by name, as `decide` prints them."""
        return {
            "kinds": {k: s.summarize() for k, s in self.kinds.items()},
            "windows": {k: s.summarize() for k, s in self.windows.items()},
            "attempts": self.attempts,
            "runs_twice": self.runs_twice,
            "refused_but_ran": self.refused_but_ran,
            "crashes": self.crashes,
            "suspected": self.suspected,
            "silence_found_ms": self.silence_found_ms,
            "measuring_requests": self.measuring_requests,
            "measuring_bytes": self.measuring_bytes,
            "total_bytes": self.total_bytes,
            "cross_region_bytes": self.cross_region_bytes,
            "cross_region_fraction": (
                self.cross_region_bytes / self.total_bytes
                if self.total_bytes
                else 0.0
            ),
        }

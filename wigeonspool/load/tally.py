"""What a run in virtual time is measured by."""

import dataclasses
from typing import Any, Final

from hdrh import histogram

from wigeonspool.load import experiment as experiments
from wigeonspool.load import parties
from wigeonspool.model import outcomes

HIGHEST_MICROSECONDS: Final = 3_600_000_000
SIGNIFICANT_DIGITS: Final = 3


def _create_histogram() -> Any:
    return histogram.HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


def read_quantile(latencies: Any, percent: float) -> float:
    """Returns a quantile of a histogram, in milliseconds."""
    if not latencies.get_total_count():
        return float("nan")
    value: float = latencies.get_value_at_percentile(percent)
    return value / 1000


@dataclasses.dataclass(slots=True)
class Figures:
    """Counts of requests by how they ended, and their latencies.

    Attributes:
        offered: Requests that callers sent.
        answered_in_time: Whole answers within the caller's deadline.
        delivered: Answers in time that arrived within the window, whenever
            their requests were sent; counted for windows only.
        late: Answers sent as a success after the caller's deadline.
        not_run: Requests whose caller was told that they did not run.
        unknown: Requests whose caller was told that they may have run.
        failed: Answers of a target that tell of a failure.
        attempts: Attempts that were sent to targets.
        faulty_attempts: Those of them sent to a target that has a fault.
        latencies: Time to a successful answer.
        refusals: Time to a refusal.
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

    def record_answer(self, latency: float, in_time: bool) -> None:
        """Counts a successful answer; the latency is in seconds."""
        self.latencies.record_value(max(1, round(latency * 1e6)))
        if in_time:
            self.answered_in_time += 1
        else:
            self.late += 1

    def record_refusal(self, latency: float) -> None:
        """Counts a refusal; the latency is in seconds."""
        self.refusals.record_value(max(1, round(latency * 1e6)))
        self.not_run += 1

    def summarize(self) -> dict[str, float]:
        """Returns the figures by name; times are in milliseconds."""
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
            "p50_ms": read_quantile(self.latencies, 50),
            "p99_ms": read_quantile(self.latencies, 99),
            "p99_9_ms": read_quantile(self.latencies, 99.9),
            "refusal_p99_ms": read_quantile(self.refusals, 99),
            "refusal_max_ms": read_quantile(self.refusals, 100),
        }


class Tally:
    """All that is measured in one run of one policy.

    Attributes:
        kinds: Figures of "short" and "long" work.
        windows: Figures of all work sent in a part of the run.
        attempts: Attempts that reached targets.
        runs_twice: Non-idempotent requests that ran more than once.
        refused_but_ran: Requests told "not run" that a target began.
        measuring_requests: Probes sent only to measure.
        measuring_bytes: Bytes of probes and of load reports.
        total_bytes: Bytes between gateways, targets and callers.
        cross_region_bytes: Those of them that cross regions.
        by_target: Requests that each target began.
        crashes: Targets that a request crashed.
        suspected: Exchanges that gateways gave up as silent.
        silence_found_ms: Longest time until a silent connection was found.
    """

    def __init__(self, experiment: experiments.Experiment) -> None:
        """Prepares the figures that an experiment wants."""
        self._experiment = experiment
        self.kinds = {"short": Figures(), "long": Figures()}
        self.windows = {w.name: Figures() for w in experiment.windows}
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
        """Returns True if what is sent at a time counts."""
        return sent_at >= self._experiment.warmup_seconds

    def record_offer(self, job: parties.Job) -> None:
        """Counts a request that a caller sends."""
        for figures in self._list_figures(job.work, job.sent_at):
            figures.offered += 1

    def record_attempt(
        self, at: float, job: parties.Job, is_faulty: bool
    ) -> None:
        """Counts an attempt by the time at which it was sent.

        Args:
            at: When it was sent, in seconds.
            job: Its request.
            is_faulty: True if its target has a fault then.
        """
        for figures in self._list_figures(job.work, at):
            figures.attempts += 1
            figures.faulty_attempts += is_faulty

    def record_end(
        self, at: float, job: parties.Job, failure: outcomes.Failure | None
    ) -> None:
        """Counts how a request ended for its caller at a time."""
        if not job.work.idempotent and job.runs > 1:
            self.runs_twice += 1
        told_not_run = (
            failure is not None and failure.outcome is outcomes.Outcome.NOT_RUN
        )
        if told_not_run and job.runs:
            self.refused_but_ran += 1
        if failure is None and not job.failed and at <= job.deadline:
            for window in self._experiment.windows:
                if window.from_s <= at < window.to_s:
                    self.windows[window.name].delivered += 1
        for figures in self._list_figures(job.work, job.sent_at):
            if told_not_run:
                figures.record_refusal(at - job.sent_at)
            elif failure is not None:
                figures.unknown += 1
            elif job.failed:
                figures.failed += 1
            else:
                figures.record_answer(at - job.sent_at, at <= job.deadline)

    def _list_figures(self, work: experiments.Work, at: float) -> list[Figures]:
        """Returns the figures in which what is sent at a time counts."""
        if not self.is_measured(at):
            return []
        kind = "long" if work.long else "short"
        return [self.kinds[kind]] + [
            self.windows[window.name]
            for window in self._experiment.windows
            if window.from_s <= at < window.to_s
        ]

    def summarize(self) -> dict[str, Any]:
        """Returns all figures by name."""
        return {
            "kinds": {k: f.summarize() for k, f in self.kinds.items()},
            "windows": {k: f.summarize() for k, f in self.windows.items()},
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

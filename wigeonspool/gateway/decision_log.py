"""Samples decisions and records them on the timeline with their reasons."""

import math
import random
from typing import Final

from wigeonspool import eventlog
from wigeonspool.core import explanations
from wigeonspool.core import target_index
from wigeonspool.model import events

SEED: Final = 1
EVENT_KINDS: Final = {
    explanations.Decision.SENT: events.Kind.TARGET_CHOSEN,
    explanations.Decision.QUEUED: events.Kind.REQUEST_QUEUED,
    explanations.Decision.REFUSED: events.Kind.REQUEST_REFUSED,
}


class DecisionSampler:
    """Samples a random fraction of the requests.

    The number of requests until the next sample is drawn once per sample, so
    that a request that is not sampled costs one subtraction.
    """

    __slots__ = ("_fraction", "_requests_left", "_rng")

    def __init__(self, fraction: float) -> None:
        """Draws the number of requests before the first sample.

        Args:
            fraction: Fraction of the requests to sample, 0 to 1.
        """
        self._fraction = fraction
        self._rng = random.Random(SEED)
        self._requests_left = self._draw_interval()

    def should_sample(self) -> bool:
        """Returns True if the next request is sampled."""
        self._requests_left -= 1.0
        if self._requests_left >= 0.0:
            return False
        self._requests_left = self._draw_interval()
        return True

    def _draw_interval(self) -> float:
        """Returns how many requests to skip before the next sample."""
        if self._fraction <= 0.0:
            return math.inf
        if self._fraction >= 1.0:
            return 0.0
        uniform = 1.0 - self._rng.random()
        return math.log(uniform) // math.log1p(-self._fraction)


def record_decision(
    log: eventlog.EventLog, explanation: explanations.Explanation
) -> None:
    """Records a decision on the timeline."""
    log.record_decision(
        EVENT_KINDS[explanation.decision],
        explanation.request,
        explanation.target,
        _build_detail(explanation),
    )


def _build_detail(explanation: explanations.Explanation) -> events.Details:
    """Returns the fields of a timeline event that explain a decision."""
    detail = {
        "why": str(explanation.cause or explanation.reason),
        "pool": explanation.pool,
        "route": explanation.route,
        "attempt": str(explanation.attempt),
        "waited_ms": _format_ms(explanation.waited),
        "remaining_ms": _format_ms(explanation.remaining),
        "expected_wait_ms": _format_ms(explanation.expected_wait),
        "mean_ms": _format_ms(explanation.mean),
        "p99_ms": _format_ms(explanation.p99),
    }
    for group, (free, count) in zip(
        target_index.Group, explanation.groups, strict=False
    ):
        if count:
            detail[group.name.lower()] = f"{free} of {count} free"
    for number, candidate in enumerate(explanation.candidates, 1):
        detail[f"{events.CANDIDATE_PREFIX}{number}"] = _format_candidate(
            candidate
        )
    return detail


def _format_candidate(candidate: explanations.Candidate) -> str:
    """Formats a candidate for the timeline."""
    return (
        f"{candidate.address} {candidate.group.name.lower()}"
        f" {candidate.state.name.lower()}"
        f" {candidate.free} of {candidate.limit} free: {candidate.verdict}"
    )


def _format_ms(seconds: float) -> str:
    """Formats a time in seconds as milliseconds."""
    return f"{seconds * 1000:.1f}"

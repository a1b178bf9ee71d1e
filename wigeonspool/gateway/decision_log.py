"""Samples decisions and records them on the time line with their reasons."""

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
    """Chooses a part of the requests by chance.

    The distance to the next choice is drawn at each, so that a request that
    is not chosen costs a subtraction.
    """

    __slots__ = ("_fraction", "_requests_left", "_rng")

    def __init__(self, fraction: float) -> None:
        """Draws the first distance.

        Args:
            fraction: Part of the requests to choose, 0 to 1.
        """
        self._fraction = fraction
        self._rng = random.Random(SEED)
        self._requests_left = self._draw_interval()

    def should_sample(self) -> bool:
        """Returns True if the next request is chosen."""
        self._requests_left -= 1.0
        if self._requests_left >= 0.0:
            return False
        self._requests_left = self._draw_interval()
        return True

    def _draw_interval(self) -> float:
        """Returns how many requests lie before the next one to choose."""
        if self._fraction <= 0.0:
            return math.inf
        if self._fraction >= 1.0:
            return 0.0
        chance = 1.0 - self._rng.random()
        return math.log(chance) // math.log1p(-self._fraction)


def record_decision(
    log: eventlog.EventLog, explanation: explanations.Explanation
) -> None:
    """Records a decision on the time line."""
    log.record_decision(
        EVENT_KINDS[explanation.decision],
        explanation.request,
        explanation.target,
        _build_detail(explanation),
    )


def _build_detail(explanation: explanations.Explanation) -> events.Details:
    """Returns the reasons of a decision as texts by name."""
    detail = {
        "why": str(explanation.cause or explanation.reason),
        "pool": explanation.pool,
        "route": explanation.route,
        "attempt": str(explanation.attempt),
        "waited_ms": _format_ms(explanation.waited),
        "remaining_ms": _format_ms(explanation.remaining),
        "expected_wait_ms": _format_ms(explanation.wait),
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
    """Returns a candidate as text."""
    return (
        f"{candidate.address} {candidate.group.name.lower()}"
        f" {candidate.state.name.lower()}"
        f" {candidate.free} of {candidate.limit} free: {candidate.verdict}"
    )


def _format_ms(seconds: float) -> str:
    """Returns a time in milliseconds as text."""
    return f"{seconds * 1000:.1f}"

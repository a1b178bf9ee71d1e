"""Judges targets by the results of attempts, not by their own reports.

Each failed or slow attempt raises a target's score and each good one lowers it,
so that a rare slow response of a healthy target has no effect. A target whose
score reaches the limit is ejected. It is restored with one attempt at a time,
and its concurrency limit doubles with each success until it has all slots
again. The pool's bound on ejected targets always holds, over all gateways
together: a target that may not be ejected is demoted instead. A demoted target
runs one attempt at a time, and only while other targets have no free slots.
"""

from collections.abc import Sequence
from typing import Final

from wigeonspool.core import tables

SCORE_LIMIT: Final = 3.0
# A target of another gateway is demoted at its first failure, since many
# gateways would each have to see several.
SHARED_SCORE_LIMIT: Final = 1.0
SUCCESS_SCORE: Final = -0.25
SLOW_SCORE: Final = 1.0
FAILED_SCORE: Final = 1.0
SHED_SCORE: Final = 1.0
LOST_SCORE: Final = 1.5
# An attempt is slow if it takes longer than this many medians of its route.
SLOW_RATIO: Final = 8.0
MIN_SLOW_SECONDS: Final = 0.02
# Limits for a target on trial after an ejection. They are stricter, because by
# SLOW_RATIO half of the responses of a target that became ten times slower
# would count as good.
TRIAL_RATIO: Final = 3.0
MIN_TRIAL_SECONDS: Final = 0.01
EJECTION_SECONDS: Final = 0.2
# A target that sheds work is tried again sooner, since it may shed the work of
# all pools.
SHED_EJECTION_SECONDS: Final = 0.02
MAX_EJECTION_SECONDS: Final = 5.0
MAX_DOUBLINGS: Final = 5
# A target that reported that it is draining gets no work for this time, which
# probes may shorten or extend.
DRAINING_SECONDS: Final = 60.0


def find_slow_threshold_seconds(median: float) -> float:
    """Returns the time above which an attempt counts as slow, in seconds.

    Args:
        median: Median service time of its route in seconds, or 0.0 if not
            known; then no attempt counts as slow.
    """
    if median <= 0.0:
        return float("inf")
    return max(MIN_SLOW_SECONDS, SLOW_RATIO * median)


def find_trial_threshold_seconds(median: float) -> float:
    """Returns the slow threshold of a target that was ejected, in seconds.

    It applies until the target has all its slots again.

    Args:
        median: Median service time of its route in seconds, or 0.0 if not
            known; then no attempt counts as slow.
    """
    if median <= 0.0:
        return float("inf")
    return max(MIN_TRIAL_SECONDS, TRIAL_RATIO * median)


def record_success(row: tables.HealthRow, slots: int) -> None:
    """Lowers the score and doubles the concurrency limit.

    If the limit allowed all slots already, it is removed, and the next ejection
    counts as the first again.
    """
    row.score = max(0.0, row.score + SUCCESS_SCORE)
    if row.concurrency_limit >= slots:
        row.concurrency_limit = tables.UNLIMITED
        row.ejections = 0
        row.trial_advanced = False
    else:
        row.concurrency_limit *= 2


def record_failure(row: tables.HealthRow, score: float, slots: int) -> None:
    """Raises the score and halves the concurrency limit.

    Args:
        row: Target's health.
        score: Score of the failure.
        slots: Slots of the target.
    """
    row.score += score
    row.concurrency_limit = max(1, min(row.concurrency_limit, slots) // 2)


def score_result(
    result: tables.Result, seconds: float, slow_threshold_seconds: float
) -> float:
    """Returns the score of an attempt's result; 0.0 for a timely response.

    Args:
        result: How the attempt ended.
        seconds: How long it took.
        slow_threshold_seconds: Time above which it counts as slow, in seconds.
    """
    if result.kind is tables.ResultKind.FAILED:
        return FAILED_SCORE
    if result.kind is tables.ResultKind.NOT_RUN:
        return SHED_SCORE
    if result.kind is tables.ResultKind.LOST:
        return LOST_SCORE
    return SLOW_SCORE if seconds > slow_threshold_seconds else 0.0


def is_failing(row: tables.HealthRow) -> bool:
    """Returns True if a target should be ejected."""
    return row.score >= SCORE_LIMIT


def begin_ejection(
    row: tables.HealthRow, now: float, seconds: float = EJECTION_SECONDS
) -> None:
    """Starts an ejection.

    Each consecutive ejection doubles its time, up to MAX_EJECTION_SECONDS.

    Args:
        row: Target's health.
        now: Time on the core's clock, in seconds.
        seconds: Time of the first ejection.
    """
    doublings = min(row.ejections, MAX_DOUBLINGS)
    seconds = min(seconds * 2**doublings, MAX_EJECTION_SECONDS)
    row.ejected_until = now + seconds
    row.ejections += 1
    _reset_probe_state(row, now)


def begin_draining(row: tables.HealthRow, now: float) -> None:
    """Records that a target reported that it is draining."""
    if not row.draining_until:
        _reset_probe_state(row, now)
    row.draining_until = max(row.draining_until, now + DRAINING_SECONDS)


def _reset_probe_state(row: tables.HealthRow, now: float) -> None:
    """Records that a target becomes unavailable and clears its probe result."""
    row.unavailable_since = now
    row.probe_failed = False


def end_ejection(row: tables.HealthRow) -> None:
    """Restores a target with one attempt at a time.

    Its score is set so that one failure ejects it again.
    """
    row.score = SCORE_LIMIT - SLOW_SCORE
    row.concurrency_limit = 1


def begin_slow_start(row: tables.HealthRow) -> None:
    """Limits a new target to one attempt at a time at first."""
    row.concurrency_limit = 1


def begin_demotion(row: tables.HealthRow, now: float) -> None:
    """Demotes a target for as long as an ejection would last."""
    begin_ejection(row, now)
    row.demoted = True
    row.concurrency_limit = 0


def list_ejection_permits(
    addresses: Sequence[str], fraction: float
) -> frozenset[str]:
    """Returns the targets to which the ejection permits of a pool belong.

    A gateway may eject as many targets, these or others, as it owns of the
    returned ones. No message is needed to keep the bound, since each of them
    has one owner at most.

    Args:
        addresses: Targets of the pool in one zone, in an order in which
            neighbors belong to the same gateway.
        fraction: Bound on the fraction of them that is ejected at once.
    """
    return frozenset(
        address
        for index, address in enumerate(addresses)
        if int((index + 1) * fraction) > int(index * fraction)
    )

"""Judges targets by what their attempts show, not by what they report.

Each bad sign adds to a target's score and each good answer takes some off, so
that a rare slow answer of a healthy target does no harm. A target whose score
reaches the limit is ejected; it comes back with one attempt at a time and
earns its slots again. The pool's bound on ejected targets always holds, over
all gateways together: a target that may not be ejected is held instead. It
gets one attempt at a time, and only while others have no room.
"""

from collections.abc import Sequence
from typing import Final

from wigeonspool.core import tables

SCORE_LIMIT: Final = 3.0
# A target of another gateway is held at the first sign, since many gateways
# would each have to see several.
SHARED_SCORE_LIMIT: Final = 1.0
GOOD_SCORE: Final = -0.25
SLOW_SCORE: Final = 1.0
FAILED_SCORE: Final = 1.0
SHED_SCORE: Final = 1.0
LOST_SCORE: Final = 1.5
# An attempt is slow if it takes this many medians of its route.
SLOW_RATIO: Final = 8.0
MIN_SLOW_SECONDS: Final = 0.02
# A target on trial must do better: of a target that became ten times slower,
# half of the answers would pass as good.
TRIAL_RATIO: Final = 3.0
MIN_TRIAL_SECONDS: Final = 0.01
EJECTION_SECONDS: Final = 0.2
# A target that sheds is asked again sooner, for it may shed for all pools.
SHED_EJECTION_SECONDS: Final = 0.02
MAX_EJECTION_SECONDS: Final = 5.0
MAX_DOUBLINGS: Final = 5
# A target that said it is leaving gets nothing until it is heard of anew.
DRAINING_SECONDS: Final = 60.0


def find_slow_threshold_seconds(median: float) -> float:
    """Returns the time from which an attempt counts as slow, in seconds.

    Args:
        median: Median service time of its route, or 0.0 if not known.
    """
    if median <= 0.0:
        return float("inf")
    return max(MIN_SLOW_SECONDS, SLOW_RATIO * median)


def find_trial_threshold_seconds(median: float) -> float:
    """Returns the same for a target that was out and must earn its slots.

    Args:
        median: Median service time of its route, or 0.0 if not known.
    """
    if median <= 0.0:
        return float("inf")
    return max(MIN_TRIAL_SECONDS, TRIAL_RATIO * median)


def record_success(row: tables.HealthRow, slots: int) -> None:
    """Notes an answer in good time: the cap doubles up to the slots."""
    row.score = max(0.0, row.score + GOOD_SCORE)
    if row.concurrency_limit >= slots:
        row.concurrency_limit = tables.UNLIMITED
        row.ejections = 0
        row.trial_advanced = False
    else:
        row.concurrency_limit *= 2


def record_failure(row: tables.HealthRow, score: float, slots: int) -> None:
    """Notes a bad sign: the cap halves.

    Args:
        row: Target's health.
        score: Weight of the sign.
        slots: Slots of the target.
    """
    row.score += score
    row.concurrency_limit = max(1, min(row.concurrency_limit, slots) // 2)


def score_result(result: tables.Result, seconds: float, slow: float) -> float:
    """Returns the weight of an attempt's result; 0.0 if it is good.

    Args:
        result: How the attempt ended.
        seconds: How long it took.
        slow: Time from which it counts as slow, in seconds.
    """
    if result.kind is tables.ResultKind.FAILED:
        return FAILED_SCORE
    if result.kind is tables.ResultKind.NOT_RUN:
        return SHED_SCORE
    if result.kind is tables.ResultKind.LOST:
        return LOST_SCORE
    return SLOW_SCORE if seconds > slow else 0.0


def is_failing(row: tables.HealthRow) -> bool:
    """Returns True if a target should be ejected."""
    return row.score >= SCORE_LIMIT


def begin_ejection(
    row: tables.HealthRow, now: float, seconds: float = EJECTION_SECONDS
) -> None:
    """Takes a target out; each ejection in a row doubles the time.

    Args:
        row: Target's health.
        now: Time on the core's clock, in seconds.
        seconds: Time of a first ejection.
    """
    doublings = min(row.ejections, MAX_DOUBLINGS)
    seconds = min(seconds * 2**doublings, MAX_EJECTION_SECONDS)
    row.ejected_until = now + seconds
    row.ejections += 1
    _reset_probe_state(row, now)


def begin_draining(row: tables.HealthRow, now: float) -> None:
    """Takes a target out that said it is leaving."""
    if not row.draining_until:
        _reset_probe_state(row, now)
    row.draining_until = max(row.draining_until, now + DRAINING_SECONDS)


def _reset_probe_state(row: tables.HealthRow, now: float) -> None:
    """Notes that a target goes out; no probe has told of it yet."""
    row.unavailable_since = now
    row.probe_failed = False


def end_ejection(row: tables.HealthRow) -> None:
    """Lets a target back with one attempt; one bad sign ejects it again."""
    row.score = SCORE_LIMIT - SLOW_SCORE
    row.concurrency_limit = 1


def begin_slow_start(row: tables.HealthRow) -> None:
    """Lets a new target begin with one attempt at a time."""
    row.concurrency_limit = 1


def begin_demotion(row: tables.HealthRow, now: float) -> None:
    """Holds a target for as long as an ejection would take."""
    begin_ejection(row, now)
    row.demoted = True
    row.concurrency_limit = 0


def list_ejection_permits(
    order: Sequence[str], fraction: float
) -> frozenset[str]:
    """Returns the targets that stand for a permit to eject some target.

    Each gateway may eject as many targets as it owns of these. No message is
    needed to keep the bound, since each has one owner at most.

    Args:
        order: Addresses of the pool's targets of a zone; neighbors belong to
            the same gateway.
        fraction: Bound on the part of them that is out at once.
    """
    return frozenset(
        address
        for index, address in enumerate(order)
        if int((index + 1) * fraction) > int(index * fraction)
    )

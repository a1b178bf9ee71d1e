"""Ejects targets, lets them back and holds them to the pool's bound."""

from collections.abc import Mapping
import heapq

from wigeonspool.core import health
from wigeonspool.core import pools
from wigeonspool.core import tables
from wigeonspool.core import target_index
from wigeonspool.model import entities


def merge_target(
    row: pools.PoolRow, listed: entities.Target, draining: bool
) -> tables.TargetRow:
    """Returns the row of a listed target, with what is known of it.

    Args:
        row: Pool that lists it.
        listed: The operators' row.
        draining: True if the VM list calls it leaving.
    """
    known = row.targets.get(listed.address)
    if known is None:
        known = tables.TargetRow(listed.address, listed.zone, row.pool.slots)
        if row.targets:
            health.begin_slow_start(known.health)
    known.slots = row.pool.slots
    known.withdrawn = listed.drained or draining
    if known.withdrawn or known.health.draining_until:
        known.state = tables.TargetState.DRAINING
        row.record_degraded(known)
        row.ejected.discard(known.address)
    elif known.state is tables.TargetState.DRAINING:
        known.state = tables.TargetState.SERVING
    return known


def record_result(
    now: float,
    row: pools.PoolRow,
    request: tables.RequestRow,
    target: tables.TargetRow,
    result: tables.Result,
) -> None:
    """Judges a target by the result of an attempt.

    Args:
        now: Time on the core's clock, in seconds.
        row: Pool of the target.
        request: Request of the attempt.
        target: Target that it was sent to.
        result: How it ended.
    """
    if result.draining:
        begin_draining(now, row, target)
        return
    if result.refused:
        _eject(now, row, target)
        return
    median = row.times.find(request.route).median
    slow = health.find_slow_threshold_seconds(median)
    # The median tells nothing of the way to another region.
    if target.health.ejections and target.group != target_index.Group.REMOTE:
        slow = health.find_trial_threshold_seconds(median)
    seconds = now - request.sent_at
    score = health.score_result(result, seconds, slow)
    if not score:
        health.record_success(target.health, target.slots)
        if row.recovering and target.health.concurrency_limit >= target.slots:
            row.recovering.discard(target.address)
    elif not request.overdue or score != health.SLOW_SCORE:
        _record_failure(now, row, target, score)
        not_run = result.kind is tables.ResultKind.NOT_RUN
        if not_run and health.is_failing(target.health):
            _eject(now, row, target, health.SHED_EJECTION_SECONDS)


def record_overdue(
    now: float, row: pools.PoolRow, request: tables.RequestRow
) -> None:
    """Judges a target by an attempt that should have ended by now."""
    request.overdue = True
    target = row.targets.get(request.target)
    if target is not None:
        _record_failure(now, row, target, health.SLOW_SCORE)
        row.index.update(target)


def _record_failure(
    now: float, row: pools.PoolRow, target: tables.TargetRow, score: float
) -> None:
    """Notes a bad sign and ejects the target if that is one too many."""
    health.record_failure(target.health, score, target.slots)
    if target.group == target_index.Group.OWN:
        row.recovering.add(target.address)
    if target.state is not tables.TargetState.SERVING:
        return
    if target.health.demoted:
        _pause_demoted(now, row, target)
    elif health.is_failing(target.health) and row.may_eject(target):
        row.ejected.add(target.address)
        _eject(now, row, target)
    elif health.is_failing(target.health) or _is_shared(target):
        _demote(now, row, target)


def _is_shared(target: tables.TargetRow) -> bool:
    """Returns True if a target's slots are those of another gateway."""
    return target.group == target_index.Group.SHARED


def _demote(now: float, row: pools.PoolRow, target: tables.TargetRow) -> None:
    """Holds a target that may not be ejected."""
    row.record_degraded(target)
    health.begin_demotion(target.health, now)
    entry = (target.health.ejected_until, target.address)
    heapq.heappush(row.return_times, entry)
    _pause_demoted(now, row, target)


def _pause_demoted(
    now: float, row: pools.PoolRow, target: tables.TargetRow
) -> None:
    """Lets a held target rest, so that one that fails fast gets little."""
    target.health.concurrency_limit = 0
    entry = (now + health.SHED_EJECTION_SECONDS, target.address)
    heapq.heappush(row.return_times, entry)


def _eject(
    now: float,
    row: pools.PoolRow,
    target: tables.TargetRow,
    seconds: float = health.EJECTION_SECONDS,
) -> None:
    """Takes a target out for a time that doubles with each ejection.

    A target that refuses connections or work goes without regard to the
    bound, since nothing would run there anyway.
    """
    if target.state is not tables.TargetState.SERVING:
        return
    target.state = tables.TargetState.EJECTED
    target.health.demoted = False
    row.record_degraded(target)
    health.begin_ejection(target.health, now, seconds)
    entry = (target.health.ejected_until, target.address)
    heapq.heappush(row.return_times, entry)


def begin_draining(
    now: float, row: pools.PoolRow, target: tables.TargetRow
) -> None:
    """Takes out a target that said it is leaving."""
    target.state = tables.TargetState.DRAINING
    row.record_degraded(target)
    health.begin_draining(target.health, now)
    row.ejected.discard(target.address)
    entry = (target.health.draining_until, target.address)
    heapq.heappush(row.return_times, entry)


def restore_targets(now: float, row: pools.PoolRow) -> None:
    """Lets targets serve again whose time out is over."""
    while row.return_times and row.return_times[0][0] <= now:
        _, address = heapq.heappop(row.return_times)
        target = row.targets.get(address)
        if target is not None:
            _restore_target(now, row, target)


def _restore_target(
    now: float, row: pools.PoolRow, target: tables.TargetRow
) -> None:
    """Lets a target serve again if its time out is over."""
    row_health = target.health
    if target.state is tables.TargetState.EJECTED:
        if row_health.ejected_until > now:
            return
    elif target.state is tables.TargetState.DRAINING:
        if not 0.0 < row_health.draining_until <= now:
            return
        row_health.draining_until = 0.0
        if target.withdrawn:
            return
    elif not row_health.demoted:
        return
    elif row_health.ejected_until > now:
        row_health.concurrency_limit = max(1, row_health.concurrency_limit)
        row.index.update(target)
        return
    row_health.demoted = False
    row.ejected.discard(target.address)
    target.state = tables.TargetState.SERVING
    health.end_ejection(row_health)
    row.index.update(target)


def list_degraded(
    rows: Mapping[str, pools.PoolRow], degraded: set[tuple[str, str]]
) -> list[tuple[entities.Pool, tables.TargetRow]]:
    """Returns the targets that do not simply serve, with their pools.

    A target that serves again is listed once more, then it is dropped from the
    set. The cost does not grow with the targets that serve.

    Args:
        rows: All pools by name.
        degraded: Pool and address of the targets that were noted.
    """
    found: list[tuple[entities.Pool, tables.TargetRow]] = []
    for entry in sorted(degraded):
        pool, address = entry
        target = rows[pool].targets.get(address)
        if target is not None:
            found.append((rows[pool].pool, target))
        if target is None or tables.is_fully_serving(target):
            degraded.discard(entry)
    return found

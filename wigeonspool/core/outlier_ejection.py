"""Ejects, demotes and restores targets within the pool's ejection bound."""

from collections.abc import Mapping
import heapq

from wigeonspool.core import health
from wigeonspool.core import pools
from wigeonspool.core import tables
from wigeonspool.core import target_index
from wigeonspool.model import entities


def merge_target(
    row: pools.PoolRow, configured: entities.Target, draining: bool
) -> tables.TargetRow:
    """Returns the row of a configured target.

    A target that the pool contains already keeps its health. A target that is
    added to others starts with one attempt at a time.

    Args:
        row: Pool that contains the target.
        configured: Configuration of the target.
        draining: True if the VM list marks the target as leaving.
    """
    target = row.targets.get(configured.address)
    if target is None:
        target = tables.TargetRow(
            configured.address, configured.zone, row.pool.slots
        )
        if row.targets:
            health.begin_slow_start(target.health)
    target.slots = row.pool.slots
    target.drain_requested = configured.drained or draining
    if target.drain_requested or target.health.draining_until:
        target.state = tables.TargetState.DRAINING
        row.record_degraded(target)
        row.ejected.discard(target.address)
    elif target.state is tables.TargetState.DRAINING:
        target.state = tables.TargetState.SERVING
    return target


def record_result(
    now: float,
    row: pools.PoolRow,
    request: tables.RequestRow,
    target: tables.TargetRow,
    result: tables.Result,
) -> None:
    """Updates the health of a target with the result of an attempt.

    Args:
        now: Time on the core's clock, in seconds.
        row: Pool of the target.
        request: Request of the attempt.
        target: Target that the attempt was sent to.
        result: How the attempt ended.
    """
    if result.draining:
        begin_draining(now, row, target)
        return
    if result.connection_refused:
        _eject(now, row, target)
        return
    median = row.times.find(request.route).median
    slow = health.find_slow_threshold_seconds(median)
    # The median does not include the latency to another region, so remote
    # targets are not held to the stricter trial threshold.
    if target.health.ejections and target.group != target_index.Group.REMOTE:
        slow = health.find_trial_threshold_seconds(median)
    seconds = now - request.sent_at
    score = health.score_result(result, seconds, slow)
    if not score:
        health.record_success(target.health, target.slots)
        if row.recovering and target.health.concurrency_limit >= target.slots:
            row.recovering.discard(target.address)
    # An attempt that was counted as overdue is not counted as slow again.
    elif not request.overdue or score != health.SLOW_SCORE:
        _record_failure(now, row, target, score)
        not_run = result.kind is tables.ResultKind.NOT_RUN
        if not_run and health.is_failing(target.health):
            _eject(now, row, target, health.SHED_EJECTION_SECONDS)


def record_overdue(
    now: float, row: pools.PoolRow, request: tables.RequestRow
) -> None:
    """Records a failure for an attempt that should have ended by now."""
    request.overdue = True
    target = row.targets.get(request.target)
    if target is not None:
        _record_failure(now, row, target, health.SLOW_SCORE)
        row.index.update(target)


def _record_failure(
    now: float, row: pools.PoolRow, target: tables.TargetRow, score: float
) -> None:
    """Records a failure and ejects or demotes the target if needed.

    A failing target is ejected, or demoted if the bound does not allow its
    ejection. A target of another gateway is demoted at its first failure, since
    many gateways would each have to see several.
    """
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
    """Returns True if a target's slots belong to other gateways."""
    return target.group == target_index.Group.SHARED


def _demote(now: float, row: pools.PoolRow, target: tables.TargetRow) -> None:
    """Demotes a target that may not be ejected."""
    row.record_degraded(target)
    health.begin_demotion(target.health, now)
    entry = (target.health.ejected_until, target.address)
    heapq.heappush(row.restore_times, entry)
    _pause_demoted(now, row, target)


def _pause_demoted(
    now: float, row: pools.PoolRow, target: tables.TargetRow
) -> None:
    """Pauses a demoted target, so that fast failures attract few requests."""
    target.health.concurrency_limit = 0
    entry = (now + health.SHED_EJECTION_SECONDS, target.address)
    heapq.heappush(row.restore_times, entry)


def _eject(
    now: float,
    row: pools.PoolRow,
    target: tables.TargetRow,
    seconds: float = health.EJECTION_SECONDS,
) -> None:
    """Ejects a target for a time that doubles with each ejection.

    A target that refuses connections or work is ejected regardless of the
    bound, since it would not run the work anyway.
    """
    if target.state is not tables.TargetState.SERVING:
        return
    target.state = tables.TargetState.EJECTED
    target.health.demoted = False
    row.record_degraded(target)
    health.begin_ejection(target.health, now, seconds)
    entry = (target.health.ejected_until, target.address)
    heapq.heappush(row.restore_times, entry)


def begin_draining(
    now: float, row: pools.PoolRow, target: tables.TargetRow
) -> None:
    """Stops sending to a target that reported that it is draining."""
    target.state = tables.TargetState.DRAINING
    row.record_degraded(target)
    health.begin_draining(target.health, now)
    row.ejected.discard(target.address)
    entry = (target.health.draining_until, target.address)
    heapq.heappush(row.restore_times, entry)


def restore_targets(now: float, row: pools.PoolRow) -> None:
    """Restores the targets whose ejection, demotion or draining is over."""
    while row.restore_times and row.restore_times[0][0] <= now:
        _, address = heapq.heappop(row.restore_times)
        target = row.targets.get(address)
        if target is not None:
            _restore_target(now, row, target)


def _restore_target(
    now: float, row: pools.PoolRow, target: tables.TargetRow
) -> None:
    """Restores a target if its ejection, demotion or draining is over.

    If only the pause of a demoted target is over, it stays demoted and may run
    one attempt at a time.
    """
    target_health = target.health
    if target.state is tables.TargetState.EJECTED:
        if target_health.ejected_until > now:
            return
    elif target.state is tables.TargetState.DRAINING:
        if not 0.0 < target_health.draining_until <= now:
            return
        target_health.draining_until = 0.0
        if target.drain_requested:
            return
    elif not target_health.demoted:
        return
    elif target_health.ejected_until > now:
        target_health.concurrency_limit = max(
            1, target_health.concurrency_limit
        )
        row.index.update(target)
        return
    target_health.demoted = False
    row.ejected.discard(target.address)
    target.state = tables.TargetState.SERVING
    health.end_ejection(target_health)
    row.index.update(target)


def list_degraded(
    rows: Mapping[str, pools.PoolRow], degraded: set[tuple[str, str]]
) -> list[tuple[entities.Pool, tables.TargetRow]]:
    """Returns the targets that are not fully serving, with their pools.

    A target that serves fully again is listed once more and then removed from
    the set. The cost depends only on the size of the set, not of the pools.

    Args:
        rows: All pools by name.
        degraded: Pool name and address of the targets that were recorded as
            degraded; restored ones are removed from it.
    """
    listed: list[tuple[entities.Pool, tables.TargetRow]] = []
    for entry in sorted(degraded):
        pool, address = entry
        target = rows[pool].targets.get(address)
        if target is not None:
            listed.append((rows[pool].pool, target))
        if target is None or tables.is_fully_serving(target):
            degraded.discard(entry)
    return listed

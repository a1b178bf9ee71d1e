"""Ejects targets, lets them back and holds them to the pool's bound."""

from collections.abc import Mapping
import heapq

from wigeonspool.core import choosing
from wigeonspool.core import health
from wigeonspool.core import pools
from wigeonspool.core import tables
from wigeonspool.model import entities


def merge_target(
    row: pools.PoolRow, listed: entities.Target, leaving: bool
) -> tables.TargetRow:
    """Returns the row of a listed target, with what is known of it.

    Args:
        row: Pool that lists it.
        listed: The operators' row.
        leaving: True if the VM list calls it leaving.
    """
    known = row.targets.get(listed.address)
    if known is None:
        known = tables.TargetRow(listed.address, listed.zone, row.pool.slots)
        if row.targets:
            health.begin_cold(known.health)
    known.slots = row.pool.slots
    known.withdrawn = listed.drained or leaving
    if known.withdrawn or known.health.draining_until:
        known.state = tables.TargetState.DRAINING
        row.note_unusual(known)
        row.ejected.discard(known.address)
    elif known.state is tables.TargetState.DRAINING:
        known.state = tables.TargetState.SERVING
    return known


def learn_result(
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
        _take_out(now, row, target)
        return
    median = row.times.find(request.route).median
    slow = health.find_slow_seconds(median)
    # The median tells nothing of the way to another region.
    if target.health.ejections and target.group != choosing.Group.REMOTE:
        slow = health.find_trial_seconds(median)
    seconds = now - request.sent_at
    score = health.weigh_result(result, seconds, slow)
    if not score:
        health.note_good(target.health, target.slots)
        if row.impaired and target.health.cap >= target.slots:
            row.impaired.discard(target.address)
    elif not request.overdue or score != health.SLOW_SCORE:
        _note_bad(now, row, target, score)
        not_run = result.kind is tables.ResultKind.NOT_RUN
        if not_run and health.is_failing(target.health):
            _take_out(now, row, target, health.SHED_SECONDS)


def learn_overdue(
    now: float, row: pools.PoolRow, request: tables.RequestRow
) -> None:
    """Judges a target by an attempt that should have ended by now."""
    request.overdue = True
    target = row.targets.get(request.target)
    if target is not None:
        _note_bad(now, row, target, health.SLOW_SCORE)
        row.index.place(target)


def _note_bad(
    now: float, row: pools.PoolRow, target: tables.TargetRow, score: float
) -> None:
    """Notes a bad sign and ejects the target if that is one too many."""
    health.note_bad(target.health, score, target.slots)
    if target.group == choosing.Group.OWN:
        row.impaired.add(target.address)
    if target.state is not tables.TargetState.SERVING:
        return
    if target.health.held:
        _rest(now, row, target)
    elif health.is_failing(target.health) and row.may_eject(target):
        row.ejected.add(target.address)
        _take_out(now, row, target)
    elif health.is_failing(target.health) or _is_borrowed(target):
        _hold(now, row, target)


def _is_borrowed(target: tables.TargetRow) -> bool:
    """Returns True if a target's slots are those of another gateway."""
    return target.group == choosing.Group.SHARED


def _hold(now: float, row: pools.PoolRow, target: tables.TargetRow) -> None:
    """Holds a target that may not be ejected."""
    row.note_unusual(target)
    health.begin_hold(target.health, now)
    entry = (target.health.out_until, target.address)
    heapq.heappush(row.returns, entry)
    _rest(now, row, target)


def _rest(now: float, row: pools.PoolRow, target: tables.TargetRow) -> None:
    """Lets a held target rest, so that one that fails fast gets little."""
    target.health.cap = 0
    entry = (now + health.SHED_SECONDS, target.address)
    heapq.heappush(row.returns, entry)


def _take_out(
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
    target.health.held = False
    row.note_unusual(target)
    health.begin_ejection(target.health, now, seconds)
    entry = (target.health.out_until, target.address)
    heapq.heappush(row.returns, entry)


def begin_draining(
    now: float, row: pools.PoolRow, target: tables.TargetRow
) -> None:
    """Takes out a target that said it is leaving."""
    target.state = tables.TargetState.DRAINING
    row.note_unusual(target)
    health.begin_draining(target.health, now)
    row.ejected.discard(target.address)
    entry = (target.health.draining_until, target.address)
    heapq.heappush(row.returns, entry)


def restore_targets(now: float, row: pools.PoolRow) -> None:
    """Lets targets serve again whose time out is over."""
    while row.returns and row.returns[0][0] <= now:
        _, address = heapq.heappop(row.returns)
        target = row.targets.get(address)
        if target is not None:
            _restore_target(now, row, target)


def _restore_target(
    now: float, row: pools.PoolRow, target: tables.TargetRow
) -> None:
    """Lets a target serve again if its time out is over."""
    row_health = target.health
    if target.state is tables.TargetState.EJECTED:
        if row_health.out_until > now:
            return
    elif target.state is tables.TargetState.DRAINING:
        if not 0.0 < row_health.draining_until <= now:
            return
        row_health.draining_until = 0.0
        if target.withdrawn:
            return
    elif not row_health.held:
        return
    elif row_health.out_until > now:
        row_health.cap = max(1, row_health.cap)
        row.index.place(target)
        return
    row_health.held = False
    row.ejected.discard(target.address)
    target.state = tables.TargetState.SERVING
    health.end_ejection(row_health)
    row.index.place(target)


def list_unusual(
    rows: Mapping[str, pools.PoolRow], unusual: set[tuple[str, str]]
) -> list[tuple[entities.Pool, tables.TargetRow]]:
    """Returns the targets that do not simply serve, with their pools.

    A target that serves again is listed once more, then it is dropped from the
    set. The cost does not grow with the targets that serve.

    Args:
        rows: All pools by name.
        unusual: Pool and address of the targets that were noted.
    """
    found: list[tuple[entities.Pool, tables.TargetRow]] = []
    for place in sorted(unusual):
        pool, address = place
        target = rows[pool].targets.get(address)
        if target is not None:
            found.append((rows[pool].pool, target))
        if target is None or tables.is_usual(target):
            unusual.discard(place)
    return found

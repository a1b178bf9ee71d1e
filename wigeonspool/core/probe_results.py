"""Applies probe results to the targets that a gateway made unavailable.

A health endpoint may lag or be wrong, so a probe only moves the time of the
next trial with a caller's request. "Ok" advances one trial, and no further one
until the target has all its slots again: a failing target that reports "ok"
gets one trial more than without probes. Any other result postpones the trial,
up to a bound, and only while at least half of the pool serves.
"""

import heapq
from typing import Final

from wigeonspool.core import pools
from wigeonspool.core import tables
from wigeonspool.model import probe_messages

# Targets that may be restored within this time are not probed, since a probe
# takes about as long.
MIN_UNAVAILABLE_SECONDS: Final = 0.25
# A lagging endpoint shows the state before the target became unavailable. After
# this time, "ok" is no longer explained by lag.
MAX_LAG_SECONDS: Final = 30.0
POSTPONE_SECONDS: Final = 10.0
MAX_POSTPONE_SECONDS: Final = 30.0
DRAINING_POSTPONE_SECONDS: Final = 60.0
MAX_DRAINING_POSTPONE_SECONDS: Final = 300.0


def list_probe_targets(now: float, row: pools.PoolRow) -> tuple[str, ...]:
    """Returns the addresses of the targets that should be probed.

    These are the targets that are unavailable because of their own reports or
    failures, and will be for long enough that a probe can change their restore
    time.

    Args:
        now: Time on the core's clock, in seconds.
        row: Pool of the targets.
    """
    unavailable = set()
    for _, address in row.restore_times:
        target = row.targets.get(address)
        if (
            target is not None
            and find_restore_time(target) - now > MIN_UNAVAILABLE_SECONDS
        ):
            unavailable.add(address)
    return tuple(sorted(unavailable))


def find_restore_time(target: tables.TargetRow) -> float:
    """Returns when a target may be restored, on the core's clock.

    The time is 0.0 if the target is available, or drained by the configuration
    or the VM list.
    """
    if target.drain_requested:
        return 0.0
    if target.state is tables.TargetState.EJECTED:
        return target.health.ejected_until
    if target.state is tables.TargetState.DRAINING:
        return target.health.draining_until
    return 0.0


def apply_result(
    now: float,
    row: pools.PoolRow,
    address: str,
    state: probe_messages.ProbeState,
) -> None:
    """Applies the result of a probe if its target is unavailable.

    Args:
        now: Time on the core's clock, in seconds.
        row: Pool of the target.
        address: Address of the target.
        state: Result of the probe.
    """
    target = row.targets.get(address)
    if target is None or find_restore_time(target) <= now:
        return
    if state is probe_messages.ProbeState.OK:
        _advance_trial(now, row, target)
    else:
        _postpone_trial(now, row, target)


def _advance_trial(
    now: float, row: pools.PoolRow, target: tables.TargetRow
) -> None:
    """Lets a target have its next trial now, once until it has all its slots.

    "Ok" counts only after another result, or when it cannot be explained by lag
    any more.
    """
    health = target.health
    past_lag = now >= health.unavailable_since + MAX_LAG_SECONDS
    if health.trial_advanced or not (health.probe_failed or past_lag):
        return
    health.trial_advanced = True
    _set_restore_time(row, target, now)


def _postpone_trial(
    now: float, row: pools.PoolRow, target: tables.TargetRow
) -> None:
    """Postpones the next trial of a target, within bounds."""
    target.health.probe_failed = True
    serving = sum(
        other.state is tables.TargetState.SERVING
        for other in row.targets.values()
    )
    if 2 * serving < len(row.targets):
        return
    delay, max_delay = POSTPONE_SECONDS, MAX_POSTPONE_SECONDS
    if target.state is tables.TargetState.DRAINING:
        delay, max_delay = (
            DRAINING_POSTPONE_SECONDS,
            MAX_DRAINING_POSTPONE_SECONDS,
        )
    until = min(now + delay, target.health.unavailable_since + max_delay)
    if until > find_restore_time(target):
        _set_restore_time(row, target, until)


def _set_restore_time(
    row: pools.PoolRow, target: tables.TargetRow, until: float
) -> None:
    """Sets the time at which a target may be restored."""
    if target.state is tables.TargetState.DRAINING:
        target.health.draining_until = until
    else:
        target.health.ejected_until = until
    heapq.heappush(row.restore_times, (until, target.address))

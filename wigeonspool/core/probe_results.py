"""Takes what probes tell of the targets that a gateway holds out.

A health endpoint lags and misleads, so its word only moves the next trial by
a caller's request. "Ok" brings one trial forward, and no further one until
the target has earned all its slots: a target that says so while it fails gets
one trial more than it would without probes. Other words put the trial off, up
to a bound, and only while at least half of the pool serves.
"""

import heapq
from typing import Final

from wigeonspool.core import pools
from wigeonspool.core import tables
from wigeonspool.model import probe_messages

# A probe and its answer take about as long as a shorter time out.
MIN_EJECTION_SECONDS: Final = 0.25
# An endpoint that lags shows what was before the target went out.
MAX_LAG_SECONDS: Final = 30.0
POSTPONE_SECONDS: Final = 10.0
MAX_POSTPONE_SECONDS: Final = 30.0
DRAINING_POSTPONE_SECONDS: Final = 60.0
MAX_DRAINING_POSTPONE_SECONDS: Final = 300.0


def list_probe_targets(now: float, row: pools.PoolRow) -> tuple[str, ...]:
    """Returns the addresses of targets that should be measured.

    These are the targets that are out by what they said or did themselves,
    for long enough that a probe may still change it.

    Args:
        now: Time on the core's clock, in seconds.
        row: Pool of the targets.
    """
    unavailable = set()
    for _, address in row.return_times:
        target = row.targets.get(address)
        if (
            target is not None
            and find_return_time(target) - now > MIN_EJECTION_SECONDS
        ):
            unavailable.add(address)
    return tuple(sorted(unavailable))


def find_return_time(target: tables.TargetRow) -> float:
    """Returns when a target's own time out ends; 0.0 if there is none."""
    if target.withdrawn:
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
    """Takes the result of a probe; it changes only a target that is out.

    Args:
        now: Time on the core's clock, in seconds.
        row: Pool of the target.
        address: Address of the target.
        state: What the probe showed.
    """
    target = row.targets.get(address)
    if target is None or find_return_time(target) <= now:
        return
    if state is probe_messages.ProbeState.OK:
        _advance_trial(now, row, target)
    else:
        _postpone_trial(now, row, target)


def _advance_trial(
    now: float, row: pools.PoolRow, target: tables.TargetRow
) -> None:
    """Lets a target have its next trial now, once until it has proved itself.

    "Ok" counts after another word, or when no lag can explain it any more.
    """
    health = target.health
    is_late = now >= health.unavailable_since + MAX_LAG_SECONDS
    if health.trial_advanced or not (health.probe_failed or is_late):
        return
    health.trial_advanced = True
    _set_return_time(row, target, now)


def _postpone_trial(
    now: float, row: pools.PoolRow, target: tables.TargetRow
) -> None:
    """Puts the next trial of a target off, within bounds."""
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
    if until > find_return_time(target):
        _set_return_time(row, target, until)


def _set_return_time(
    row: pools.PoolRow, target: tables.TargetRow, until: float
) -> None:
    """Sets the time at which a target may serve again."""
    if target.state is tables.TargetState.DRAINING:
        target.health.draining_until = until
    else:
        target.health.ejected_until = until
    heapq.heappush(row.return_times, (until, target.address))

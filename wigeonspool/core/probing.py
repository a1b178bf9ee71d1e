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
from wigeonspool.model import measurements

# A probe and its answer take about as long as a shorter time out.
LEAST_OUT_SECONDS: Final = 0.25
# An endpoint that lags shows what was before the target went out.
LONGEST_LAG_SECONDS: Final = 30.0
HELD_SECONDS: Final = 10.0
LONGEST_HELD_SECONDS: Final = 30.0
DRAINING_HELD_SECONDS: Final = 60.0
LONGEST_DRAINING_SECONDS: Final = 300.0


def list_out(now: float, row: pools.PoolRow) -> tuple[str, ...]:
    """Returns the addresses of targets that should be measured.

    These are the targets that are out by what they said or did themselves,
    for long enough that a probe may still change it.

    Args:
        now: Time on the core's clock, in seconds.
        row: Pool of the targets.
    """
    out = set()
    for _, address in row.returns:
        target = row.targets.get(address)
        if target is not None and find_return(target) - now > LEAST_OUT_SECONDS:
            out.add(address)
    return tuple(sorted(out))


def find_return(target: tables.TargetRow) -> float:
    """Returns when a target's own time out ends; 0.0 if there is none."""
    if target.withdrawn:
        return 0.0
    if target.state is tables.TargetState.EJECTED:
        return target.health.out_until
    if target.state is tables.TargetState.DRAINING:
        return target.health.draining_until
    return 0.0


def take_result(
    now: float,
    row: pools.PoolRow,
    address: str,
    state: measurements.ProbeState,
) -> None:
    """Takes the result of a probe; it changes only a target that is out.

    Args:
        now: Time on the core's clock, in seconds.
        row: Pool of the target.
        address: Address of the target.
        state: What the probe showed.
    """
    target = row.targets.get(address)
    if target is None or find_return(target) <= now:
        return
    if state is measurements.ProbeState.OK:
        _bring_forward(now, row, target)
    else:
        _put_off(now, row, target)


def _bring_forward(
    now: float, row: pools.PoolRow, target: tables.TargetRow
) -> None:
    """Lets a target have its next trial now, once until it has proved itself.

    "Ok" counts after another word, or when no lag can explain it any more.
    """
    health = target.health
    is_late = now >= health.out_since + LONGEST_LAG_SECONDS
    if health.spared or not (health.denied or is_late):
        return
    health.spared = True
    _set_return(row, target, now)


def _put_off(now: float, row: pools.PoolRow, target: tables.TargetRow) -> None:
    """Puts the next trial of a target off, within bounds."""
    target.health.denied = True
    serving = sum(
        other.state is tables.TargetState.SERVING
        for other in row.targets.values()
    )
    if 2 * serving < len(row.targets):
        return
    held, longest = HELD_SECONDS, LONGEST_HELD_SECONDS
    if target.state is tables.TargetState.DRAINING:
        held, longest = DRAINING_HELD_SECONDS, LONGEST_DRAINING_SECONDS
    until = min(now + held, target.health.out_since + longest)
    if until > find_return(target):
        _set_return(row, target, until)


def _set_return(
    row: pools.PoolRow, target: tables.TargetRow, until: float
) -> None:
    """Sets the time at which a target may serve again."""
    if target.state is tables.TargetState.DRAINING:
        target.health.draining_until = until
    else:
        target.health.out_until = until
    heapq.heappush(row.returns, (until, target.address))

"""Builds the status of pools and targets that operators see."""

from wigeonspool.core import tables
from wigeonspool.gateway import fleet_view
from wigeonspool.gateway import scheduler as schedulers
from wigeonspool.model import entities
from wigeonspool.model import status_messages


def build_status(
    name: str,
    view: fleet_view.FleetView,
    scheduler: schedulers.Scheduler,
    pool: str = "",
) -> status_messages.GatewayStatus:
    """Returns the status of a gateway.

    Args:
        name: Name of the gateway.
        view: Active tables of the gateway.
        scheduler: Holds the gateway's core.
        pool: Name of the only pool to include, or "" for all.
    """
    pools = [p for p in view.tables.pools.values() if pool in ("", p.name)]
    queued = scheduler.core.count_queued()
    return status_messages.GatewayStatus(
        name,
        scheduler.core.count_unsettled(),
        tuple(_build_pool(view, scheduler, p, queued[p.name]) for p in pools),
    )


def _build_pool(
    view: fleet_view.FleetView,
    scheduler: schedulers.Scheduler,
    pool: entities.Pool,
    queued: int,
) -> status_messages.PoolStatus:
    """Returns the status of one pool."""
    drained_addresses = {t.address for t in pool.targets if t.drained}
    targets = tuple(
        status_messages.TargetStatus(
            address=row.address,
            zone=row.zone,
            state=row.state.name.lower(),
            reason=explain_state(
                row, row.state, row.address in drained_addresses, view
            ),
            in_flight=row.in_flight,
            slots=row.slots,
        )
        for row in scheduler.core.list_targets(pool.name)
    )
    return status_messages.PoolStatus(pool.name, queued, targets)


def explain_state(
    row: tables.TargetRow,
    state: tables.TargetState,
    drained: bool,
    view: fleet_view.FleetView,
) -> str:
    """Returns why a target is in a state, or "" if it serves normally.

    Args:
        row: The target.
        state: State to explain.
        drained: True if the tables mark the target as drained by an operator.
        view: Lists the targets that are draining by the VM list.
    """
    if state is tables.TargetState.DRAINING:
        if drained:
            return "drained by an operator"
        if row.address in view.draining_targets:
            return "leaving, says the VM list"
        return "the target said so"
    if state is tables.TargetState.EJECTED:
        return f"slow or failing (score {row.health.score:.1f})"
    if row.health.demoted:
        return f"held, slow or failing (score {row.health.score:.1f})"
    return ""

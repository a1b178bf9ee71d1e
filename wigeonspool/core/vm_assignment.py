"""Chooses the VMs that are assigned to the callers of a zone.

A VM chooses targets better if most of their requests are in its own counts, so
the callers of a zone are sent to few VMs. All VMs assign the same ones, since
they compute the same order.
"""

from collections.abc import Collection, Iterable
from typing import Final

from wigeonspool.core import rendezvous
from wigeonspool.model import fleet

MIN_ASSIGNED_VMS: Final = 2
# Above this utilization of the assigned VMs, more VMs are assigned.
BUSY_UTILIZATION: Final = 0.55
# VMs that are pinged for the callers of a zone at most. A zone has fewer.
MAX_MONITORED_VMS: Final = 24


def rank_vms(
    zone: str, region: str, vms: Iterable[fleet.VmEntry]
) -> list[fleet.VmEntry]:
    """Returns VMs in the order in which a zone's callers should use them.

    VMs of the zone come first, then VMs of its region, then the others. Within
    each, larger VMs come first, since they add less time to each request.

    Args:
        zone: Availability zone of the callers.
        region: Region of that zone.
        vms: VMs that accept callers.
    """
    by_name = {vm.name: vm for vm in vms}
    order = rendezvous.rank_members(f"callers/{zone}", by_name)
    ranked = [by_name[name] for name in order]
    ranked.sort(
        key=lambda vm: (vm.zone != zone, vm.region != region, -vm.capacity)
    )
    return ranked


def assign_vms(
    zone: str,
    ranked: list[fleet.VmEntry],
    live: Collection[str],
    utilization: float,
    count: int = MIN_ASSIGNED_VMS,
    confirmed: Collection[str] | None = None,
) -> list[fleet.VmEntry]:
    """Returns the VMs that are assigned to a zone's callers.

    VMs that have not replied yet are assigned only if no VM has. After a loss
    of power, callers therefore use the VMs that have started again.

    Args:
        zone: Availability zone of the callers.
        ranked: VMs in order of preference.
        live: Names of the VMs that are not known to be unavailable.
        utilization: Load of the VMs assigned now, as a fraction of their
            capacity.
        count: VMs to assign while they are not busy.
        confirmed: Names of the VMs that have replied; None for all.
    """
    usable = [vm for vm in ranked if vm.name in live]
    if confirmed is not None:
        usable = [vm for vm in usable if vm.name in confirmed] or usable
    if utilization > BUSY_UTILIZATION:
        count = max(count, round(count * utilization / BUSY_UTILIZATION))
    same_zone = [vm for vm in usable if vm.zone == zone]
    return (same_zone or usable)[:count]


def list_monitored(
    ranked: list[fleet.VmEntry], live: Collection[str], count: int
) -> list[fleet.VmEntry]:
    """Returns the VMs to ping, so that some live ones are among them.

    Unavailable VMs before these are pinged too, since they may return.

    Args:
        ranked: VMs in order of preference.
        live: Names of the VMs that are not known to be unavailable.
        count: Live VMs to ping.
    """
    monitored: list[fleet.VmEntry] = []
    for vm in ranked[:MAX_MONITORED_VMS]:
        monitored.append(vm)
        count -= vm.name in live
        if count <= 0:
            break
    return monitored

"""Chooses which VMs the callers of a zone are told to use.

Few VMs that know their own counts choose better than many that do not, so
the callers of a zone are sent to few. All VMs name the same ones, since they
rank them in the same way.
"""

from collections.abc import Collection, Iterable
from typing import Final

from wigeonspool.core import rendezvous
from wigeonspool.model import fleet

MIN_ASSIGNED_VMS: Final = 2
# A VM that is busier than this part of its capacity needs company.
BUSY_UTILIZATION: Final = 0.55


def rank_vms(
    zone: str, region: str, vms: Iterable[fleet.VmEntry]
) -> list[fleet.VmEntry]:
    """Returns VMs in the order in which a zone's callers should use them.

    Those of the zone come first, then those of its region, then the others;
    among them larger VMs, which add less to each request.

    Args:
        zone: Availability zone of the callers.
        region: Region of that zone.
        vms: VMs that take callers.
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
) -> list[fleet.VmEntry]:
    """Returns the VMs that a zone's callers are told of.

    Args:
        zone: Availability zone of the callers.
        ranked: VMs in order of preference.
        live: Names of those that are known to live.
        utilization: How busy those named now are, as a part of their capacity.
        count: VMs to name while they are not busy.
    """
    usable = [vm for vm in ranked if vm.name in live]
    if utilization > BUSY_UTILIZATION:
        count = max(count, round(count * utilization / BUSY_UTILIZATION))
    same_zone = [vm for vm in usable if vm.zone == zone]
    return (same_zone or usable)[:count]

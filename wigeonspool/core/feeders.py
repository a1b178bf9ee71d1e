"""Chooses which VMs follow the store and which VMs the others follow.

A VM that follows the store feeds its changes to other VMs, which follow that
VM. One VM of each region always follows the store. Any other VM does so too
once a follower connects to it, so a VM may follow any VM that it can connect
to, and the VMs need no agreement.
"""

from collections.abc import Iterable
from typing import Final

from wigeonspool.core import rendezvous
from wigeonspool.model import fleet

# VMs of the own region to try before those of other regions.
MAX_REGION_FEEDERS: Final = 2


def rank_feeders(
    region: str, vms: Iterable[fleet.VmEntry]
) -> list[fleet.VmEntry]:
    """Returns the VMs of a region in the order in which they should feed.

    Larger VMs come first, since feeding costs them a smaller fraction of their
    capacity.
    """
    listed = {vm.name: vm for vm in vms if vm.region == region}
    order = rendezvous.rank_members(f"feeders/{region}", listed)
    ranked = [listed[name] for name in order]
    ranked.sort(key=lambda vm: -vm.capacity)
    return ranked


def list_feeders(
    own: fleet.VmEntry, vms: Iterable[fleet.VmEntry]
) -> list[fleet.VmEntry] | None:
    """Returns the VMs to follow, the preferred one first.

    Args:
        own: Entry of this VM.
        vms: All VMs that are known to be live, including this one.

    Returns:
        The VMs, or None if this VM is the first of its region and follows the
        store.
    """
    listed = list(vms)
    in_region = rank_feeders(own.region, listed)
    is_first = not in_region or in_region[0].name == own.name
    other_regions = sorted({vm.region for vm in listed} - {own.region})
    remote_feeders = [
        rank_feeders(region, listed)[0] for region in other_regions
    ]
    if is_first:
        return None
    local_feeders = [vm for vm in in_region if vm.name != own.name][
        :MAX_REGION_FEEDERS
    ]
    return local_feeders + remote_feeders


def list_fallbacks(
    own: fleet.VmEntry, vms: Iterable[fleet.VmEntry]
) -> list[fleet.VmEntry]:
    """Returns the VMs to follow for a VM that cannot connect to the store.

    They are one VM of each region, that of the own region last.
    """
    listed = [vm for vm in vms if vm.name != own.name]
    regions = sorted(
        {vm.region for vm in listed}, key=lambda name: name == own.region
    )
    return [rank_feeders(region, listed)[0] for region in regions]

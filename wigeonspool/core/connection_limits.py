"""The part of a target's connections that this VM may keep open while idle.

A target accepts a limited number of connections from all VMs together, and
resets those beyond it.
"""

from collections.abc import Iterable
from typing import Final

MAX_IDLE_PER_TARGET: Final = 8
# The rest is for connections in use.
IDLE_FRACTION: Final = 0.75


def find_idle_limit(max_connections: Iterable[int], vms: int) -> int:
    """Returns how many idle connections to one target a VM may keep.

    Args:
        max_connections: For each service, the connections that one target
            accepts from all VMs together; 0 where that is unknown.
        vms: Number of registered VMs.
    """
    known = min((limit for limit in max_connections if limit), default=None)
    if known is None:
        return MAX_IDLE_PER_TARGET
    vm_part = int(known * IDLE_FRACTION / max(1, vms))
    return max(1, min(MAX_IDLE_PER_TARGET, vm_part))

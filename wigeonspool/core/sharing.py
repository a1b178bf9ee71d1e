"""Divides the slots of a pool between the gateways that serve it.

A slot that only one gateway uses is counted exactly there, without a message.
All gateways divide alike, since they compute from the same names.
"""

from collections.abc import Sequence
import math

from wigeonspool.core import assignments
from wigeonspool.model import entities


def count_gateways(demand: float, carried: float, least: int, kept: int) -> int:
    """Returns how many gateways a pool needs in a zone.

    The count grows at once, and shrinks only when one fewer would still have
    room to spare, so that it does not swing with every reading.

    Args:
        demand: Requests per second.
        carried: Requests per second that one gateway carries.
        least: Fewest gateways.
        kept: Count until now.
    """
    wanted = max(least, math.ceil(demand / carried))
    if wanted >= kept:
        return wanted
    roomy = max(least, math.ceil(demand / (carried * 0.7)))
    return min(kept, roomy)


def divide_slots(
    pool: entities.Pool, zone: str, gateways: Sequence[str]
) -> dict[str, dict[str, int]]:
    """Returns for each gateway the slots it may use, by target address.

    Args:
        pool: Pool whose targets of a zone are divided.
        zone: Availability zone.
        gateways: Names of the gateways that share it.
    """
    shares: dict[str, dict[str, int]] = {name: {} for name in gateways}
    near = {
        target.address: target
        for target in pool.targets
        if target.zone == zone and not target.drained
    }
    if not gateways or not near:
        return shares
    order = assignments.rank_members(pool.name, near)
    total = len(order) * pool.slots
    for slot in range(total):
        owner = gateways[slot * len(gateways) // total]
        address = order[slot // pool.slots]
        share = shares[owner]
        share[address] = share.get(address, 0) + 1
    return shares

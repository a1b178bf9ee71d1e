"""Divides the slots of a pool between the gateways that serve it.

A slot that only one gateway uses is counted exactly there, without a message.
All gateways divide alike, since they compute from the same names.
"""

from collections.abc import Iterable, Sequence
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


class Crews:
    """Which gateways serve a pool in a zone, by demand."""

    __slots__ = ("_carried", "_kept", "_least")

    def __init__(self, carried: float, least: int) -> None:
        """Prepares an empty table.

        Args:
            carried: Requests per second that one gateway carries.
            least: Fewest gateways of a pool and zone.
        """
        self._carried = carried
        self._least = least
        self._kept: dict[tuple[str, str], int] = {}

    def find(
        self, pool: str, zone: str, gateways: Iterable[entities.Gateway]
    ) -> list[entities.Gateway]:
        """Returns the gateways to name to the pool's callers of a zone."""
        count = self._kept.get((pool, zone), self._least)
        return assignments.choose_gateways(pool, zone, gateways, count)

    def divide(
        self,
        pool: entities.Pool,
        zone: str,
        gateways: Sequence[entities.Gateway],
        name: str,
    ) -> dict[str, int]:
        """Takes digests of demand and divides the pool anew.

        Args:
            pool: Pool to divide.
            zone: Availability zone of the gateway that asks.
            gateways: Live gateways with their demand.
            name: The gateway that asks.

        Returns:
            The slots that it may use, by target address.
        """
        demand = sum(
            gateway.demand.get(pool.name, 0.0)
            for gateway in gateways
            if gateway.zone == zone
        )
        kept = self._kept.get((pool.name, zone), self._least)
        count = count_gateways(demand, self._carried, self._least, kept)
        self._kept[(pool.name, zone)] = count
        crew = self.find(pool.name, zone, gateways)
        names = [gateway.name for gateway in crew]
        return divide_slots(pool, zone, names).get(name, {})

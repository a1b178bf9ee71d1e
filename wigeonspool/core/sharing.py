"""Divides the slots of a pool between the gateways that serve it.

A slot that only one gateway uses is counted exactly there, without a message.
All gateways divide alike, since they compute from the same names.
"""

from collections.abc import Iterable, Mapping, Sequence
import math
from typing import Final

from wigeonspool.core import assignments
from wigeonspool.model import entities

STEPS_PER_PART: Final = 4
LEAST_PART: Final = 0.05


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
    pool: entities.Pool, zone: str, weights: Mapping[str, float]
) -> dict[str, dict[str, int]]:
    """Returns for each gateway the slots it may use, by target address.

    Args:
        pool: Pool whose targets of a zone are divided.
        zone: Availability zone.
        weights: Parts of the gateways that share it, in their order.
    """
    shares: dict[str, dict[str, int]] = {name: {} for name in weights}
    near = {
        target.address: target
        for target in pool.targets
        if target.zone == zone and not target.drained
    }
    if not weights or not near:
        return shares
    order = assignments.rank_members(pool.name, near)
    total = len(order) * pool.slots
    whole = sum(weights.values())
    seen = 0.0
    begin = 0
    for name, weight in weights.items():
        seen += weight
        end = round(total * seen / whole)
        for slot in range(begin, end):
            address = order[slot // pool.slots]
            shares[name][address] = shares[name].get(address, 0) + 1
        begin = end
    return shares


def weigh_gateways(
    pool: str,
    crew: Iterable[entities.Gateway],
    gateways: Iterable[entities.Gateway],
    renewed: float = 0.0,
) -> dict[str, float]:
    """Returns each gateway's part of a pool, by the demand that it will meet.

    Callers keep old answers, so demand follows the crew late; a part that did
    not follow demand would leave some gateways short of slots meanwhile. A
    digest tells of demand that is a heartbeat old while its division holds, so
    the callers that ask anew within a heartbeat are counted where they go.
    Parts are rounded, so that noise moves no slots.

    Args:
        pool: Name of the pool.
        crew: Gateways that callers are told of now.
        gateways: All gateways of the zone.
        renewed: Part of the callers that ask anew within a heartbeat.
    """
    members = {gateway.name for gateway in crew}
    demand = {g.name: g.demand.get(pool, 0.0) for g in gateways}
    whole = sum(demand.values())
    if not whole:
        return {name: 1.0 for name in demand if name in members}
    mean = whole / max(1, len(members))
    weights = {}
    for name, met in demand.items():
        gained = mean if name in members else 0.0
        expected = met + (gained - met) * renewed
        weight = round(expected / mean * STEPS_PER_PART) / STEPS_PER_PART
        if name in members:
            weight = max(weight, LEAST_PART)
        if weight:
            weights[name] = weight
    return weights


def choose_gateways(
    pool: str,
    zone: str,
    gateways: Iterable[entities.Gateway],
    count: int,
) -> list[entities.Gateway]:
    """Returns the gateways that serve a pool's callers of a zone.

    They are few, since the best knowledge of a target is one's own count of
    attempts there, and that is complete only if few send.

    Args:
        pool: Pool that the caller wants.
        zone: Availability zone of the caller.
        gateways: Live gateways.
        count: Gateways wanted; they lie on different VMs if possible.
    """
    known = {g.name: g for g in gateways}
    # If all are leaving, one that still serves is better than none.
    live = {n: g for n, g in known.items() if not g.draining} or known
    near = {n: g for n, g in live.items() if g.zone == zone}
    candidates = near or live
    ranked = assignments.rank_members(f"{pool}/{zone}", candidates)
    chosen: list[entities.Gateway] = []
    for name in ranked:
        gateway = candidates[name]
        if all(other.vm != gateway.vm for other in chosen):
            chosen.append(gateway)
    chosen += [candidates[n] for n in ranked if candidates[n] not in chosen]
    return chosen[:count]


class Crews:
    """Which gateways serve a pool in a zone, by demand."""

    __slots__ = ("_carried", "_kept", "_least", "_renewed")

    def __init__(
        self, carried: float, least: int, renewed: float = 0.0
    ) -> None:
        """Prepares an empty table.

        Args:
            carried: Requests per second that one gateway carries.
            least: Fewest gateways of a pool and zone.
            renewed: Part of the callers that ask anew within a heartbeat.
        """
        self._carried = carried
        self._least = least
        self._renewed = min(1.0, renewed)
        self._kept: dict[tuple[str, str], int] = {}

    def find(
        self, pool: str, zone: str, gateways: Iterable[entities.Gateway]
    ) -> list[entities.Gateway]:
        """Returns the gateways to name to the pool's callers of a zone."""
        listed = list(gateways)
        demand = sum(
            gateway.demand.get(pool, 0.0)
            for gateway in listed
            if gateway.zone == zone
        )
        kept = self._kept.get((pool, zone), self._least)
        count = count_gateways(demand, self._carried, self._least, kept)
        self._kept[(pool, zone)] = count
        return choose_gateways(pool, zone, listed, count)

    def divide(
        self,
        pool: entities.Pool,
        zone: str,
        gateways: Sequence[entities.Gateway],
        name: str,
    ) -> dict[str, int]:
        """Divides a pool by the latest digests of demand.

        Args:
            pool: Pool to divide.
            zone: Availability zone of the gateway that asks.
            gateways: Live gateways with their demand.
            name: The gateway that asks.

        Returns:
            The slots that it may use, by target address.
        """
        crew = self.find(pool.name, zone, gateways)
        near = [gateway for gateway in gateways if gateway.zone == zone]
        near.sort(key=lambda gateway: gateway.name)
        weights = weigh_gateways(pool.name, crew, near, self._renewed)
        return divide_slots(pool, zone, weights).get(name, {})

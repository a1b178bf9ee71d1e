"""Divides the slots of a pool between the gateways that serve it.

A slot that only one gateway uses is counted exactly there, without a message.
All gateways divide alike, since they compute from the same names.
"""

from collections.abc import Iterable, Mapping, Sequence
import math
from typing import Final

from wigeonspool.core import rendezvous
from wigeonspool.model import entities

WEIGHT_STEPS: Final = 4
MIN_WEIGHT: Final = 0.05


def count_gateways(
    demand: float, gateway_capacity: float, min_gateways: int, current: int
) -> int:
    """Returns how many gateways a pool needs in a zone.

    The count grows at once, and shrinks only when one fewer would still have
    room to spare, so that it does not swing with every reading.

    Args:
        demand: Requests per second.
        gateway_capacity: Requests per second that one gateway carries.
        min_gateways: Fewest gateways.
        current: Count until now.
    """
    required = max(min_gateways, math.ceil(demand / gateway_capacity))
    if required >= current:
        return required
    required_with_headroom = max(
        min_gateways, math.ceil(demand / (gateway_capacity * 0.7))
    )
    return min(current, required_with_headroom)


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
    same_zone = {
        target.address: target
        for target in pool.targets
        if target.zone == zone and not target.drained
    }
    if not weights or not same_zone:
        return shares
    order = rendezvous.rank_members(pool.name, same_zone)
    total = len(order) * pool.slots
    total_weight = sum(weights.values())
    cumulative_weight = 0.0
    begin = 0
    for name, weight in weights.items():
        cumulative_weight += weight
        end = round(total * cumulative_weight / total_weight)
        for slot in range(begin, end):
            address = order[slot // pool.slots]
            shares[name][address] = shares[name].get(address, 0) + 1
        begin = end
    return shares


def compute_weights(
    pool: str,
    assigned: Iterable[entities.Gateway],
    gateways: Iterable[entities.Gateway],
    refreshed_fraction: float = 0.0,
) -> dict[str, float]:
    """Returns each gateway's part of a pool, by the demand that it will meet.

    Callers keep old answers, so demand follows the crew late; a part that did
    not follow demand would leave some gateways short of slots meanwhile. A
    digest tells of demand that is a heartbeat old while its division holds, so
    the callers that ask anew within a heartbeat are counted where they go.
    Parts are rounded, so that noise moves no slots.

    Args:
        pool: Name of the pool.
        assigned: Gateways that callers are told of now.
        gateways: All gateways of the zone.
        refreshed_fraction: Part of the callers that ask anew within a
            heartbeat.
    """
    members = {gateway.name for gateway in assigned}
    demand = {g.name: g.demand.get(pool, 0.0) for g in gateways}
    total_demand = sum(demand.values())
    if not total_demand:
        return {name: 1.0 for name in demand if name in members}
    mean = total_demand / max(1, len(members))
    weights = {}
    for name, current in demand.items():
        assigned_demand = mean if name in members else 0.0
        expected = current + (assigned_demand - current) * refreshed_fraction
        weight = round(expected / mean * WEIGHT_STEPS) / WEIGHT_STEPS
        if name in members:
            weight = max(weight, MIN_WEIGHT)
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
    same_zone = {n: g for n, g in live.items() if g.zone == zone}
    candidates = same_zone or live
    ranked = rendezvous.rank_members(f"{pool}/{zone}", candidates)
    chosen: list[entities.Gateway] = []
    for name in ranked:
        gateway = candidates[name]
        if all(other.vm != gateway.vm for other in chosen):
            chosen.append(gateway)
    chosen += [candidates[n] for n in ranked if candidates[n] not in chosen]
    return chosen[:count]


class GatewayAssignments:
    """Which gateways serve a pool in a zone, by demand."""

    __slots__ = (
        "_gateway_capacity",
        "_counts",
        "_min_gateways",
        "_refreshed_fraction",
    )

    def __init__(
        self,
        gateway_capacity: float,
        min_gateways: int,
        refreshed_fraction: float = 0.0,
    ) -> None:
        """Prepares an empty table.

        Args:
            gateway_capacity: Requests per second that one gateway carries.
            min_gateways: Fewest gateways of a pool and zone.
            refreshed_fraction: Part of the callers that ask anew within a
                heartbeat.
        """
        self._gateway_capacity = gateway_capacity
        self._min_gateways = min_gateways
        self._refreshed_fraction = min(1.0, refreshed_fraction)
        self._counts: dict[tuple[str, str], int] = {}

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
        current = self._counts.get((pool, zone), self._min_gateways)
        count = count_gateways(
            demand, self._gateway_capacity, self._min_gateways, current
        )
        self._counts[(pool, zone)] = count
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
        assigned = self.find(pool.name, zone, gateways)
        same_zone = [gateway for gateway in gateways if gateway.zone == zone]
        same_zone.sort(key=lambda gateway: gateway.name)
        weights = compute_weights(
            pool.name, assigned, same_zone, self._refreshed_fraction
        )
        return divide_slots(pool, zone, weights).get(name, {})

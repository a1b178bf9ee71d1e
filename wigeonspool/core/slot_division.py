"""Divides the slots of a pool between the gateways that serve it.

A slot that only one gateway uses is counted exactly by that gateway, without
messages. All gateways compute the same division, since they rank the same
names.
"""

from collections.abc import Iterable, Mapping, Sequence
import math
from typing import Final

from wigeonspool.core import rendezvous
from wigeonspool.model import entities

# Steps between the weights 0 and 1; 1 stands for the mean demand.
WEIGHT_STEPS: Final = 4
# Least weight of an assigned gateway, even without demand.
MIN_WEIGHT: Final = 0.05


def count_gateways(
    demand: float, gateway_capacity: float, min_gateways: int, current: int
) -> int:
    """Returns how many gateways a pool needs in a zone.

    The count grows immediately. It shrinks only to a count that still leaves
    30% of the capacity spare, so that it does not change with every
    measurement.

    Args:
        demand: Requests per second.
        gateway_capacity: Requests per second that one gateway can serve.
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
    """Returns the slots that each gateway may use, by target address.

    Args:
        pool: Pool whose targets of one zone are divided.
        zone: Availability zone.
        weights: Weights of the gateways that share the targets, by name, in the
            order in which they get their slots.
    """
    slots_by_gateway: dict[str, dict[str, int]] = {name: {} for name in weights}
    same_zone = {
        target.address: target
        for target in pool.targets
        if target.zone == zone and not target.drained
    }
    if not weights or not same_zone:
        return slots_by_gateway
    ranked_addresses = rendezvous.rank_members(pool.name, same_zone)
    total = len(ranked_addresses) * pool.slots
    total_weight = sum(weights.values())
    cumulative_weight = 0.0
    first_slot = 0
    for name, weight in weights.items():
        cumulative_weight += weight
        end_slot = round(total * cumulative_weight / total_weight)
        for slot in range(first_slot, end_slot):
            address = ranked_addresses[slot // pool.slots]
            slots_by_gateway[name][address] = (
                slots_by_gateway[name].get(address, 0) + 1
            )
        first_slot = end_slot
    return slots_by_gateway


def compute_weights(
    pool: str,
    assigned: Iterable[entities.Gateway],
    gateways: Iterable[entities.Gateway],
    refreshed_fraction: float = 0.0,
) -> dict[str, float]:
    """Returns the weight of each gateway in a pool, by its expected demand.

    Callers reuse address responses for a while, so demand follows a new
    assignment late; weights that did not follow demand would leave some
    gateways short of slots meanwhile. A digest reports demand that is one
    heartbeat old when its division applies, so the callers that refresh their
    addresses within a heartbeat are counted at the gateways that they move to.
    Weights are rounded, so that noise moves no slots.

    Args:
        pool: Name of the pool.
        assigned: Gateways that address responses list now.
        gateways: All gateways of the zone.
        refreshed_fraction: Fraction of the callers that refresh their addresses
            within a heartbeat.
    """
    assigned_names = {gateway.name for gateway in assigned}
    demand = {g.name: g.demand.get(pool, 0.0) for g in gateways}
    total_demand = sum(demand.values())
    if not total_demand:
        return {name: 1.0 for name in demand if name in assigned_names}
    mean = total_demand / max(1, len(assigned_names))
    weights = {}
    for name, current in demand.items():
        assigned_demand = mean if name in assigned_names else 0.0
        expected = current + (assigned_demand - current) * refreshed_fraction
        weight = round(expected / mean * WEIGHT_STEPS) / WEIGHT_STEPS
        if name in assigned_names:
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

    Only a few gateways are chosen, since a gateway knows the load of a target
    best from its own count of attempts there, and that count is complete only
    if few gateways send to the target.

    Args:
        pool: Pool that the callers use.
        zone: Availability zone of the callers.
        gateways: Live gateways.
        count: Number of gateways; they are on different VMs if possible.
    """
    by_name = {g.name: g for g in gateways}
    # If all are draining, one that still serves is better than none.
    live = {n: g for n, g in by_name.items() if not g.draining} or by_name
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
    """Assigns gateways to the callers of a pool and zone by demand."""

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
        """Creates assignments with the fewest gateways for each pool and zone.

        Args:
            gateway_capacity: Requests per second that one gateway can serve.
            min_gateways: Fewest gateways of a pool and zone.
            refreshed_fraction: Fraction of the callers that refresh their
                addresses within a heartbeat.
        """
        self._gateway_capacity = gateway_capacity
        self._min_gateways = min_gateways
        self._refreshed_fraction = min(1.0, refreshed_fraction)
        self._counts: dict[tuple[str, str], int] = {}

    def find(
        self, pool: str, zone: str, gateways: Iterable[entities.Gateway]
    ) -> list[entities.Gateway]:
        """Returns the gateways that are assigned to callers of a zone."""
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
        """Returns a gateway's slots of a pool, by the latest digests of demand.

        Args:
            pool: Pool to divide.
            zone: Availability zone of the gateway.
            gateways: Live gateways with their demand.
            name: Name of the gateway.

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

"""Baseline policies, and the fleet that runs the policy of the core."""

import collections
from collections.abc import Callable
import dataclasses
import random
from typing import Final

from wigeonspool.core import actions
from wigeonspool.core import dispatcher
from wigeonspool.core import slot_division
from wigeonspool.core import tables
from wigeonspool.load import experiment as experiments
from wigeonspool.load import simulated_fleet
from wigeonspool.model import entities
from wigeonspool.model import errors

TargetChoice = Callable[[dict[str, int], random.Random], str]


def choose_random(in_flight: dict[str, int], rng: random.Random) -> str:
    """Returns a random target."""
    return rng.choice(list(in_flight))


def choose_from_two(in_flight: dict[str, int], rng: random.Random) -> str:
    """Returns the one of two random targets with fewer attempts in flight."""
    first, second = rng.sample(list(in_flight), 2)
    return first if in_flight[first] <= in_flight[second] else second


TARGET_CHOICES: Final[dict[str, TargetChoice]] = {
    "random": choose_random,
    "two-choices": choose_from_two,
}


class UnqueuedDispatcher:
    """Sends each request on arrival, so that it queues at its target."""

    def __init__(
        self,
        addresses: list[str],
        choose: TargetChoice,
        rng: random.Random,
    ) -> None:
        """Creates a dispatcher without requests.

        Args:
            addresses: Targets of the pool.
            choose: Chooses a target by the attempts that this gateway has in
                flight at each.
            rng: Source of its random choices.
        """
        self._in_flight = dict.fromkeys(addresses, 0)
        self._choose = choose
        self._rng = rng

    def submit(
        self, now: float, request: tables.RequestRow
    ) -> list[actions.Action]:
        """Sends a new request."""
        target = self._choose(self._in_flight, self._rng)
        self._in_flight[target] += 1
        return [actions.Send(request.request_id, target)]

    def handle_result(
        self, now: float, request_id: int, target: str, result: tables.Result
    ) -> list[actions.Action]:
        """Returns the result of an attempt to the caller."""
        self._in_flight[target] -= 1
        return [actions.Settle(request_id, None)]

    def cancel(self, now: float, request_id: int) -> list[actions.Action]:
        """Does nothing: a baseline does not enforce deadlines."""
        return []

    def tick(self, now: float) -> list[actions.Action]:
        """Does nothing."""
        return []


class SingleQueueDispatcher:
    """Queues all requests in one first-in, first-out queue."""

    def __init__(self, addresses: list[str], slots: int) -> None:
        """Creates a dispatcher with an empty queue.

        Args:
            addresses: Targets of the pool.
            slots: Requests that one target runs at once.
        """
        self._free_slots = collections.deque(addresses * slots)
        self._queue: collections.deque[int] = collections.deque()

    def submit(
        self, now: float, request: tables.RequestRow
    ) -> list[actions.Action]:
        """Queues a new request."""
        self._queue.append(request.request_id)
        return self._send_queued()

    def handle_result(
        self, now: float, request_id: int, target: str, result: tables.Result
    ) -> list[actions.Action]:
        """Ends an attempt: returns its result and frees its slot."""
        self._free_slots.append(target)
        return [actions.Settle(request_id, None), *self._send_queued()]

    def cancel(self, now: float, request_id: int) -> list[actions.Action]:
        """Does nothing: a baseline does not enforce deadlines."""
        return []

    def tick(self, now: float) -> list[actions.Action]:
        """Does nothing."""
        return []

    def _send_queued(self) -> list[actions.Action]:
        """Sends queued requests while there are free slots."""
        sends: list[actions.Action] = []
        while self._queue and self._free_slots:
            target = self._free_slots.popleft()
            sends.append(actions.Send(self._queue.popleft(), target))
        return sends


class BaselineFleet:
    """Gateways of a baseline; callers choose one at random.

    Callers use the live gateways of their own zone, or all live gateways if
    the zone has none.
    """

    enforces_deadlines = False

    def __init__(
        self,
        gateways: list[entities.Gateway],
        dispatchers: dict[str, simulated_fleet.GatewayDispatcher],
    ) -> None:
        """Creates a fleet in which all gateways are live.

        Args:
            gateways: Gateways that callers may use.
            dispatchers: Dispatcher of each gateway, by name.
        """
        self.dispatchers = dispatchers
        self._gateways = gateways
        self._live = {gateway.name for gateway in gateways}

    def resolve_gateways(self, zone: str) -> list[tuple[str, float]]:
        """Returns all live gateways of the zone, or else all live ones."""
        live = [g for g in self._gateways if g.name in self._live]
        same_zone = [g for g in live if g.zone == zone]
        return [(g.name, 1.0) for g in same_zone or live]

    def update_demand(
        self, now: float, demand: dict[str, float], live: list[str]
    ) -> None:
        """Records which gateways are live; demand is not used."""
        self._live = set(live)

    def share_suspects(self, now: float) -> None:
        """Does nothing: a baseline does not quarantine requests."""

    def set_draining_targets(self, addresses: list[str]) -> None:
        """Does nothing: a baseline keeps sending to draining targets."""


class PolicyFleet:
    """Gateways that each run the decision core, as real gateways do."""

    enforces_deadlines = True

    def __init__(self, experiment: experiments.Experiment) -> None:
        """Creates a dispatcher of the core for each gateway."""
        self._gateways = {
            g.name: g for g in simulated_fleet.list_gateways(experiment)
        }
        self._live = list(self._gateways.values())
        options = experiment.gateways
        self._assignments = slot_division.GatewayAssignments(
            options.requests_per_second,
            options.least,
            options.beat_ms / 1000 / experiment.answer_seconds,
        )
        self._pool = entities.Pool(
            simulated_fleet.POOL,
            experiment.targets.slots,
            simulated_fleet.list_targets(experiment),
            max_ejected_fraction=experiment.targets.max_ejected_fraction,
        )
        self._core_dispatchers = {
            name: dispatcher.Dispatcher(gateway.zone)
            for name, gateway in self._gateways.items()
        }
        regions = {zone.name: zone.region for zone in experiment.zones}
        for name, core in self._core_dispatchers.items():
            own_region = regions[self._gateways[name].zone]
            near_zones = [
                zone for zone, region in regions.items() if region == own_region
            ]
            core.set_near_zones(near_zones)
            core.configure([self._pool])
        self.dispatchers: dict[str, simulated_fleet.GatewayDispatcher] = dict(
            self._core_dispatchers
        )

    def resolve_gateways(self, zone: str) -> list[tuple[str, float]]:
        """Returns the assigned gateways, as a real gateway resolves them."""
        assigned = self._assignments.find(
            simulated_fleet.POOL, zone, self._live
        )
        return [(gateway.name, 1.0) for gateway in assigned]

    def update_demand(
        self, now: float, demand: dict[str, float], live: list[str]
    ) -> None:
        """Divides the slots of targets among the live gateways by demand."""
        self._live = [
            dataclasses.replace(
                self._gateways[name],
                demand={simulated_fleet.POOL: demand[name]},
            )
            for name in live
        ]
        for name in live:
            zone = self._gateways[name].zone
            limits = self._assignments.divide(
                self._pool, zone, self._live, name
            )
            self._core_dispatchers[name].set_slot_limits(
                simulated_fleet.POOL, limits
            )

    def share_suspects(self, now: float) -> None:
        """Copies the suspected requests of each gateway to all gateways."""
        for source in self._core_dispatchers.values():
            suspects = source.list_suspects()
            for destination in self._core_dispatchers.values():
                destination.merge_suspects(now, suspects)

    def set_draining_targets(self, addresses: list[str]) -> None:
        """Sets the targets that the VM list reports as draining."""
        for core in self._core_dispatchers.values():
            core.set_draining_targets(addresses)


def build_fleet(
    name: str, experiment: experiments.Experiment, seed: int
) -> simulated_fleet.Fleet:
    """Returns the fleet of a policy.

    Args:
        name: "policy" for that of the core, or the name of a baseline.
        experiment: Experiment to run.
        seed: Seed of the random choices of a baseline.

    Raises:
        SettingsError: If there is no such policy.
    """
    if name == "policy":
        return PolicyFleet(experiment)
    gateways = simulated_fleet.list_gateways(experiment)
    addresses = [t.address for t in simulated_fleet.list_targets(experiment)]
    slots = experiment.targets.slots
    if name == "one-queue":
        only_gateway = gateways[0]
        return BaselineFleet(
            [only_gateway],
            {only_gateway.name: SingleQueueDispatcher(addresses, slots)},
        )
    if name not in TARGET_CHOICES:
        raise errors.SettingsError("experiment", "policies", f"no {name}")
    return BaselineFleet(
        gateways,
        {
            g.name: UnqueuedDispatcher(
                addresses, TARGET_CHOICES[name], random.Random(seed + i)
            )
            for i, g in enumerate(gateways)
        },
    )


def build_limit_fleet(
    experiment: experiments.Experiment,
) -> simulated_fleet.Fleet:
    """Returns a fleet that always uses a target of the gateway's zone.

    With unlimited slots its latency is that of service times and links alone,
    the lower limit for any policy. A gateway without a target in its zone uses
    the first target.
    """
    targets = simulated_fleet.list_targets(experiment)
    dispatchers: dict[str, simulated_fleet.GatewayDispatcher] = {}
    gateways = simulated_fleet.list_gateways(experiment)
    for gateway in gateways:
        same_zone = [t.address for t in targets if t.zone == gateway.zone]
        addresses = same_zone or [targets[0].address]
        dispatchers[gateway.name] = UnqueuedDispatcher(
            addresses, choose_random, random.Random(0)
        )
    return BaselineFleet(gateways, dispatchers)

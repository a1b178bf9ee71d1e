"""Policies to compare with, and the fleet that runs our own."""

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
from wigeonspool.load import parties
from wigeonspool.model import entities
from wigeonspool.model import errors

Choose = Callable[[dict[str, int], random.Random], str]


def choose_random(in_flight: dict[str, int], rng: random.Random) -> str:
    """Returns any target."""
    return rng.choice(list(in_flight))


def choose_of_two(in_flight: dict[str, int], rng: random.Random) -> str:
    """Returns the target with fewer own attempts, of two random ones."""
    first, second = rng.sample(list(in_flight), 2)
    return first if in_flight[first] <= in_flight[second] else second


CHOICES: Final[dict[str, Choose]] = {
    "random": choose_random,
    "two-choices": choose_of_two,
}


class EagerDecider:
    """Sends each request at once, so that it waits at its target."""

    def __init__(
        self, addresses: list[str], choose: Choose, rng: random.Random
    ) -> None:
        """Prepares the counts.

        Args:
            addresses: Targets of the pool.
            choose: Chooses one by own attempts in flight.
            rng: Source of its choices.
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
        """Passes on the result of an attempt."""
        self._in_flight[target] -= 1
        return [actions.Settle(request_id, None)]

    def cancel(self, now: float, request_id: int) -> list[actions.Action]:
        """Does nothing: a baseline keeps no deadlines."""
        return []

    def tick(self, now: float) -> list[actions.Action]:
        """Does nothing."""
        return []


class OneQueueDecider:
    """Holds all requests in one queue, first in first out."""

    def __init__(self, addresses: list[str], slots: int) -> None:
        """Prepares the queue.

        Args:
            addresses: Targets of the pool.
            slots: Requests that one target runs at once.
        """
        self._free = collections.deque(addresses * slots)
        self._queue: collections.deque[int] = collections.deque()

    def submit(
        self, now: float, request: tables.RequestRow
    ) -> list[actions.Action]:
        """Queues a new request."""
        self._queue.append(request.request_id)
        return self._send()

    def handle_result(
        self, now: float, request_id: int, target: str, result: tables.Result
    ) -> list[actions.Action]:
        """Passes on the result of an attempt."""
        self._free.append(target)
        return [actions.Settle(request_id, None), *self._send()]

    def cancel(self, now: float, request_id: int) -> list[actions.Action]:
        """Does nothing: a baseline keeps no deadlines."""
        return []

    def tick(self, now: float) -> list[actions.Action]:
        """Does nothing."""
        return []

    def _send(self) -> list[actions.Action]:
        done: list[actions.Action] = []
        while self._queue and self._free:
            target = self._free.popleft()
            done.append(actions.Send(self._queue.popleft(), target))
        return done


class BaselineFleet:
    """Gateways that callers choose at random, near ones if there are any."""

    keeps_deadlines = False

    def __init__(
        self,
        gateways: list[entities.Gateway],
        deciders: dict[str, parties.Decider],
    ) -> None:
        """Prepares the fleet.

        Args:
            gateways: Gateways that callers are told of.
            deciders: What drives each, by name.
        """
        self.deciders = deciders
        self._gateways = gateways
        self._live = {gateway.name for gateway in gateways}

    def name_gateways(self, zone: str) -> list[tuple[str, float]]:
        """Names all live gateways of the zone, or else all."""
        live = [g for g in self._gateways if g.name in self._live]
        near = [g for g in live if g.zone == zone]
        return [(g.name, 1.0) for g in near or live]

    def take_beat(
        self, now: float, demand: dict[str, float], live: list[str]
    ) -> None:
        """Learns which gateways live."""
        self._live = set(live)

    def share_suspects(self, now: float) -> None:
        """Does nothing: no gateway suspects a request."""

    def mark_leaving(self, addresses: list[str]) -> None:
        """Does nothing."""


class PolicyFleet:
    """Gateways that each run the decision core, as real ones do."""

    keeps_deadlines = True

    def __init__(self, experiment: experiments.Experiment) -> None:
        """Prepares a dispatcher for each gateway."""
        self._gateways = {g.name: g for g in parties.list_gateways(experiment)}
        self._live = list(self._gateways.values())
        shape = experiment.gateways
        self._crews = slot_division.GatewayAssignments(
            shape.requests_per_second,
            shape.least,
            shape.beat_ms / 1000 / experiment.answer_seconds,
        )
        self._pool = entities.Pool(
            parties.POOL,
            experiment.targets.slots,
            parties.list_targets(experiment),
            max_ejected_fraction=experiment.targets.max_ejected_fraction,
        )
        self.dispatchers = {
            name: dispatcher.Dispatcher(gateway.zone)
            for name, gateway in self._gateways.items()
        }
        regions = {zone.name: zone.region for zone in experiment.zones}
        for name, core in self.dispatchers.items():
            home = regions[self._gateways[name].zone]
            near = [zone for zone, region in regions.items() if region == home]
            core.set_near_zones(near)
            core.configure([self._pool])
        self.deciders: dict[str, parties.Decider] = dict(self.dispatchers)

    def name_gateways(self, zone: str) -> list[tuple[str, float]]:
        """Answers the address question as a gateway does."""
        crew = self._crews.find(parties.POOL, zone, self._live)
        return [(gateway.name, 1.0) for gateway in crew]

    def take_beat(
        self, now: float, demand: dict[str, float], live: list[str]
    ) -> None:
        """Gives every gateway the digests of the others."""
        self._live = [
            dataclasses.replace(
                self._gateways[name], demand={parties.POOL: demand[name]}
            )
            for name in live
        ]
        for name in live:
            zone = self._gateways[name].zone
            limits = self._crews.divide(self._pool, zone, self._live, name)
            self.dispatchers[name].set_slot_limits(parties.POOL, limits)

    def share_suspects(self, now: float) -> None:
        """Tells all gateways of requests that crash targets."""
        for teller in self.dispatchers.values():
            suspects = teller.list_suspects()
            for hearer in self.dispatchers.values():
                hearer.merge_suspects(now, suspects)

    def mark_leaving(self, addresses: list[str]) -> None:
        """Takes the targets that the VM list calls leaving."""
        for core in self.dispatchers.values():
            core.set_draining_targets(addresses)


def build_fleet(
    name: str, experiment: experiments.Experiment, seed: int
) -> parties.Fleet:
    """Returns the fleet of a policy.

    Args:
        name: "policy", or the name of a baseline.
        experiment: What happens.
        seed: Seed of the policy's own choices.
    """
    if name == "policy":
        return PolicyFleet(experiment)
    gateways = parties.list_gateways(experiment)
    addresses = [t.address for t in parties.list_targets(experiment)]
    slots = experiment.targets.slots
    if name == "one-queue":
        only = gateways[0]
        return BaselineFleet(
            [only], {only.name: OneQueueDecider(addresses, slots)}
        )
    if name not in CHOICES:
        raise errors.SettingsError("experiment", "policies", f"no {name}")
    return BaselineFleet(
        gateways,
        {
            g.name: EagerDecider(
                addresses, CHOICES[name], random.Random(seed + i)
            )
            for i, g in enumerate(gateways)
        },
    )


def build_limit(experiment: experiments.Experiment) -> parties.Fleet:
    """Returns a fleet that always uses a target of the gateway's zone."""
    targets = parties.list_targets(experiment)
    deciders: dict[str, parties.Decider] = {}
    gateways = parties.list_gateways(experiment)
    for gateway in gateways:
        near = [t.address for t in targets if t.zone == gateway.zone]
        addresses = near or [targets[0].address]
        deciders[gateway.name] = EagerDecider(
            addresses, choose_random, random.Random(0)
        )
    return BaselineFleet(gateways, deciders)

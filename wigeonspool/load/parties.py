"""Who takes part in an experiment: callers' requests, gateways, targets."""

import dataclasses
from typing import Final, Protocol

from wigeonspool.core import actions
from wigeonspool.core import tables
from wigeonspool.load import experiment as experiments
from wigeonspool.load import fakes
from wigeonspool.model import entities

POOL: Final = "pool"


class Decider(Protocol):
    """What drives one gateway: the dispatcher, or a baseline."""

    def submit(
        self, now: float, request: tables.RequestRow
    ) -> list[actions.Action]:
        """Takes a new request."""

    def handle_result(
        self, now: float, request_id: int, target: str, result: tables.Result
    ) -> list[actions.Action]:
        """Takes the result of one attempt."""

    def cancel(self, now: float, request_id: int) -> list[actions.Action]:
        """Drops a request whose deadline passed."""

    def tick(self, now: float) -> list[actions.Action]:
        """Runs what depends on time alone."""


class Fleet(Protocol):
    """The gateways of one policy, and how callers are told of them.

    Attributes:
        deciders: What drives each gateway, by name.
        keeps_deadlines: True if gateways give up at the deadline.
    """

    deciders: dict[str, Decider]
    keeps_deadlines: bool

    def name_gateways(self, zone: str) -> list[tuple[str, float]]:
        """Answers the address question with names and weights."""

    def take_beat(
        self, now: float, demand: dict[str, float], live: list[str]
    ) -> None:
        """Takes the digests of demand, in requests per second."""

    def share_suspects(self, now: float) -> None:
        """Tells all gateways of requests that crash targets."""

    def mark_leaving(self, addresses: list[str]) -> None:
        """Takes the targets that the VM list calls leaving."""


@dataclasses.dataclass(slots=True)
class Job:
    """One request of a caller, from its sending to its answer."""

    request_id: int
    work: experiments.Work
    zone: str
    service: float
    sent_at: float
    deadline: float
    gateway: str = ""
    attempt: fakes.Attempt | None = None
    runs: int = 0
    failed: bool = False
    ended: bool = False


def list_targets(
    experiment: experiments.Experiment,
) -> tuple[entities.Target, ...]:
    """Returns the targets of an experiment, spread over its zones."""
    zones = experiment.zones
    return tuple(
        entities.Target(f"t{i}:1", zones[i % len(zones)].name)
        for i in range(experiment.targets.count)
    )


def list_gateways(
    experiment: experiments.Experiment,
) -> list[entities.Gateway]:
    """Returns the gateways of an experiment, each on a VM of its own."""
    zones = experiment.zones
    return [
        entities.Gateway(
            f"g{i}", "1", f"g{i}:1", zones[i % len(zones)].name, f"vm-{i}"
        )
        for i in range(experiment.gateways.count)
    ]

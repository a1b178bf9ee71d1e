"""The simulated fleet: interfaces of policies, requests, gateways, targets.

A policy is simulated as a fleet of gateways, each driven by a dispatcher that
turns requests and results into actions.
"""

import dataclasses
from typing import Final, Protocol

from wigeonspool.core import actions
from wigeonspool.core import tables
from wigeonspool.load import experiment as experiments
from wigeonspool.load import fakes
from wigeonspool.model import entities

POOL: Final = "pool"


class GatewayDispatcher(Protocol):
    """Dispatches the requests of one gateway.

    Implemented by `core.dispatcher.Dispatcher` and by the baselines.
    """

    def submit(
        self, now: float, request: tables.RequestRow
    ) -> list[actions.Action]:
        """Accepts a new request."""

    def handle_result(
        self, now: float, request_id: int, target: str, result: tables.Result
    ) -> list[actions.Action]:
        """Handles the result of one attempt."""

    def cancel(self, now: float, request_id: int) -> list[actions.Action]:
        """Drops a request whose deadline has passed."""

    def tick(self, now: float) -> list[actions.Action]:
        """Performs what is due by time alone, such as restoring targets."""


class Fleet(Protocol):
    """The gateways of one policy, and which of them callers use.

    Attributes:
        dispatchers: Dispatcher of each gateway, by name.
        enforces_deadlines: True if gateways give up a request at its deadline
            and look for unresponsive connections.
    """

    dispatchers: dict[str, GatewayDispatcher]
    enforces_deadlines: bool

    def resolve_gateways(self, zone: str) -> list[tuple[str, float]]:
        """Returns names and weights of the gateways for callers of a zone."""

    def update_demand(
        self, now: float, demand: dict[str, float], live: list[str]
    ) -> None:
        """Handles the digests of demand of all live gateways.

        Args:
            now: Time in seconds.
            demand: Requests per second of each live gateway, by name.
            live: Names of the live gateways.
        """

    def share_suspects(self, now: float) -> None:
        """Copies the suspected requests of each gateway to all gateways."""

    def set_draining_targets(self, addresses: list[str]) -> None:
        """Sets the targets that the VM list reports as draining."""


@dataclasses.dataclass(slots=True)
class SimulatedRequest:
    """One request of a caller, until its outcome reaches the caller.

    Attributes:
        request_id: Identity, unique in a run.
        request_kind: Kind of the request.
        zone: Availability zone of the caller.
        service_seconds: Service time on a healthy target.
        sent_at: When the caller sent it, in seconds.
        deadline: When the caller needs the response, in seconds.
        gateway: Name of its gateway.
        attempt: The attempt that is running, if any.
        runs: Number of targets that began it.
        failed: True if the latest result of an attempt reported a failure.
        ended: True once its outcome is decided.
    """

    request_id: int
    request_kind: experiments.RequestKind
    zone: str
    service_seconds: float
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
    """Returns the targets of an experiment, assigned to its zones in turn."""
    zones = experiment.zones
    return tuple(
        entities.Target(f"t{i}:1", zones[i % len(zones)].name)
        for i in range(experiment.targets.count)
    )


def list_gateways(
    experiment: experiments.Experiment,
) -> list[entities.Gateway]:
    """Returns the gateways of an experiment, each on its own VM.

    They are assigned to the zones in turn.
    """
    zones = experiment.zones
    return [
        entities.Gateway(
            f"g{i}", "1", f"g{i}:1", zones[i % len(zones)].name, f"vm-{i}"
        )
        for i in range(experiment.gateways.count)
    ]

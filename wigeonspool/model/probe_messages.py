"""Messages for probes of targets that get no requests.

A gateway requests probes of such targets. The agent that holds the lease on
the pool's probe budget sends the probes, and the results are forwarded to all
gateways.
"""

import dataclasses
import enum


class ProbeState(enum.StrEnum):
    """State of a target according to a probe."""

    OK = "ok"
    DRAINING = "draining"
    FAILING = "failing"


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Requests probes of targets that get no requests, such as ejected ones.

    Attributes:
        pool: Name of the pool of the targets.
        targets: Addresses of the targets.
    """

    pool: str
    targets: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """Result of a probe of a target's health endpoint.

    Attributes:
        probe: Random identity of the result, by which each agent forwards a
            result only once.
        pool: Name of the pool of the target.
        target: Address of the target.
        state: State of the target.
    """

    probe: int
    pool: str
    target: str
    state: ProbeState


@dataclasses.dataclass(frozen=True, slots=True)
class Spending:
    """Use of a pool's probe budget by an agent since the agent's start.

    Attributes:
        pool: Name of the pool.
        requests: Probes that were sent.
        bytes: Size of the probes and their responses.
        requests_per_second: Budget in probes per second.
        bytes_per_second: Budget in bytes per second.
    """

    pool: str
    requests: int
    bytes: int
    requests_per_second: float
    bytes_per_second: float

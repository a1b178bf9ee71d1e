"""The messages by which targets that are out are measured.

Gateways ask for their targets, the holder of the pool's measuring budget asks
the target, and what that says is passed on to all gateways.
"""

import dataclasses
import enum


class ProbeState(enum.StrEnum):
    """What a probe showed of a target."""

    OK = "ok"
    DRAINING = "draining"
    FAILING = "failing"


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks for targets to be measured that get no traffic of their own.

    Attributes:
        pool: Pool that lists them.
        targets: Their addresses.
    """

    pool: str
    targets: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """What the health endpoint of a target showed.

    Attributes:
        probe: Drawn at random, so that each agent passes a result on once.
        pool: Pool that lists the target.
        target: Address of the target.
        state: What was shown.
    """

    probe: int
    pool: str
    target: str
    state: ProbeState


@dataclasses.dataclass(frozen=True, slots=True)
class Spending:
    """What an agent spent of a pool's measuring budget since it started.

    Attributes:
        pool: Name of the pool.
        requests: Probes that were sent.
        bytes: Bytes of the probes and their answers.
        requests_per_second: Budget of probes.
        bytes_per_second: Budget of bytes.
    """

    pool: str
    requests: int
    bytes: int
    requests_per_second: float
    bytes_per_second: float

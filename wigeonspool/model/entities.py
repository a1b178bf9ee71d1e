"""The entities that the tables hold.

These are plain data classes. What comes from outside is checked first by the
models in `declarations`.
"""

from collections.abc import Mapping
import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One server of a pool.

    Attributes:
        address: host:port, unique within the pool.
        zone: Availability zone that it runs in.
        drained: True if an operator took it out of service.
    """

    address: str
    zone: str
    drained: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A named set of targets that serve the same work.

    Attributes:
        name: Key of the pools table.
        slots: Requests that one target runs at once.
        targets: Servers of the pool.
        measuring_requests_per_second: Probes allowed over all VMs together.
        measuring_bytes_per_second: Probe bytes allowed over all VMs together.
        max_ejected_fraction: Bound on the targets ejected at once, 0 to 1.
        retry_fraction: Retries allowed per first attempt, 0 to 1.
    """

    name: str
    slots: int
    targets: tuple[Target, ...]
    measuring_requests_per_second: float = 10.0
    measuring_bytes_per_second: float = 20_000.0
    max_ejected_fraction: float = 0.34
    retry_fraction: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A rule that maps requests to a pool.

    Attributes:
        name: Key of the routes table.
        method: HTTP method, or "*".
        path_prefix: Requests whose path begins with it match.
        pool: Name of the pool that serves the route.
        idempotent: True if a request may run more than once.
        priority: 0 is refused last.
        time_limit_seconds: Longest time that a request may take.
    """

    name: str
    method: str
    path_prefix: str
    pool: str
    idempotent: bool
    priority: int = 1
    time_limit_seconds: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tables:
    """The two tables at one generation.

    Attributes:
        generation: Number of the change that made them; 0 is empty.
        routes: Routes by name.
        pools: Pools by name.
        digest: Digest of the chain of changes that led here; "" if empty.
    """

    generation: int
    routes: Mapping[str, Route]
    pools: Mapping[str, Pool]
    digest: str = ""


EMPTY_TABLES = Tables(0, {}, {})


class VmState(enum.StrEnum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One entry of the platform's VM list.

    Attributes:
        name: Unique name.
        zone: Availability zone.
        region: Region of the zone.
        address: host:port of its agent, or of its target.
        role: "entry" or "target".
        state: Whether it is leaving.
    """

    name: str
    zone: str
    region: str
    address: str
    role: str
    state: VmState


@dataclasses.dataclass(frozen=True, slots=True)
class Gateway:
    """A gateway process as its peers know it.

    Attributes:
        name: Unique name over the fleet.
        incarnation: Identity of this run of the process.
        address: host:port for callers.
        zone: Availability zone.
        vm: Name of the VM that it runs on.
        draining: True if it takes no new callers.
        demand: Requests per second of each pool, as last reported.
    """

    name: str
    incarnation: str
    address: str
    zone: str
    vm: str
    draining: bool = False
    demand: Mapping[str, float] = dataclasses.field(default_factory=dict)

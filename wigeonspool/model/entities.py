"""Entities of the configuration tables and of the fleet.

These are plain data classes without validation. Declarations of operators are
validated by the models in `declarations` first.
"""

from collections.abc import Mapping
import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One server of a pool.

    Attributes:
        address: host:port, unique within the pool.
        zone: Availability zone of the server.
        drained: True if an operator drained it.
    """

    address: str
    zone: str
    drained: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A named set of targets that serve the same requests.

    Attributes:
        name: Key of the pools table.
        slots: Requests that each target runs concurrently.
        targets: Servers of the pool.
        measuring_requests_per_second: Probe budget of all VMs together, in
            probes per second.
        measuring_bytes_per_second: Probe budget of all VMs together, in bytes
            per second.
        max_ejected_fraction: Largest fraction of the targets that may be
            ejected at the same time, 0 to 1.
        retry_fraction: Retry budget as a fraction of first attempts, 0 to 1.
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
        path_prefix: Prefix of the paths of matching requests.
        pool: Name of the pool that serves the route.
        idempotent: True if a request may run more than once.
        priority: Requests with priority 0 are refused last.
        time_limit_seconds: Maximum duration of a request.
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
    """The routes and pools tables at one generation.

    Attributes:
        generation: Generation of the last change, or 0 before the first one.
        routes: Routes by name.
        pools: Pools by name.
        digest: Digest of the chain of changes up to the generation, or ""
            before the first change.
    """

    generation: int
    routes: Mapping[str, Route]
    pools: Mapping[str, Pool]
    digest: str = ""


EMPTY_TABLES = Tables(0, {}, {})


class VmState(enum.StrEnum):
    """State of a VM in the platform's VM list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One entry of the platform's VM list.

    Attributes:
        name: Unique name.
        zone: Availability zone.
        region: Region of the zone.
        address: host:port of its agent or target.
        role: "entry" if the VM runs an agent and gateways, or "target" if it
            runs a target.
        state: LEAVING if the VM is draining.
    """

    name: str
    zone: str
    region: str
    address: str
    role: str
    state: VmState


@dataclasses.dataclass(frozen=True, slots=True)
class Gateway:
    """What a gateway process publishes to its peers.

    Attributes:
        name: Name that is unique in the fleet.
        incarnation: Identity of this incarnation of the process.
        address: host:port for callers.
        zone: Availability zone.
        vm: Name of the VM that it runs on.
        draining: True if it accepts no new callers.
        demand: Last reported requests per second, by pool.
    """

    name: str
    incarnation: str
    address: str
    zone: str
    vm: str
    draining: bool = False
    demand: Mapping[str, float] = dataclasses.field(default_factory=dict)

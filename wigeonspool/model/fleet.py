"""Cluster state that an entry VM uses: rules, services, targets and other VMs.

An entry VM receives requests of callers and sends them to targets. These types
do not depend on the source of the state; only the adapters depend on the source
and its data format.
"""

from collections.abc import Mapping
import dataclasses
import enum
from typing import Final

# Range of the capacity of a VM.
MIN_CAPACITY_CORES: Final = 1e-3
MAX_CAPACITY_CORES: Final = 1e5


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a fraction of a rule's requests.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other services of the rule.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """Defines how requests to one path prefix of a host are handled.

    Attributes:
        name: Name chosen by operators.
        prefix: Path prefix; begins and ends with a slash.
        weighted_services: One or more services that run the requests.
        idempotent: True if a request may run more than once.
        large_responses: True if responses are large, so that the cost of
            transfers between zones matters more than the load of targets.
        objective_seconds: Response time up to which a response has its full
            value.
        limit_seconds: Maximum time that a caller is kept waiting.
        max_targets: Maximum number of targets that may run one request.
        priority: 0 is the most urgent.
    """

    name: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    idempotent: bool
    large_responses: bool
    objective_seconds: float
    limit_seconds: float
    max_targets: int
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A named set of targets that serve the same requests.

    Attributes:
        name: Name of the service.
        health_path: Path of health checks; targets respond to them with their
            load, without queueing.
        max_connections: Connections that one target accepts from all VMs
            together, or 0 if that is unknown.
    """

    name: str
    health_path: str
    max_connections: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    Attributes:
        max_head_bytes: Maximum size of a request head.
        max_body_bytes: Maximum size of a request body.
        head_timeout_seconds: Maximum time to receive a request head.
        idle_timeout_seconds: Maximum time that a connection may be idle.
    """

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    head_timeout_seconds: float = 5.0
    idle_timeout_seconds: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: Number of the version; never decreases.
        hosts: Rules by host, the longest prefix first.
        services: Services by name.
        limits: Limits on callers' requests.
    """

    version: int
    hosts: Mapping[str, tuple[Rule, ...]]
    services: Mapping[str, Service]
    limits: CallerLimits

    def find_rule(self, host: str, path: str) -> Rule | None:
        """Returns the rule with the longest matching prefix, or None."""
        for rule in self.hosts.get(host, ()):
            if path.startswith(rule.prefix):
                return rule
        return None


class TargetState(enum.Enum):
    """State that a target registered."""

    SERVING = "serving"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEntry:
    """Registration of a target.

    Attributes:
        identity: Identity of the target.
        service: Name of the service that the target belongs to.
        address: host:port.
        zone: Availability zone of the target.
        slots: Requests that the target runs concurrently.
        state: Whether the target serves requests or is draining.
        warmup_seconds: Time after the registration during which the target is
            still slow because of its start.
        started_at_ms: Start of the target, in milliseconds since the epoch, or
            0 if it is not stated.
    """

    identity: str
    service: str
    address: str
    zone: str
    slots: int
    state: TargetState
    warmup_seconds: float = 0.0
    started_at_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class VmEntry:
    """Registration of an entry VM.

    Attributes:
        name: Unique name.
        region: Region of its zone.
        zone: Availability zone.
        address: host:port for callers.
        peer_address: host:port for other VMs.
        capacity: Processor capacity of the VM, in cores.
    """

    name: str
    region: str
    zone: str
    address: str
    peer_address: str
    capacity: float = 1.0

"""What an entry VM knows of rules, services, targets and other VMs.

The types hold what the sources of knowledge have in common. Where it comes
from, and in which form it stands there, only the adapters know.
"""

from collections.abc import Mapping
import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A part of a rule's requests.

    Attributes:
        service: Service that runs them.
        weight: Its part, relative to the other shares of the rule.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """Tells what to do with the requests to one path prefix of a host.

    Attributes:
        name: Name that operators gave it.
        prefix: Path prefix; begins and ends with a slash.
        shares: Services that run its requests; one or more.
        idempotent: True if a request may run more than once.
        large_responses: True if answers are large, so that bytes outweigh load.
        objective_seconds: Time within which an answer has its full value.
        limit_seconds: Longest time that a request may be kept waiting.
        max_targets: Most targets that one request may be sent to.
        priority: 0 is the most urgent.
    """

    name: str
    prefix: str
    shares: tuple[Share, ...]
    idempotent: bool
    large_responses: bool
    objective_seconds: float
    limit_seconds: float
    max_targets: int
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A named set of targets that run the same work.

    Attributes:
        name: Name of the service.
        health_path: Path that answers at once with the target's load.
    """

    name: str
    health_path: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        max_head_bytes: Longest head of a request.
        max_body_bytes: Longest body of a request.
        head_timeout_seconds: Longest time for a head to arrive.
        idle_timeout_seconds: Longest time that a connection may stay unused.
    """

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    head_timeout_seconds: float = 5.0
    idle_timeout_seconds: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of what operators declared.

    Attributes:
        version: Number of the version; only rises.
        hosts: Rules of each host, the longest prefix first.
        services: Services by name.
        limits: Bounds on what callers send.
    """

    version: int
    hosts: Mapping[str, tuple[Rule, ...]]
    services: Mapping[str, Service]
    limits: CallerLimits

    def find_rule(self, host: str, path: str) -> Rule | None:
        """Returns the rule with the longest prefix that begins a path."""
        for rule in self.hosts.get(host, ()):
            if path.startswith(rule.prefix):
                return rule
        return None


class TargetState(enum.Enum):
    """What a target says of itself."""

    SERVING = "serving"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEntry:
    """What a target registered of itself.

    Attributes:
        identity: Identity of the target.
        service: Service that it belongs to.
        address: host:port.
        zone: Availability zone that it runs in.
        slots: Requests that it runs at once.
        state: Whether it is leaving.
        warmup_seconds: How much longer it is slow, when it registered.
        started_at_ms: Milliseconds since the epoch of its start; 0 if not told.
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
    """What an entry VM tells others of itself.

    Attributes:
        name: Unique name.
        region: Region of its zone.
        zone: Availability zone.
        address: host:port for callers.
        peer_address: host:port for other VMs.
        capacity: What it can carry, in cores.
    """

    name: str
    region: str
    zone: str
    address: str
    peer_address: str
    capacity: float = 1.0

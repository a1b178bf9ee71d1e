"""Cluster state that an entry VM uses: rules, services, targets and other VMs.

An entry VM receives requests of callers and sends them to targets. These types
do not depend on the source of the state; only the adapters depend on the source
and its data format.
"""

from collections.abc import Mapping
import dataclasses
import enum
from typing import Final

from wigeonspool.model import credentials

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
        public: True if a request needs no key of a client account.
        regions: Regions whose targets may serve the requests; empty for all.
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
    public: bool = False
    regions: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A named set of targets that serve the same requests.

    Attributes:
        name: Name of the service.
        health_path: Path of health checks; targets respond to them with their
            load, without queueing.
        max_connections: Connections that one target accepts from all VMs
            together, or 0 if that is unknown.
        cold_seconds: Time after its start for which a target is cold.
        cold_rate: Requests per second that a cold target tolerates from all VMs
            together, or 0 if there is no limit.
    """

    name: str
    health_path: str
    max_connections: int = 0
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A customer of the operators, whose callers identify it by a key.

    Attributes:
        name: Unique name, which targets are told.
        priority: Priority of its requests, or None for that of their rule.
        rate: Requests per second that all VMs together send for it, or 0 for no
            limit.
        burst: Requests beyond the rate that it may send at once.
        regions: Regions whose targets may serve it; empty for all.
    """

    name: str
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    regions: frozenset[str] = frozenset()


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
        accounts: Client accounts by name. If there are any, requests need a
            key unless their rule is public.
        account_keys: Client accounts by the digest of each of their keys; see
            `credentials.digest_key`.
    """

    version: int
    hosts: Mapping[str, tuple[Rule, ...]]
    services: Mapping[str, Service]
    limits: CallerLimits
    accounts: Mapping[str, ClientAccount] = dataclasses.field(
        default_factory=dict
    )
    account_keys: Mapping[bytes, ClientAccount] = dataclasses.field(
        default_factory=dict
    )

    def find_rule(self, host: str, path: str) -> Rule | None:
        """Returns the rule with the longest matching prefix, or None."""
        for rule in self.hosts.get(host, ()):
            if path.startswith(rule.prefix):
                return rule
        return None

    def find_account(self, key: bytes) -> ClientAccount | None:
        """Returns the client account that holds a key, or None."""
        return self.account_keys.get(credentials.digest_key(key))


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
        sequence: Increases with each change of the entry since the start of the
            target; 0 if it is not stated.
    """

    identity: str
    service: str
    address: str
    zone: str
    slots: int
    state: TargetState
    warmup_seconds: float = 0.0
    started_at_ms: int = 0
    sequence: int = 0


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

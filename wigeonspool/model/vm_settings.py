"""Settings of an entry VM, independent of the format of the settings file."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentLimits:
    """Limits that the deployment guarantees to its users.

    Attributes:
        retry_fraction: Retry budget of a service for all VMs together:
            attempts after the first one, as a fraction of the service's
            requests.
        retry_slack: Attempts allowed in each window in addition to the
            fraction.
        retry_window_seconds: Length of the window in which the attempts and
            requests are counted.
        grace_seconds: Time from SIGTERM to SIGKILL.
        max_address_ttl_seconds: Maximum time for which callers cache the
            response to an address lookup.
        usage_window_seconds: Length of the window in which the requests of a
            client account with a usage cap are counted.
        usage_overrun: Fraction by which all VMs together may exceed a usage cap
            in a window.
        usage_slack: Requests by which they may exceed it in addition.
        cold_overrun: Factor by which all VMs together may exceed the rate that
            a cold target tolerates, in any second.
        cold_slack: Requests by which they may exceed it in addition.
    """

    retry_fraction: float
    retry_slack: float
    retry_window_seconds: float
    grace_seconds: float
    max_address_ttl_seconds: float
    usage_window_seconds: float = 5.0
    usage_overrun: float = 0.0
    usage_slack: float = 0.0
    cold_overrun: float = 1.0
    cold_slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class VmSettings:
    """Settings of one entry VM.

    Attributes:
        vm: Unique name of the VM.
        ip: IP address of the VM.
        zone: Availability zone.
        region: Region of the zone.
        capacity: Processor capacity of the VM, in cores.
        callers: Listen address for callers, host:port.
        readiness: Listen address of the readiness check, host:port.
        directory: Listen address of address lookups, host:port.
        control: Address for other VMs, host:port, or "".
        first_free_port: First port for traffic between VMs.
        seeds: `control` addresses of some other VMs; these VMs may be stopped.
        regions: Region by availability zone.
        store: host:port of the platform's store.
        min_lease_seconds: Shortest lease that the store grants.
        bounds: Limits that the deployment guarantees.
    """

    vm: str
    ip: str
    zone: str
    region: str
    capacity: float
    callers: str
    readiness: str
    directory: str
    control: str
    first_free_port: int
    seeds: tuple[str, ...]
    regions: Mapping[str, str]
    store: str
    min_lease_seconds: float
    bounds: DeploymentLimits

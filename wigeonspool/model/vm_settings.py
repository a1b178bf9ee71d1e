"""What an entry VM is told at its start, whatever file that comes from."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentLimits:
    """What the deployment promises its users.

    Attributes:
        retry_fraction: Attempts beyond the first of each request, as a part of
            a service's requests, over all VMs.
        retry_slack: Attempts allowed beside that in each window.
        retry_window_seconds: Length of that window.
        grace_seconds: Time from SIGTERM to SIGKILL.
        longest_answer_seconds: Longest time that callers keep an answer to the
            address question.
    """

    retry_fraction: float
    retry_slack: float
    retry_window_seconds: float
    grace_seconds: float
    longest_answer_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class VmSettings:
    """Settings of one entry VM.

    Attributes:
        vm: Unique name of the VM.
        ip: Address of the VM.
        zone: Availability zone.
        region: Region of the zone.
        capacity: Processor time that the VM has, in cores.
        callers: host:port for callers.
        readiness: host:port on which the VM tells whether it is ready.
        directory: host:port of the address question.
        control: host:port for other VMs, or "".
        first_free_port: First port for traffic between VMs.
        seeds: host:port for other VMs of some VMs that may live.
        regions: Region by availability zone.
        store: host:port of the platform's store.
        min_lease_seconds: Shortest lease that the store grants.
        bounds: What is promised.
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

"""Reads the settings file that the platform gives to each process."""

import os
import pathlib
import tomllib
from typing import Final

import msgspec

from wigeonspool.model import addresses
from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.model import vm_settings
from wigeonspool.platform import ports
from wigeonspool.platform import value_limits

MAX_FILE_BYTES: Final = 1024 * 1024
# Longest description of a problem in the file.
MAX_PROBLEM_CHARS: Final = 400
MAX_RETRY_FRACTION: Final = 1000.0
MAX_RETRY_SLACK: Final = 1e9
MIN_SECONDS: Final = 0.001
MAX_SECONDS: Final = 24 * 3600.0


class _Limits(msgspec.Struct, rename="pascal"):
    # Fraction of `cores` that this VM may use.
    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: float = 300.0


class _Self(msgspec.Struct, rename="pascal"):
    node: str
    ip: str
    zone: str
    region: str
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Listen(msgspec.Struct, rename="pascal"):
    # host:port that callers send their requests to.
    edge_addr: str
    # host:port that the platform queries for the readiness of this VM.
    readiness: str
    # host:port that callers query for the addresses of VMs.
    directory: str
    # host:port for other VMs.
    control: str = ""


class _Network(msgspec.Struct, rename="pascal"):
    listen: _Listen
    port_range: tuple[int, int]
    # Control addresses of a few VMs. Some may be out of date.
    seeds: tuple[str, ...] = ()
    # Region by zone.
    zones: dict[str, str] = {}


class _Store(msgspec.Struct, rename="pascal"):
    address: str
    min_ttl: str = "1000ms"


class _Provider(msgspec.Struct, rename="pascal"):
    # The platform nests a table of the same name: [Provider.Provider].
    provider: _Store


# `vm_settings.DeploymentLimits` explains these fields.
class _Bounds(msgspec.Struct, rename="pascal"):
    retry_budget: float = 0.2
    budget_slack: float = 0.0
    retry_window: str = "10s"
    grace: str = "6s"
    quota_window: str = "5s"
    quota_overrun: float = 0.0
    quota_slack: float = 0.0
    cold_overrun: float = 1.0
    cold_slack: float = 0.0
    ttl_max: str = msgspec.field(name="ttl_max", default="5s")


class _Terms(msgspec.Struct, rename="pascal"):
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


class _File(msgspec.Struct, rename="pascal"):
    self: _Self
    network: _Network
    provider: _Provider
    terms: _Terms = msgspec.field(default_factory=_Terms)


def find_path() -> pathlib.Path:
    """Returns the path of the settings file, from the environment.

    Raises:
        SettingsError: If the environment variable is not set.
    """
    path = os.environ.get(ports.SETTINGS_PATH_VARIABLE)
    if not path:
        raise errors.SettingsError(
            "environment", ports.SETTINGS_PATH_VARIABLE, "not set"
        )
    return pathlib.Path(path)


def read_settings(path: pathlib.Path) -> vm_settings.VmSettings:
    """Reads and validates the settings file.

    Raises:
        SettingsError: If the file cannot be read, a required field is missing,
            or a field has an invalid value.
    """
    try:
        with path.open("rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
        if len(content) > MAX_FILE_BYTES:
            raise errors.PlatformFormatError(f"above {MAX_FILE_BYTES} bytes")
        document = tomllib.loads(content.decode("utf-8"))
        parsed = msgspec.convert(document, _File, strict=False)
        return _build_settings(parsed)
    except (
        OSError,
        ValueError,
        RecursionError,
        errors.PlatformFormatError,
    ) as error:
        problem = str(error)[:MAX_PROBLEM_CHARS]
        raise errors.SettingsError(str(path), "", problem) from error


def _build_settings(parsed: _File) -> vm_settings.VmSettings:
    """Converts the parsed file into the settings of a VM.

    Raises:
        PlatformFormatError: If a field is invalid.
    """
    listen = parsed.network.listen
    limits = parsed.self.limits
    _check_fields(parsed)
    return vm_settings.VmSettings(
        vm=parsed.self.node,
        ip=parsed.self.ip,
        zone=parsed.self.zone,
        region=parsed.self.region,
        capacity=limits.cpu_share * limits.cores,
        callers=listen.edge_addr,
        readiness=listen.readiness,
        directory=listen.directory,
        control=listen.control,
        first_free_port=parsed.network.port_range[0],
        seeds=tuple(s for s in parsed.network.seeds if s != listen.control),
        regions=dict(parsed.network.zones),
        store=parsed.provider.provider.address,
        min_lease_seconds=value_limits.parse_duration(
            "MinTtl", parsed.provider.provider.min_ttl, MAX_SECONDS
        ),
        bounds=_build_bounds(parsed.terms.bounds),
    )


def _check_fields(parsed: _File) -> None:
    """Checks the names, addresses and numbers of this VM.

    The same limits apply to the entry with which it registers.

    Raises:
        PlatformFormatError: If a field is invalid.
    """
    own = parsed.self
    listen = parsed.network.listen
    first_port, last_port = parsed.network.port_range
    value_limits.check_identity(own.node)
    value_limits.check_name("Zone", own.zone, empty_allowed=True)
    value_limits.check_name("Region", own.region, empty_allowed=True)
    value_limits.check_address("EdgeAddr", listen.edge_addr)
    value_limits.check_address("Readiness", listen.readiness)
    value_limits.check_address("Directory", listen.directory)
    value_limits.check_address("Ip, PortRange", f"{own.ip}:{first_port}")
    value_limits.check_range(
        "PortRange", last_port, first_port, addresses.MAX_PORT
    )
    value_limits.check_address("Address", parsed.provider.provider.address)
    value_limits.check_range("CpuShare", own.limits.cpu_share, 0.0, 1.0)
    value_limits.check_range(
        "CpuShare * Cores",
        own.limits.cpu_share * own.limits.cores,
        fleet.MIN_CAPACITY_CORES,
        fleet.MAX_CAPACITY_CORES,
    )


def _build_bounds(bounds: _Bounds) -> vm_settings.DeploymentLimits:
    """Converts the limits that the deployment guarantees.

    Raises:
        PlatformFormatError: If a limit is out of range.
    """
    value_limits.check_range(
        "RetryBudget", bounds.retry_budget, 0.0, MAX_RETRY_FRACTION
    )
    value_limits.check_range(
        "BudgetSlack", bounds.budget_slack, 0.0, MAX_RETRY_SLACK
    )
    window_seconds = value_limits.parse_duration(
        "RetryWindow", bounds.retry_window, MAX_SECONDS
    )
    # Rates are computed for each second of the window.
    value_limits.check_range(
        "RetryWindow", window_seconds, MIN_SECONDS, MAX_SECONDS
    )
    usage_window_seconds = value_limits.parse_duration(
        "QuotaWindow", bounds.quota_window, MAX_SECONDS
    )
    value_limits.check_range(
        "QuotaWindow", usage_window_seconds, MIN_SECONDS, MAX_SECONDS
    )
    for name, fraction, slack in (
        ("Quota", bounds.quota_overrun, bounds.quota_slack),
        ("Cold", bounds.cold_overrun, bounds.cold_slack),
    ):
        value_limits.check_range(
            f"{name}Overrun", fraction, 0.0, MAX_RETRY_FRACTION
        )
        value_limits.check_range(f"{name}Slack", slack, 0.0, MAX_RETRY_SLACK)
    return vm_settings.DeploymentLimits(
        retry_fraction=bounds.retry_budget,
        retry_slack=bounds.budget_slack,
        retry_window_seconds=window_seconds,
        grace_seconds=value_limits.parse_duration(
            "Grace", bounds.grace, MAX_SECONDS
        ),
        max_address_ttl_seconds=value_limits.parse_duration(
            "ttl_max", bounds.ttl_max, MAX_SECONDS
        ),
        usage_window_seconds=usage_window_seconds,
        usage_overrun=bounds.quota_overrun,
        usage_slack=bounds.quota_slack,
        cold_overrun=bounds.cold_overrun,
        cold_slack=bounds.cold_slack,
    )

"""Reads the settings file that the platform gives to each process."""

import os
import pathlib
import tomllib

import msgspec

from wigeonspool.model import errors
from wigeonspool.model import vm_settings
from wigeonspool.platform import duration_text
from wigeonspool.platform import ports


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
        document = tomllib.loads(path.read_text(encoding="utf-8"))
        parsed = msgspec.convert(document, _File, strict=False)
        return _build_settings(parsed)
    except (OSError, ValueError) as error:
        raise errors.SettingsError(str(path), "", str(error)) from error
    except errors.PlatformFormatError as error:
        raise errors.SettingsError(str(path), "", str(error)) from error


def _build_settings(parsed: _File) -> vm_settings.VmSettings:
    """Converts the parsed file into the settings of a VM.

    Raises:
        PlatformFormatError: If a duration is malformed.
    """
    listen = parsed.network.listen
    limits = parsed.self.limits
    bounds = parsed.terms.bounds
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
        min_lease_seconds=duration_text.parse_seconds(
            parsed.provider.provider.min_ttl
        ),
        bounds=vm_settings.DeploymentLimits(
            retry_fraction=bounds.retry_budget,
            retry_slack=bounds.budget_slack,
            retry_window_seconds=duration_text.parse_seconds(
                bounds.retry_window
            ),
            grace_seconds=duration_text.parse_seconds(bounds.grace),
            max_address_ttl_seconds=duration_text.parse_seconds(bounds.ttl_max),
        ),
    )

"""Settings of the processes of a VM.

All processes of a VM read one YAML file, and each uses the sections that it
needs. A test compares the attribute descriptions with the settings table of
the documentation.
"""

from collections.abc import Iterator
import pathlib
from typing import Annotated, Literal

import pydantic

from wigeonspool.model import declarations
from wigeonspool.model import documents

FieldPath = tuple[str | int, ...]
Address = declarations.Address
Name = declarations.Name
Seconds = Annotated[float, pydantic.Field(gt=0)]
Url = Annotated[str, pydantic.Field(pattern=r"^https?://[^\s/]+")]
TokenKey = Annotated[str, pydantic.Field(min_length=8)]


class Section(pydantic.BaseModel):
    """Base class of all sections; rejects unknown keys."""

    model_config = pydantic.ConfigDict(
        extra="forbid", strict=True, allow_inf_nan=False
    )


class StoreOptions(Section):
    """Access to the platform's configuration store.

    Attributes:
        url: Base URL of the store's HTTP interface.
        prefix: Prefix of all keys of this system in the store.
        timeout_seconds: Maximum duration of a call to the store or a read of
            the VM list.
    """

    url: Url = "http://127.0.0.1:2379"
    prefix: str = "/wigeonspool/"
    timeout_seconds: Seconds = 2.0


class VmListOptions(Section):
    """Access to the platform's VM list.

    Attributes:
        url: URL of the VM list.
        poll_seconds: Time between two reads of the VM list by a feeder.
    """

    url: Url = "http://127.0.0.1:2378/v1/vms"
    poll_seconds: Seconds = 1.0


class AgentOptions(Section):
    """Settings of the agent.

    Attributes:
        listen: host:port where the agent accepts streams from other processes.
        metrics: host:port of the agent's metrics page.
        peers: Agents to connect to while no feeder of the region is known or
            responsive.
        feeders_per_region: Number of agents in each region that read the store
            and the VM list.
        heartbeat_seconds: Time between two heartbeats.
        silence_seconds: Time without a message after which a peer is not live.
    """

    listen: Address = "127.0.0.1:7000"
    metrics: Address = "127.0.0.1:7001"
    peers: list[Address] = []
    feeders_per_region: Annotated[int, pydantic.Field(ge=1)] = 2
    heartbeat_seconds: Seconds = 0.5
    silence_seconds: Seconds = 2.0


class GatewayOptions(Section):
    """Settings of the gateways of a VM.

    Attributes:
        addresses: host:port for callers, one per gateway process.
        metrics: host:port of the metrics pages, one per gateway process.
        answer_seconds: Lifetime of the response to an address lookup.
        token_seconds: Lifetime of an assignment token.
        drain_seconds: Longest time that a planned stop may take.
        once_capacity: Maximum number of rows (idempotency keys) in the table of
            non-idempotent requests.
        once_answer_bytes: Maximum total size of the responses in the table of
            non-idempotent requests.
        gateways_per_pool: Minimum number of gateways that callers of a zone use
            for a pool.
        requests_per_second: Capacity of one gateway process; a pool with more
            demand in a zone gets more gateways.
        explained_fraction: Fraction of the requests whose decisions are
            recorded with the candidate targets, 0 to 1.
    """

    addresses: list[Address] = ["127.0.0.1:8000"]
    metrics: list[Address] = ["127.0.0.1:8001"]
    answer_seconds: Seconds = 2.0
    token_seconds: Seconds = 120.0
    drain_seconds: Seconds = 30.0
    once_capacity: Annotated[int, pydantic.Field(ge=1)] = 100_000
    once_answer_bytes: Annotated[int, pydantic.Field(ge=0)] = 16_000_000
    gateways_per_pool: Annotated[int, pydantic.Field(ge=1)] = 2
    requests_per_second: Annotated[float, pydantic.Field(gt=0)] = 1400.0
    explained_fraction: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.01


class LogOptions(Section):
    """Settings of the log of a process.

    Attributes:
        format: "text" for people, "json" for one JSON object per line.
        level: Lowest level that is written.
    """

    format: Literal["text", "json"] = "text"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class Options(Section):
    """All settings of a VM.

    Attributes:
        vm: Unique name of the VM.
        zone: Availability zone of the VM.
        region: Region of the zone.
        token_keys: Keys that sign assignment tokens, the newest last; the
            same on all VMs.
    """

    vm: Name
    zone: Name
    region: Name
    token_keys: Annotated[list[TokenKey], pydantic.Field(min_length=1)]
    store: StoreOptions = StoreOptions()
    vm_list: VmListOptions = VmListOptions()
    agent: AgentOptions = AgentOptions()
    gateway: GatewayOptions = GatewayOptions()
    log: LogOptions = LogOptions()


def iterate_listen_addresses(
    settings: Options,
) -> Iterator[tuple[FieldPath, str]]:
    """Yields each listen address of the VM with the path of its setting."""
    yield ("agent", "listen"), settings.agent.listen
    yield ("agent", "metrics"), settings.agent.metrics
    for index, address in enumerate(settings.gateway.addresses):
        yield ("gateway", "addresses", index), address
    for index, address in enumerate(settings.gateway.metrics):
        yield ("gateway", "metrics", index), address


def find_conflicts(settings: Options) -> Iterator[tuple[FieldPath, str]]:
    """Yields each setting that conflicts with another one, with the problem."""
    gateway = settings.gateway
    if len(gateway.metrics) != len(gateway.addresses):
        yield (
            ("gateway", "metrics"),
            f"{len(gateway.metrics)} entries, but gateway.addresses has"
            f" {len(gateway.addresses)}",
        )
    seen: dict[str, FieldPath] = {}
    for path, address in iterate_listen_addresses(settings):
        if address in seen:
            first = documents.format_path(seen[address])
            yield path, f"{address} is the address of {first} too"
        seen[address] = path
    if settings.agent.silence_seconds <= settings.agent.heartbeat_seconds:
        yield (
            ("agent", "silence_seconds"),
            "must be longer than heartbeat_seconds",
        )
    if gateway.token_seconds < gateway.answer_seconds:
        yield (
            ("gateway", "token_seconds"),
            "must not be shorter than answer_seconds",
        )
    if gateway.drain_seconds <= gateway.answer_seconds:
        yield (
            ("gateway", "drain_seconds"),
            "must be longer than answer_seconds",
        )


def read_options(path: pathlib.Path) -> Options:
    """Returns the settings in a YAML file.

    Args:
        path: File to read.

    Raises:
        SettingsError: If the file cannot be read or parsed, if a setting is
            invalid, or if two settings conflict.
    """
    document = documents.read_document(path)
    try:
        settings = Options.model_validate(document.content)
    except pydantic.ValidationError as error:
        raise document.build_validation_error(error) from error
    for field, problem in find_conflicts(settings):
        raise document.build_error(field, problem)
    return settings

"""The settings of a VM's processes.

One YAML file serves all processes of a VM; each reads the sections it needs.
"""

import pathlib
from typing import Annotated, Literal

import pydantic

from wigeonspool.model import declarations

Address = declarations.Address
Name = declarations.Name
Seconds = Annotated[float, pydantic.Field(gt=0)]


class Section(pydantic.BaseModel):
    """Base of all sections: unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid")


class StoreOptions(Section):
    """Where the platform's configuration store is.

    Attributes:
        url: Base URL of its HTTP interface.
        prefix: Key prefix of this system.
        timeout_seconds: Longest time that one call may take.
    """

    url: str = "http://127.0.0.1:2379"
    prefix: str = "/wigeonspool/"
    timeout_seconds: Seconds = 2.0


class VmListOptions(Section):
    """Where the platform's VM list is.

    Attributes:
        url: URL of the list.
        poll_seconds: Time between two reads by a feeder.
    """

    url: str = "http://127.0.0.1:2378/v1/vms"
    poll_seconds: Seconds = 1.0


class AgentOptions(Section):
    """Settings of the agent.

    Attributes:
        listen: host:port of its stream server.
        metrics: host:port of its metrics page.
        peers: Agents to ask while the VM list is unknown.
        feeders_per_region: Agents of a region that follow the store.
        heartbeat_seconds: Time between two heartbeats.
        silence_seconds: A peer that is silent for longer is not live.
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
        answer_seconds: Lifetime of an answer to the address question.
        token_seconds: Lifetime of an assignment token.
        drain_seconds: Longest time that a planned stop may take.
        once_capacity: Rows of the table of non-idempotent requests.
        once_answer_bytes: Bytes of the answers that this table keeps.
        gateways_per_pool: Least gateways named for a pool and zone.
    """

    addresses: list[Address] = ["127.0.0.1:8000"]
    metrics: list[Address] = ["127.0.0.1:8001"]
    answer_seconds: Seconds = 2.0
    token_seconds: Seconds = 120.0
    drain_seconds: Seconds = 30.0
    once_capacity: Annotated[int, pydantic.Field(ge=1)] = 100_000
    once_answer_bytes: Annotated[int, pydantic.Field(ge=0)] = 16_000_000
    gateways_per_pool: Annotated[int, pydantic.Field(ge=1)] = 2


class LogOptions(Section):
    """How a process logs."""

    format: Literal["text", "json"] = "text"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class Options(Section):
    """All settings of a VM.

    Attributes:
        vm: Unique name of the VM.
        zone: Availability zone of the VM.
        region: Region of the zone.
        token_keys: Keys that sign assignment tokens, the newest last.
    """

    vm: Name
    zone: Name
    region: Name
    token_keys: Annotated[list[str], pydantic.Field(min_length=1)]
    store: StoreOptions = StoreOptions()
    vm_list: VmListOptions = VmListOptions()
    agent: AgentOptions = AgentOptions()
    gateway: GatewayOptions = GatewayOptions()
    log: LogOptions = LogOptions()


def read_options(path: pathlib.Path) -> Options:
    """Returns the settings in a YAML file.

    Args:
        path: File to read.

    Raises:
        SettingsError: If the file cannot be read or breaks the schema.
    """
    document = declarations.read_yaml(path)
    try:
        return Options.model_validate(document or {})
    except pydantic.ValidationError as error:
        raise declarations.describe_problem(str(path), error) from error

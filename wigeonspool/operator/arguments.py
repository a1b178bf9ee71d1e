"""Command-line arguments that several commands for operators share."""

import dataclasses
import pathlib
from typing import Annotated, Final

import cyclopts

Files = Annotated[list[pathlib.Path], cyclopts.Parameter(negative=())]
VmList = Annotated[str, cyclopts.Parameter(env_var="WIGEONSPOOL_VM_LIST")]
AsJson = Annotated[bool, cyclopts.Parameter(name="--json", negative=())]


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True)
class StoreLocation:
    """Location of the tables in the store.

    Attributes:
        store: Base URL of the store.
        prefix: Key prefix of this system in the store.
    """

    store: Annotated[str, cyclopts.Parameter(env_var="WIGEONSPOOL_STORE")] = (
        "http://127.0.0.1:2379"
    )
    prefix: Annotated[str, cyclopts.Parameter(env_var="WIGEONSPOOL_PREFIX")] = (
        "/wigeonspool/"
    )


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True)
class AgentAddress:
    """Address of the agent to query for the state of the fleet.

    Attributes:
        agent: host:port of any agent.
    """

    agent: Annotated[str, cyclopts.Parameter(env_var="WIGEONSPOOL_AGENT")] = (
        "127.0.0.1:7000"
    )


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True)
class WaitOptions:
    """Whether and how long to wait until a change is in force.

    Attributes:
        wait: Return once the generation is in force on all VMs.
        wait_seconds: Longest time to wait, in seconds.
    """

    wait: Annotated[bool, cyclopts.Parameter(negative=())] = False
    wait_seconds: float = 10.0


DEFAULT_VM_LIST: Final = "http://127.0.0.1:2378/v1/vms"
DEFAULT_STORE: Final = StoreLocation()
DEFAULT_AGENT: Final = AgentAddress()
NO_WAIT: Final = WaitOptions()

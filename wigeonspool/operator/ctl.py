"""Command line of operators: the two tables, and the state of the fleet."""

import asyncio
from collections.abc import Coroutine
import getpass
import json
import pathlib
import sys
import time
from typing import Annotated, Any, Final, TypeVar
import uuid

import cyclopts

from wigeonspool.model import changes
from wigeonspool.model import declarations
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import messages
from wigeonspool.operator import sessions

EXIT_FAILED: Final = 1
EXIT_INVALID: Final = 2
EXIT_CONFLICT: Final = 3
POLL_SECONDS: Final = 0.05

Value = TypeVar("Value")
Files = Annotated[list[pathlib.Path], cyclopts.Parameter(negative=())]
StoreUrl = Annotated[
    str, cyclopts.Parameter(name="--store", env_var="WIGEONSPOOL_STORE")
]
Prefix = Annotated[
    str, cyclopts.Parameter(name="--prefix", env_var="WIGEONSPOOL_PREFIX")
]
AgentAddress = Annotated[
    str, cyclopts.Parameter(name="--agent", env_var="WIGEONSPOOL_AGENT")
]
DEFAULT_STORE: Final = "http://127.0.0.1:2379"
DEFAULT_PREFIX: Final = "/wigeonspool/"
DEFAULT_AGENT: Final = "127.0.0.1:7000"

app = cyclopts.App(
    name="wigeonspool-ctl",
    help="Reads and changes the tables of routes and pools.",
)


def run_command(work: Coroutine[Any, Any, Value]) -> Value:
    """Runs a command; a typed failure becomes a message and an exit code."""
    try:
        return asyncio.run(work)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID)
    except errors.ChangeConflictError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_CONFLICT)
    except errors.WigeonspoolError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_FAILED)


def list_differences(change: changes.Change) -> list[str]:
    """Returns the lines that describe a change."""
    return [
        *(f"+ pool {pool.name}" for pool in change.put_pools),
        *(f"+ route {route.name}" for route in change.put_routes),
        *(f"- pool {name}" for name in change.removed_pools),
        *(f"- route {name}" for name in change.removed_routes),
    ]


@app.command
def validate(files: Files) -> None:
    """Checks files of tables without applying them.

    Args:
        files: YAML files with pools and routes.
    """

    async def work() -> None:
        tables = declarations.read_tables(files)
        print(f"{len(tables.pools)} pools, {len(tables.routes)} routes: valid")

    run_command(work())


async def _read_change(
    files: list[pathlib.Path], store: str, prefix: str
) -> changes.Change:
    """Returns the change that files ask for, against the store's head."""
    wanted = declarations.read_tables(files)
    async with sessions.open_log(store, prefix) as log:
        held = await log.read_tables()
    return changes.diff_tables(
        held, wanted, uuid.uuid4().hex, getpass.getuser(), time.time()
    )


@app.command
def diff(
    files: Files,
    store: StoreUrl = DEFAULT_STORE,
    prefix: Prefix = DEFAULT_PREFIX,
) -> None:
    """Shows what `apply` would change.

    Args:
        files: YAML files with pools and routes; together they are all that
            will exist.
        store: Base URL of the store.
        prefix: Key prefix of this system.
    """
    change = run_command(_read_change(files, store, prefix))
    print("\n".join(list_differences(change)) or "no difference")


@app.command
def apply(
    files: Files,
    store: StoreUrl = DEFAULT_STORE,
    prefix: Prefix = DEFAULT_PREFIX,
    agent: AgentAddress = DEFAULT_AGENT,
    wait: bool = False,
    wait_seconds: float = 10.0,
) -> None:
    """Makes the tables equal to those in some files.

    Args:
        files: YAML files with pools and routes; together they are all that
            will exist.
        store: Base URL of the store.
        prefix: Key prefix of this system.
        agent: host:port of any agent, for `--wait`.
        wait: Return once the generation is in force on all VMs.
        wait_seconds: Longest time to wait.
    """

    async def work() -> None:
        change = await _read_change(files, store, prefix)
        if change.is_empty():
            print(f"generation {change.generation - 1}: no difference")
            return
        async with sessions.open_log(store, prefix) as log:
            await log.propose(change)
        print(f"generation {change.generation} accepted")
        if wait:
            await _wait_in_force(change.generation, agent, wait_seconds)

    run_command(work())


async def _wait_in_force(
    generation: int, agent: str, wait_seconds: float
) -> None:
    """Waits until a generation is in force on all VMs.

    Raises:
        NotInForceError: If the time ran out.
    """
    started_at = time.monotonic()
    give_up_at = started_at + wait_seconds
    while True:
        heartbeats = await _read_heartbeats(agent)
        holders = sum(h.generation >= generation for h in heartbeats)
        if holders == len(heartbeats) and holders:
            spent = time.monotonic() - started_at
            print(
                f"generation {generation} in force on {holders} of"
                f" {len(heartbeats)} VMs after {spent:.2f} s"
            )
            return
        if time.monotonic() >= give_up_at:
            raise errors.NotInForceError(generation, holders, len(heartbeats))
        await asyncio.sleep(POLL_SECONDS)


async def _read_heartbeats(agent: str) -> tuple[messages.Heartbeat, ...]:
    """Returns the fleet as an agent knows it."""
    answer = await sessions.ask_agent(agent, messages.StatusRequest())
    assert isinstance(answer, messages.Members)
    return answer.heartbeats


@app.command
def show(
    store: StoreUrl = DEFAULT_STORE, prefix: Prefix = DEFAULT_PREFIX
) -> None:
    """Shows the tables at the head of the log, as JSON.

    Args:
        store: Base URL of the store.
        prefix: Key prefix of this system.
    """

    async def work() -> entities.Tables:
        async with sessions.open_log(store, prefix) as log:
            return await log.read_tables()

    tables = run_command(work())
    print(json.dumps(declarations.show_tables(tables), indent=2))


@app.command
def history(
    store: StoreUrl = DEFAULT_STORE,
    prefix: Prefix = DEFAULT_PREFIX,
    last: int = 20,
) -> None:
    """Shows the newest changes, one per line.

    Args:
        store: Base URL of the store.
        prefix: Key prefix of this system.
        last: Number of changes to show.
    """

    async def work() -> list[changes.Change]:
        async with sessions.open_log(store, prefix) as log:
            return await log.read_after(0)

    for change in run_command(work())[-last:]:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(change.written_at))
        lines = ", ".join(list_differences(change))
        print(f"{change.generation}  {at}  {change.author}  {lines}")


@app.command
def status(agent: AgentAddress = DEFAULT_AGENT) -> None:
    """Shows the VMs and gateways of the fleet.

    Args:
        agent: host:port of any agent.
    """
    for heartbeat in run_command(_read_heartbeats(agent)):
        print(f"{heartbeat.vm}  generation {heartbeat.generation}")
        for gateway in heartbeat.gateways:
            state = "draining" if gateway.draining else "serving"
            print(f"  {gateway.name}  {gateway.address}  {state}")


def main() -> None:
    """Entry point of the binary."""
    app()

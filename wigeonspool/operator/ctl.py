"""Control command: changes the tables and shows the state of the fleet."""

import dataclasses
import json
import time
from typing import Annotated, Any, Final

import cyclopts

from wigeonspool.model import declarations
from wigeonspool.model import entities
from wigeonspool.operator import activation
from wigeonspool.operator import arguments
from wigeonspool.operator import differences
from wigeonspool.operator import draining
from wigeonspool.operator import edits
from wigeonspool.operator import outputs
from wigeonspool.operator import sessions
from wigeonspool.operator import statuses
from wigeonspool.operator import versions

CLEAR_SCREEN: Final = "\x1b[H\x1b[2J"

HELP: Final = """Reads and changes the tables of routes and pools.

Typical first use:

    wigeonspool-ctl validate tables.yaml
    wigeonspool-ctl diff tables.yaml
    wigeonspool-ctl apply tables.yaml --wait
    wigeonspool-ctl status

The store, the agent to query and the VM list can also be given by
WIGEONSPOOL_STORE, WIGEONSPOOL_PREFIX, WIGEONSPOOL_AGENT and
WIGEONSPOOL_VM_LIST.

Exit codes: 0 done; 1 the store or an agent did not serve the command; 2 the
input is invalid and nothing was applied; 3 another operator's change came
first and nothing was applied; 4 the change is accepted but was not in force
everywhere in time; 5 it is unknown whether the change was accepted.
"""

app = cyclopts.App(name="wigeonspool-ctl", help=HELP)


def _build_document(edit: edits.Edit) -> dict[str, Any]:
    """Returns a change and its differences as a document for JSON."""
    return {
        "generation": edit.generation,
        "changed": not edit.change.is_empty(),
        "differences": [dataclasses.asdict(d) for d in edit.differences],
    }


def _format_differences(edit: edits.Edit) -> list[str]:
    """Returns the differences that a change makes as lines of text."""
    lines = [differences.format_difference(d) for d in edit.differences]
    return lines or ["no difference"]


@app.command
def validate(
    files: arguments.Files, *, as_json: arguments.AsJson = False
) -> None:
    """Checks files of tables without applying them.

    Args:
        files: YAML files with pools and routes.
        as_json: Print JSON.
    """

    async def read() -> entities.Tables:
        return declarations.read_tables(files)

    tables = outputs.run_command(read(), as_json)
    counts = {"pools": len(tables.pools), "routes": len(tables.routes)}
    line = f"{counts['pools']} pools, {counts['routes']} routes: valid"
    outputs.print_result(counts, [line], as_json)


@app.command
def diff(
    files: arguments.Files,
    *,
    where: arguments.StoreLocation = arguments.DEFAULT_STORE,
    as_json: arguments.AsJson = False,
) -> None:
    """Shows, field by field, what `apply` would change.

    Args:
        files: YAML files with pools and routes. Pools and routes that are in
            none of them are removed.
        where: The store.
        as_json: Print JSON.
    """

    async def plan() -> edits.Edit:
        desired = declarations.read_tables(files)
        async with sessions.open_log(where.store, where.prefix) as log:
            return await edits.plan_replacement(log, desired)

    edit = outputs.run_command(plan(), as_json)
    document = _build_document(edit)
    outputs.print_result(document, _format_differences(edit), as_json)


@app.command
def apply(
    files: arguments.Files,
    *,
    base: int | None = None,
    where: arguments.StoreLocation = arguments.DEFAULT_STORE,
    whom: arguments.AgentAddress = arguments.DEFAULT_AGENT,
    waiting: arguments.WaitOptions = arguments.NO_WAIT,
    as_json: arguments.AsJson = False,
) -> None:
    """Replaces the tables with those in the files.

    Args:
        files: YAML files with pools and routes. Pools and routes that are in
            none of them are removed.
        base: Generation that the files are based on. If the tables have
            changed since, nothing is applied and the changes since are shown.
        where: The store.
        whom: The agent to query, for `--wait`.
        waiting: Whether to wait until the change is in force.
        as_json: Print JSON.
    """

    async def replace() -> edits.Edit:
        desired = declarations.read_tables(files)
        async with sessions.open_log(where.store, where.prefix) as log:
            return await edits.replace_tables(log, desired, base)

    _finish_edit(
        outputs.run_command(replace(), as_json), whom, waiting, as_json
    )


def _finish_edit(
    edit: edits.Edit,
    whom: arguments.AgentAddress,
    waiting: arguments.WaitOptions,
    as_json: bool,
) -> None:
    """Prints an accepted change; with `--wait`, waits until it is active."""
    document = _build_document(edit)
    lines = _format_differences(edit)
    if not edit.change.is_empty():
        lines.append(f"generation {edit.generation} accepted")
    if not as_json:
        outputs.print_result(document, lines, as_json)
    if waiting.wait:
        command = activation.wait_until_active(
            edit.generation, whom.agent, waiting.wait_seconds
        )
        vm_count, elapsed_seconds = outputs.run_command(command, as_json)
        document |= {
            "in_force": vm_count,
            "seconds": round(elapsed_seconds, 3),
        }
        if not as_json:
            print(
                f"generation {edit.generation} in force on {vm_count} of"
                f" {vm_count} VMs after {elapsed_seconds:.2f} s"
            )
    if as_json:
        outputs.print_result(document, [], as_json)


@app.command
def show(
    *,
    at: int | None = None,
    where: arguments.StoreLocation = arguments.DEFAULT_STORE,
    as_json: arguments.AsJson = False,
) -> None:
    """Shows the tables in the format of the files for `apply`.

    Args:
        at: Generation to show; the newest if not given.
        where: The store.
        as_json: Print JSON.
    """

    async def read() -> entities.Tables:
        async with sessions.open_log(where.store, where.prefix) as log:
            if at is None:
                return await log.read_tables()
            return await versions.read_tables_at(log, at)

    tables = outputs.run_command(read(), as_json)
    document = declarations.dump_tables(tables)
    lines = [
        f"# generation {tables.generation}",
        declarations.format_tables(tables),
    ]
    outputs.print_result(
        {"generation": tables.generation, **document}, lines, as_json
    )


@app.command
def history(
    *,
    last: int = 20,
    where: arguments.StoreLocation = arguments.DEFAULT_STORE,
    as_json: arguments.AsJson = False,
) -> None:
    """Shows the newest changes: author, time and differences.

    Args:
        last: Number of changes to show.
        where: The store.
        as_json: Print JSON, one object per change.
    """

    async def read() -> list[versions.Version]:
        async with sessions.open_log(where.store, where.prefix) as log:
            return await versions.read_versions(log)

    all_versions = outputs.run_command(read(), as_json)
    for version in all_versions[max(0, len(all_versions) - last) :]:
        _print_version(version, as_json)


def _print_version(version: versions.Version, as_json: bool) -> None:
    """Prints one change of the history."""
    change = version.change
    written_at = time.strftime(
        "%Y-%m-%d %H:%M:%S", time.gmtime(change.written_at)
    )
    version_differences = version.list_differences()
    document = {
        "generation": change.generation,
        "change_id": change.change_id,
        "author": change.author,
        "written_at": change.written_at,
        "differences": [dataclasses.asdict(d) for d in version_differences],
    }
    lines = [f"{change.generation}  {written_at} UTC  {change.author}"]
    lines += [
        f"  {differences.format_difference(d)}" for d in version_differences
    ]
    outputs.print_result(document, lines, as_json)


@app.command
def status(
    *,
    pool: str = "",
    show_all: Annotated[
        bool, cyclopts.Parameter(name="--all", negative=())
    ] = False,
    whom: arguments.AgentAddress = arguments.DEFAULT_AGENT,
    as_json: arguments.AsJson = False,
) -> None:
    """Shows VMs, gateways, the generation in force, pools and targets.

    Lists each target that at least one gateway does not regard as serving, with
    the reason.

    Args:
        pool: Only this pool.
        show_all: List all targets.
        whom: The agent to query first; it names all others.
        as_json: Print JSON.
    """
    command = statuses.read_fleet(whom.agent, pool)
    fleet = outputs.run_command(command, as_json)
    lines = statuses.format_fleet(fleet, show_all)
    outputs.print_result(statuses.describe_fleet(fleet), lines, as_json)


@app.command
def top(
    *,
    pool: str = "",
    every_seconds: float = 1.0,
    count: int = 0,
    whom: arguments.AgentAddress = arguments.DEFAULT_AGENT,
    as_json: arguments.AsJson = False,
) -> None:
    """Shows the status repeatedly until interrupted.

    Args:
        pool: Only this pool.
        every_seconds: Time between two refreshes, in seconds.
        count: Number of refreshes; 0 for no end.
        whom: The agent to query first; it names all others.
        as_json: Print JSON, one object per refresh.
    """
    refreshes = 0
    while not count or refreshes < count:
        if refreshes:
            time.sleep(every_seconds)
        refreshes += 1
        command = statuses.read_fleet(whom.agent, pool)
        fleet = outputs.run_command(command, as_json)
        if as_json:
            print(json.dumps(statuses.describe_fleet(fleet)), flush=True)
            continue
        text = "\n".join(statuses.format_fleet(fleet))
        print(f"{CLEAR_SCREEN}{text}", flush=True)


@app.command
def drain(
    name: str,
    *,
    vm_list: arguments.VmList = arguments.DEFAULT_VM_LIST,
    where: arguments.StoreLocation = arguments.DEFAULT_STORE,
    whom: arguments.AgentAddress = arguments.DEFAULT_AGENT,
    waiting: arguments.WaitOptions = arguments.NO_WAIT,
    as_json: arguments.AsJson = False,
) -> None:
    """Takes a target out of service: it gets no new requests.

    A change of another operator is never lost: if one is accepted first, this
    one is applied on top of it.

    Args:
        name: host:port of a target, or the name of a target's VM.
        vm_list: URL of the VM list, to find the address of a VM.
        where: The store.
        whom: The agent to query, for `--wait`.
        waiting: Whether to wait until the change is in force.
        as_json: Print JSON.
    """
    command = draining.set_drained(name, True, vm_list, where)
    _finish_edit(outputs.run_command(command, as_json), whom, waiting, as_json)


@app.command
def undrain(
    name: str,
    *,
    vm_list: arguments.VmList = arguments.DEFAULT_VM_LIST,
    where: arguments.StoreLocation = arguments.DEFAULT_STORE,
    whom: arguments.AgentAddress = arguments.DEFAULT_AGENT,
    waiting: arguments.WaitOptions = arguments.NO_WAIT,
    as_json: arguments.AsJson = False,
) -> None:
    """Puts a drained target back into service.

    Args:
        name: host:port of a target, or the name of a target's VM.
        vm_list: URL of the VM list, to find the address of a VM.
        where: The store.
        whom: The agent to query, for `--wait`.
        waiting: Whether to wait until the change is in force.
        as_json: Print JSON.
    """
    command = draining.set_drained(name, False, vm_list, where)
    _finish_edit(outputs.run_command(command, as_json), whom, waiting, as_json)


def main() -> None:
    """Runs the command; entry point of `wigeonspool-ctl`."""
    app()

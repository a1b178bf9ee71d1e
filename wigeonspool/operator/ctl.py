"""Command line of operators: the two tables, and the state of the fleet."""

import dataclasses
import json
import time
from typing import Annotated, Any, Final

import cyclopts

from wigeonspool.model import declarations
from wigeonspool.model import entities
from wigeonspool.operator import arguments
from wigeonspool.operator import differences
from wigeonspool.operator import draining
from wigeonspool.operator import edits
from wigeonspool.operator import outputs
from wigeonspool.operator import progress
from wigeonspool.operator import sessions
from wigeonspool.operator import statuses
from wigeonspool.operator import versions

CLEAR_SCREEN: Final = "\x1b[H\x1b[2J"

HELP: Final = """Reads and changes the tables of routes and pools.

A first day:

    wigeonspool-ctl validate tables.yaml
    wigeonspool-ctl diff tables.yaml
    wigeonspool-ctl apply tables.yaml --wait
    wigeonspool-ctl status

The store, the agent to ask and the VM list can also be given by
WIGEONSPOOL_STORE, WIGEONSPOOL_PREFIX, WIGEONSPOOL_AGENT and
WIGEONSPOOL_VM_LIST.

Exit codes: 0 done; 1 the store or an agent did not serve the command; 2 the
input is invalid and nothing was applied; 3 another operator's change came
first and nothing was applied; 4 the change is accepted but was not in force
everywhere in time; 5 it is unknown whether the change was accepted.
"""

app = cyclopts.App(name="wigeonspool-ctl", help=HELP)


def _describe_edit(edit: edits.Edit) -> dict[str, Any]:
    """Returns a change as a plain document."""
    return {
        "generation": edit.generation,
        "changed": not edit.change.is_empty(),
        "differences": [dataclasses.asdict(d) for d in edit.differences],
    }


def _format_differences(edit: edits.Edit) -> list[str]:
    """Returns the lines that show what a change alters."""
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

    async def work() -> entities.Tables:
        return declarations.read_tables(files)

    tables = outputs.run_command(work(), as_json)
    counts = {"pools": len(tables.pools), "routes": len(tables.routes)}
    line = f"{counts['pools']} pools, {counts['routes']} routes: valid"
    outputs.print_result(counts, [line], as_json)


@app.command
def diff(
    files: arguments.Files,
    *,
    where: arguments.StoreAddress = arguments.DEFAULT_STORE,
    as_json: arguments.AsJson = False,
) -> None:
    """Shows, field by field, what `apply` would change.

    Args:
        files: YAML files with pools and routes; together they are all that
            will exist.
        where: The store.
        as_json: Print JSON.
    """

    async def work() -> edits.Edit:
        wanted = declarations.read_tables(files)
        async with sessions.open_log(where.store, where.prefix) as log:
            return await edits.plan_tables(log, wanted)

    edit = outputs.run_command(work(), as_json)
    document = _describe_edit(edit)
    outputs.print_result(document, _format_differences(edit), as_json)


@app.command
def apply(
    files: arguments.Files,
    *,
    base: int | None = None,
    where: arguments.StoreAddress = arguments.DEFAULT_STORE,
    whom: arguments.AgentAddress = arguments.DEFAULT_AGENT,
    waiting: arguments.Waiting = arguments.NO_WAITING,
    as_json: arguments.AsJson = False,
) -> None:
    """Makes the tables equal to those in some files.

    Args:
        files: YAML files with pools and routes; together they are all that
            will exist.
        base: Generation that the files were made from. If the tables have
            changed since, nothing is applied and what came between is shown.
        where: The store.
        whom: The agent to ask, for `--wait`.
        waiting: Whether to wait until the change is in force.
        as_json: Print JSON.
    """

    async def work() -> edits.Edit:
        wanted = declarations.read_tables(files)
        async with sessions.open_log(where.store, where.prefix) as log:
            return await edits.put_tables(log, wanted, base)

    _finish_edit(outputs.run_command(work(), as_json), whom, waiting, as_json)


def _finish_edit(
    edit: edits.Edit,
    whom: arguments.AgentAddress,
    waiting: arguments.Waiting,
    as_json: bool,
) -> None:
    """Prints an accepted change and waits for it if asked to."""
    document = _describe_edit(edit)
    lines = _format_differences(edit)
    if not edit.change.is_empty():
        lines.append(f"generation {edit.generation} accepted")
    if not as_json:
        outputs.print_result(document, lines, as_json)
    if waiting.wait:
        work = progress.wait_in_force(
            edit.generation, whom.agent, waiting.wait_seconds
        )
        holders, spent_seconds = outputs.run_command(work, as_json)
        document |= {"in_force": holders, "seconds": round(spent_seconds, 3)}
        if not as_json:
            print(
                f"generation {edit.generation} in force on {holders} of"
                f" {holders} VMs after {spent_seconds:.2f} s"
            )
    if as_json:
        outputs.print_result(document, [], as_json)


@app.command
def show(
    *,
    at: int | None = None,
    where: arguments.StoreAddress = arguments.DEFAULT_STORE,
    as_json: arguments.AsJson = False,
) -> None:
    """Shows the tables as a file that `apply` takes.

    Args:
        at: Generation to show; the newest if not given.
        where: The store.
        as_json: Print JSON.
    """

    async def work() -> entities.Tables:
        async with sessions.open_log(where.store, where.prefix) as log:
            if at is None:
                return await log.read_tables()
            return await versions.read_tables_at(log, at)

    tables = outputs.run_command(work(), as_json)
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
    where: arguments.StoreAddress = arguments.DEFAULT_STORE,
    as_json: arguments.AsJson = False,
) -> None:
    """Shows the newest changes: who, when, and what differs.

    Args:
        last: Number of changes to show.
        where: The store.
        as_json: Print JSON, one object per change.
    """

    async def work() -> list[versions.Version]:
        async with sessions.open_log(where.store, where.prefix) as log:
            return await versions.read_versions(log)

    found = outputs.run_command(work(), as_json)
    for version in found[max(0, len(found) - last) :]:
        _print_version(version, as_json)


def _print_version(version: versions.Version, as_json: bool) -> None:
    """Prints one change of the history."""
    change = version.change
    at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(change.written_at))
    altered = version.list_differences()
    document = {
        "generation": change.generation,
        "change_id": change.change_id,
        "author": change.author,
        "written_at": change.written_at,
        "differences": [dataclasses.asdict(d) for d in altered],
    }
    lines = [f"{change.generation}  {at} UTC  {change.author}"]
    lines += [f"  {differences.format_difference(d)}" for d in altered]
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

    Lists each target that does not serve at some gateway, and why.

    Args:
        pool: Only this pool.
        show_all: List all targets.
        whom: The agent to ask; it names all others.
        as_json: Print JSON.
    """
    work = statuses.read_fleet(whom.agent, pool)
    fleet = outputs.run_command(work, as_json)
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
    """Shows the status again and again until interrupted.

    Args:
        pool: Only this pool.
        every_seconds: Time between two refreshes.
        count: Number of refreshes; 0 for no end.
        whom: The agent to ask.
        as_json: Print JSON, one object per refresh.
    """
    shown = 0
    while not count or shown < count:
        if shown:
            time.sleep(every_seconds)
        shown += 1
        work = statuses.read_fleet(whom.agent, pool)
        fleet = outputs.run_command(work, as_json)
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
    where: arguments.StoreAddress = arguments.DEFAULT_STORE,
    whom: arguments.AgentAddress = arguments.DEFAULT_AGENT,
    waiting: arguments.Waiting = arguments.NO_WAITING,
    as_json: arguments.AsJson = False,
) -> None:
    """Takes a target out of service: it gets no new work.

    A change of another operator is never lost: if one comes first, this one
    is made again on top of it.

    Args:
        name: host:port of a target, or the name of a target's VM.
        vm_list: URL of the VM list, to find the address of a VM.
        where: The store.
        whom: The agent to ask, for `--wait`.
        waiting: Whether to wait until the change is in force.
        as_json: Print JSON.
    """
    work = draining.set_drained(name, True, vm_list, where)
    _finish_edit(outputs.run_command(work, as_json), whom, waiting, as_json)


@app.command
def undrain(
    name: str,
    *,
    vm_list: arguments.VmList = arguments.DEFAULT_VM_LIST,
    where: arguments.StoreAddress = arguments.DEFAULT_STORE,
    whom: arguments.AgentAddress = arguments.DEFAULT_AGENT,
    waiting: arguments.Waiting = arguments.NO_WAITING,
    as_json: arguments.AsJson = False,
) -> None:
    """Puts a drained target back into service.

    Args:
        name: host:port of a target, or the name of a target's VM.
        vm_list: URL of the VM list, to find the address of a VM.
        where: The store.
        whom: The agent to ask, for `--wait`.
        waiting: Whether to wait until the change is in force.
        as_json: Print JSON.
    """
    work = draining.set_drained(name, False, vm_list, where)
    _finish_edit(outputs.run_command(work, as_json), whom, waiting, as_json)


def main() -> None:
    """Entry point of the binary."""
    app()

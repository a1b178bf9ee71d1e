"""Command line of the time line: events of all processes in one order."""

import asyncio
import json
import pathlib
import sys
from typing import Annotated, Final, Literal

import cyclopts

from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.operator import arguments
from wigeonspool.operator import collecting
from wigeonspool.operator import logfiles
from wigeonspool.operator import traces

EXIT_FAILED: Final = 1

HELP: Final = """Merges the events of all processes into one time line.

One request, from its caller to its target:

    wigeonspool-timeline 10.0.0.1:7000 10.0.0.2:7000 --request ID

What happened to a target, over all VMs of the VM list:

    wigeonspool-timeline --vm-list URL --target 10.0.1.7:9000

One request in the logs that entry VMs of a platform wrote:

    wigeonspool-timeline --log vm-1.log --log vm-2.log --request ID

Each process keeps its newest events only. The last lines, which begin with #,
tell of processes that forgot events or did not answer. Exit codes: 0 if any
agent answered, 1 if none did.
"""

app = cyclopts.App(name="wigeonspool-timeline", help=HELP)


async def _collect(
    agents: list[str], vm_list: str, wanted: events.Filter
) -> collecting.TimeLine:
    """Returns the time line of named agents and of those on the VM list.

    Raises:
        VmListError: If nothing is named and the list could not be read.
    """
    notes: tuple[collecting.Note, ...] = ()
    addresses = list(agents)
    try:
        if vm_list:
            addresses += await collecting.list_agents(vm_list)
    except errors.VmListError as error:
        if not addresses:
            raise
        notes = (collecting.Note("vm-list", str(error)),)
    line = await collecting.collect_events(addresses, wanted)
    return collecting.TimeLine(line.events, notes + line.notes, line.answered)


@app.default
def show(
    agents: Annotated[list[str] | None, cyclopts.Parameter(negative=())] = None,
    *,
    vm_list: arguments.VmList = "",
    request: str = "",
    target: str = "",
    vm: str = "",
    kind: Annotated[
        list[events.Kind] | None, cyclopts.Parameter(negative=())
    ] = None,
    log: Annotated[
        list[pathlib.Path] | None, cyclopts.Parameter(negative=())
    ] = None,
    last: int = 0,
    output: Literal["text", "json", "chrome"] = "text",
) -> None:
    """Shows the time line of the fleet.

    Args:
        agents: host:port of each agent to ask.
        vm_list: URL of the VM list; the agents of its entry VMs are asked too.
        request: Only events of this request.
        target: Only events of this target.
        vm: Only events of this VM and its processes.
        kind: Only events of this kind; may be given more than once.
        log: Log of an entry VM, read in place of asking agents; may be given
            more than once.
        last: Only this many of the newest events; 0 for all.
        output: Form of the output; `chrome` for a trace viewer.
    """
    wanted = events.Filter(request, target, vm, tuple(kind or ()))
    if log:
        show_logs(log, wanted, last, output)
        return
    try:
        line = asyncio.run(_collect(agents or [], vm_list, wanted))
    except errors.WigeonspoolError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_FAILED)
    newest = line.events[-last:] if last > 0 else line.events
    line = collecting.TimeLine(newest, line.notes, line.answered)
    if output == "chrome":
        print(json.dumps(traces.build_chrome_trace(line)))
    else:
        form = traces.iterate_text if output == "text" else traces.iterate_json
        for text in form(line):
            print(text)
    if not line.answered:
        print("no agent answered", file=sys.stderr)
        sys.exit(EXIT_FAILED)


def show_logs(
    paths: list[pathlib.Path], wanted: events.Filter, last: int, output: str
) -> None:
    """Shows the lines of logs in one order; ends with 1 if none is wanted."""
    try:
        found = logfiles.read_logs(paths, wanted)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_FAILED)
    for line in found.lines[-last:] if last > 0 else found.lines:
        text = json.dumps(line)
        print(logfiles.write_text(line) if output == "text" else text)
    if found.unreadable:
        print(f"# {found.unreadable} of {found.read} lines hold no record")
    if not found.lines:
        print("no line tells of it", file=sys.stderr)
        sys.exit(EXIT_FAILED)


def main() -> None:
    """Entry point of the binary."""
    app()

"""Command line of the timeline: events of all processes in one order."""

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
from wigeonspool.operator import timeline_formats

EXIT_FAILED: Final = 1

HELP: Final = """Merges the events of all processes into one timeline.

One request, from its caller to its target:

    wigeonspool-timeline 10.0.0.1:7000 10.0.0.2:7000 --request ID

What happened to a target, over all VMs of the VM list:

    wigeonspool-timeline --vm-list URL --target 10.0.1.7:9000

One request in the logs that entry VMs of a platform wrote:

    wigeonspool-timeline --log vm-1.log --log vm-2.log --request ID

Each process keeps its newest events only. The last lines, which begin with #,
name processes that dropped older events or did not answer. Exit codes: 0 if
any agent answered, 1 if none did. With --log: 0 if any line was found, 1 if
none was or a file cannot be read.
"""

app = cyclopts.App(name="wigeonspool-timeline", help=HELP)


async def _collect(
    agents: list[str], vm_list: str, event_filter: events.Filter
) -> collecting.Timeline:
    """Returns the timeline of the given agents and of those on the VM list.

    Raises:
        VmListError: If no agent is given and the VM list could not be read.
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
    collected = await collecting.collect_events(addresses, event_filter)
    return collecting.Timeline(
        collected.events, notes + collected.notes, collected.agents_replied
    )


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
    """Shows the timeline of the fleet.

    Args:
        agents: host:port of each agent to query.
        vm_list: URL of the VM list; the agents of its entry VMs are queried
            too.
        request: Only events of this request.
        target: Only events of this target.
        vm: Only events of this VM and its processes.
        kind: Only events of this kind; may be given more than once. Ignored
            with `--log`.
        log: Log of an entry VM. If given, logs are read and no agent is
            queried. May be given more than once.
        last: Only this many of the newest events; 0 for all.
        output: Format of the output; `chrome` for a trace viewer. With `--log`,
            `chrome` prints JSON lines as `json` does.
    """
    event_filter = events.Filter(request, target, vm, tuple(kind or ()))
    if log:
        show_logs(log, event_filter, last, output)
        return
    try:
        collected = asyncio.run(_collect(agents or [], vm_list, event_filter))
    except errors.WigeonspoolError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_FAILED)
    newest = collected.events[-last:] if last > 0 else collected.events
    collected = collecting.Timeline(
        newest, collected.notes, collected.agents_replied
    )
    if output == "chrome":
        print(json.dumps(timeline_formats.build_chrome_trace(collected)))
    else:
        iterate_lines = (
            timeline_formats.iterate_text
            if output == "text"
            else timeline_formats.iterate_json
        )
        for text in iterate_lines(collected):
            print(text)
    if not collected.agents_replied:
        print("no agent answered", file=sys.stderr)
        sys.exit(EXIT_FAILED)


def show_logs(
    paths: list[pathlib.Path],
    event_filter: events.Filter,
    last: int,
    output: str,
) -> None:
    """Prints the log lines that match a filter, in the order of time.

    Args:
        paths: Log files.
        event_filter: Which lines to print.
        last: Only this many of the newest lines; 0 for all.
        output: "text", or anything else for JSON lines.

    Raises:
        SystemExit: If a file cannot be read, or no line matches.
    """
    try:
        log_lines = logfiles.read_logs(paths, event_filter)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_FAILED)
    for line in log_lines.lines[-last:] if last > 0 else log_lines.lines:
        text = json.dumps(line)
        print(logfiles.format_line(line) if output == "text" else text)
    if log_lines.unreadable:
        print(
            f"# {log_lines.unreadable} of {log_lines.lines_read} lines hold no"
            " record"
        )
    if not log_lines.lines:
        print("no line tells of it", file=sys.stderr)
        sys.exit(EXIT_FAILED)


def main() -> None:
    """Runs the command; entry point of `wigeonspool-timeline`."""
    app()

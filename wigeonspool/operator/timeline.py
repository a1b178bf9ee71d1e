"""Command line of the time line: events of all processes in one order."""

import asyncio
import dataclasses
import json
import sys
from typing import Annotated, Final, Literal

import cyclopts

from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import messages
from wigeonspool.operator import sessions

EXIT_FAILED: Final = 1

app = cyclopts.App(
    name="wigeonspool-timeline",
    help="Merges the events of all processes into one time line.",
)


async def collect_events(agents: list[str]) -> list[events.Event]:
    """Returns the events of agents and their gateways, in order.

    Args:
        agents: host:port of each agent.

    Raises:
        AgentUnavailableError: If an agent did not answer.
    """
    merged: list[events.Event] = []
    for agent in agents:
        answer = await sessions.ask_agent(agent, messages.EventsRequest())
        assert isinstance(answer, messages.EventsReply)
        merged += answer.events
    return sorted(merged, key=lambda event: event.stamp)


def format_event(event: events.Event) -> str:
    """Returns the line that shows an event."""
    parts = [
        f"{event.stamp.wall_ms}.{event.stamp.counter}",
        event.stamp.process,
        event.kind,
        event.request,
        event.target,
        event.vm,
        *(f"{name}={value}" for name, value in event.detail.items()),
    ]
    return "  ".join(part for part in parts if part)


@app.default
def show(
    agents: Annotated[list[str], cyclopts.Parameter(negative=())],
    request: str = "",
    target: str = "",
    vm: str = "",
    output: Literal["text", "json"] = "text",
) -> None:
    """Shows the time line of the fleet.

    Args:
        agents: host:port of each agent to ask.
        request: Only events of this request.
        target: Only events of this target.
        vm: Only events of this VM.
        output: Form of the output.
    """
    try:
        merged = asyncio.run(collect_events(agents))
    except errors.WigeonspoolError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_FAILED)
    for event in merged:
        wanted = (
            request in ("", event.request)
            and target in ("", event.target)
            and vm in ("", event.vm)
        )
        if not wanted:
            continue
        if output == "json":
            print(json.dumps(dataclasses.asdict(event)))
        else:
            print(format_event(event))


def main() -> None:
    """Entry point of the binary."""
    app()

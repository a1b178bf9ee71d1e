"""Collects the events of all processes, whoever of them answers."""

import asyncio
from collections.abc import Iterable
import dataclasses

import aiohttp

from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import status_messages
from wigeonspool.operator import sessions
from wigeonspool.store import vms


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """Why a time line may not be whole.

    Attributes:
        process: Name of the process, or address of the agent.
        problem: What is missing of it.
    """

    process: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class TimeLine:
    """Events in one order.

    Attributes:
        events: The events, by stamp.
        notes: What may be missing among them.
        answered: Number of agents that answered.
    """

    events: tuple[events.Event, ...]
    notes: tuple[Note, ...]
    answered: int


async def list_agents(vm_list: str) -> list[str]:
    """Returns the agents of all entry VMs on the VM list, as host:port.

    Args:
        vm_list: URL of the list.

    Raises:
        VmListError: If it could not be read.
    """
    async with aiohttp.ClientSession() as session:
        listed = await vms.read_vms(session, vm_list, sessions.ANSWER_SECONDS)
    return [vm.address for vm in listed if vm.role == "entry"]


async def _ask(
    agent: str, wanted: events.Filter
) -> status_messages.EventsReply | Note:
    """Returns the events of one VM, or why there are none."""
    try:
        reply = await sessions.ask_agent(
            agent, status_messages.EventsRequest(wanted)
        )
    except errors.AgentUnavailableError as error:
        return Note(agent, str(error))
    if isinstance(reply, status_messages.EventsReply):
        return reply
    return Note(agent, f"answered with {type(reply).__name__}")


def list_notes(reply: status_messages.EventsReply) -> list[Note]:
    """Returns what may be missing of one VM's events."""
    dropped = [
        Note(name, f"forgot {count} older events")
        for name, count in sorted(reply.dropped.items())
        if count
    ]
    missing = [Note(name, "did not answer in time") for name in reply.missing]
    return dropped + missing


async def collect_events(
    agents: Iterable[str], wanted: events.Filter = events.MATCH_ALL
) -> TimeLine:
    """Returns the events of agents and their gateways, in one order.

    All agents are asked at once. Takes no longer than one of them may take,
    and never fails as a whole.

    Args:
        agents: host:port of each agent.
        wanted: Which events to collect.
    """
    merged: list[events.Event] = []
    notes: list[Note] = []
    answered = 0
    asked = (_ask(agent, wanted) for agent in dict.fromkeys(agents))
    for reply in await asyncio.gather(*asked):
        if isinstance(reply, Note):
            notes.append(reply)
            continue
        answered += 1
        merged += reply.events
        notes += list_notes(reply)
    merged.sort(key=lambda event: event.stamp)
    return TimeLine(tuple(merged), tuple(notes), answered)

"""Collects the events of all processes and merges them into one timeline."""

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
    """Why a timeline may be incomplete.

    Attributes:
        process: Name of the process, address of the agent, or `vm-list`.
        problem: Why events of the process may be missing.
    """

    process: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """Events of many processes, merged into one order.

    Attributes:
        events: The events, ordered by timestamp.
        notes: Which events may be missing, and why.
        agents_replied: Number of agents that replied.
    """

    events: tuple[events.Event, ...]
    notes: tuple[Note, ...]
    agents_replied: int


async def list_agents(vm_list: str) -> list[str]:
    """Returns the agents of all entry VMs on the VM list, as host:port.

    Args:
        vm_list: URL of the list.

    Raises:
        VmListError: If the list could not be read.
    """
    async with aiohttp.ClientSession() as session:
        listed_vms = await vms.read_vms(
            session, vm_list, sessions.REPLY_TIMEOUT_SECONDS
        )
    return [vm.address for vm in listed_vms if vm.role == "entry"]


async def _query_events(
    agent: str, event_filter: events.Filter
) -> status_messages.EventsReply | Note:
    """Returns the events of one VM, or a note that says why there are none."""
    try:
        reply = await sessions.query_agent(
            agent, status_messages.EventsRequest(event_filter)
        )
    except errors.AgentUnavailableError as error:
        return Note(agent, str(error))
    if isinstance(reply, status_messages.EventsReply):
        return reply
    return Note(agent, f"answered with {type(reply).__name__}")


def list_notes(reply: status_messages.EventsReply) -> list[Note]:
    """Returns a note for each process of a VM whose events may be missing."""
    dropped = [
        Note(name, f"forgot {count} older events")
        for name, count in sorted(reply.dropped.items())
        if count
    ]
    missing = [Note(name, "did not answer in time") for name in reply.missing]
    return dropped + missing


async def collect_events(
    agents: Iterable[str], event_filter: events.Filter = events.MATCH_ALL
) -> Timeline:
    """Returns the events of agents and their gateways, in one order.

    Queries all agents concurrently, so that it takes at most the timeout of
    one query. An agent that does not reply becomes a note instead of an error.

    Args:
        agents: host:port of each agent.
        event_filter: Which events to collect.
    """
    merged: list[events.Event] = []
    notes: list[Note] = []
    agents_replied = 0
    queries = (
        _query_events(agent, event_filter) for agent in dict.fromkeys(agents)
    )
    for reply in await asyncio.gather(*queries):
        if isinstance(reply, Note):
            notes.append(reply)
            continue
        agents_replied += 1
        merged += reply.events
        notes += list_notes(reply)
    merged.sort(key=lambda event: event.stamp)
    return Timeline(tuple(merged), tuple(notes), agents_replied)

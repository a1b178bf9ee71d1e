"""Roles of peers, and the messages that each role may send.

A subscriber of an agent must not be able to act as a feeder, and an operator's
command must not be able to report load.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Final

from wigeonspool.model import errors
from wigeonspool.model import messages
from wigeonspool.model import probe_messages
from wigeonspool.model import status_messages
from wigeonspool.wire import streams

AGENT: Final = "agent"
GATEWAY: Final = "gateway"
OPERATOR: Final = "operator"
# An agent of another region, which gets the tables but no members.
REMOTE: Final = "remote"
# Roles that get the members and the VM list.
REGIONAL_ROLES: Final = (GATEWAY, AGENT)
# Agents of different regions send beats and markers to each other only once per
# this number of heartbeats, so their streams have a longer timeout.
HEARTBEATS_PER_REMOTE_BEAT: Final = 4
REMOTE_TIMEOUT_FACTOR: Final = 3
# A report passes through its agent, a feeder and another agent, each of which
# adds up to one heartbeat; the fourth one is slack.
PROPAGATION_HEARTBEATS: Final = 4
ROLES: Final = frozenset({AGENT, GATEWAY, OPERATOR, REMOTE})

ALLOWED_ROLES: Final[dict[type[messages.Message], frozenset[str]]] = {
    messages.Hello: ROLES,
    messages.Snapshot: frozenset({AGENT}),
    messages.ChangeNotice: frozenset({AGENT}),
    messages.Heartbeat: frozenset({AGENT}),
    messages.Beat: frozenset({AGENT, REMOTE}),
    messages.Pulse: frozenset({AGENT}),
    messages.Members: frozenset({AGENT}),
    messages.MemberChanges: frozenset({AGENT}),
    messages.Directory: frozenset({AGENT}),
    messages.GatewayReport: frozenset({GATEWAY}),
    messages.Suspect: frozenset({AGENT, GATEWAY, REMOTE}),
    probe_messages.ProbeRequest: frozenset({AGENT, GATEWAY, REMOTE}),
    probe_messages.ProbeResult: frozenset({AGENT, REMOTE}),
    status_messages.StatusRequest: frozenset({OPERATOR}),
    status_messages.RegionRequest: frozenset({OPERATOR}),
    status_messages.VmStatusRequest: frozenset({AGENT, OPERATOR}),
    status_messages.VmStatusReply: frozenset({AGENT, GATEWAY}),
    status_messages.EventsRequest: frozenset({AGENT, OPERATOR}),
    status_messages.EventsReply: frozenset({AGENT, GATEWAY}),
}


def compute_stream_timeout_seconds(role: str, silence_seconds: float) -> float:
    """Returns after how many seconds without a message a stream is closed.

    Args:
        role: Role of the process that opened the stream.
        silence_seconds: Timeout of a stream within a region.
    """
    if role == REMOTE:
        return REMOTE_TIMEOUT_FACTOR * silence_seconds
    return silence_seconds


def check_sender(role: str, message: messages.Message) -> None:
    """Checks that a role may send a message.

    Args:
        role: Role in the peer's Hello, or AGENT for a peer that this process
            connected to.
        message: Message of the peer.

    Raises:
        SenderRoleError: If the role may not send the message.
    """
    if role not in ALLOWED_ROLES[type(message)]:
        raise errors.SenderRoleError(role, type(message).__name__)


async def iterate_messages(
    stream: streams.Stream, role: str, silence_seconds: float
) -> AsyncIterator[messages.Message]:
    """Yields the messages of a peer until it closes the stream.

    Args:
        stream: Stream with no other reader.
        role: Role of the peer.
        silence_seconds: Maximum time between two messages.

    Raises:
        WireError: If the peer violated the protocol or sent a message that its
            role may not send.
        OSError: If the connection failed.
        TimeoutError: If no message arrived in time.
    """
    while True:
        async with asyncio.timeout(silence_seconds):
            message = await stream.receive()
        if message is None:
            return
        check_sender(role, message)
        yield message

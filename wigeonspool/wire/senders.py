"""Which role may send which message.

A process that follows an agent must not be able to speak as a feeder, and an
operator's command must not be able to report load.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Final

from wigeonspool.model import errors
from wigeonspool.model import inquiries
from wigeonspool.model import measurements
from wigeonspool.model import messages
from wigeonspool.wire import streams

AGENT: Final = "agent"
GATEWAY: Final = "gateway"
OPERATOR: Final = "operator"
# An agent of another region that wants the tables, but no members.
REMOTE: Final = "remote"
# Who is told of members and of the VM list.
NEAR: Final = (GATEWAY, AGENT)
# A remote agent beats once in so many heartbeats, and may be silent for longer.
REMOTE_BEATS: Final = 4
REMOTE_SILENCE_FACTOR: Final = 3
# A report passes its agent, a feeder and another agent, and then some slack.
HEARTBEATS_TO_TELL: Final = 4
ROLES: Final = frozenset({AGENT, GATEWAY, OPERATOR, REMOTE})

SENDERS: Final[dict[type[messages.Message], frozenset[str]]] = {
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
    measurements.ProbeRequest: frozenset({AGENT, GATEWAY, REMOTE}),
    measurements.ProbeResult: frozenset({AGENT, REMOTE}),
    inquiries.StatusRequest: frozenset({OPERATOR}),
    inquiries.RegionRequest: frozenset({OPERATOR}),
    inquiries.VmStatusRequest: frozenset({AGENT, OPERATOR}),
    inquiries.VmStatusReply: frozenset({AGENT, GATEWAY}),
    inquiries.EventsRequest: frozenset({AGENT, OPERATOR}),
    inquiries.EventsReply: frozenset({AGENT, GATEWAY}),
}


def find_silence(role: str, silence_seconds: float) -> float:
    """Returns for how long a stream of a role may bring nothing, in seconds.

    Args:
        role: Role that the stream was opened in.
        silence_seconds: The same for a stream within a region.
    """
    if role == REMOTE:
        return REMOTE_SILENCE_FACTOR * silence_seconds
    return silence_seconds


def check_sender(role: str, message: messages.Message) -> None:
    """Checks that a role may send a message.

    Args:
        role: What the peer said of itself in its Hello, or AGENT for a peer
            that this process connected to.
        message: What it sent.

    Raises:
        SenderRoleError: If it may not.
    """
    if role not in SENDERS[type(message)]:
        raise errors.SenderRoleError(role, type(message).__name__)


async def iterate_messages(
    stream: streams.Stream, role: str, silence_seconds: float
) -> AsyncIterator[messages.Message]:
    """Yields the messages of a peer until it ends the stream.

    Args:
        stream: Stream that nothing else reads.
        role: Role of the peer.
        silence_seconds: Longest time that it may send nothing.

    Raises:
        WireError: If the peer broke the protocol or its role.
        OSError: If the stream failed.
        TimeoutError: If the peer was silent for too long.
    """
    while True:
        async with asyncio.timeout(silence_seconds):
            message = await stream.receive()
        if message is None:
            return
        check_sender(role, message)
        yield message

"""Which role may send which message.

A process that follows an agent must not be able to speak as a feeder, and an
operator's command must not be able to report load.
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
# An agent of another region that wants the tables, but no members.
REMOTE: Final = "remote"
# Who is told of members and of the VM list.
REGIONAL_ROLES: Final = (GATEWAY, AGENT)
# A remote agent beats once in so many heartbeats, and may be silent for longer.
HEARTBEATS_PER_REMOTE_BEAT: Final = 4
REMOTE_SILENCE_FACTOR: Final = 3
# A report passes its agent, a feeder and another agent, and then some slack.
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


def compute_silence_limit_seconds(role: str, silence_seconds: float) -> float:
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
    if role not in ALLOWED_ROLES[type(message)]:
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

"""The messages between this system's own processes, and the list of all.

Each message is a data class; its class name is its kind on the wire. What
operators ask for stands in `inquiries`.
"""

import dataclasses
from typing import Final

from wigeonspool.model import changes
from wigeonspool.model import entities
from wigeonspool.model import probe_messages
from wigeonspool.model import status_messages


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Opens a stream and names its sender.

    Attributes:
        process: Unique name of the sending process.
        role: "agent", "gateway" or "operator".
        incarnation: Identity of this run of the process.
        vm: Name of its VM.
        generation: Generation that it holds.
        digest: Digest of the chain of changes there.
        proof: Shows that the sender holds a key of the fleet.
    """

    process: str
    role: str
    incarnation: str
    vm: str
    generation: int = 0
    digest: str = ""
    proof: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The whole tables at a generation.

    Attributes:
        tables: The tables.
        lineage: Digests of the generations that led to them.
        last: Change that made them, if known.
    """

    tables: entities.Tables
    lineage: tuple[tuple[int, str], ...] = ()
    last: changes.Change | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeNotice:
    """One change that follows the generation that the receiver holds."""

    change: changes.Change


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """What an agent tells of its VM.

    Attributes:
        vm: Name of the VM.
        region: Region of the VM.
        address: host:port of the agent.
        incarnation: Identity of this run of the agent.
        sequence: Rises by one with each heartbeat of an incarnation.
        generation: Generation in force on all processes of the VM.
        gateways: Live gateways of the VM.
    """

    vm: str
    region: str
    address: str
    incarnation: str
    sequence: int
    generation: int
    gateways: tuple[entities.Gateway, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Beat:
    """Says that the sender lives and is as its last heartbeat told.

    Attributes:
        sequence: Rises by one with each heartbeat or beat of an incarnation.
        generation: Generation in force on all processes of the VM.
    """

    sequence: int
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pulse:
    """Says that a followed agent lives and has sent all that it knows.

    Without a digest, both fields are as the last pulse on the stream told.

    Attributes:
        generation: Generation in force there.
        digest: Digest of the chain of changes there.
    """

    generation: int = 0
    digest: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayReport:
    """What a gateway tells its agent.

    Attributes:
        gateway: The gateway as others should see it.
        generation: Generation that it has in force.
    """

    gateway: entities.Gateway
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """All gateways that are believed live, and the VMs that leave.

    Attributes:
        heartbeats: Latest heartbeat of each live VM.
        leaving: Addresses of targets that the VM list calls leaving.
    """

    heartbeats: tuple[Heartbeat, ...]
    leaving: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanges:
    """What changed since the members that were sent before.

    Attributes:
        changed: Heartbeats of VMs that are new or altered.
        left: Names of VMs that are no longer live.
    """

    changed: tuple[Heartbeat, ...]
    left: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Directory:
    """What agents need of the VM list, which only feeders read.

    Attributes:
        feeders: VMs whose agents follow the store.
        leaving: Addresses of targets that are leaving.
        is_first_hand: True if the sender read the list itself.
    """

    feeders: tuple[entities.Vm, ...]
    leaving: tuple[str, ...]
    is_first_hand: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A request that was running when targets crashed.

    Attributes:
        fingerprint: Equal for resends of the request.
        targets: Addresses of the targets that crashed.
    """

    fingerprint: int
    targets: tuple[str, ...]


Message = (
    Hello
    | Snapshot
    | ChangeNotice
    | Heartbeat
    | Beat
    | Pulse
    | GatewayReport
    | Members
    | MemberChanges
    | Directory
    | Suspect
    | probe_messages.ProbeRequest
    | probe_messages.ProbeResult
    | status_messages.StatusRequest
    | status_messages.RegionRequest
    | status_messages.VmStatusRequest
    | status_messages.VmStatusReply
    | status_messages.EventsRequest
    | status_messages.EventsReply
)

MESSAGE_TYPES: Final[dict[str, type[Message]]] = {
    kind.__name__: kind
    for kind in (
        Hello,
        Snapshot,
        ChangeNotice,
        Heartbeat,
        Beat,
        Pulse,
        GatewayReport,
        Members,
        MemberChanges,
        Directory,
        Suspect,
        probe_messages.ProbeRequest,
        probe_messages.ProbeResult,
        status_messages.StatusRequest,
        status_messages.RegionRequest,
        status_messages.VmStatusRequest,
        status_messages.VmStatusReply,
        status_messages.EventsRequest,
        status_messages.EventsReply,
    )
}

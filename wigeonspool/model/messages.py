"""Messages between the processes of this system.

Each message is a data class whose name is the message kind on the wire. Fields
are encoded by position, so their order must not change. `MESSAGE_TYPES` also
lists the messages of `probe_messages` and `status_messages`.
"""

import dataclasses
from typing import Final

from wigeonspool.model import changes
from wigeonspool.model import entities
from wigeonspool.model import probe_messages
from wigeonspool.model import status_messages


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of a stream; identifies the sender.

    Attributes:
        process: Unique name of the sending process.
        role: "agent", "gateway", "operator" or "remote" (an agent of another
            region).
        incarnation: Identity of this incarnation of the process.
        vm: Name of the sender's VM.
        generation: Generation of the sender's tables.
        digest: Digest of the chain of changes up to that generation.
        proof: HMAC which proves that the sender has a key of the fleet.
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
    """The complete tables at a generation.

    Attributes:
        tables: The tables.
        lineage: Generations up to that of the tables, each with its digest.
        last: Last change of the tables, if known.
    """

    tables: entities.Tables
    lineage: tuple[tuple[int, str], ...] = ()
    last: changes.Change | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeNotice:
    """The change that follows the generation of the receiver's tables."""

    change: changes.Change


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """State that an agent publishes of its VM.

    Attributes:
        vm: Name of the VM.
        region: Region of the VM.
        address: host:port of the agent.
        incarnation: Identity of this incarnation of the agent.
        sequence: Increases by one with each heartbeat of an incarnation.
        generation: Generation that is active in all processes of the VM.
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
    """Heartbeat without changes since the last `Heartbeat` of the sender.

    Small changes of demand do not count as changes. Agents of other regions
    get only beats, which show that the sender is live.

    Attributes:
        sequence: Increases by one with each heartbeat or beat of an
            incarnation.
        generation: Generation that is active in all processes of the VM.
    """

    sequence: int
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pulse:
    """Synchronization marker of an agent for its subscribers.

    It shows that the agent is live and sent its complete state before the
    marker. If the digest is "", both fields are those of the previous marker
    on the stream.

    Attributes:
        generation: Active generation of the agent.
        digest: Digest of the chain of changes up to that generation.
    """

    generation: int = 0
    digest: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayReport:
    """State that a gateway reports to its agent.

    Attributes:
        gateway: The state that is published to the peers.
        generation: Active generation of the gateway.
    """

    gateway: entities.Gateway
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """Live VMs with their gateways, and the draining targets.

    A gateway gets the VMs of its region, without the draining targets. An agent
    gets the VMs that send their heartbeats to the sender of this message.

    Attributes:
        heartbeats: Latest heartbeat of each of these VMs.
        leaving: Addresses of the targets that are draining according to the VM
            list.
    """

    heartbeats: tuple[Heartbeat, ...]
    leaving: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanges:
    """Changes since the last `Members` or `MemberChanges` on the stream.

    Attributes:
        changed: Heartbeats of VMs that are new or have changed.
        left: Names of VMs that are no longer live.
    """

    changed: tuple[Heartbeat, ...]
    left: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Directory:
    """The part of the VM list that agents need.

    Feeders read the list. Other agents read it only if no agent sends them a
    directory.

    Attributes:
        feeders: VMs whose agents read the store.
        leaving: Addresses of the targets that are draining according to the VM
            list.
        is_first_hand: True if the sender read the VM list itself.
    """

    feeders: tuple[entities.Vm, ...]
    leaving: tuple[str, ...]
    is_first_hand: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A request that was running when targets crashed.

    Attributes:
        fingerprint: Hash that is the same for all submissions of the request.
        targets: Addresses of the targets that crashed.
        answered: True if the request was answered since, so that these crashes
            no longer count.
    """

    fingerprint: int
    targets: tuple[str, ...]
    answered: bool = False


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

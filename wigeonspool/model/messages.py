"""The messages between this system's own processes.

Each message is a data class; its class name is its kind on the wire. Decoding
validates every field, since a peer may be of another version or broken.
"""

import dataclasses
from typing import Any, Final

import pydantic

from wigeonspool.model import changes
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import measurements

PROTOCOL_VERSION: Final = 1


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

    Attributes:
        generation: Generation in force there.
        digest: Digest of the chain of changes there.
    """

    generation: int
    digest: str


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


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequest:
    """Asks an agent for the whole fleet; answered with members."""


@dataclasses.dataclass(frozen=True, slots=True)
class RegionRequest:
    """Asks an agent for the VMs that it hears directly."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """One target as one gateway sees it.

    Attributes:
        address: host:port.
        zone: Availability zone.
        state: "serving", "ejected", "draining" or another state of the core.
        reason: Why it is in that state, or "".
        in_flight: Attempts of the gateway that run there.
        slots: Requests that it runs at once.
    """

    address: str
    zone: str
    state: str
    reason: str
    in_flight: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class PoolStatus:
    """One pool as one gateway sees it.

    Attributes:
        name: Name of the pool.
        queued: Requests that wait for a slot.
        targets: Its targets.
        budgets: What was used of each budget since the start, by name.
    """

    name: str
    queued: int
    targets: tuple[TargetStatus, ...]
    budgets: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayStatus:
    """What a gateway does.

    Attributes:
        name: Name of the gateway.
        running: Requests that have not ended.
        pools: Its pools.
    """

    name: str
    running: int
    pools: tuple[PoolStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VmStatusRequest:
    """Asks an agent for its VM's gateways, or a gateway for itself.

    Attributes:
        pool: Only this pool, or "" for all.
    """

    pool: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class VmStatusReply:
    """What the processes of a VM do.

    Attributes:
        gateways: Gateways that answered in time.
        missing: Names of those that did not.
        measured_pools: Pools whose measuring budget the VM may spend.
        store_calls: Calls to the store since the agent started.
        spent: What the agent spent of measuring budgets.
    """

    gateways: tuple[GatewayStatus, ...]
    missing: tuple[str, ...] = ()
    measured_pools: tuple[str, ...] = ()
    store_calls: int = 0
    spent: tuple[measurements.Spending, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EventsRequest:
    """Asks an agent for the events of its VM, or a gateway for its own.

    Attributes:
        wanted: Which events to send.
    """

    wanted: events.Filter = events.WANT_ALL


@dataclasses.dataclass(frozen=True, slots=True)
class EventsReply:
    """The events that the processes of a VM hold.

    Attributes:
        process: Name of the process that answers.
        events: Events of all processes that answered in time.
        dropped: Events that each process had to forget, by its name.
        missing: Names of the gateways that did not answer.
    """

    process: str
    events: tuple[events.Event, ...]
    dropped: dict[str, int] = dataclasses.field(default_factory=dict)
    missing: tuple[str, ...] = ()


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
    | measurements.ProbeRequest
    | measurements.ProbeResult
    | StatusRequest
    | RegionRequest
    | VmStatusRequest
    | VmStatusReply
    | EventsRequest
    | EventsReply
)

KINDS: Final[dict[str, type[Message]]] = {
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
        measurements.ProbeRequest,
        measurements.ProbeResult,
        StatusRequest,
        RegionRequest,
        VmStatusRequest,
        VmStatusReply,
        EventsRequest,
        EventsReply,
    )
}

_adapters: Final[dict[str, pydantic.TypeAdapter[Any]]] = {}


def _find_adapter(kind: str) -> pydantic.TypeAdapter[Any]:
    """Returns the validator of a kind, built at its first use."""
    adapter = _adapters.get(kind)
    if adapter is None:
        adapter = pydantic.TypeAdapter(KINDS[kind])
        _adapters[kind] = adapter
    return adapter


def encode_message(
    message: Message, stamp: events.Stamp | None = None
) -> dict[str, Any]:
    """Returns the wire form of a message, ready for the codec.

    Args:
        message: What to send.
        stamp: Reading of the sender's clock, so that the receiver's follows.
    """
    document = {
        "v": PROTOCOL_VERSION,
        "k": type(message).__name__,
        "b": dataclasses.asdict(message),
    }
    if stamp is not None:
        document["t"] = [stamp.wall_ms, stamp.counter]
    return document


def read_stamp(document: Any) -> events.Stamp | None:
    """Returns the sender's clock in a decoded frame, or None if it has none.

    Args:
        document: What the codec returned.

    Raises:
        FrameEncodingError: If the stamp is not one.
    """
    if not isinstance(document, dict) or "t" not in document:
        return None
    match document["t"]:
        case [int(wall_ms), int(counter)]:
            return events.Stamp(wall_ms, counter, "")
    raise errors.FrameEncodingError("stamp is not two numbers")


def decode_message(document: Any) -> Message:
    """Returns the message in a decoded frame.

    Args:
        document: What the codec returned.

    Raises:
        FrameVersionError: If the protocol version is not ours.
        FrameKindError: If the kind is not known.
        FrameEncodingError: If a field is missing or of a wrong type.
    """
    if not isinstance(document, dict):
        raise errors.FrameEncodingError("not a map")
    version = document.get("v")
    if type(version) is not int or version != PROTOCOL_VERSION:
        raise errors.FrameVersionError(version)
    kind = document.get("k")
    if not isinstance(kind, str) or kind not in KINDS:
        raise errors.FrameKindError(kind)
    try:
        message: Message = _find_adapter(kind).validate_python(
            document.get("b")
        )
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        raise errors.FrameEncodingError(
            f"{kind}.{field}: {first['msg']}"
        ) from error
    return message

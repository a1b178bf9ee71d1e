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

PROTOCOL_VERSION: Final = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Opens a stream and names its sender.

    Attributes:
        process: Unique name of the sending process.
        role: "agent", "gateway" or "operator".
        incarnation: Identity of this run of the process.
        vm: Name of its VM.
    """

    process: str
    role: str
    incarnation: str
    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The whole tables at a generation."""

    tables: entities.Tables


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
class StatusRequest:
    """Asks an agent for the fleet as it sees it."""


@dataclasses.dataclass(frozen=True, slots=True)
class EventsRequest:
    """Asks a process for its ring of events."""


@dataclasses.dataclass(frozen=True, slots=True)
class EventsReply:
    """The events that a process holds."""

    process: str
    events: tuple[events.Event, ...]


Message = (
    Hello
    | Snapshot
    | ChangeNotice
    | Heartbeat
    | GatewayReport
    | Members
    | StatusRequest
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
        GatewayReport,
        Members,
        StatusRequest,
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


def encode_message(message: Message) -> dict[str, Any]:
    """Returns the wire form of a message, ready for the codec."""
    return {
        "v": PROTOCOL_VERSION,
        "k": type(message).__name__,
        "b": dataclasses.asdict(message),
    }


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

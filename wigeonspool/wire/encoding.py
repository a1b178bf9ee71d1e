"""The wire form of messages.

Decoding validates every field, since a peer may be of another version or
broken.
"""

import dataclasses
from typing import Any, Final

import pydantic

from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import messages

PROTOCOL_VERSION: Final = 1

_adapters: Final[dict[str, pydantic.TypeAdapter[Any]]] = {}


def _find_adapter(kind: str) -> pydantic.TypeAdapter[Any]:
    """Returns the validator of a kind, built at its first use."""
    adapter = _adapters.get(kind)
    if adapter is None:
        adapter = pydantic.TypeAdapter(messages.KINDS[kind])
        _adapters[kind] = adapter
    return adapter


def encode_message(
    message: messages.Message, stamp: events.Stamp | None = None
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


def decode_message(document: Any) -> messages.Message:
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
    if not isinstance(kind, str) or kind not in messages.KINDS:
        raise errors.FrameKindError(kind)
    try:
        message: messages.Message = _find_adapter(kind).validate_python(
            document.get("b")
        )
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        raise errors.FrameEncodingError(
            f"{kind}.{field}: {first['msg']}"
        ) from error
    return message

"""The wire form of messages.

A message is an array of its kind, its fields, and the sender's clock. The
fields of a Hello follow the version of the protocol, which all messages of
its stream then have. Decoding validates every field, since a peer may be of
another version or broken.
"""

from collections.abc import Callable
import functools
from typing import Any, Final

import pydantic

from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import messages
from wigeonspool.wire import arrays

PROTOCOL_VERSION: Final = 2
# Kind and fields; then milliseconds and counter of the sender's clock, if any.
UNSTAMPED_ENTRIES: Final = 2
STAMPED_ENTRIES: Final = 4


Decoder = Callable[[Any], messages.Message]


@functools.cache
def _build_decoder(kind: str) -> Decoder:
    """Returns what makes a message of its fields, built at its first use."""
    message: Any = messages.MESSAGE_TYPES[kind]
    read = arrays.build_class_reader(message)
    adapter: pydantic.TypeAdapter[messages.Message]
    adapter = pydantic.TypeAdapter(message)
    return lambda fields: adapter.validate_python(read(fields))


def encode_message(
    message: messages.Message, stamp: events.Stamp | None = None
) -> list[Any]:
    """Returns the wire form of a message, ready for the codec.

    Args:
        message: What to send.
        stamp: Reading of the sender's clock, so that the receiver's follows.
    """
    fields = arrays.encode_value(message)
    if isinstance(message, messages.Hello):
        fields.insert(0, PROTOCOL_VERSION)
    document = [type(message).__name__, fields]
    if stamp is not None:
        document += [stamp.wall_ms, stamp.counter]
    return document


def read_stamp(document: Any) -> events.Stamp | None:
    """Returns the sender's clock in a decoded frame, or None if it has none.

    Args:
        document: What the codec returned.

    Raises:
        FrameEncodingError: If the stamp is not one.
    """
    match document:
        case [_, _]:
            return None
        case [_, _, int(wall_ms), int(counter)]:
            return events.Stamp(wall_ms, counter, "")
    raise errors.FrameEncodingError("stamp is not two numbers")


def decode_message(document: Any) -> messages.Message:
    """Returns the message in a decoded frame.

    Args:
        document: What the codec returned.

    Raises:
        FrameVersionError: If the protocol version is not ours.
        FrameKindError: If the kind is not known.
        FrameEncodingError: If a field is missing or of a wrong type, or if
            there are too many.
    """
    if not isinstance(document, list):
        raise errors.FrameEncodingError("not an array")
    if len(document) not in (UNSTAMPED_ENTRIES, STAMPED_ENTRIES):
        raise errors.FrameEncodingError("wrong number of entries")
    kind, fields = document[:UNSTAMPED_ENTRIES]
    if not isinstance(kind, str) or kind not in messages.MESSAGE_TYPES:
        raise errors.FrameKindError(kind)
    if not isinstance(fields, list):
        raise errors.FrameEncodingError(f"{kind}: not an array")
    if messages.MESSAGE_TYPES[kind] is messages.Hello:
        fields = _check_version(fields)
    return _decode_fields(kind, fields)


def _check_version(fields: list[Any]) -> list[Any]:
    """Returns the fields of a Hello without its version.

    Raises:
        FrameVersionError: If the version is not ours.
    """
    version = fields[0] if fields else None
    if type(version) is not int or version != PROTOCOL_VERSION:
        raise errors.FrameVersionError(version)
    return fields[1:]


def _decode_fields(kind: str, fields: list[Any]) -> messages.Message:
    """Returns the message of some fields.

    Raises:
        FrameEncodingError: If they do not fit the kind.
    """
    try:
        return _build_decoder(kind)(fields)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        raise errors.FrameEncodingError(
            f"{kind}.{field}: {first['msg']}"
        ) from error

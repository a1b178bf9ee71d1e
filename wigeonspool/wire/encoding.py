"""Encoding and decoding of messages.

A message is encoded as an array of its kind, its fields and, if it has a stamp,
the reading of the sender's clock. In a Hello, the protocol version precedes the
fields and is valid for all messages of the stream. Decoding validates every
field, because a peer may have another version or be faulty.
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
# Kind and fields, optionally with milliseconds and counter of the sender's
# clock.
UNSTAMPED_ENTRIES: Final = 2
STAMPED_ENTRIES: Final = 4


Decoder = Callable[[Any], messages.Message]


@functools.cache
def _build_decoder(kind: str) -> Decoder:
    """Returns a cached function that builds a message from its fields."""
    message: Any = messages.MESSAGE_TYPES[kind]
    read = arrays.build_class_reader(message)
    adapter: pydantic.TypeAdapter[messages.Message]
    adapter = pydantic.TypeAdapter(message)
    return lambda fields: adapter.validate_python(read(fields))


def encode_message(
    message: messages.Message, stamp: events.Stamp | None = None
) -> list[Any]:
    """Returns a message as an array for msgpack.

    Args:
        message: Message to encode.
        stamp: Reading of the sender's clock, which advances the receiver's
            clock; None to leave it out.
    """
    fields = arrays.encode_value(message)
    if isinstance(message, messages.Hello):
        fields.insert(0, PROTOCOL_VERSION)
    document = [type(message).__name__, fields]
    if stamp is not None:
        document += [stamp.wall_ms, stamp.counter]
    return document


def read_stamp(document: Any) -> events.Stamp | None:
    """Returns the reading of the sender's clock in a frame, or None.

    Args:
        document: Unpacked frame.

    Raises:
        FrameEncodingError: If the stamp is not two integers.
    """
    match document:
        case [_, _]:
            return None
        case [_, _, int(wall_ms), int(counter)]:
            return events.Stamp(wall_ms, counter, "")
    raise errors.FrameEncodingError("stamp is not two numbers")


def decode_message(document: Any) -> messages.Message:
    """Returns the message in a frame.

    Args:
        document: Unpacked frame.

    Raises:
        FrameVersionError: If the protocol version is not supported.
        FrameKindError: If the message kind is unknown.
        FrameEncodingError: If the frame is not an array of the expected
            length, if a field is missing or has a wrong type, or if there are
            too many fields.
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
    """Returns the fields of a Hello without the protocol version.

    Raises:
        FrameVersionError: If the version is missing or not supported.
    """
    version = fields[0] if fields else None
    if type(version) is not int or version != PROTOCOL_VERSION:
        raise errors.FrameVersionError(version)
    return fields[1:]


def _decode_fields(kind: str, fields: list[Any]) -> messages.Message:
    """Returns the message that a kind and fields describe.

    Raises:
        FrameEncodingError: If the fields are not valid for the kind.
    """
    try:
        return _build_decoder(kind)(fields)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(component) for component in first["loc"])
        raise errors.FrameEncodingError(
            f"{kind}.{field}: {first['msg']}"
        ) from error

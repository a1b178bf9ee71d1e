"""Messages by which a feeder sends changes of the store to its followers.

VMs of earlier versions send no era, which is 0 then, and ignore it.
"""

import asyncio
from typing import Annotated, Any, Final

import msgspec

from wigeonspool.model import errors
from wigeonspool.model import key_values
from wigeonspool.wire import frames

VERSION: Final = 1


# Integers of a frame have at most 64 bits.
_Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
# A negative or infinite age would count as fresh or as never confirmed.
_Age = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class Subscribe(msgspec.Struct, array_like=True, tag=0, frozen=True):
    """Opens a feed.

    Attributes:
        version: Version of the protocol.
        vm: Name of the follower.
        revision: Revision up to which the follower has all changes; 0 for none.
        era: Era of the store that the revision belongs to.
    """

    version: int
    vm: str
    revision: _Number
    era: _Number = 0


class WireItem(msgspec.Struct, array_like=True, frozen=True):
    """One key of the store; see `key_values.KeyValue`."""

    key: str
    value: bytes | None
    revision: _Number
    lease: _Number = 0


class Items(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Reports changed keys, or all keys.

    Attributes:
        revision: Revision up to which the follower has all changes once it has
            applied this message.
        items: The changes, or all keys.
        whole: True if the message holds all keys, so that keys missing from it
            were removed.
        jumped_from: Revision of an earlier state of the feeder, if the items
            are the differences to that state instead of all changes since. A
            follower that is newer than that state may lack changes. None if the
            items are all changes.
        era: Era of the store that the items belong to.
        restored_revision: Revision at which the feeder read the first state of
            the era; later items were written in it.
    """

    revision: _Number
    items: tuple[WireItem, ...]
    whole: bool
    jumped_from: _Number | None = None
    era: _Number = 0
    restored_revision: _Number = 0


class Pulse(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """A keepalive, which reports how fresh the data of the feeder is.

    Attributes:
        revision: Revision up to which all changes have been sent.
        age_seconds: Time since the store last confirmed the feeder's replica.
        era: Era of the store that the revision belongs to.
    """

    revision: _Number
    age_seconds: _Age
    era: _Number = 0


Message = Subscribe | Items | Pulse


def encode_message(message: Message) -> bytes:
    """Returns a message as a frame."""
    return frames.pack_frame(
        msgspec.to_builtins(message, builtin_types=(bytes,))
    )


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next message, or None if the peer closed the connection.

    Raises:
        WireError: If the peer violated the protocol.
        OSError: If the connection failed.
    """
    body = await frames.read_body(reader)
    if body is None:
        return None
    document: Any = frames.unpack_body(body)
    try:
        message: Message = msgspec.convert(document, Message)
    except (msgspec.ValidationError, RecursionError) as error:
        raise errors.FrameEncodingError(str(error)) from error
    return message


def encode_items(items: list[key_values.KeyValue]) -> tuple[WireItem, ...]:
    """Returns key-value items as items of a message."""
    return tuple(
        WireItem(item.key, item.value, item.revision, item.lease)
        for item in items
    )


def decode_items(wire_items: tuple[WireItem, ...]) -> list[key_values.KeyValue]:
    """Returns the items of a message as key-value items."""
    return [
        key_values.KeyValue(item.key, item.value, item.revision, item.lease)
        for item in wire_items
    ]

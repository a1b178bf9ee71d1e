"""Messages by which one VM feeds another what it learned from the store."""

import asyncio
from typing import Any, Final

import msgspec

from wigeonspool.model import errors
from wigeonspool.model import key_values
from wigeonspool.wire import frames

VERSION: Final = 1


class Subscribe(msgspec.Struct, array_like=True, tag=0, frozen=True):
    """Opens a feed.

    Attributes:
        version: Version of the protocol.
        vm: Name of the VM that follows.
        revision: Revision up to which it knows all changes; 0 for none.
    """

    version: int
    vm: str
    revision: int


class WireItem(msgspec.Struct, array_like=True, frozen=True):
    """One key of the store; see `sources.Item`."""

    key: str
    value: bytes | None
    revision: int
    lease: int = 0


class Items(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Tells what changed.

    Attributes:
        revision: Revision up to which all changes are told now.
        items: The changes, or all keys.
        whole: True if keys that are missing are gone.
    """

    revision: int
    items: tuple[WireItem, ...]
    whole: bool


class Pulse(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Tells that the feed lives.

    Attributes:
        revision: Revision up to which all changes have been told.
        age_seconds: How long ago the store last confirmed that.
    """

    revision: int
    age_seconds: float


Message = Subscribe | Items | Pulse


def encode_message(message: Message) -> bytes:
    """Returns the frame of a message."""
    return frames.pack_frame(
        msgspec.to_builtins(message, builtin_types=(bytes,))
    )


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next message, or None at a clean end.

    Raises:
        WireError: If the peer broke the protocol.
        OSError: If the connection failed.
    """
    document: Any = await frames.read_frame(reader)
    if document is None:
        return None
    try:
        found: Message = msgspec.convert(document, Message)
    except msgspec.ValidationError as error:
        raise errors.FrameEncodingError(str(error)) from error
    return found


def encode_items(items: list[key_values.KeyValue]) -> tuple[WireItem, ...]:
    """Returns the wire form of some keys."""
    return tuple(
        WireItem(item.key, item.value, item.revision, item.lease)
        for item in items
    )


def decode_items(found: tuple[WireItem, ...]) -> list[key_values.KeyValue]:
    """Returns the keys in a message."""
    return [
        key_values.KeyValue(item.key, item.value, item.revision, item.lease)
        for item in found
    ]

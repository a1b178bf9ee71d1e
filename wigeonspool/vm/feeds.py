"""Messages by which one VM feeds another what it learned from the store."""

import asyncio
from typing import Any, Final

import msgspec

from wigeonspool.model import errors
from wigeonspool.model import sources
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


class FedItem(msgspec.Struct, array_like=True, frozen=True):
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
    items: tuple[FedItem, ...]
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


def pack(message: Message) -> bytes:
    """Returns the frame of a message."""
    return frames.pack_frame(
        msgspec.to_builtins(message, builtin_types=(bytes,))
    )


async def read(reader: asyncio.StreamReader) -> Message | None:
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


def write_items(items: list[sources.Item]) -> tuple[FedItem, ...]:
    """Returns the wire form of some keys."""
    return tuple(
        FedItem(item.key, item.value, item.revision, item.lease)
        for item in items
    )


def read_items(found: tuple[FedItem, ...]) -> list[sources.Item]:
    """Returns the keys in a message."""
    return [
        sources.Item(item.key, item.value, item.revision, item.lease)
        for item in found
    ]

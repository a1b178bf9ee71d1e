"""Frames of a stream: a length, then a msgpack array.

The length is bounded before anything is allocated, so that a broken peer
cannot exhaust the memory of a process. A frame that has begun must end within
a bound too, so that a peer that stops halfway does not hold a stream for ever.
"""

import asyncio
import struct
from typing import Any, Final

import msgpack

from wigeonspool.model import errors

MAX_FRAME_BYTES: Final = 16 * 1024 * 1024
MAX_ENTRIES: Final = 1 << 17
FRAME_TIMEOUT_SECONDS: Final = 10.0
LENGTH_PREFIX: Final = struct.Struct(">I")


def pack_frame(document: list[Any]) -> bytes:
    """Returns the bytes of a frame."""
    body: bytes = msgpack.packb(document, use_bin_type=True)
    return LENGTH_PREFIX.pack(len(body)) + body


def unpack_body(body: bytes) -> Any:
    """Returns the document in the body of a frame.

    Raises:
        FrameEncodingError: If the body is not msgpack, or holds an array or a
            map of more than `MAX_ENTRIES` entries.
    """
    try:
        return msgpack.unpackb(
            body,
            raw=False,
            strict_map_key=True,
            max_array_len=MAX_ENTRIES,
            max_map_len=MAX_ENTRIES,
        )
    except (ValueError, OverflowError, msgpack.UnpackException) as error:
        problem = str(error) or type(error).__name__
        raise errors.FrameEncodingError(problem) from error


async def read_body(
    reader: asyncio.StreamReader,
    max_bytes: int = MAX_FRAME_BYTES,
    timeout_seconds: float = FRAME_TIMEOUT_SECONDS,
) -> bytes | None:
    """Returns the body of the next frame, or None at a clean end.

    Waits without bound for a frame to begin.

    Args:
        reader: Where the bytes come from.
        max_bytes: Longest body to accept.
        timeout_seconds: Longest time from a frame's first byte to its last.

    Raises:
        FrameTooLongError: If the announced length exceeds the bound.
        FrameCutError: If the stream ends inside a frame.
        FrameStalledError: If the rest of a frame did not come in time.
    """
    first = await reader.read(1)
    if not first:
        return None
    try:
        async with asyncio.timeout(timeout_seconds):
            return await _read_rest(reader, first, max_bytes)
    except TimeoutError as error:
        raise errors.FrameStalledError(timeout_seconds) from error


async def read_frame(
    reader: asyncio.StreamReader,
    max_bytes: int = MAX_FRAME_BYTES,
    timeout_seconds: float = FRAME_TIMEOUT_SECONDS,
) -> Any | None:
    """Returns the next document, or None at a clean end of the stream.

    Args:
        reader: Where the bytes come from.
        max_bytes: Longest body to accept.
        timeout_seconds: Longest time from a frame's first byte to its last.

    Raises:
        WireError: If no whole frame came, or its body is not msgpack.
    """
    body = await read_body(reader, max_bytes, timeout_seconds)
    return None if body is None else unpack_body(body)


async def _read_rest(
    reader: asyncio.StreamReader, first: bytes, max_bytes: int
) -> bytes:
    """Returns the body of a frame whose first byte is known.

    Raises:
        FrameTooLongError: If the announced length exceeds the bound.
        FrameCutError: If the stream ends inside the frame.
    """
    try:
        rest = await reader.readexactly(LENGTH_PREFIX.size - len(first))
        (length,) = LENGTH_PREFIX.unpack(first + rest)
        if length > max_bytes:
            raise errors.FrameTooLongError(length, max_bytes)
        return await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        missing = (error.expected or 0) - len(error.partial)
        raise errors.FrameCutError(missing) from error

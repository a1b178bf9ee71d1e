"""Frames of a stream: a length prefix and a msgpack array.

The length is checked before memory is allocated, so a faulty peer cannot
exhaust the memory of a process. The rest of a frame must arrive within a
timeout after its first byte, so a peer that stops in the middle of a frame
does not occupy a stream forever.
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
    """Returns an encoded message as a frame."""
    body: bytes = msgpack.packb(document, use_bin_type=True)
    return LENGTH_PREFIX.pack(len(body)) + body


def unpack_body(body: bytes) -> Any:
    """Returns the unpacked body of a frame.

    Raises:
        FrameEncodingError: If the body is not valid msgpack, or contains an
            array or a map with more than `MAX_ENTRIES` entries.
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
    """Returns the body of the next frame, or None at the end of the stream.

    There is no limit on the time until a frame begins.

    Args:
        reader: Stream to read from.
        max_bytes: Maximum size of the body.
        timeout_seconds: Maximum time from the first byte of a frame to the
            last one.

    Raises:
        FrameTooLongError: If the length prefix exceeds `max_bytes`.
        FrameTruncatedError: If the stream ends in the middle of a frame.
        FrameStalledError: If the rest of a frame does not arrive in time.
        OSError: If the connection failed.
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
    """Returns the next unpacked frame, or None at the end of the stream.

    Args:
        reader: Stream to read from.
        max_bytes: Maximum size of the body.
        timeout_seconds: Maximum time from the first byte of a frame to the
            last one.

    Raises:
        WireError: If the frame is too long, incomplete or not valid msgpack.
        OSError: If the connection failed.
    """
    body = await read_body(reader, max_bytes, timeout_seconds)
    return None if body is None else unpack_body(body)


async def _read_rest(
    reader: asyncio.StreamReader, first: bytes, max_bytes: int
) -> bytes:
    """Returns the body of a frame whose first byte has been read.

    Raises:
        FrameTooLongError: If the length prefix exceeds `max_bytes`.
        FrameTruncatedError: If the stream ends in the middle of the frame.
    """
    try:
        rest = await reader.readexactly(LENGTH_PREFIX.size - len(first))
        (length,) = LENGTH_PREFIX.unpack(first + rest)
        if length > max_bytes:
            raise errors.FrameTooLongError(length, max_bytes)
        return await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        missing = (error.expected or 0) - len(error.partial)
        raise errors.FrameTruncatedError(missing) from error

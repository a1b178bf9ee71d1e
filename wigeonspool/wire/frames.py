"""Frames of a stream: a length, then a msgpack map.

The length is bounded before anything is allocated, so that a broken peer
cannot exhaust the memory of a process.
"""

import asyncio
import struct
from typing import Any, Final

import msgpack

from wigeonspool.model import errors

MAX_FRAME_BYTES: Final = 16 * 1024 * 1024
LENGTH: Final = struct.Struct(">I")


def pack_frame(document: dict[str, Any]) -> bytes:
    """Returns the bytes of a frame."""
    body: bytes = msgpack.packb(document, use_bin_type=True)
    return LENGTH.pack(len(body)) + body


def unpack_body(body: bytes) -> Any:
    """Returns the document in the body of a frame.

    Raises:
        FrameEncodingError: If the body is not msgpack.
    """
    try:
        return msgpack.unpackb(body, raw=False, strict_map_key=True)
    except (ValueError, msgpack.UnpackException) as error:
        raise errors.FrameEncodingError(str(error)) from error


async def read_body(reader: asyncio.StreamReader) -> bytes | None:
    """Returns the body of the next frame, or None at a clean end.

    Raises:
        FrameTooLongError: If the announced length exceeds the bound.
        FrameCutError: If the stream ends inside a frame.
    """
    try:
        header = await reader.readexactly(LENGTH.size)
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise errors.FrameCutError(LENGTH.size - len(error.partial)) from error
    (length,) = LENGTH.unpack(header)
    if length > MAX_FRAME_BYTES:
        raise errors.FrameTooLongError(length, MAX_FRAME_BYTES)
    try:
        return await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        raise errors.FrameCutError(length - len(error.partial)) from error


async def read_frame(reader: asyncio.StreamReader) -> Any | None:
    """Returns the next document, or None at a clean end of the stream.

    Raises:
        FrameTooLongError: If the announced length exceeds the bound.
        FrameCutError: If the stream ends inside a frame.
        FrameEncodingError: If the body is not msgpack.
    """
    body = await read_body(reader)
    return None if body is None else unpack_body(body)

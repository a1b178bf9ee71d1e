"""Buffers long responses in front of pipelined requests that already ran.

A streamed response that its target breaks off resets the connection of the
caller, since it must not look complete. That would cost the responses to the
requests behind it, which sound targets may have run. A response is therefore
buffered completely before its first byte is sent, as far as memory allows.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable
from typing import Final

from wigeonspool.gateway import exchanges

# A longer response is streamed.
MAX_BUFFERED_BYTES: Final = 8 * 1024 * 1024
# All responses that are buffered at a time. The smallest VMs have 200 MB.
MAX_BUFFERED_BYTES_PER_VM: Final = 32 * 1024 * 1024


class ResponseBuffers:
    """Memory of a VM for responses that are buffered behind others.

    Attributes:
        reserved_bytes: Size of what is buffered now.
    """

    def __init__(self) -> None:
        """Creates buffers without content."""
        self.reserved_bytes = 0

    async def fill(
        self, source: exchanges.TargetResponse, deadline: float
    ) -> int:
        """Buffers the body of an open response, unless it is too long.

        The response is then read from the buffer, followed by the rest of the
        body if it is too long.

        Args:
            source: Open response of a target; it is closed if it fails.
            deadline: Time by which the body must be complete, loop clock.

        Returns:
            Number of bytes that are reserved until `release` is called.

        Raises:
            ClientError: If the body is not complete.
            OSError: If the connection failed.
            TimeoutError: If the deadline passed.
        """
        length = source.content_length
        if length is not None and length > self._find_limit(0):
            return 0
        chunks: collections.deque[bytes] = collections.deque()
        size = 0
        try:
            async with asyncio.timeout_at(deadline):
                while size <= self._find_limit(size):
                    chunk = await source.read_chunk()
                    if not chunk:
                        break
                    chunks.append(chunk)
                    size += len(chunk)
                    self.reserved_bytes += len(chunk)
        except BaseException:
            self.release(size)
            source.close()
            raise
        source.read_chunk = _prepend(chunks, source.read_chunk)
        return size

    def release(self, size: int) -> None:
        """Releases reserved bytes, once the caller has read them."""
        self.reserved_bytes -= size

    def _find_limit(self, own_bytes: int) -> int:
        """Returns how long a response may be that holds some bytes already."""
        others = self.reserved_bytes - own_bytes
        return min(MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES_PER_VM - others)


def _prepend(
    chunks: collections.deque[bytes], read_chunk: Callable[[], Awaitable[bytes]]
) -> Callable[[], Awaitable[bytes]]:
    """Returns a function that reads a body of which a part was read before.

    Args:
        chunks: What was read.
        read_chunk: Reads the rest.
    """

    async def read() -> bytes:
        return chunks.popleft() if chunks else await read_chunk()

    return read

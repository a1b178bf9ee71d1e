"""Message streams between the processes of this system, over TCP."""

import asyncio
from typing import Final

from wigeonspool.model import messages
from wigeonspool.wire import clocks
from wigeonspool.wire import encoding
from wigeonspool.wire import frames

# A connection with more unsent bytes than this, in addition to the size of the
# largest message so far, is aborted. The peer then reconnects and gets the
# complete state.
MAX_UNSENT_BYTES: Final = 1024 * 1024


class Stream:
    """A connection that carries messages in both directions.

    Attributes:
        peer: Remote host:port, for logs.
        sent_bytes: Total size of the frames written so far.
        received_bytes: Total size of the frames read so far.
        overflowed: True if the connection was aborted because the peer read
            too slowly.
    """

    __slots__ = (
        "_clock",
        "_largest_frame_bytes",
        "_reader",
        "_writer",
        "overflowed",
        "peer",
        "received_bytes",
        "sent_bytes",
    )

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        clock: clocks.HybridClock | None = None,
    ) -> None:
        """Creates a stream on an open connection.

        Args:
            reader: Receiving side of the connection.
            writer: Sending side of the connection.
            clock: Clock of this process, which received messages advance; None
                to send messages without stamps.
        """
        self._clock = clock
        self._reader = reader
        self._writer = writer
        self.sent_bytes = 0
        self.received_bytes = 0
        self.overflowed = False
        self._largest_frame_bytes = 0
        address = writer.get_extra_info("peername")
        self.peer = f"{address[0]}:{address[1]}" if address else "unknown"

    async def receive(
        self, max_bytes: int = frames.MAX_FRAME_BYTES
    ) -> messages.Message | None:
        """Returns the next message, or None at the end of the stream.

        Args:
            max_bytes: Maximum size of the body of the frame.

        Raises:
            WireError: If the peer violated the protocol.
            OSError: If the connection failed.
        """
        body = await frames.read_body(self._reader, max_bytes)
        if body is None:
            return None
        self.received_bytes += frames.LENGTH_PREFIX.size + len(body)
        document = frames.unpack_body(body)
        message = encoding.decode_message(document)
        stamp = encoding.read_stamp(document)
        if stamp is not None and self._clock is not None:
            self._clock.observe_stamp(stamp)
        return message

    def post(self, message: messages.Message) -> None:
        """Queues a message without waiting for the peer.

        The connection is aborted if too many bytes are unsent.
        """
        self.post_frame(pack_message(message, self._clock))

    def post_frame(self, data: bytes) -> None:
        """Queues a packed message; see `post`."""
        if self._writer.is_closing():
            return
        unsent = self._writer.transport.get_write_buffer_size()
        if unsent > MAX_UNSENT_BYTES + self._largest_frame_bytes:
            self.overflowed = True
            self._writer.transport.abort()
            return
        self._largest_frame_bytes = max(self._largest_frame_bytes, len(data))
        self.sent_bytes += len(data)
        self._writer.write(data)

    async def send(self, message: messages.Message) -> None:
        """Sends a message; waits while the send buffer is full.

        Raises:
            OSError: If the connection failed.
        """
        self.post(message)
        await self._writer.drain()

    def close(self) -> None:
        """Closes the connection after the unsent bytes are sent."""
        self._writer.close()

    def abort(self) -> None:
        """Closes the connection immediately and drops the unsent bytes."""
        self._writer.transport.abort()


def pack_message(
    message: messages.Message, clock: clocks.HybridClock | None
) -> bytes:
    """Returns the frame of a message, with a stamp if there is a clock."""
    stamp = None if clock is None else clock.issue_stamp()
    return frames.pack_frame(encoding.encode_message(message, stamp))


async def open_stream(
    address: str, clock: clocks.HybridClock | None = None
) -> Stream:
    """Connects to a stream server.

    Args:
        address: host:port.
        clock: Clock of this process, which received messages advance; None to
            send messages without stamps.

    Raises:
        OSError: If the connection failed.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    return Stream(reader, writer, clock)

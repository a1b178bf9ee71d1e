"""Message streams between this system's processes, over TCP."""

import asyncio

from wigeonspool.model import messages
from wigeonspool.wire import clocks
from wigeonspool.wire import frames


class Stream:
    """One connection that carries messages both ways.

    Attributes:
        peer: Remote host:port, for logs.
        sent_bytes: Bytes of the frames written so far.
    """

    __slots__ = ("_clock", "_reader", "_writer", "peer", "sent_bytes")

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        clock: clocks.HybridClock | None = None,
    ) -> None:
        """Prepares a stream over a connection.

        Args:
            reader: Its receiving side.
            writer: Its sending side.
            clock: Clock of this process, which follows that of the peer.
        """
        self._clock = clock
        self._reader = reader
        self._writer = writer
        self.sent_bytes = 0
        name = writer.get_extra_info("peername")
        self.peer = f"{name[0]}:{name[1]}" if name else "unknown"

    async def receive(
        self, max_bytes: int = frames.MAX_FRAME_BYTES
    ) -> messages.Message | None:
        """Returns the next message, or None at a clean end.

        Args:
            max_bytes: Longest frame to accept.

        Raises:
            WireError: If the peer broke the protocol.
            OSError: If the connection failed.
        """
        document = await frames.read_frame(self._reader, max_bytes)
        if document is None:
            return None
        message = messages.decode_message(document)
        stamp = messages.read_stamp(document)
        if stamp is not None and self._clock is not None:
            self._clock.observe_stamp(stamp)
        return message

    def post(self, message: messages.Message) -> None:
        """Queues a message without waiting for the peer."""
        if self._writer.is_closing():
            return
        stamp = None if self._clock is None else self._clock.issue_stamp()
        data = frames.pack_frame(messages.encode_message(message, stamp))
        self.sent_bytes += len(data)
        self._writer.write(data)

    async def send(self, message: messages.Message) -> None:
        """Sends a message and waits while the peer is slow to read.

        Raises:
            OSError: If the connection failed.
        """
        self.post(message)
        await self._writer.drain()

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


async def open_stream(
    address: str, clock: clocks.HybridClock | None = None
) -> Stream:
    """Connects to a stream server.

    Args:
        address: host:port.
        clock: Clock of this process, which follows that of the peer.

    Raises:
        OSError: If the connection failed.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    return Stream(reader, writer, clock)

"""TCP proxies with which tests delay, discard or reset traffic."""

import asyncio
import contextlib

from tests import fleet as fleets

CHUNK_BYTES = 64 * 1024


class Link:
    """One connection through a pipe: a TCP connection on each of its sides.

    Attributes:
        writers: Writers of both TCP connections.
        discarding: True if data is discarded instead of forwarded.
    """

    def __init__(self, writers: list[asyncio.StreamWriter]) -> None:
        self.writers = writers
        self.discarding = False

    def abort(self) -> None:
        """Closes both TCP connections and discards what they have buffered."""
        for writer in self.writers:
            writer.transport.abort()


class Pipe:
    """TCP proxy that forwards connections to an upstream address.

    Attributes:
        address: host:port that the proxy listens on.
        upstream: host:port that it forwards to.
        refusing: True if new connections are closed immediately.
        replies_to_lose: How many of the next replies of the upstream are lost.
            The connection of a lost reply is closed.
        forwarding: Set while data is forwarded. While the event is not set,
            data is delayed.
        links: Open connections.
    """

    def __init__(self, upstream: str) -> None:
        self.address = fleets.reserve_address()
        self.upstream = upstream
        self.refusing = False
        self.replies_to_lose = 0
        self.forwarding = asyncio.Event()
        self.forwarding.set()
        self.links: set[Link] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        assert self._server is not None
        self._server.close()
        self.forwarding.set()
        self.cut()

    def cut(self) -> None:
        """Closes all connections; new ones are still accepted."""
        for link in list(self.links):
            link.abort()

    def discard_traffic(self) -> None:
        """Discards all further data of the open connections, but keeps them."""
        for link in self.links:
            link.discarding = True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connects to the upstream and copies data in both directions."""
        host, _, port = self.upstream.rpartition(":")
        try:
            if self.refusing:
                raise ConnectionRefusedError
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        link = Link([writer, upstream_writer])
        self.links.add(link)
        try:
            await asyncio.gather(
                self._copy(reader, upstream_writer, link, is_reply=False),
                self._copy(upstream_reader, writer, link, is_reply=True),
            )
        finally:
            link.abort()
            self.links.discard(link)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: Link,
        is_reply: bool,
    ) -> None:
        """Copies data until the reader ends; applies the faults.

        Args:
            reader: Side that sends the data.
            writer: Side that gets the data.
            link: The connection.
            is_reply: True for data of the upstream. Its end closes the writer;
                the end of the other direction is passed on as a half-close.
        """
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self.forwarding.wait()
                if link.discarding:
                    continue
                if is_reply and self.replies_to_lose > 0:
                    self.replies_to_lose -= 1
                    link.abort()
                    return
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof() and not is_reply:
                writer.write_eof()
            else:
                writer.close()

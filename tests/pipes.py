"""A TCP connection that a test can hold, silence or cut."""

import asyncio
import contextlib

from tests import fleet as fleets

CHUNK_BYTES = 64 * 1024


class Link:
    """One connection through a pipe."""

    def __init__(self, writers: list[asyncio.StreamWriter]) -> None:
        self.writers = writers
        self.silent = False

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class Pipe:
    """Forwards connections to an upstream address."""

    def __init__(self, upstream: str) -> None:
        self.address = fleets.reserve_address()
        self.upstream = upstream
        self.refusing = False
        self.replies_to_lose = 0
        self.open = asyncio.Event()
        self.open.set()
        self.links: set[Link] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        self.open.set()
        self.cut()

    def cut(self) -> None:
        for link in list(self.links):
            link.abort()

    def silence(self) -> None:
        """Open connections carry nothing any more; new ones do."""
        for link in self.links:
            link.silent = True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.upstream.rpartition(":")
        try:
            if self.refusing:
                raise ConnectionRefusedError
            up_reader, up_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        link = Link([writer, up_writer])
        self.links.add(link)
        try:
            await asyncio.gather(
                self._copy(reader, up_writer, link, replies=False),
                self._copy(up_reader, writer, link, replies=True),
            )
        finally:
            link.abort()
            self.links.discard(link)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: Link,
        replies: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self.open.wait()
                if link.silent:
                    continue
                if replies and self.replies_to_lose > 0:
                    self.replies_to_lose -= 1
                    link.abort()
                    return
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof() and not replies:
                writer.write_eof()
            else:
                writer.close()

"""A minimal HTTP/1.1 reader and writer for the stand-ins."""

import asyncio
import dataclasses
import socket
import urllib.parse

MAX_HEAD_BYTES = 256 * 1024


@dataclasses.dataclass
class Message:
    """A request or a response.

    Attributes:
        first: Its first line.
        fields: Header fields in order, with names in lower case.
        body: Body, without framing.
    """

    first: str
    fields: list[tuple[str, str]]
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        """Returns the first value of a field."""
        for field, value in self.fields:
            if field == name.lower():
                return value
        return default

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first.split(" ")[1]

    @property
    def path(self) -> str:
        """Path of a request."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Query parameters of a request."""
        text = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Returns a head without its body, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the stream ended within a head") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip().lower(), value.strip()))
    return Message(lines[0], fields)


async def read_body(
    reader: asyncio.StreamReader, message: Message, until_end: bool = False
) -> bytes:
    """Reads the body of a message.

    Args:
        reader: Stream after the head.
        message: The head.
        until_end: True for a response, whose body may end with the stream.
    """
    if message.get("transfer-encoding").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size:
                parts.append(await reader.readexactly(size))
            await reader.readuntil(b"\r\n")
            if not size:
                return b"".join(parts)
    length = message.get("content-length")
    if length:
        return await reader.readexactly(int(length))
    return await reader.read() if until_end else b""


async def read_message(
    reader: asyncio.StreamReader, until_end: bool = False
) -> Message | None:
    """Returns a message with its body, or None at the end of the stream."""
    message = await read_head(reader)
    if message is not None:
        message.body = await read_body(reader, message, until_end)
    return message


def build(
    first: str, fields: list[tuple[str, str]], body: bytes | None = b""
) -> bytes:
    """Returns a message; a body of None adds no Content-Length."""
    lines = [first, *(f"{name}: {value}" for name, value in fields)]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + (body or b"")


async def start_server(
    handler, host: str, port: int, window_bytes: int = 0
) -> asyncio.Server:
    """Starts a server whose handler may fail with the connection.

    Args:
        handler: Called with the streams of each connection.
        host: Address to listen on.
        port: Port to listen on.
        window_bytes: Receive buffer of each connection; 0 for the default.
    """

    async def serve(reader, writer):
        try:
            await handler(reader, writer)
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if window_bytes:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
    listener.bind((host, port))
    limit = window_bytes or MAX_HEAD_BYTES
    return await asyncio.start_server(
        serve, sock=listener, limit=limit, backlog=1024
    )

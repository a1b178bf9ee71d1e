"""A small HTTP/1.1 reader and writer for the stand-ins."""

import asyncio
import dataclasses
import json
from typing import Any


@dataclasses.dataclass
class Message:
    """A request or a response: start line, header fields and body."""

    start: str
    fields: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads a start line and header fields; names are in lower case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = text.split("\r\n")
    pairs = [line.split(":", 1) for line in lines if line]
    return Message(start, {n.strip().lower(): v.strip() for n, v in pairs})


async def read_message(
    reader: asyncio.StreamReader, *, bodiless: bool = False
) -> Message:
    """Reads a message with its whole body.

    Raises:
        IncompleteReadError: If the connection ended within the message.
    """
    message = await read_head(reader)
    if bodiless:
        return message
    if "chunked" in message.fields.get("transfer-encoding", ""):
        body = bytearray()
        while size := int((await reader.readline()).split(b";")[0] or b"x", 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        message.body = bytes(body)
    elif "content-length" in message.fields:
        length = int(message.fields["content-length"])
        message.body = await reader.readexactly(length)
    elif message.start.startswith("HTTP/"):
        message.body = await reader.read(-1)
    return message


def build(start: str, fields: dict[str, Any], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with a length."""
    lines = [start, *(f"{n}: {v}" for n, v in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def build_json(status: int, document: Any) -> bytes:
    """Returns the bytes of a response with a JSON body."""
    body = json.dumps(document).encode()
    fields = {"Content-Type": "application/json"}
    return build(f"HTTP/1.1 {status} Status", fields, body)

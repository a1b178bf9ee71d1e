"""Requests whose body is streamed to a target, without a VM."""

import asyncio
from collections.abc import AsyncIterator

from multidict import CIMultiDict

from wigeonspool.gateway import exchanges
from wigeonspool.vm import channels

FIRST = b"first part"


class LateBody:
    """A streamed body whose first part arrives when the test says so."""

    def __init__(self) -> None:
        self.consumed = False
        self.may_start = asyncio.Event()

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yields the body."""
        self.consumed = True
        await self.may_start.wait()
        yield FIRST


class TestStreamedBodies:
    # Failure: the head of a request is written only with the first part of a
    # slow body, long after the target and the remaining time were checked.
    async def test_head_does_not_wait_for_the_body(self) -> None:
        heads: asyncio.Queue[bytes] = asyncio.Queue()
        bodies: asyncio.Queue[bytes] = asyncio.Queue()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            heads.put_nowait(await reader.readuntil(b"\r\n\r\n"))
            bodies.put_nowait(await reader.readexactly(len(FIRST)))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        pool = channels.ChannelPool(asyncio.get_running_loop())
        channel = await pool.open(f"{host}:{port}")
        assert channel.protocol.begin_exchange()
        body = LateBody()
        fields = CIMultiDict({"Content-Length": str(len(FIRST))})
        sent = asyncio.create_task(
            exchanges.send_request(channel, "POST", "/a", fields, body)
        )
        async with asyncio.timeout(5.0):
            head = await heads.get()
            assert head.startswith(b"POST /a HTTP/1.1\r\n")
            body.may_start.set()
            assert await bodies.get() == FIRST
            response = await sent
        assert response.status == 200
        response.close()
        pool.close()
        server.close()

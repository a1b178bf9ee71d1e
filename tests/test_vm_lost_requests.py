"""Every way in which a VM can end a request or a connection of a caller.

A request that was read gets an answer, whatever happens beside it.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from aiohttp import web
import pytest_asyncio

from tests import fleet
from wigeonspool.core import cluster_state
from wigeonspool.model import fleet as fleet_model
from wigeonspool.vm import caller_server

HEAD_TIMEOUT_SECONDS = 0.1
# Longer than the timeout of a head, with room for a slow machine.
PAUSE_SECONDS = 0.4
BODY = b"0123456789"
HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n"
GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
ANSWER = b"HTTP/1.1 200 "


class SlowService:
    """Answers each request after a while.

    Attributes:
        seconds: Time until the answer.
        reads_body: False to answer before the body of the request was read.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self.reads_body = True

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read() if self.reads_body else b""
        await asyncio.sleep(self.seconds)
        return web.Response(body=body)


class Connection:
    """One connection to a caller server, seen from both ends."""

    def __init__(self) -> None:
        self.service = SlowService()
        self.protocol: caller_server.CallerProtocol
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts a server and connects to it."""
        configuration = fleet_model.Configuration(
            1,
            {},
            {},
            fleet_model.CallerLimits(head_timeout_seconds=HEAD_TIMEOUT_SECONDS),
        )
        cluster = cluster_state.ClusterState()
        cluster.configuration = configuration
        server = caller_server.CallerServer(
            self.service,  # type: ignore[arg-type]
            cluster,
        )
        loop = asyncio.get_running_loop()
        port = fleet.reserve_port()
        listener = await loop.create_server(server, "127.0.0.1", port)
        stack.callback(listener.close)
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", port
        )
        stack.callback(self.writer.close)
        await fleet.wait_for(lambda: server.connections)
        protocol = server.connections[0]
        assert isinstance(protocol, caller_server.CallerProtocol)
        self.protocol = protocol
        stack.push_async_callback(server.shutdown, 0.1)

    async def read_response(self, body: bytes = BODY) -> bytes:
        """Returns the head of a response with a known body."""
        async with asyncio.timeout(5.0):
            head = await self.reader.readuntil(b"\r\n\r\n")
            assert await self.reader.readexactly(len(body)) == body
        return head

    async def is_open(self) -> bool:
        """Returns True if nothing arrives and the connection stays open."""
        try:
            async with asyncio.timeout(PAUSE_SECONDS):
                received = await self.reader.read(1000)
        except TimeoutError:
            return True
        assert received == b"", received
        return False


@pytest_asyncio.fixture(name="connection")
async def open_connection() -> AsyncIterator[Connection]:
    async with contextlib.AsyncExitStack() as stack:
        connection = Connection()
        await connection.open(stack)
        yield connection


class TestHeadTimer:
    """The time limit of a request head ends no other request."""

    # Guards against a request that is cut since its body arrived between the
    # end of its head and the start of its handler.
    async def test_body_before_the_handler_starts_is_no_head(
        self, connection: Connection
    ) -> None:
        connection.service.seconds = PAUSE_SECONDS
        loop = asyncio.get_running_loop()
        connection.protocol.data_received(HEAD)
        # Runs after the head was taken from the queue, and before the task
        # that handles the request.
        loop.call_soon(connection.protocol.data_received, BODY)
        assert (await connection.read_response()).startswith(ANSWER)

    # Guards against a 408 on a connection that waits for the next request.
    async def test_idle_connection_gets_no_timeout_response(
        self, connection: Connection
    ) -> None:
        loop = asyncio.get_running_loop()
        connection.protocol.data_received(HEAD)
        loop.call_soon(connection.protocol.data_received, BODY)
        await connection.read_response()
        assert await connection.is_open()

    # Guards against a request that is cut because its head and its body came
    # in separate segments.
    async def test_segments_of_a_request_are_served(
        self, connection: Connection
    ) -> None:
        connection.service.seconds = 2 * HEAD_TIMEOUT_SECONDS
        for pause_seconds in (0.0, 0.0, 0.0, 0.001, 0.002, 0.005):
            connection.writer.write(HEAD)
            await asyncio.sleep(pause_seconds)
            for index in range(len(BODY)):
                connection.writer.write(BODY[index : index + 1])
                await asyncio.sleep(pause_seconds)
            assert (await connection.read_response()).startswith(ANSWER)

    # Guards against a next request that is cut since the rest of an earlier
    # body was taken for a head.
    async def test_body_after_an_early_answer_is_no_head(
        self, connection: Connection
    ) -> None:
        connection.service.reads_body = False
        connection.protocol.data_received(HEAD)
        await connection.read_response(b"")
        connection.protocol.data_received(BODY)
        assert await connection.is_open()
        connection.writer.write(GET)
        assert (await connection.read_response(b"")).startswith(ANSWER)

    # Guards against a running request that is cut by the head of the next one.
    async def test_slow_head_behind_a_request_does_not_cut_it(
        self, connection: Connection
    ) -> None:
        connection.service.seconds = PAUSE_SECONDS
        connection.protocol.data_received(HEAD + BODY)
        connection.protocol.data_received(GET[:10])
        await connection.read_response()
        async with asyncio.timeout(5.0):
            assert (await connection.reader.read()).startswith(b"HTTP/1.1 408 ")

    # Guards against a timer that gives slow heads no limit any more.
    async def test_slow_head_after_a_request_times_out(
        self, connection: Connection
    ) -> None:
        connection.writer.write(GET)
        await connection.read_response(b"")
        connection.writer.write(GET[:10])
        async with asyncio.timeout(5.0):
            assert (await connection.reader.read()).startswith(b"HTTP/1.1 408 ")

    # Guards against a 408 for the empty line that some callers send after a
    # body.
    async def test_empty_line_after_a_request_is_no_head(
        self, connection: Connection
    ) -> None:
        connection.writer.write(HEAD + BODY)
        await connection.read_response()
        connection.writer.write(b"\r\n")
        assert await connection.is_open()
        connection.writer.write(GET)
        assert (await connection.read_response(b"")).startswith(ANSWER)

    # Guards against an idle timeout that cuts a request as it arrives.
    async def test_idle_timeout_does_not_cut_a_head_that_arrives(
        self, connection: Connection
    ) -> None:
        protocol = connection.protocol
        connection.writer.write(GET)
        await connection.read_response(b"")
        protocol.data_received(GET[:10])
        protocol._next_keepalive_close_time = 0.0
        protocol._process_keepalive()
        protocol.data_received(GET[10:])
        assert (await connection.read_response(b"")).startswith(ANSWER)

    # Guards against an idle timeout that cuts a request whose head is complete
    # and whose handler has not started.
    async def test_idle_timeout_does_not_cut_a_request(
        self, connection: Connection
    ) -> None:
        protocol = connection.protocol
        connection.writer.write(GET)
        await connection.read_response(b"")
        loop = asyncio.get_running_loop()
        protocol._next_keepalive_close_time = 0.0
        protocol.data_received(GET)
        protocol._process_keepalive()
        loop.call_soon(protocol._process_keepalive)
        assert (await connection.read_response(b"")).startswith(ANSWER)

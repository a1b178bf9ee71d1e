"""Targets and stores that stop in the middle of the head of a response.

Guards against the head of a response that is not complete: it must not be taken
for a response with an empty or short body.
"""

import asyncio
from collections.abc import AsyncIterator, Iterator
import contextlib
import socket
import struct
from typing import Any

from multidict import CIMultiDict
import pytest
import pytest_asyncio

from tests import fleet
from tests import test_target_answers
from tests import vm_fleet
from wigeonspool.core import tables
from wigeonspool.gateway import egress
from wigeonspool.model import errors
from wigeonspool.platform import metadata_store

FIELDS = b"X-Attempt-Id: {}\r\nX-Response-Seal: seal\r\n"
# Heads without their last byte are not complete either.
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + FIELDS + b"\r\n",
    "empty": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + FIELDS + b"\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    + FIELDS
    + b"\r\n",
    "unframed": b"HTTP/1.1 200 OK\r\n" + FIELDS + b"\r\n",
    "closing": b"HTTP/1.1 200 OK\r\nConnection: close\r\n" + FIELDS + b"\r\n",
    "no-content": b"HTTP/1.1 204 No Content\r\n" + FIELDS + b"\r\n",
    "refusal": b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\nX-Attempt-Id: {}\r\n\r\n",
    "hints": b"HTTP/1.1 103 Hints\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\n"
    + FIELDS
    + b"\r\n",
    "foreign": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
    b"X-Attempt-Id: other\r\n\r\nHTTP/1.1 200 OK\r\n" + FIELDS + b"\r\n",
}
# Bytes between two tested positions of a cut, apart from the last ones.
STEP = 5
LAST_POSITIONS = 5


def list_cuts(head: bytes) -> list[bytes]:
    """Returns the begins of a head at which a target stops."""
    length = len(head)
    positions = {
        *range(0, length, STEP),
        *range(length - LAST_POSITIONS, length),
    }
    return [head[:position] for position in sorted(positions)]


def end_connection(writer: asyncio.StreamWriter, by_reset: bool) -> None:
    """Ends a connection, by a reset or a clean close."""
    if by_reset:
        linger = struct.pack("ii", 1, 0)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.close()


class CutTarget(test_target_answers.ScriptedTarget):
    """A target that stops in the middle of the head of a response.

    Attributes:
        answer: What it writes before it ends the connection; {} stands for the
            attempt.
        by_reset: True if it ends the connection by a reset.
    """

    def __init__(self, identity: str) -> None:
        super().__init__(identity)
        self.answer = b""
        self.by_reset = False
        self.script = self._stop

    async def _stop(
        self, attempt: str, number: int, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(self.answer.replace(b"{}", attempt.encode()))
        await writer.drain()
        if self.by_reset:
            # What was written before a reset must arrive before it.
            await asyncio.sleep(0.002)
        end_connection(writer, self.by_reset)


class CutBench(test_target_answers.Bench):
    """A VM with one target that stops in the middle of a head."""

    target: CutTarget

    async def start_cut(self) -> CutTarget:
        """Starts the VM and its target."""
        (plain,) = await self.start()
        await plain.stop()
        self.target = CutTarget(plain.identity)
        self.target.address = plain.address
        await self.target.start()
        self.targets[:] = [self.target]
        return self.target


@pytest_asyncio.fixture(name="cut_bench")
async def start_cut_bench(vms: vm_fleet.VmFleet) -> AsyncIterator[CutBench]:
    """Yields a bench with a target that stops in the middle of heads."""
    started = CutBench(vms)
    await started.start_cut()
    yield started
    await started.stop()


class TestVm:
    @pytest.mark.parametrize("by_reset", [False, True], ids=["close", "reset"])
    @pytest.mark.parametrize("head", HEADS)
    async def test_no_part_of_a_head_is_a_response(
        self, cut_bench: CutBench, head: str, by_reset: bool
    ) -> None:
        cut_bench.target.by_reset = by_reset
        statuses = []
        for number, answer in enumerate(list_cuts(HEADS[head])):
            cut_bench.target.answer = answer
            sent = len(cut_bench.target.attempts)
            status, body = await cut_bench.send("unsafe", f"a-{number}")
            assert (status, body) == (502, b"connection-lost"), answer
            assert len(cut_bench.target.attempts) == sent + 1
            statuses.append(status)
        assert statuses

    @pytest.mark.parametrize("head", ["length", "chunked", "unframed"])
    async def test_idempotent_request_gets_a_complete_response(
        self, cut_bench: CutBench, head: str
    ) -> None:
        for number, answer in enumerate(list_cuts(HEADS[head])[::4]):
            cut_bench.target.answer = answer
            status, body = await cut_bench.send("safe", f"a-{number}")
            assert (status, body) == (502, b"connection-lost"), answer

    # The target has read a part of a long body only.
    @pytest.mark.parametrize("head", ["length", "unframed"])
    async def test_early_response_is_not_complete(
        self, cut_bench: CutBench, head: str
    ) -> None:
        cut_bench.target.answer = HEADS[head][:-2]

        async def answer_early(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            text = await reader.readuntil(b"\r\n\r\n")
            if text.startswith(b"GET /health "):
                writer.write(cut_bench.target.build_health(1))
                text = await reader.readuntil(b"\r\n\r\n")
            fields = dict(
                line.lower().split(": ", 1)
                for line in text.decode().split("\r\n")[1:-2]
            )
            attempt = fields["x-attempt-id"].encode()
            writer.write(cut_bench.target.answer.replace(b"{}", attempt))
            await writer.drain()
            writer.close()

        await cut_bench.target.stop()
        host, _, port = cut_bench.target.address.rpartition(":")
        server = await asyncio.start_server(answer_early, host, int(port))
        status, _, _ = await cut_bench.vms.send(
            "vm-1", "/unsafe/1", "POST", data=b"x" * 500_000
        )
        server.close()
        assert status == 502

    # The begin of the response arrives in one packet with the response to the
    # health check, before the request was sent.
    async def test_head_that_begins_too_early_is_no_response(
        self, cut_bench: CutBench
    ) -> None:
        target = cut_bench.target
        begin = HEADS["length"][:40]

        def answer_health_check(number: int) -> bytes:
            return target.build_health(number) + begin

        target.health = answer_health_check
        target.answer = b""
        status, _ = await cut_bench.send("unsafe", "one", remaining="500")
        assert status in (502, 503, 504)

    @pytest.mark.parametrize("by_reset", [False, True], ids=["close", "reset"])
    async def test_part_of_a_health_check_response_is_none(
        self, cut_bench: CutBench, by_reset: bool
    ) -> None:
        target = cut_bench.target
        health = target.build_health(1)
        head_length = health.index(b"\r\n\r\n") + 4

        async def stop_after_health_check(
            writer: asyncio.StreamWriter,
        ) -> None:
            await writer.drain()
            end_connection(writer, by_reset)

        target.after_health = stop_after_health_check
        vm = cut_bench.vms.vms["vm-1"]
        row = vm._cluster.targets[target.identity]
        for answer in list_cuts(health[:head_length]):
            target.health = lambda number, cut=answer: cut
            checks = target.health_checks
            assert not await vm._prober.probe_targets([row]), answer
            assert target.health_checks > checks
        assert not target.attempts

    # The connection has served requests before.
    async def test_part_of_a_head_on_a_reused_connection_is_no_response(
        self, cut_bench: CutBench
    ) -> None:
        target = cut_bench.target
        for number, answer in enumerate(list_cuts(HEADS["length"])[::3]):
            target.script = target._run
            for warm_up in range(2):
                sent = await cut_bench.send("unsafe", f"w-{number}-{warm_up}")
                assert sent == (200, b"ran")
            target.script = target._stop
            target.answer = answer
            status, body = await cut_bench.send("unsafe", f"a-{number}")
            assert (status, body) == (502, b"connection-lost"), answer


class CutServer:
    """A server that answers each request by the begin of a head.

    Attributes:
        answer: What it writes before it ends the connection.
        address: Its host:port.
    """

    def __init__(self, by_reset: bool) -> None:
        """Creates a server that has not started."""
        self.answer = b""
        self.address = fleet.reserve_address()
        self._by_reset = by_reset

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["CutServer"]:
        """Runs the server."""
        host, _, port = self.address.rpartition(":")
        server = await asyncio.start_server(self._serve, host, int(port))
        yield self
        server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.answer)
        await writer.drain()
        await asyncio.sleep(0.002)
        end_connection(writer, self._by_reset)


def list_replies(body: bytes) -> Iterator[tuple[str, bytes]]:
    """Yields cut replies of a store with a body, and their framing."""
    fields = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    length = b"Content-Length: %d\r\n" % len(body)
    for framing, head in (("length", fields + length), ("unframed", fields)):
        for cut in list_cuts(head + b"\r\n"):
            yield framing, cut


@pytest.mark.parametrize("by_reset", [False, True], ids=["close", "reset"])
class TestGateway:
    async def test_no_part_of_a_head_is_a_response(
        self, by_reset: bool
    ) -> None:
        client = egress.Egress()
        async with CutServer(by_reset).run() as server:
            # A gateway's targets do not state the request, so that the first
            # of two responses is taken.
            heads = [HEADS[name] for name in HEADS if name != "foreign"]
            for head in heads:
                for answer in list_cuts(head):
                    server.answer = answer
                    deadline = asyncio.get_running_loop().time() + 5.0
                    outgoing = egress.OutgoingRequest(
                        "POST", "/a", CIMultiDict(), b"x", deadline
                    )
                    attempt = await client.send_attempt(
                        server.address, outgoing, may_retry_connection=False
                    )
                    assert attempt.result is not None
                    assert (
                        attempt.result.kind is not tables.ResultKind.ANSWERED
                    ), answer
        await client.close()


@pytest.mark.parametrize("by_reset", [False, True], ids=["close", "reset"])
class TestStore:
    async def test_no_part_of_a_head_is_a_reply(self, by_reset: bool) -> None:
        async with CutServer(by_reset).run() as server:
            store = metadata_store.MetadataStore(server.address)
            for framing, answer in list_replies(b'{"items":[],"AtRev":5}'):
                server.answer = answer
                with pytest.raises(errors.StoreError):
                    reply: Any = await store.read_range("servers/")
                    pytest.fail(f"{framing}: {answer!r} was read as {reply}")
            await store.close()

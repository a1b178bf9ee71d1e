"""Responses of targets that are stale, misplaced, endless or malformed."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import json
import socket
import tracemalloc

import aiohttp
from multidict import CIMultiDict
import pytest
import pytest_asyncio

from tests import fleet
from tests import vm_fleet
from wigeonspool.core import tables
from wigeonspool.gateway import egress
from wigeonspool.platform.standin import main as standins
from wigeonspool.platform.standin import target as targets
from wigeonspool.vm import channels

# Answers one request: its attempt, its number on the target, its connection.
Script = Callable[[str, int, asyncio.StreamWriter], Awaitable[None]]
HEALTH_FIELDS = {"X-Instance-Id": "s-1", "X-Instance-Load": "0,0,4,100"}


def build_answer(attempt: str, body: bytes = b"ran") -> bytes:
    """Returns the answer of a target that ran an attempt."""
    fields = {"X-Attempt-Id": attempt, "X-Response-Seal": f"seal-{attempt}"}
    return targets.build_response(200, fields, body)


def build_refusal(**fields: str) -> bytes:
    """Returns a refusal; underscores in field names stand for dashes."""
    named = {name.replace("_", "-"): value for name, value in fields.items()}
    return targets.build_response(503, {"X-Not-Executed": "1"} | named, b"")


class ScriptedTarget:
    """A target whose bytes a test determines.

    Attributes:
        identity: Identity of the target.
        script: Answers a request.
        health: Answers a health check, which is given by its number.
        after_health: Writes further data after the answer to a health check.
        greeting: Bytes that it writes on each new connection.
        attempts: Attempts that it received, in order.
        connections: Number of accepted connections.
        ended: Number of connections that have ended.
    """

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.address = fleet.reserve_address()
        self.script: Script = self._run
        self.health: Callable[[int], bytes] = self.build_health
        self.after_health: Callable[[asyncio.StreamWriter], Awaitable[None]] = (
            asyncio.StreamWriter.drain
        )
        self.greeting = b""
        self.attempts: list[str] = []
        self.health_checks = 0
        self.connections = 0
        self.ended = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        writer.write(self.greeting)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    await self._serve_one(reader, writer)
        finally:
            self.ended += 1
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        fields = dict(
            line.lower().split(": ", 1) for line in head.split("\r\n")[1:-2]
        )
        await reader.readexactly(int(fields.get("content-length", "0")))
        if head.startswith("GET /health "):
            self.health_checks += 1
            writer.write(self.health(self.health_checks))
            await self.after_health(writer)
            return
        attempt = fields.get("x-attempt-id", "")
        self.attempts.append(attempt)
        await self.script(attempt, len(self.attempts), writer)
        await writer.drain()

    async def _run(
        self, attempt: str, number: int, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(build_answer(attempt))

    def build_health(self, number: int) -> bytes:
        """Returns a sound answer to a health check."""
        fields = HEALTH_FIELDS | {"X-Instance-Id": self.identity}
        return targets.build_response(200, fields, b"")


class Bench:
    """A VM with scripted targets, for idempotent and other requests."""

    def __init__(self, vms: vm_fleet.VmFleet) -> None:
        self.vms = vms
        self.targets: list[ScriptedTarget] = []

    async def start(self, count: int = 1) -> list[ScriptedTarget]:
        """Starts the VM and some targets, which all serve one service."""
        other = {"Service": "other", "Timeout": "9000ms"}
        rules = [
            vm_fleet.build_rule("safe", "/safe/", "safe", **other),
            vm_fleet.build_rule("unsafe", "/unsafe/", "unsafe", **other),
        ]
        await self.vms.configure([*self.vms.build_default_rules(), *rules])
        vm = await self.vms.start_vm("vm-1")
        for number in range(1, count + 1):
            target = ScriptedTarget(f"s-{number}")
            await target.start()
            self.targets.append(target)
            entry = standins.build_entry(
                target.address, "other", "zone-a", "ready"
            )
            key = f"servers/{target.identity}"
            await self.vms.store.put(key, json.dumps(entry).encode())
        await fleet.wait_for(
            lambda: all(t.identity in vm._cluster.targets for t in self.targets)
        )
        return self.targets

    async def stop(self) -> None:
        for target in self.targets:
            await target.stop()

    async def send(
        self, kind: str, attempt: str, remaining: str = "1500"
    ) -> tuple[int, bytes]:
        """Sends a request; returns the status and the body."""
        status, body, _ = await self.vms.send(
            "vm-1",
            f"/{kind}/1",
            "GET" if kind == "safe" else "POST",
            attempt=attempt,
            remaining=remaining,
        )
        return status, body

    def list_attempts(self) -> list[str]:
        """Returns the attempts that all targets received."""
        return [a for target in self.targets for a in target.attempts]


@pytest_asyncio.fixture
async def bench(vms: vm_fleet.VmFleet) -> AsyncIterator[Bench]:
    """Yields a bench without targets."""
    started = Bench(vms)
    yield started
    await started.stop()


class TestRefusalsWithoutIdentity:
    # Guards against false refusals and second runs: a stale refusal without an
    # attempt id was taken for the refusal of a request that the target ran.
    @pytest.mark.parametrize(
        "refusal",
        [build_refusal(), targets.build_response(421, {}, b"")],
        ids=["not-executed", "misdirected"],
    )
    async def test_it_does_not_prove_that_a_request_did_not_run(
        self, bench: Bench, refusal: bytes
    ) -> None:
        first, second = await bench.start(2)

        async def answer(
            attempt: str, number: int, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(refusal + build_answer(attempt))

        first.script = second.script = answer
        status, _ = await bench.send("unsafe", "one")
        assert status == 502
        assert bench.list_attempts() == ["one"]

    async def test_an_idempotent_request_is_retried(self, bench: Bench) -> None:
        first, second = await bench.start(2)

        async def refuse(
            attempt: str, number: int, writer: asyncio.StreamWriter
        ) -> None:
            if len(bench.list_attempts()) == 1:
                writer.write(build_refusal())
            else:
                writer.write(build_answer(attempt))

        first.script = second.script = refuse
        assert await bench.send("safe", "one") == (200, b"ran")
        assert bench.list_attempts() == ["one", "one"]

    # Guards against false refusals: the refusal of a health check arrived where
    # the answer of a request was due.
    async def test_refusal_of_a_health_check_is_discarded(
        self, bench: Bench
    ) -> None:
        (target,) = await bench.start()

        async def answer(
            attempt: str, number: int, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(build_refusal(**HEALTH_FIELDS))
            writer.write(build_answer(attempt))

        target.script = answer
        assert await bench.send("unsafe", "one") == (200, b"ran")

    # Guards against false refusals: the first of several ids decided.
    @pytest.mark.parametrize("ids", [("one", "two"), ("two", "one")])
    async def test_refusal_with_several_identities_proves_nothing(
        self, bench: Bench, ids: tuple[str, str]
    ) -> None:
        (target,) = await bench.start()
        refusal = (
            "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
            f"X-Attempt-Id: {ids[0]}\r\nX-Attempt-Id: {ids[1]}\r\n\r\n"
        )

        async def answer(
            attempt: str, number: int, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(refusal.encode())

        target.script = answer
        assert (await bench.send("unsafe", "one"))[0] == 502
        assert bench.list_attempts() == ["one"]

    @pytest.mark.parametrize("identity", ["ONE", "", "one, one"])
    async def test_refusal_with_another_identity_is_discarded(
        self, bench: Bench, identity: str
    ) -> None:
        (target,) = await bench.start()

        async def answer(
            attempt: str, number: int, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(build_refusal(X_Attempt_Id=identity))
            writer.write(build_answer(attempt))

        target.script = answer
        assert await bench.send("unsafe", "one") == (200, b"ran")


class TestRepeatedRefusals:
    # Guards against false refusals: a request was sent twice over one
    # connection, and the repeated refusal of its first attempt answered the
    # second.
    async def test_request_is_not_resent_over_the_same_connection(
        self, bench: Bench
    ) -> None:
        (target,) = await bench.start()
        writers: list[asyncio.StreamWriter] = []

        async def answer(
            attempt: str, number: int, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            if number == 1 or writer is writers[0]:
                writer.write(build_refusal(X_Attempt_Id=attempt))
            if number > 1:
                writer.write(build_answer(attempt))

        target.script = answer
        assert await bench.send("unsafe", "one") == (200, b"ran")
        assert target.attempts == ["one", "one"]
        assert writers[0] is not writers[1]

    async def test_refusal_of_an_earlier_request_is_discarded(
        self, bench: Bench
    ) -> None:
        (target,) = await bench.start()

        async def answer(
            attempt: str, number: int, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(build_refusal(X_Attempt_Id="earlier"))
            await asyncio.sleep(0.02)
            writer.write(build_answer(attempt))

        target.script = answer
        assert await bench.send("unsafe", "one") == (200, b"ran")
        assert target.attempts == ["one"]

    # Guards against false refusals: a connection that is out of step stayed in
    # use.
    async def test_connection_with_a_foreign_response_is_not_reused(
        self, bench: Bench
    ) -> None:
        (target,) = await bench.start()

        async def answer(
            attempt: str, number: int, writer: asyncio.StreamWriter
        ) -> None:
            if number == 1:
                writer.write(build_refusal(X_Attempt_Id="earlier"))
                await asyncio.sleep(0.02)
            writer.write(build_answer(attempt))

        target.script = answer
        assert await bench.send("unsafe", "one") == (200, b"ran")
        assert await bench.send("unsafe", "two") == (200, b"ran")
        assert target.connections == 2


class TestHealthChecks:
    # Guards against false refusals: a late response to a request, which states
    # a load, was taken for the response to a health check, and that response
    # for the response to the next request.
    async def test_response_to_an_earlier_request_is_discarded(
        self, bench: Bench
    ) -> None:
        (target,) = await bench.start()
        load = {"X-Instance-Load": "0,0,4,100"}
        late = build_refusal(X_Attempt_Id="earlier", **load)

        def answer_late(number: int) -> bytes:
            return late + targets.build_response(503, load, b"")

        target.health = answer_late
        assert await bench.send("unsafe", "one") == (200, b"ran")
        assert bench.vms.vms["vm-1"]._prober.counts.mismatched >= 1

    # Guards against a 500: one number of a load ended the request.
    @pytest.mark.parametrize(
        "load",
        [
            "9" * 5_000,
            "0,0," + "9" * 5_000,
            "0,0,4," + "9" * 400,
            "0,0,4,NaN",
            "0,0,٣",
            "-1,0,4",
        ],
        ids=["digits", "slots", "slowdown", "nan", "script", "negative"],
    )
    async def test_malformed_load_costs_that_response_only(
        self, bench: Bench, load: str
    ) -> None:
        (target,) = await bench.start()
        fields = {"X-Instance-Id": "s-1", "X-Instance-Load": load}
        target.health = lambda number: targets.build_response(200, fields, b"")
        assert await bench.send("unsafe", "one") == (200, b"ran")

    # Guards against a 500: a Keep-Alive field ended the request.
    @pytest.mark.parametrize(
        "seconds", ["9" * 5_000, "1" + "0" * 30, "٣", "-1"]
    )
    async def test_malformed_keep_alive_time_is_ignored(
        self, bench: Bench, seconds: str
    ) -> None:
        (target,) = await bench.start()
        keep_alive = {"Keep-Alive": f"timeout={seconds}"}
        fields = HEALTH_FIELDS | keep_alive
        target.health = lambda number: targets.build_response(200, fields, b"")

        async def answer(
            attempt: str, number: int, writer: asyncio.StreamWriter
        ) -> None:
            answered = {"X-Attempt-Id": attempt, "X-Response-Seal": "seal"}
            writer.write(
                targets.build_response(200, answered | keep_alive, b"ran")
            )

        target.script = answer
        assert await bench.send("unsafe", "one") == (200, b"ran")
        assert await bench.send("unsafe", "two") == (200, b"ran")

    # Guards against a lost answer: a request was sent over a connection that
    # its target had announced to close.
    @pytest.mark.parametrize("options", ["Close", "close, x", "x, Close"])
    async def test_connection_that_is_about_to_close_gets_no_request(
        self, bench: Bench, options: str
    ) -> None:
        (target,) = await bench.start()
        closing = HEALTH_FIELDS | {"Connection": options}

        def answer_health(number: int) -> bytes:
            fields = closing if number == 1 else HEALTH_FIELDS
            return targets.build_response(200, fields, b"")

        target.health = answer_health
        assert await bench.send("unsafe", "one") == (200, b"ran")
        assert target.connections == 2


class TestUnsolicitedData:
    # Guards against wrong responses and false refusals: bytes on a connection
    # on which no request waited stayed there until its next use.
    @pytest.mark.parametrize(
        "data",
        [
            build_refusal(X_Attempt_Id="one"),
            targets.build_response(503, HEALTH_FIELDS, b""),
            b"\0",
        ],
        ids=["refusal", "health", "garbage"],
    )
    async def test_connection_is_closed_at_once(
        self, bench: Bench, data: bytes
    ) -> None:
        (target,) = await bench.start()
        writers: list[asyncio.StreamWriter] = []

        async def answer(
            attempt: str, number: int, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            writer.write(build_answer(attempt))

        target.script = answer
        await bench.send("unsafe", "one")
        await asyncio.sleep(0.02)
        writers[0].write(data)
        async with asyncio.timeout(2.0):
            await fleet.wait_for(lambda: target.ended == 1)
        pool = bench.vms.vms["vm-1"]._channel_pool
        assert pool.unsolicited_responses == 1
        assert await bench.send("unsafe", "two") == (200, b"ran")
        assert target.connections == 2

    # Guards against memory that grows without bound on an idle connection.
    async def test_responses_without_end_are_not_buffered(
        self, bench: Bench
    ) -> None:
        (target,) = await bench.start()

        async def answer(
            attempt: str, number: int, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(build_answer(attempt))
            await writer.drain()
            await asyncio.sleep(0.05)
            for _ in range(1_000):
                writer.write(build_refusal(X_Attempt_Id="earlier") * 100)
                await writer.drain()

        target.script = answer
        assert await bench.send("unsafe", "one") == (200, b"ran")
        async with asyncio.timeout(2.0):
            await fleet.wait_for(lambda: target.ended == 1)

    # Guards against an unknown outcome: a response that arrived between a
    # health check and its request was read as that of the request.
    async def test_request_avoids_a_connection_with_unread_data(
        self, bench: Bench
    ) -> None:
        (target,) = await bench.start()
        spoiled = targets.build_response(200, {}, b"")
        target.health = lambda number: (
            target.build_health(number) + (spoiled if number == 1 else b"")
        )
        assert await bench.send("unsafe", "one") == (200, b"ran")
        assert target.connections == 2

    # Guards against wrong responses: a target answered before it got a request.
    async def test_greeting_of_a_target_is_no_response(
        self, bench: Bench
    ) -> None:
        (target,) = await bench.start()
        target.greeting = targets.build_response(200, HEALTH_FIELDS, b"")
        pool = channels.ChannelPool(asyncio.get_running_loop())
        channel = await pool.open(target.address)
        await fleet.wait_for(lambda: pool.unsolicited_responses == 1)
        assert not channel.protocol.begin_exchange()

    # Guards against wrong responses: data that the kernel held was read as the
    # response to the request that was written then.
    async def test_data_in_the_kernel_makes_a_connection_unusable(self) -> None:
        pool = channels.ChannelPool(asyncio.get_running_loop())
        with socket.create_server(("127.0.0.1", 0)) as server:
            port = server.getsockname()[1]
            channel = await pool.open(f"127.0.0.1:{port}")
            peer, _ = server.accept()
            with peer:
                peer.sendall(b"H")
                assert not channel.protocol.begin_exchange()
                channel.close()

    async def test_extra_bytes_some_time_later_end_the_connection(
        self, bench: Bench
    ) -> None:
        (target,) = await bench.start()

        async def answer(
            attempt: str, number: int, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(build_answer(attempt))
            await asyncio.sleep(0.01)
            writer.write(build_answer(attempt))

        target.script = answer
        for number in range(4):
            attempt = f"n-{number}"
            assert await bench.send("unsafe", attempt) == (200, b"ran")
            await asyncio.sleep(0.05)
        assert target.connections == 4


def answer_with(data: bytes) -> Script:
    """Returns a script that answers with data; {} stands for the attempt."""

    async def answer(
        attempt: str, number: int, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(data.replace(b"{}", attempt.encode()))

    return answer


SEALED = b"X-Attempt-Id: {}\r\nX-Response-Seal: seal\r\n"


class TestMalformedResponses:
    # Guards against a 500 and a closed connection: what the server library
    # refuses to write, or the parser to read, ended the request.
    @pytest.mark.parametrize(
        "head",
        [
            b"HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n",
            b"HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n",
            b"HTTP/1.1 1000 Odd\r\nContent-Length: 0\r\n",
            b"HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n",
            b"HTTP/1.1 101 Odd\r\nUpgrade: x\r\nConnection: upgrade\r\n",
            b"HTTP/1.1 101 Odd\r\nContent-Length: 0\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5_000 + b"\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n",
            b"HTTP/1.1 200 OK\r\nX-A: a\x00b\r\nContent-Length: 0\r\n",
            b"HTTP/1.1 200 OK\r\nX-A: a\rb\r\nContent-Length: 0\r\n",
            b"HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n",
            b"HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n",
            b"HTTP/1.1 205 Reset\r\nContent-Length: 3\r\n",
        ],
        ids=[
            "999",
            "600",
            "1000",
            "000",
            "upgrade",
            "101",
            "digits",
            "negative",
            "lengths",
            "nul",
            "cr",
            "204",
            "304",
            "205",
        ],
    )
    async def test_caller_gets_a_complete_response(
        self, bench: Bench, head: bytes
    ) -> None:
        (target,) = await bench.start()
        body = b"" if head.endswith(b" 0\r\n") else b"abc"
        target.script = answer_with(head + SEALED + b"\r\n" + body)
        status, _ = await bench.send("unsafe", "one", remaining="500")
        assert status in (204, 304, 205, 502, 504)
        assert target.attempts == ["one"]

    # Guards against a response without a valid status that counts as an
    # informational one: the request waited for another response until its
    # deadline, and took whatever came next on the connection for its own.
    @pytest.mark.parametrize("status", [b"000", b"001", b"099"])
    async def test_status_below_100_ends_the_attempt(
        self, bench: Bench, status: bytes
    ) -> None:
        (target,) = await bench.start()
        fields = b" Odd\r\nContent-Length: 0\r\n" + SEALED + b"\r\n"
        later = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + SEALED
        target.script = answer_with(
            b"HTTP/1.1 " + status + fields + later + b"\r\nran"
        )
        answer = await bench.send("unsafe", "one", remaining="5000")
        assert answer == (502, b"connection-lost")
        assert target.attempts == ["one"]

    # Guards against an idempotent request that is not sent to another target
    # after a response without a valid status.
    @pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600", b"999"])
    async def test_odd_status_is_retried_elsewhere(
        self, bench: Bench, status: bytes
    ) -> None:
        first, second = await bench.start(2)
        head = b"HTTP/1.1 " + status + b" Odd\r\nContent-Length: 0\r\n"
        odd = answer_with(head + SEALED + b"\r\n")

        async def answer(
            attempt: str, number: int, writer: asyncio.StreamWriter
        ) -> None:
            if len(first.attempts) + len(second.attempts) == 1:
                await odd(attempt, number, writer)
            else:
                writer.write(build_answer(attempt))

        first.script = second.script = answer
        assert await bench.send("safe", "one", remaining="9000") == (
            200,
            b"ran",
        )
        assert sorted(len(t.attempts) for t in (first, second)) == [1, 1]

    @pytest.mark.parametrize(
        "field",
        [b"X-A: a\xff", b"X-A: a\x01\x7f", b"X-A: a\r\n b", b"X\xff: a"],
        ids=["latin", "control", "folded", "name"],
    )
    async def test_odd_field_costs_at_most_that_response(
        self, bench: Bench, field: bytes
    ) -> None:
        (target,) = await bench.start()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + field + b"\r\n"
        target.script = answer_with(head + SEALED + b"\r\nran")
        status, body = await bench.send("unsafe", "one", remaining="500")
        assert (status, body) == (200, b"ran") or status == 502

    # Guards against a request that hangs, or ends with a 500: an invalid chunk
    # ended the connection, but not the wait for the body.
    @pytest.mark.parametrize("delay_seconds", [0.0, 0.02])
    @pytest.mark.parametrize("chunk", [b"ZZ\r\n", b"-5\r\nabc", b"f" * 40])
    async def test_invalid_chunk_leaves_the_outcome_unknown(
        self, bench: Bench, chunk: bytes, delay_seconds: float
    ) -> None:
        (target,) = await bench.start()
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + SEALED

        async def answer(
            attempt: str, number: int, writer: asyncio.StreamWriter
        ) -> None:
            data = head.replace(b"{}", attempt.encode())
            writer.write(data + b"\r\n3\r\nran\r\n")
            await asyncio.sleep(delay_seconds)
            writer.write(chunk)

        target.script = answer
        status, body = await bench.send("unsafe", "one")
        assert (status, body) == (502, b"connection-lost")


def write_endlessly(head: bytes, block: bytes) -> Script:
    """Returns a script that writes blocks until the connection closes."""

    async def answer(
        attempt: str, number: int, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(head.replace(b"{}", attempt.encode()))
        while True:
            writer.write(block)
            await writer.drain()

    return answer


MEGABYTE = 1024 * 1024
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n"
FOREIGN = b"X-Attempt-Id: other\r\nX-Response-Seal: seal\r\n\r\n"
CHUNK = b"1000\r\n" + b"x" * 4096 + b"\r\n"
# Most that the buffers of this process hold of one response: those of the
# parser, of the body, and of the connection to the caller.
MAX_HELD_BYTES = 8 * MEGABYTE


class TestResponsesWithoutEnd:
    # Guards against memory and time without bound: a response never ended.
    @pytest.mark.parametrize(
        ("head", "block"),
        [
            (b"", b"\r\n" * 4096),
            (b"HTTP/1.1 200 ", b"x" * 4096),
            (b"HTTP/1.1 200 OK\r\nX-A: ", b"x" * 4096),
            (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 512),
            (b"", b"x" * 4096),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
            (b"", b"HTTP/1.1 103 Hints\r\nX-A: b\r\n\r\n" * 100),
            (b"", build_refusal(X_Attempt_Id="other") * 100),
            (CHUNKED + FOREIGN, CHUNK),
            (UNFRAMED + FOREIGN, b"x" * 4096),
            (CHUNKED + SEALED + b"\r\n5;", b"x" * 4096),
            (CHUNKED + SEALED + b"\r\n", b"0" * 4096),
            (CHUNKED + SEALED + b"\r\n0\r\n", b"A: b\r\n" * 512),
        ],
        ids=[
            "newlines",
            "reason",
            "field",
            "fields",
            "garbage",
            "continue",
            "hints",
            "refusals",
            "foreign-chunks",
            "foreign-bytes",
            "extension",
            "chunk-size",
            "trailers",
        ],
    )
    async def test_connection_is_closed_long_before_the_deadline(
        self, bench: Bench, head: bytes, block: bytes
    ) -> None:
        (target,) = await bench.start()
        target.script = write_endlessly(head, block)
        tracemalloc.start()
        try:
            status, body = await bench.send("unsafe", "one", remaining="9000")
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert (status, body) == (502, b"connection-lost")
        assert peak < 2 * MAX_HELD_BYTES
        await fleet.wait_for(lambda: target.ended == 1)

    # Guards against memory without bound: a body without a length was buffered
    # until it ended.
    @pytest.mark.parametrize(
        ("head", "block"),
        [(CHUNKED, CHUNK), (UNFRAMED, b"x" * 4096)],
        ids=["chunks", "bytes"],
    )
    async def test_long_body_without_a_length_is_streamed(
        self, bench: Bench, head: bytes, block: bytes
    ) -> None:
        (target,) = await bench.start()
        blocks = 16 * MEGABYTE // 4096

        async def answer(
            attempt: str, number: int, writer: asyncio.StreamWriter
        ) -> None:
            fields = SEALED.replace(b"{}", attempt.encode())
            writer.write(head + fields + b"\r\n")
            for _ in range(blocks):
                writer.write(block)
                await writer.drain()
            if head is CHUNKED:
                writer.write(b"0\r\n\r\n")
            writer.close()

        target.script = answer
        tracemalloc.start()
        try:
            url = f"http://{bench.vms.settings['vm-1'].callers}/unsafe/1"
            fields = {"Host": vm_fleet.HOST, "X-Attempt-Id": "one"}
            received = 0
            async with bench.vms.session.post(url, headers=fields) as response:
                assert response.status == 200
                async for data in response.content.iter_any():
                    received += len(data)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert received == blocks * 4096
        assert peak < MAX_HELD_BYTES

    # Guards against wrong responses: a long body that ended by a reset looked
    # complete.
    async def test_long_body_that_ends_by_a_reset_is_not_complete(
        self, bench: Bench
    ) -> None:
        (target,) = await bench.start()

        async def answer(
            attempt: str, number: int, writer: asyncio.StreamWriter
        ) -> None:
            fields = SEALED.replace(b"{}", attempt.encode())
            writer.write(UNFRAMED + fields + b"\r\n" + b"x" * 2 * MEGABYTE)
            await writer.drain()
            await asyncio.sleep(0.1)
            targets.reset(writer)

        target.script = answer
        with contextlib.suppress(aiohttp.ClientError):
            status, _ = await bench.send("unsafe", "one")
            assert status == 502

    # Guards against wrong responses: a long body with an invalid chunk looked
    # complete.
    async def test_long_body_with_an_invalid_chunk_is_not_complete(
        self, bench: Bench
    ) -> None:
        (target,) = await bench.start()
        target.script = answer_with(
            CHUNKED + SEALED + b"\r\n" + CHUNK * 512 + b"ZZ\r\n"
        )
        with contextlib.suppress(aiohttp.ClientError):
            status, _ = await bench.send("unsafe", "one")
            assert status == 502

    # Guards against memory without bound at health checks.
    @pytest.mark.parametrize(
        ("head", "block"),
        [
            (b"", b"\r\n" * 4096),
            (CHUNKED + b"X-Instance-Load: 0,0,4\r\n\r\n", CHUNK),
            (CHUNKED + b"\r\n", CHUNK),
            (
                UNFRAMED + b"Content-Length: 1000000000000000000\r\n\r\n",
                b"x" * 4096,
            ),
        ],
        ids=["newlines", "chunks", "no-load", "length"],
    )
    async def test_endless_response_to_a_health_check_is_cut_off(
        self, bench: Bench, head: bytes, block: bytes
    ) -> None:
        (target,) = await bench.start()
        written = 0

        def answer_health(number: int) -> bytes:
            return head

        async def write(writer: asyncio.StreamWriter) -> None:
            nonlocal written
            with contextlib.suppress(OSError):
                while not writer.is_closing():
                    writer.write(block)
                    written += len(block)
                    await writer.drain()

        target.health = answer_health
        target.after_health = write
        status, _ = await bench.send("unsafe", "one", remaining="100")
        assert status == 503
        assert target.attempts == []
        assert written < MAX_HELD_BYTES * target.connections


class TestBytesAfterResponses:
    # Guards against a lost answer: bytes that follow a complete response in the
    # same packet made the parser drop the response.
    @pytest.mark.parametrize("body", [b"", b"ran"], ids=["empty", "body"])
    @pytest.mark.parametrize(
        "extra", [b"\0\1\2", b"x" * 10_000, b"HTTP/1.1 2", b"0\r\n\r\n"]
    )
    async def test_complete_response_is_forwarded(
        self, bench: Bench, body: bytes, extra: bytes
    ) -> None:
        (target,) = await bench.start()
        target.health = lambda number: target.build_health(number) + extra
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        target.script = answer_with(UNFRAMED + SEALED + length + body + extra)
        for number in range(3):
            result = await bench.send("unsafe", f"n-{number}")
            assert result == (200, body)
        assert len(target.attempts) == 3

    async def test_response_after_a_foreign_one_is_forwarded(
        self, bench: Bench
    ) -> None:
        (target,) = await bench.start()

        async def answer(
            attempt: str, number: int, writer: asyncio.StreamWriter
        ) -> None:
            refusal = build_refusal(X_Attempt_Id="earlier")
            writer.write(refusal + build_answer(attempt) + b"\0\1\2")

        target.script = answer
        assert await bench.send("unsafe", "one") == (200, b"ran")


class TestTransferCodings:
    # Guards against wrong responses: a body that ended by a reset looked
    # complete, since it named the chunked coding without being framed by it.
    @pytest.mark.parametrize(
        "coding", [b"chunked, gzip", b"xchunked", b"gzip", b"identity"]
    )
    async def test_other_coding_than_chunked_leaves_the_outcome_unknown(
        self, bench: Bench, coding: bytes
    ) -> None:
        (target,) = await bench.start()

        async def answer(
            attempt: str, number: int, writer: asyncio.StreamWriter
        ) -> None:
            fields = SEALED.replace(b"{}", attempt.encode())
            fields += b"Transfer-Encoding: " + coding + b"\r\n"
            writer.write(UNFRAMED + fields + b"\r\n3\r\nran\r\n")
            await asyncio.sleep(0.05)
            targets.reset(writer)

        target.script = answer
        assert (await bench.send("unsafe", "one"))[0] == 502

    async def test_coding_in_another_letter_case_is_read(
        self, bench: Bench
    ) -> None:
        (target,) = await bench.start()
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n"
        target.script = answer_with(
            head + SEALED + b"\r\n3\r\nran\r\n0\r\n\r\n"
        )
        assert await bench.send("unsafe", "one") == (200, b"ran")


class TestFaultyStandins:
    """Requests to stand-ins that repeat refusals while they are full at times.

    A 503 states that a request has not run and never will.
    """

    # Guards against false refusals and second runs.
    @pytest.mark.parametrize("unnamed", [False, True])
    async def test_refused_requests_did_not_run_and_no_other_ran_twice(
        self, vms: vm_fleet.VmFleet, unnamed: bool
    ) -> None:
        await vms.start_vm("vm-1")
        vms.set_faults(repeating=True, unnamed=unnamed)

        async def alternate() -> None:
            while True:
                for identity in ("t-3", "t-4", "t-3"):
                    full = vms.targets[identity].faults.full
                    vms.set_faults(identity, full=not full)
                    await asyncio.sleep(0.007)

        async def send(caller: int) -> dict[str, int]:
            statuses = {}
            for number in range(40):
                attempt = f"w-{caller}-{number}"
                statuses[attempt], _, _ = await vms.send(
                    "vm-1", "/write/1", "POST", attempt=attempt, data=b"x"
                )
            return statuses

        alternating = asyncio.create_task(alternate())
        results = await asyncio.gather(*(send(caller) for caller in range(4)))
        alternating.cancel()
        for statuses in results:
            for attempt, status in statuses.items():
                runs = len(vms.find_targets_that_ran(attempt))
                assert runs <= 1, attempt
                assert status != 503 or runs == 0, attempt
        answered = [s for statuses in results for s in statuses.values()]
        assert answered.count(200) >= 40

    # Guards against a held request: a body without end was buffered until the
    # deadline.
    async def test_endless_body_never_looks_complete(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        vms.set_faults("t-3", "t-4", endless=True)
        with pytest.raises(aiohttp.ClientError):
            await vms.send("vm-1", "/write/1", "POST", attempt="one")
        (target,) = vms.find_targets_that_ran("one")
        assert target in ("t-3", "t-4")


class TestGatewayConnections:
    """Targets of a gateway, whose responses do not state the request."""

    # Guards against false refusals: a refusal that a target wrote once more on
    # an idle connection was read as the response to the next request.
    async def test_repeated_refusal_is_not_the_response_to_the_next_request(
        self,
    ) -> None:
        refusal = (
            b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
            b"Wigeonspool-Outcome: not_run\r\n\r\n"
        )
        heads = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                while True:
                    heads.append(await reader.readuntil(b"\r\n\r\n"))
                    if len(heads) == 1:
                        writer.write(refusal)
                        await asyncio.sleep(0.02)
                        writer.write(refusal)
                    else:
                        writer.write(b"HTTP/1.1 200 OK\r\n")
                        writer.write(b"Content-Length: 2\r\n\r\nok")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = egress.Egress()
        kinds = []
        for path in ("/a", "/b"):
            deadline = asyncio.get_running_loop().time() + 5.0
            outgoing = egress.OutgoingRequest(
                "GET", path, CIMultiDict(), None, deadline
            )
            attempt = await client.send_attempt(
                address, outgoing, may_retry_connection=True
            )
            assert attempt.result is not None
            kinds.append(attempt.result.kind)
            await asyncio.sleep(0.1)
        await client.close()
        server.close()
        assert kinds == [tables.ResultKind.NOT_RUN, tables.ResultKind.ANSWERED]

    # Guards against a caller that gets a status which is none, or a change of
    # the protocol: the gateway forwarded any status that the parser accepts.
    @pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600", b"999"])
    async def test_odd_status_leaves_the_outcome_unknown(
        self, status: bytes
    ) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 " + status + b" Odd\r\nContent-Length: 0\r\n\r\n"
            )
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = egress.Egress()
        outgoing = egress.OutgoingRequest(
            "POST",
            "/a",
            CIMultiDict(),
            b"",
            asyncio.get_running_loop().time() + 20.0,
        )
        attempt = await client.send_attempt(
            address, outgoing, may_retry_connection=False
        )
        await client.close()
        server.close()
        assert attempt.result is not None
        assert attempt.result.kind is tables.ResultKind.LOST
        assert attempt.complete_response is None

    # Guards against a request that hangs until its deadline: an invalid chunk
    # ended the connection, but not the wait for the body.
    async def test_invalid_chunk_leaves_the_outcome_unknown(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n")
            writer.write(b"\r\n3\r\nran\r\n")
            await asyncio.sleep(0.02)
            writer.write(b"ZZ\r\n")
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = egress.Egress()
        started_at = asyncio.get_running_loop().time()
        outgoing = egress.OutgoingRequest(
            "POST", "/a", CIMultiDict(), b"", started_at + 20.0
        )
        attempt = await client.send_attempt(
            address, outgoing, may_retry_connection=False
        )
        assert attempt.result is not None
        assert attempt.result.kind is tables.ResultKind.LOST
        assert asyncio.get_running_loop().time() < started_at + 10.0
        await client.close()
        server.close()

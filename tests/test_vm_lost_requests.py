"""Every way in which a VM can end a request or a connection of a caller.

A request that was read gets an answer, whatever happens beside it.
"""

import asyncio
from collections.abc import AsyncIterator, Iterator
import contextlib
import json
import socket
from typing import Any

import aiohttp
from aiohttp import http
from aiohttp import web
import loguru
import msgspec
import pytest
import pytest_asyncio

from tests import fleet
from tests import vm_fleet
from wigeonspool.core import cluster_state
from wigeonspool.core import drain_policy
from wigeonspool.core import retry_policy
from wigeonspool.gateway import parse_queue
from wigeonspool.gateway import sliced_parsing
from wigeonspool.gateway import streaming
from wigeonspool.model import fleet as fleet_model
from wigeonspool.vm import caller_server
from wigeonspool.vm import pipelines
from wigeonspool.vm import request_context
from wigeonspool.vm import request_runner
from wigeonspool.vm import service
from wigeonspool.vm import structured_log
from wigeonspool.vm import target_probes

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

    def find_arrival_time(self) -> float:
        return asyncio.get_running_loop().time()

    def may_run_ahead(self, message: http.RawRequestMessage) -> bool:
        return False

    async def serve(
        self, request: web.BaseRequest, pipeline: pipelines.Pipeline
    ) -> web.StreamResponse:
        pipeline.begin_turn()
        try:
            body = await request.read() if self.reads_body else b""
            await asyncio.sleep(self.seconds)
        finally:
            pipeline.end_turn(closing=False)
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


@pytest.fixture(name="log_lines")
def collect_log_lines() -> Iterator[list[dict[str, Any]]]:
    """Yields a list that receives each line of the log."""
    lines: list[dict[str, Any]] = []

    def add_line(message: Any) -> None:
        lines.append(
            msgspec.json.decode(structured_log.encode_record(message.record))
        )

    sink = loguru.logger.add(add_line, level="DEBUG")
    yield lines
    loguru.logger.remove(sink)


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

    # Guards against a stop that closes a connection whose request was received
    # and not parsed yet.
    async def test_connection_with_unparsed_data_is_busy(
        self, connection: Connection, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        size = 2 * sliced_parsing.MIN_SLICE_BYTES
        head = HEAD.replace(b"10", str(size).encode())
        # No time is left for parsing in this turn of the event loop.
        monkeypatch.setattr(parse_queue, "MAX_SECONDS_PER_TURN", 0.0)
        connection.protocol.data_received(head + b"x" * size)
        assert connection.protocol.is_idle()
        assert connection.protocol.is_busy()
        monkeypatch.undo()
        await connection.read_response(b"x" * size)

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


class TestPlannedStop:
    """A stop answers each request that was read, or lets its target finish."""

    grace_seconds = 2.0
    remaining_ms = "8000"

    async def start(
        self, vms: vm_fleet.VmFleet, **fields: str
    ) -> service.VmService:
        """Starts a VM with rules whose time limits exceed the grace period.

        Args:
            vms: Deployment of the VM.
            **fields: Further fields of the rules.
        """
        actions = {"Timeout": "8000ms"}
        rules = [
            vm_fleet.build_rule(
                "read", "/read/", "safe", Service="reads", **actions
            ),
            vm_fleet.build_rule(
                "write", "/write/", "unsafe", Service="writes", **actions
            ),
        ]
        await vms.configure([rule | fields for rule in rules])
        return await vms.start_vm("vm-1", grace_seconds=self.grace_seconds)

    async def send(
        self,
        vms: vm_fleet.VmFleet,
        path: str,
        attempt: str = "",
        **options: Any,
    ) -> tuple[int, bytes, Any]:
        return await vms.send(
            "vm-1",
            path,
            attempt=attempt,
            remaining=self.remaining_ms,
            **options,
        )

    def count_runs(self, vms: vm_fleet.VmFleet) -> int:
        return sum(len(target.runs) for target in vms.targets.values())

    async def connect_twice(self, vms: vm_fleet.VmFleet) -> None:
        """Opens two connections that stay open, with one request on each."""
        await asyncio.gather(*(self.send(vms, "/read/1") for _ in range(2)))

    async def hold(self, vms: vm_fleet.VmFleet) -> asyncio.Task[Any]:
        """Sends a request that runs for most of the grace period."""
        runs = self.count_runs(vms)
        for target in ("t-3", "t-4"):
            vms.targets[target].service_ms = 800 * self.grace_seconds
        task = asyncio.create_task(self.send(vms, "/write/1", method="POST"))
        await fleet.wait_for(lambda: self.count_runs(vms) > runs)
        return task

    async def stop(self, vms: vm_fleet.VmFleet) -> None:
        """Stops the VM as a signal does."""
        await vms.vms["vm-1"].drain()
        await vms.kill_vm("vm-1")

    # Guards against a request that waits for a target when the process ends
    # and whose connection is closed instead of answered.
    async def test_request_that_waits_for_a_target_is_refused(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await self.start(vms)
        vms.set_faults(mute=True)
        waiting = [
            asyncio.create_task(self.send(vms, path, method=method))
            for path, method in (("/read/1", "GET"), ("/write/1", "POST"))
        ]
        await fleet.wait_for(lambda: vm._caller_service.in_flight == 2)
        await self.stop(vms)
        for task in waiting:
            status, reason, fields = await task
            assert (status, reason) == (503, b"draining")
            assert fields["Connection"] == "close"
            assert 0 < float(fields["Retry-After"]) < 0.1
        assert self.count_runs(vms) == 0

    # Guards against a request that is sent to a target although the process
    # ends before the target can.
    async def test_late_request_is_refused_instead_of_cut(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await self.start(vms)
        for target in ("t-1", "t-2"):
            vms.targets[target].service_ms = 700
        await self.connect_twice(vms)
        held = await self.hold(vms)
        runs = self.count_runs(vms)
        stop_task = asyncio.create_task(self.stop(vms))
        await asyncio.sleep(0.7 * self.grace_seconds)
        status, reason, _ = await self.send(vms, "/read/2")
        assert (status, reason) == (503, b"draining")
        assert self.count_runs(vms) == runs
        assert (await held)[0] == 200
        await stop_task

    # Guards against refusals of work that ends before the process in any case.
    async def test_short_request_is_served_late_in_a_stop(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await self.start(vms)
        await self.connect_twice(vms)
        held = await self.hold(vms)
        stop_task = asyncio.create_task(self.stop(vms))
        await asyncio.sleep(0.7 * self.grace_seconds)
        status, _, fields = await vms.send("vm-1", "/read/2", remaining="300")
        assert (status, fields["Connection"]) == (200, "close")
        assert (await held)[0] == 200
        await stop_task

    # Guards against a request that is cut since other requests were faster.
    async def test_baseline_of_fast_responses_is_not_trusted(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await self.start(vms)
        await self.connect_twice(vms)
        held = await self.hold(vms)
        runs = self.count_runs(vms)
        stop_task = asyncio.create_task(self.stop(vms))
        await asyncio.sleep(0.6 * self.grace_seconds)
        assert (await self.send(vms, "/read/2"))[0] == 503
        assert self.count_runs(vms) == runs
        assert (await held)[0] == 200
        await stop_task

    # Guards against a request that is cut because its target is slower than
    # most: ten usual service times fitted before the end.
    async def test_late_request_to_a_slow_target_is_not_cut(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await self.start(vms, Slo="60ms")
        await self.connect_twice(vms)
        held = await self.hold(vms)
        for target in ("t-1", "t-2"):
            vms.targets[target].service_ms = 1500
        runs = self.count_runs(vms)
        stop_task = asyncio.create_task(self.stop(vms))
        await asyncio.sleep(0.6 * self.grace_seconds)
        status, reason, _ = await self.send(vms, "/read/2")
        assert (status, reason) == (503, b"draining")
        assert self.count_runs(vms) == runs
        assert (await held)[0] == 200
        await stop_task

    # Guards against a request that is read between the last look for running
    # requests and the close, sent to a target and cut.
    async def test_request_that_is_read_while_ports_close_is_refused(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await self.start(vms)
        for target in vms.targets.values():
            target.service_ms = 1500
        host, _, port = vms.settings["vm-1"].callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        server = vm._caller_port.server
        assert server is not None
        await fleet.wait_for(lambda: server.connections)
        protocol = server.connections[0]
        drain_task = asyncio.create_task(vm.drain())
        await asyncio.sleep(0.5 * self.grace_seconds)
        head = (
            f"GET /read/1 HTTP/1.1\r\nHost: {vm_fleet.HOST}\r\n"
            "X-Attempt-Id: one\r\nX-Timeout-Remaining: 8000\r\n\r\n"
        )
        await drain_task
        protocol.data_received(head.encode())
        await vms.kill_vm("vm-1")
        async with asyncio.timeout(5.0):
            response = await reader.read()
        writer.close()
        assert vms.find_targets_that_ran("one") == []
        assert response == b"" or response.startswith(b"HTTP/1.1 503 ")

    # Guards against a retry that starts when the process is about to end, in
    # place of the failure that the target reported.
    async def test_failed_request_is_not_retried_at_the_end(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await self.start(vms)
        for target in vms.targets.values():
            target.service_ms = 600
        await self.send(vms, "/read/1")
        vms.set_faults(failing=True)
        stop_task = asyncio.create_task(self.stop(vms))
        await asyncio.sleep(0.45 * self.grace_seconds)
        status, _, _ = await self.send(vms, "/read/2", attempt="one")
        assert status == 500
        assert len(vms.find_targets_that_ran("one")) == 1
        await stop_task

    # Guards against an answer that is cut because the process counts a request
    # as ended before its answer was read.
    async def test_stop_waits_until_an_answer_was_read(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await self.start(vms)
        body = b"x" * 1_000_000
        for target in vms.targets.values():
            target.body = body
        host, _, port = vms.settings["vm-1"].callers.rpartition(":")
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, (host, int(port)))
        server = vm._caller_port.server
        assert server is not None
        await fleet.wait_for(lambda: server.connections)
        transport = server.connections[0].transport
        assert transport is not None
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
        )
        head = (
            f"GET /read/1 HTTP/1.1\r\nHost: {vm_fleet.HOST}\r\n"
            "X-Attempt-Id: one\r\nX-Timeout-Remaining: 8000\r\n\r\n"
        )
        await loop.sock_sendall(client, head.encode())
        await fleet.wait_for(lambda: vms.find_targets_that_ran("one"))
        await fleet.wait_for(lambda: vm._caller_service.in_flight == 0)
        drain_task = asyncio.create_task(vm.drain())
        await asyncio.sleep(0.7 * self.grace_seconds)
        assert not drain_task.done()
        received = b""
        while len(received) < len(body):
            chunk = await loop.sock_recv(client, 65536)
            assert chunk
            received += chunk
        client.close()
        await drain_task

    # Guards against a process that is killed since connections close too late.
    async def test_stop_ends_within_the_grace_period(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(service, "CLOSE_TIMEOUT_SECONDS", 10.0)
        monkeypatch.setattr(self, "grace_seconds", 4.0)
        await self.start(vms)
        for target in vms.targets.values():
            target.service_ms = 7000
        task = asyncio.create_task(self.send(vms, "/read/1"))
        await fleet.wait_for(lambda: self.count_runs(vms) == 1)
        async with asyncio.timeout(self.grace_seconds):
            await self.stop(vms)
        task.cancel()

    # Guards against a request that is cut at the end without a trace.
    async def test_request_that_is_cut_is_logged(
        self, vms: vm_fleet.VmFleet, log_lines: list[dict[str, Any]]
    ) -> None:
        await self.start(vms)
        for target in vms.targets.values():
            target.service_ms = 5000
        task = asyncio.create_task(self.send(vms, "/read/1", attempt="one"))
        await fleet.wait_for(lambda: self.count_runs(vms) == 1)
        await self.stop(vms)
        with contextlib.suppress(Exception):
            await task
        cut = [line for line in log_lines if line["event"] == "cut"]
        assert [line["request"] for line in cut] == ["one"]
        (stopped,) = (x for x in log_lines if x["event"] == "stopped")
        assert stopped["cut"] == 1


class TestUnexpectedErrors:
    """An error that no code expects ends one request, with an answer."""

    def find_error(
        self, log_lines: list[dict[str, Any]], event: str
    ) -> dict[str, Any]:
        (line,) = (line for line in log_lines if line["event"] == event)
        return line

    # Guards against a request that ends by an error before it was sent, with
    # a status that does not say so and without a trace of its id.
    async def test_error_before_sending_is_a_refusal(
        self,
        vms: vm_fleet.VmFleet,
        log_lines: list[dict[str, Any]],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        vm = await vms.start_vm("vm-1")
        monkeypatch.setattr(vm._cluster.suspects, "is_refused", fail)
        status, reason, _ = await vms.send(
            "vm-1", "/write/1", "POST", attempt="one"
        )
        assert (status, reason) == (503, b"internal-error")
        assert vms.find_targets_that_ran("one") == []
        line = self.find_error(log_lines, "a request failed")
        assert (line["request"], line["not_run"]) == ("one", True)
        assert "RecursionError" in line["exception"]
        counts = vm._caller_service.counts
        assert counts["not_run", "internal-error"] == 1
        assert vm._caller_service.error_count == 1

    # Guards against an error after a request was sent that tells the caller
    # that it was not run, or nothing.
    async def test_error_after_sending_leaves_the_outcome_unknown(
        self, vms: vm_fleet.VmFleet, log_lines: list[dict[str, Any]]
    ) -> None:
        vm = await vms.start_vm("vm-1")
        vm._caller_service.on_answered = fail
        status, reason, _ = await vms.send(
            "vm-1", "/write/1", "POST", attempt="one"
        )
        assert (status, reason) == (502, b"internal-error")
        line = self.find_error(log_lines, "a request failed")
        assert (line["request"], line["not_run"]) == ("one", False)

    # Guards against callers that disconnect and count as errors of a VM.
    async def test_caller_that_leaves_is_no_error(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")

        def disconnect(*_: Any) -> None:
            (connection,) = vm._caller_server.connections
            assert connection.transport is not None
            connection.transport.abort()
            raise ConnectionResetError

        vm._caller_service.on_answered = disconnect
        with pytest.raises(aiohttp.ClientError):
            await vms.send("vm-1", "/write/1", "POST")
        counts = vm._caller_service.counts
        await fleet.wait_for(lambda: ("unknown", "caller-left") in counts)
        assert vm._caller_service.error_count == 0

    # Guards against a target whose address cannot be used and that fails
    # requests that another target can serve.
    async def test_error_of_one_health_check_costs_that_target_only(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        vm = await vms.start_vm("vm-1")
        address = vm._cluster.targets["t-1"].entry.address
        connect = vm._channel_pool.open

        async def connect_others(other: str, *limits: float) -> Any:
            if other == address:
                fail()
            return await connect(other, *limits)

        monkeypatch.setattr(vm._channel_pool, "open", connect_others)
        for number in range(10):
            status, body, _ = await vms.send("vm-1", f"/read/{number}")
            assert (status, body) == (200, b"t-2")
        assert vm._prober.counts.errors > 0

    # Guards against a request that is not retried since its first attempt
    # ended by an error in this program.
    async def test_error_of_one_attempt_counts_as_a_failure_of_its_target(
        self, vms: vm_fleet.VmFleet, log_lines: list[dict[str, Any]]
    ) -> None:
        vm = await vms.start_vm("vm-1")
        sender = vm._request_runner._sender
        vm._request_runner.replace_sender(FailingOnceSender(sender))
        assert (await vms.send("vm-1", "/read/1", attempt="one"))[0] == 200
        line = self.find_error(log_lines, "an attempt failed")
        assert line["request"] == "one"
        assert vm._request_runner.error_count == 1


def fail(*_: Any) -> Any:
    raise RecursionError("maximum recursion depth exceeded")


class FailingOnceSender:
    """Fails the first attempt by an error and passes the others on."""

    def __init__(self, sender: request_runner.SenderProtocol) -> None:
        self.mismatched_responses = 0
        self._sender = sender
        self._has_failed = False

    async def send(
        self,
        context: request_context.RequestContext,
        candidate: target_probes.Candidate,
    ) -> request_context.AttemptResult:
        if not self._has_failed:
            self._has_failed = True
            candidate.channel.close()
            fail()
        return await self._sender.send(context, candidate)


class StreamStandin:
    """An open response; records whether it was closed."""

    def __init__(self) -> None:
        self.closed = False

    def close(self) -> None:
        self.closed = True


def build_result(
    outcome: request_context.AttemptOutcome, stream: Any = None
) -> request_context.AttemptResult:
    return request_context.AttemptResult(outcome, stream=stream)


class ScriptedSender:
    """Ends the attempts of a request when the test says so."""

    def __init__(self) -> None:
        self.mismatched_responses = 0
        self.attempts: list[asyncio.Future[request_context.AttemptResult]] = []
        self.cancelled = 0

    async def send(
        self,
        context: request_context.RequestContext,
        candidate: target_probes.Candidate,
    ) -> request_context.AttemptResult:
        candidate.channel.release()
        future = asyncio.get_running_loop().create_future()
        self.attempts.append(future)
        try:
            return await future
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


class RefusingSender(ScriptedSender):
    """Reports the first attempts as not run, and waits for the others."""

    def __init__(self, refusals: int) -> None:
        super().__init__()
        self._refusals = refusals

    async def send(
        self,
        context: request_context.RequestContext,
        candidate: target_probes.Candidate,
    ) -> request_context.AttemptResult:
        if self._refusals:
            self._refusals -= 1
            candidate.channel.release()
            return build_result(request_context.AttemptOutcome.NOT_RUN)
        return await super().send(context, candidate)


class TestHedgedRequests:
    """Neither of two attempts that run at the same time is lost."""

    async def start(
        self, vms: vm_fleet.VmFleet, attempts: int = 2
    ) -> tuple[service.VmService, ScriptedSender, asyncio.Task[Any]]:
        """Sends a request and waits until it has this many attempts."""
        vm = await vms.start_vm("vm-1")
        vms.set_faults("t-3", "t-4", pace=100)
        for number in range(3):
            await vms.send("vm-1", f"/read/{number}")
        sender = ScriptedSender()
        vm._request_runner.replace_sender(sender)
        task = asyncio.create_task(vms.send("vm-1", "/read/1", attempt="one"))
        await fleet.wait_for(lambda: len(sender.attempts) == attempts)
        return vm, sender, task

    # Guards against a hedge beyond the limit of attempts: a request that three
    # targets refused reached five.
    async def test_last_attempt_is_not_hedged(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        for number in range(5, 10):
            await vms.start_target(f"t-{number}", "reads", "zone-a")
        vm = await vms.start_vm("vm-1")
        for number in range(3):
            await vms.send("vm-1", f"/read/{number}")
        sender = RefusingSender(refusals=retry_policy.MAX_ATTEMPTS - 1)
        vm._request_runner.replace_sender(sender)
        task = asyncio.create_task(vms.send("vm-1", "/read/1"))
        await fleet.wait_for(lambda: sender.attempts)
        # Many times as long as a target needs, so that a hedge would be due.
        await asyncio.sleep(0.3)
        assert len(sender.attempts) == 1
        sender.attempts[0].set_result(
            request_context.AttemptResult(
                request_context.AttemptOutcome.ANSWERED, 200, body=b"answer"
            )
        )
        assert (await task)[0] == 200

    # Guards against an answer that is dropped since another attempt failed in
    # the same step of the event loop.
    @pytest.mark.parametrize("answered", [0, 1])
    @pytest.mark.parametrize(
        "outcome",
        [
            request_context.AttemptOutcome.FAILED,
            request_context.AttemptOutcome.NOT_RUN,
            request_context.AttemptOutcome.UNKNOWN,
        ],
    )
    async def test_answer_wins_over_a_failure_at_the_same_time(
        self,
        vms: vm_fleet.VmFleet,
        answered: int,
        outcome: request_context.AttemptOutcome,
    ) -> None:
        _, sender, task = await self.start(vms)
        answer = request_context.AttemptResult(
            request_context.AttemptOutcome.ANSWERED, 200, body=b"answer"
        )
        sender.attempts[answered].set_result(answer)
        sender.attempts[1 - answered].set_result(build_result(outcome))
        async with asyncio.timeout(5.0):
            status, body, _ = await task
        assert (status, body) == (200, b"answer")
        assert len(sender.attempts) == 2

    # Guards against a long answer that nobody reads and whose target works on.
    async def test_second_long_answer_is_closed(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm, sender, task = await self.start(vms)
        streams = [StreamStandin(), StreamStandin()]
        used: list[Any] = []

        async def end(
            context: request_context.RequestContext,
            result: request_context.AttemptResult,
        ) -> web.StreamResponse:
            used.append(result.stream)
            return web.Response()

        vm._caller_service._build_response = end  # type: ignore[method-assign]
        for attempt, stream in zip(sender.attempts, streams, strict=True):
            attempt.set_result(
                build_result(request_context.AttemptOutcome.ANSWERED, stream)
            )
        await task
        assert [stream.closed for stream in streams].count(True) == 1
        assert not used[0].closed

    # Guards against an attempt that runs on after another one was answered.
    async def test_slower_attempt_is_cancelled(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        _, sender, task = await self.start(vms)
        sender.attempts[0].set_result(
            build_result(request_context.AttemptOutcome.FAILED)
        )
        await asyncio.sleep(0.05)
        assert not task.done()
        sender.attempts[1].set_result(
            request_context.AttemptResult(
                request_context.AttemptOutcome.ANSWERED, 200
            )
        )
        assert (await task)[0] == 200
        assert sender.cancelled == 0

    # Guards against an answer that is held up, and a second attempt that is
    # sent, while a target for that attempt is still being looked for.
    async def test_answer_ends_the_search_for_a_second_target(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        vm = await vms.start_vm("vm-1")
        for number in range(3):
            await vms.send("vm-1", f"/read/{number}")
        sender = ScriptedSender()
        vm._request_runner.replace_sender(sender)
        selector = vm._request_runner._selector
        find = selector.find_fast_target
        is_searching = asyncio.Event()
        may_go_on = asyncio.Event()

        async def find_slowly(context: Any) -> Any:
            is_searching.set()
            await may_go_on.wait()
            return await find(context)

        monkeypatch.setattr(selector, "find_fast_target", find_slowly)
        task = asyncio.create_task(vms.send("vm-1", "/read/1"))
        async with asyncio.timeout(5.0):
            await is_searching.wait()
            sender.attempts[0].set_result(
                request_context.AttemptResult(
                    request_context.AttemptOutcome.ANSWERED, 200
                )
            )
            assert (await task)[0] == 200
        may_go_on.set()
        await asyncio.sleep(0.05)
        assert len(sender.attempts) == 1

    # Guards against an attempt that is cancelled while its target is at work,
    # since an error ended the search for a second target.
    async def test_error_in_the_search_does_not_end_the_first_attempt(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        vm = await vms.start_vm("vm-1")
        for number in range(3):
            await vms.send("vm-1", f"/read/{number}")
        runner = vm._request_runner
        sender = ScriptedSender()
        runner.replace_sender(sender)
        is_searching = asyncio.Event()

        async def find_with_error(*arguments: Any) -> Any:
            del arguments
            is_searching.set()
            fail()

        monkeypatch.setattr(
            runner._selector, "find_fast_target", find_with_error
        )
        task = asyncio.create_task(vms.send("vm-1", "/read/1"))
        async with asyncio.timeout(5.0):
            await is_searching.wait()
            await asyncio.sleep(0.05)
            assert sender.cancelled == 0
            sender.attempts[0].set_result(
                request_context.AttemptResult(
                    request_context.AttemptOutcome.ANSWERED, 200
                )
            )
            assert (await task)[0] == 200
        assert runner.error_count == 1

    # Guards against a second attempt that starts when the process is about to
    # end.
    async def test_no_second_attempt_is_sent_at_the_end_of_a_stop(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        for target in vms.targets.values():
            target.service_ms = 60
        for number in range(3):
            await vms.send("vm-1", f"/read/{number}")
        sender = ScriptedSender()
        vm._request_runner.replace_sender(sender)
        task = asyncio.create_task(vms.send("vm-1", "/read/1"))
        await fleet.wait_for(lambda: len(sender.attempts) == 1)
        now = asyncio.get_running_loop().time()
        # Nothing that takes 60 ms may start any more.
        schedule = drain_policy.DrainSchedule(
            now, now, now, now + 0.03, now + 1.0
        )
        vm._caller_service.begin_drain(schedule)
        await asyncio.sleep(0.5)
        assert len(sender.attempts) == 1
        assert sender.cancelled == 0
        sender.attempts[0].set_result(
            request_context.AttemptResult(
                request_context.AttemptOutcome.ANSWERED, 200
            )
        )
        assert (await task)[0] == 200


class RawCaller:
    """A connection to a VM on which a test writes bytes as it likes."""

    def __init__(self, vms: vm_fleet.VmFleet) -> None:
        self._vms = vms
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self) -> None:
        host, _, port = self._vms.settings["vm-1"].callers.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port)
        )

    async def read_response(self) -> tuple[int, bytes]:
        """Returns the status and the body of the next response."""
        async with asyncio.timeout(10.0):
            head = await self.reader.readuntil(b"\r\n\r\n")
            length = 0
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length: "):
                    length = int(line.partition(b" ")[2])
            body = await self.reader.readexactly(length)
        return int(head.split(b" ")[1]), body


def build_head(
    method: str, path: str, attempt: str, length: int | None = 0, more: str = ""
) -> bytes:
    """Returns the head of a request with a long time limit."""
    if length is not None:
        more = f"Content-Length: {length}\r\n{more}"
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {vm_fleet.HOST}\r\n"
        f"X-Attempt-Id: {attempt}\r\nX-Timeout-Remaining: 8000\r\n"
        f"{more}\r\n"
    ).encode()


class TestStopInEachState:
    """SIGTERM reaches a VM while a request is in one of its states."""

    grace_seconds = 2.0
    pause_seconds = 0.3

    async def start(
        self, vms: vm_fleet.VmFleet
    ) -> tuple[service.VmService, RawCaller]:
        vm = await vms.start_vm("vm-1", grace_seconds=self.grace_seconds)
        caller = RawCaller(vms)
        await caller.open()
        return vm, caller

    async def stop(
        self, vms: vm_fleet.VmFleet, drain_task: asyncio.Task[None]
    ) -> None:
        await drain_task
        await vms.kill_vm("vm-1")

    # Guards against a request that is cut since it arrived in part.
    @pytest.mark.parametrize("split_at", [20, -5])
    async def test_request_that_arrives_is_served(
        self, vms: vm_fleet.VmFleet, split_at: int
    ) -> None:
        vm, caller = await self.start(vms)
        data = build_head("POST", "/write/1", "one", len(BODY)) + BODY
        caller.writer.write(data[:split_at])
        await asyncio.sleep(0.05)
        drain_task = asyncio.create_task(vm.drain())
        await asyncio.sleep(self.pause_seconds)
        caller.writer.write(data[split_at:])
        status, _ = await caller.read_response()
        assert status == 200
        assert len(vms.find_targets_that_ran("one")) == 1
        await self.stop(vms, drain_task)

    # Guards against a waiting request that is refused although a target
    # becomes free in time.
    async def test_request_that_waits_is_served(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm, caller = await self.start(vms)
        vms.set_faults("t-3", "t-4", mute=True)
        caller.writer.write(build_head("POST", "/write/1", "one"))
        await fleet.wait_for(lambda: vm._caller_service.in_flight == 1)
        drain_task = asyncio.create_task(vm.drain())
        await asyncio.sleep(self.pause_seconds)
        vms.set_faults("t-3", "t-4", mute=False)
        status, _ = await caller.read_response()
        assert status == 200
        await self.stop(vms, drain_task)

    # Guards against a running request that is cut as soon as ports close.
    async def test_request_that_runs_is_served(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm, caller = await self.start(vms)
        for target in vms.targets.values():
            target.service_ms = 1300
        caller.writer.write(build_head("POST", "/write/1", "one"))
        await fleet.wait_for(lambda: vms.find_targets_that_ran("one"))
        drain_task = asyncio.create_task(vm.drain())
        status, _ = await caller.read_response()
        assert status == 200
        await self.stop(vms, drain_task)

    # Guards against a long answer that ends early.
    async def test_long_answer_is_passed_on(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm, caller = await self.start(vms)
        body = bytes(range(256)) * 16 * 1024
        for target in vms.targets.values():
            target.body = body
        caller.writer.write(build_head("GET", "/read/1", "one"))
        await fleet.wait_for(lambda: vms.find_targets_that_ran("one"))
        drain_task = asyncio.create_task(vm.drain())
        await asyncio.sleep(2 * self.pause_seconds)
        assert await caller.read_response() == (200, body)
        await self.stop(vms, drain_task)


class TestChangesUnderWay:
    """A change of the cluster state ends no request that is under way."""

    async def start(
        self, vms: vm_fleet.VmFleet
    ) -> tuple[service.VmService, asyncio.Task[Any]]:
        """Starts a VM and a request that runs for a while."""
        vm = await vms.start_vm("vm-1")
        for target in vms.targets.values():
            target.service_ms = 1200
        task = asyncio.create_task(
            vms.send("vm-1", "/write/1", "POST", attempt="one")
        )
        await fleet.wait_for(lambda: vms.find_targets_that_ran("one"))
        return vm, task

    async def check(
        self, vms: vm_fleet.VmFleet, task: asyncio.Task[Any]
    ) -> None:
        assert not task.done()
        status, _, _ = await task
        assert status == 200
        assert len(vms.find_targets_that_ran("one")) == 1

    # Guards against a request that is cut with its rule.
    async def test_rule_is_dropped(self, vms: vm_fleet.VmFleet) -> None:
        vm, task = await self.start(vms)
        version = await vms.configure(vms.build_default_rules()[:1])
        cluster = vm._cluster
        await fleet.wait_for(
            lambda: (
                cluster.configuration
                and (cluster.configuration.version == version)
            )
        )
        assert (await vms.send("vm-1", "/write/2", "POST"))[0] == 404
        await self.check(vms, task)

    # Guards against a request that is cut as its rule moves to a service.
    async def test_rule_moves(self, vms: vm_fleet.VmFleet) -> None:
        vm, task = await self.start(vms)
        rules = [
            vm_fleet.build_rule("write", "/write/", "unsafe", Service="reads")
        ]
        version = await vms.configure(rules)
        cluster = vm._cluster
        await fleet.wait_for(
            lambda: (
                cluster.configuration
                and (cluster.configuration.version == version)
            )
        )
        await self.check(vms, task)

    # Guards against a request that is cut since its target leaves.
    async def test_target_drains(self, vms: vm_fleet.VmFleet) -> None:
        vm, task = await self.start(vms)
        (identity,) = vms.find_targets_that_ran("one")
        await vms.register(identity, "draining")
        rows = vm._cluster.targets
        await fleet.wait_for(
            lambda: rows[identity].entry.state.value == "draining"
        )
        await self.check(vms, task)

    # Guards against a request that is cut since the entry of its target is
    # removed, and when it is written again.
    async def test_entry_is_removed_and_comes_back(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm, task = await self.start(vms)
        (identity,) = vms.find_targets_that_ran("one")
        targets = vm._cluster.targets
        await vms.store.put(f"servers/{identity}", None)
        await fleet.wait_for(lambda: identity not in targets)
        await vms.register(identity)
        await fleet.wait_for(lambda: identity in targets)
        await self.check(vms, task)
        for target in vms.targets.values():
            target.service_ms = 5
        for number in range(4):
            status, _, _ = await vms.send("vm-1", f"/write/{number}", "POST")
            assert status == 200

    # Guards against requests that are cut by new limits of a configuration.
    async def test_limits_change(self, vms: vm_fleet.VmFleet) -> None:
        vm, task = await self.start(vms)
        vms.version += 3
        document = vm_fleet.build_configuration(
            vms.version, vms.build_default_rules(), header_timeout="50ms"
        )
        document["Limits"]["IdleTimeout"] = "50ms"
        await vms.store.put("op/config", json.dumps(document).encode())
        await vms.wait_ready("vm-1")
        await self.check(vms, task)
        assert vm._caller_service.error_count == 0


class TestKeptConnections:
    """Each request on a kept connection gets a response."""

    # Guards against a request that is read and never answered since an
    # earlier one on its connection offered to change the protocol.
    async def test_request_after_an_offer_to_upgrade_is_answered(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        caller = RawCaller(vms)
        await caller.open()
        offer = "Connection: Upgrade\r\nUpgrade: websocket\r\n"
        caller.writer.write(
            build_head("GET", "/read/1", "one", None, more=offer)
        )
        head = await caller.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(ANSWER)
        if b"connection: close" in head.lower():
            return
        caller.writer.write(build_head("GET", "/read/1", "two"))
        await caller.reader.readexactly(len(b"t-1"))
        status, _ = await caller.read_response()
        assert status == 200

    # Guards against a request that a target runs under another identity, so
    # that its response is taken for that of another request.
    async def test_identity_that_cannot_be_forwarded_is_rejected(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        caller = RawCaller(vms)
        await caller.open()
        head = build_head("GET", "/read/1", "a-1")
        caller.writer.write(head.replace(b": a-1", b": a-1\xff"))
        assert (await caller.read_response())[0] == 400
        assert not any(target.runs for target in vms.targets.values())

    # Guards against requests without an identity that count as failures of the
    # targets, which reject them.
    async def test_request_without_an_identity_is_rejected(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        caller = RawCaller(vms)
        await caller.open()
        head = build_head("GET", "/read/1", "")
        caller.writer.write(head.replace(b"X-Attempt-Id: \r\n", b""))
        assert (await caller.read_response())[0] == 400
        rows = vm._cluster.targets.values()
        assert [row.health.failures for row in rows] == [0.0] * len(rows)

    # Guards against requests that are lost if several arrive at once.
    async def test_pipelined_requests_are_answered_in_order(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        caller = RawCaller(vms)
        await caller.open()
        count = 20
        caller.writer.write(
            b"".join(
                build_head("GET", "/read/1", f"a-{number}")
                for number in range(count)
            )
        )
        for number in range(count):
            status, body = await caller.read_response()
            assert status == 200
            assert [body.decode()] == vms.find_targets_that_ran(f"a-{number}")

    # Guards against an error within a long answer that looks complete, or
    # leaves no trace.
    async def test_error_within_a_long_answer_resets_the_connection(
        self,
        vms: vm_fleet.VmFleet,
        log_lines: list[dict[str, Any]],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        vm = await vms.start_vm("vm-1")
        for target in vms.targets.values():
            target.body = b"x" * 2_000_000

        async def break_off(
            source: Any, response: web.StreamResponse, deadline: float
        ) -> None:
            await response.write(b"x" * 1000)
            fail()

        monkeypatch.setattr(streaming, "_copy_body", break_off)
        caller = RawCaller(vms)
        await caller.open()
        caller.writer.write(build_head("GET", "/read/1", "one"))
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await caller.read_response()
        await fleet.wait_for(lambda: vm._caller_service.error_count == 1)
        (line,) = (
            line for line in log_lines if line["event"] == "a request failed"
        )
        assert (line["request"], line["not_run"]) == ("one", False)

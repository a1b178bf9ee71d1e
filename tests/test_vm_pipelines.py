"""Requests that a caller sends before the response to the one in front."""

import asyncio
from collections.abc import AsyncIterator, Callable
import time

import pytest
import pytest_asyncio

from tests import fleet
from tests import vm_fleet
from tests.test_vm_lost_requests import RawCaller
from tests.test_vm_lost_requests import build_head
from wigeonspool.gateway import streaming
from wigeonspool.vm import pipelines
from wigeonspool.vm import response_buffers
from wigeonspool.vm import service

SLOW_MS = 500.0
# Time for a request that could start to reach its target.
SETTLE_SECONDS = 0.15
FRONT = build_head("GET", "/read/1", "front")
READ = build_head("GET", "/read/1", "read")
WRITE = build_head("POST", "/write/1", "write")


@pytest_asyncio.fixture(name="vms")
async def start_vms() -> AsyncIterator[vm_fleet.VmFleet]:
    started = vm_fleet.VmFleet()
    await started.start()
    yield started
    await started.stop()


async def start(
    vms: vm_fleet.VmFleet, service_ms: float = SLOW_MS
) -> tuple[service.VmService, RawCaller]:
    """Starts a VM with slow targets and connects to it."""
    vm = await vms.start_vm("vm-1")
    for target in vms.targets.values():
        target.service_ms = service_ms
    caller = RawCaller(vms)
    await caller.open()
    return vm, caller


async def wait_for_run(vms: vm_fleet.VmFleet, attempt: str) -> None:
    await fleet.wait_for(lambda: vms.find_targets_that_ran(attempt))


def check_nothing_held(vm: service.VmService) -> None:
    """Checks that the counts of what runs ahead are back at 0."""
    use = vm._caller_server.pipeline_use
    assert (use.ahead, use.held_bytes) == (0, 0)


class TestConcurrency:
    """Idempotent requests of one connection run side by side."""

    # Guards against pipelined requests that wait for those in front of them.
    async def test_five_slow_requests_take_the_time_of_one(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm, caller = await start(vms)
        started_at = time.monotonic()
        caller.writer.write(
            b"".join(
                build_head("GET", "/read/1", f"a-{number}")
                for number in range(5)
            )
        )
        for number in range(5):
            status, body = await caller.read_response()
            assert status == 200
            assert body.decode() in vms.find_targets_that_ran(f"a-{number}")
        assert time.monotonic() - started_at < 2 * SLOW_MS / 1000
        check_nothing_held(vm)
        assert vm._caller_server.pipeline_use.started_ahead == 4

    # Guards against requests that are lost or out of order where the library
    # stops reading, since too many heads wait.
    async def test_hundred_requests_of_one_packet_are_answered(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm, caller = await start(vms, 1.0)
        count = 100
        caller.writer.write(
            b"".join(
                build_head("GET", "/read/1", f"a-{number}")
                for number in range(count)
            )
        )
        for number in range(count):
            status, body = await caller.read_response()
            assert status == 200
            assert body.decode() in vms.find_targets_that_ran(f"a-{number}")
        check_nothing_held(vm)

    # Guards against a response that overtakes the one in front of it.
    async def test_fast_response_waits_for_the_slow_one_in_front(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        rules = [
            vm_fleet.build_rule("read", "/read/", "safe", Service="reads"),
            vm_fleet.build_rule("fast", "/fast/", "safe", Service="writes"),
        ]
        await vms.configure(rules)
        vm, caller = await start(vms)
        for identity in ("t-3", "t-4"):
            vms.targets[identity].service_ms = 0.0
            vms.targets[identity].body = b"fast"
        caller.writer.write(FRONT + build_head("GET", "/fast/1", "fast"))
        await wait_for_run(vms, "fast")
        status, body = await caller.read_response()
        assert (status, body.startswith(b"t-")) == (200, True)
        assert await caller.read_response() == (200, b"fast")
        assert vm._caller_server.pipeline_use.held_seconds > 0.0
        check_nothing_held(vm)

    # Guards against one caller that takes all slots by a deep pipeline.
    @pytest.mark.parametrize(
        "limit", ["MAX_AHEAD_PER_CONNECTION", "MAX_AHEAD_PER_VM"]
    )
    async def test_depth_is_bounded(
        self,
        vms: vm_fleet.VmFleet,
        monkeypatch: pytest.MonkeyPatch,
        limit: str,
    ) -> None:
        monkeypatch.setattr(pipelines, limit, 2)
        vm, caller = await start(vms, 100.0)
        count = 8
        caller.writer.write(
            b"".join(
                build_head("GET", "/read/1", f"a-{number}")
                for number in range(count)
            )
        )
        most = 0
        reader = asyncio.ensure_future(self.read_all(caller, count))
        while not reader.done():
            most = max(most, vm._caller_service.in_flight)
            await asyncio.sleep(0.005)
        assert await reader == [200] * count
        assert most == 3
        check_nothing_held(vm)

    # Guards against responses of any size that are kept for one slow caller.
    @pytest.mark.parametrize(
        "limit", ["MAX_HELD_BYTES_PER_CONNECTION", "MAX_HELD_BYTES_PER_VM"]
    )
    async def test_held_bytes_are_bounded(
        self,
        vms: vm_fleet.VmFleet,
        monkeypatch: pytest.MonkeyPatch,
        limit: str,
    ) -> None:
        rules = [
            vm_fleet.build_rule("read", "/read/", "safe", Service="reads"),
            vm_fleet.build_rule("fast", "/fast/", "safe", Service="writes"),
        ]
        await vms.configure(rules)
        monkeypatch.setattr(pipelines, limit, 1)
        vm, caller = await start(vms)
        for identity in ("t-3", "t-4"):
            vms.targets[identity].service_ms = 0.0
        caller.writer.write(FRONT + build_head("GET", "/fast/1", "one"))
        use = vm._caller_server.pipeline_use
        await fleet.wait_for(lambda: use.held_bytes > 0)
        caller.writer.write(build_head("GET", "/fast/1", "two"))
        await asyncio.sleep(SETTLE_SECONDS)
        assert not vms.find_targets_that_ran("two")
        assert await self.read_all(caller, 3) == [200] * 3
        assert use.waited_in_turn == 1
        check_nothing_held(vm)

    async def read_all(self, caller: RawCaller, count: int) -> list[int]:
        return [(await caller.read_response())[0] for _ in range(count)]


class TestKinds:
    """Requests that may not repeat run alone, in their turn."""

    # Guards against a write that runs, although the caller is later told that
    # it was not read.
    async def test_write_waits_for_the_response_in_front(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        _, caller = await start(vms)
        caller.writer.write(FRONT + WRITE)
        await wait_for_run(vms, "front")
        await asyncio.sleep(SETTLE_SECONDS)
        assert not vms.find_targets_that_ran("write")
        assert (await caller.read_response())[0] == 200
        assert (await caller.read_response())[0] == 200
        assert len(vms.find_targets_that_ran("write")) == 1

    # Guards against a read that does not see the write in front of it.
    async def test_read_waits_for_the_write_in_front(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        _, caller = await start(vms)
        caller.writer.write(WRITE + READ)
        await wait_for_run(vms, "write")
        await asyncio.sleep(SETTLE_SECONDS)
        assert not vms.find_targets_that_ran("read")
        assert (await caller.read_response())[0] == 200
        assert (await caller.read_response())[0] == 200

    # Guards against a read that passes a write by a read between the two.
    async def test_read_waits_for_a_write_further_in_front(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        _, caller = await start(vms, 300.0)
        caller.writer.write(FRONT + WRITE + READ)
        await wait_for_run(vms, "front")
        await asyncio.sleep(SETTLE_SECONDS)
        assert not vms.find_targets_that_ran("read")
        for _ in range(3):
            assert (await caller.read_response())[0] == 200

    # Guards against a refused request that takes those behind it along.
    async def test_refused_request_in_front_costs_nothing(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        _, caller = await start(vms, 5.0)
        caller.writer.write(build_head("GET", "/none/1", "none") + READ + WRITE)
        for expected in (404, 200, 200):
            assert (await caller.read_response())[0] == expected


class TestTime:
    """The time of a request counts from the arrival of its head."""

    # Guards against a request that is sent to a target after its caller gave
    # up, since it waited behind another one.
    async def test_request_whose_time_is_over_is_not_sent(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        _, caller = await start(vms)
        late = WRITE.replace(b"Remaining: 8000", b"Remaining: 200")
        caller.writer.write(FRONT + late)
        assert (await caller.read_response())[0] == 200
        status, _ = await caller.read_response()
        assert (status, vms.find_targets_that_ran("write")) == (503, [])

    # Guards against a target that is told of more time than its caller has.
    async def test_target_gets_the_time_left_since_the_arrival(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        _, caller = await start(vms)
        caller.writer.write(FRONT + WRITE)
        await caller.read_response()
        await caller.read_response()
        (run,) = (
            run
            for target in vms.targets.values()
            for run in target.runs
            if run.attempt == "write"
        )
        # The rule allows 1500 ms, of which the request in front took 500 ms.
        assert run.remaining_ms <= 1000


Closer = Callable[[vm_fleet.VmFleet, service.VmService, RawCaller], None]


def close_by_caller(
    vms: vm_fleet.VmFleet, vm: service.VmService, caller: RawCaller
) -> None:
    caller.writer.close()


def reset_by_caller(
    vms: vm_fleet.VmFleet, vm: service.VmService, caller: RawCaller
) -> None:
    caller.writer.transport.abort()


def close_server_side(
    vms: vm_fleet.VmFleet, vm: service.VmService, caller: RawCaller
) -> None:
    for connection in vm._caller_server.connections:
        connection.force_close()


class TestEndOfConnection:
    """Nothing runs behind the end of a connection.

    The caller takes what it sent behind that end as not read, and sends it
    again, also if it may not repeat.
    """

    # Guards against requests that go on after their caller left.
    @pytest.mark.parametrize(
        "close", [close_by_caller, reset_by_caller, close_server_side]
    )
    async def test_close_cancels_all_requests(
        self, vms: vm_fleet.VmFleet, close: Closer
    ) -> None:
        vm, caller = await start(vms)
        caller.writer.write(FRONT + READ + WRITE)
        await wait_for_run(vms, "front")
        await wait_for_run(vms, "read")
        close(vms, vm, caller)
        await fleet.wait_for(
            lambda: sum(t.cancelled for t in vms.targets.values()) >= 2
        )
        await fleet.wait_for(lambda: vm._caller_service.in_flight == 0)
        await asyncio.sleep(SETTLE_SECONDS)
        assert not vms.find_targets_that_ran("write")
        assert vm._caller_service.counts["unknown", "caller-left"] == 2
        check_nothing_held(vm)

    # Guards against a held response that keeps the connection of its target.
    async def test_close_frees_a_held_response(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        rules = [
            vm_fleet.build_rule("read", "/read/", "safe", Service="reads"),
            vm_fleet.build_rule("long", "/long/", "safe", Service="writes"),
        ]
        await vms.configure(rules)
        vm, caller = await start(vms, 1000.0)
        for identity in ("t-3", "t-4"):
            vms.targets[identity].service_ms = 0.0
            vms.targets[identity].body = b"x" * 3_000_000
        caller.writer.write(FRONT + build_head("GET", "/long/1", "long"))
        await wait_for_run(vms, "long")
        await asyncio.sleep(SETTLE_SECONDS)
        caller.writer.close()
        await fleet.wait_for(lambda: vm._caller_service.in_flight == 0)
        await fleet.wait_for(
            lambda: (
                not any(
                    vms.targets[name]._open_writers for name in ("t-3", "t-4")
                )
            )
        )
        check_nothing_held(vm)

    # Guards against requests behind one after which the caller closes.
    async def test_nothing_runs_behind_a_request_that_closes(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        _, caller = await start(vms, 100.0)
        closing = build_head(
            "GET", "/read/1", "x", more="Connection: close\r\n"
        )
        caller.writer.write(closing + READ + READ + WRITE)
        assert (await caller.read_response())[0] == 200
        assert await caller.reader.read() == b""
        assert not vms.find_targets_that_ran("read")
        assert not vms.find_targets_that_ran("write")

    # Guards against a request that runs although it follows invalid bytes.
    async def test_nothing_runs_behind_an_invalid_request(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        _, caller = await start(vms, 100.0)
        caller.writer.write(FRONT)
        await wait_for_run(vms, "front")
        caller.writer.write(b"\0\0 HTTP/9.9\r\n\r\n" + READ + WRITE)
        assert (await caller.read_response())[0] == 200
        assert (await caller.read_response())[0] == 400
        assert await caller.reader.read() == b""
        assert not vms.find_targets_that_ran("read")
        assert not vms.find_targets_that_ran("write")

    # Guards against a request that is taken out of the body of another one.
    async def test_nothing_runs_behind_a_body_that_is_too_long(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        _, caller = await start(vms, 100.0)
        caller.writer.write(
            FRONT + build_head("POST", "/write/1", "long", 2_000_000) + WRITE
        )
        assert (await caller.read_response())[0] == 200
        assert (await caller.read_response())[0] == 413
        assert await caller.reader.read() == b""
        assert not vms.find_targets_that_ran("long")
        assert not vms.find_targets_that_ran("write")

    # Guards against an incomplete head that cuts the responses in front of it.
    async def test_slow_head_behind_others_lets_them_end(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.configure(vms.build_default_rules(), header_timeout="100ms")
        _, caller = await start(vms)
        caller.writer.write(FRONT + READ + WRITE[:-5])
        assert (await caller.read_response())[0] == 200
        assert (await caller.read_response())[0] == 200
        assert (await caller.read_response())[0] == 408
        assert await caller.reader.read() == b""
        assert not vms.find_targets_that_ran("write")

    # Guards against a write that runs behind a response that broke off.
    async def test_nothing_runs_behind_a_response_that_breaks_off(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        vm, caller = await start(vms, 0.0)
        for identity in ("t-1", "t-2"):
            vms.targets[identity].body = b"x" * 2_000_000

        async def break_off(*_: object) -> None:
            raise TimeoutError

        monkeypatch.setattr(streaming, "_copy_body", break_off)
        caller.writer.write(FRONT + READ + WRITE)
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await caller.read_response()
        await fleet.wait_for(lambda: vm._caller_service.in_flight == 0)
        await asyncio.sleep(SETTLE_SECONDS)
        assert not vms.find_targets_that_ran("write")
        check_nothing_held(vm)

    # Guards against sound responses that are lost with one in front of them: a
    # target broke off a long response, which reset the connection.
    async def test_long_response_that_breaks_off_costs_only_itself(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        rules = [
            vm_fleet.build_rule("read", "/read/", "safe", Service="reads"),
            vm_fleet.build_rule("fast", "/fast/", "safe", Service="writes"),
        ]
        await vms.configure(rules)
        vm, caller = await start(vms, 100.0)
        for identity in ("t-1", "t-2"):
            vms.targets[identity].body = b"x" * 2_000_000
            vms.targets[identity].faults.truncated = True
        behind = [f"behind-{number}" for number in range(5)]
        heads = [build_head("GET", "/fast/1", attempt) for attempt in behind]
        caller.writer.write(FRONT + b"".join(heads))
        assert (await caller.read_response())[0] == 502
        for attempt in behind:
            status, body = await caller.read_response()
            assert status == 200
            assert body.decode() in vms.find_targets_that_ran(attempt)
        check_nothing_held(vm)
        assert vm._caller_service._buffers.reserved_bytes == 0

    # Guards against memory without bound, and against a response that is cut
    # or out of order, where it is too long for the buffer.
    @pytest.mark.parametrize("limit", [500_000, 1_500_000, 8_000_000])
    async def test_long_response_in_front_is_complete(
        self,
        vms: vm_fleet.VmFleet,
        monkeypatch: pytest.MonkeyPatch,
        limit: int,
    ) -> None:
        monkeypatch.setattr(response_buffers, "MAX_BUFFERED_BYTES", limit)
        vm, caller = await start(vms, 50.0)
        body = bytes(range(256)) * 10_000
        for identity in ("t-1", "t-2"):
            vms.targets[identity].body = body
        caller.writer.write(FRONT + READ)
        assert await caller.read_response() == (200, body)
        assert await caller.read_response() == (200, body)
        check_nothing_held(vm)
        await fleet.wait_for(
            lambda: vm._caller_service._buffers.reserved_bytes == 0
        )

    # Guards against an unexpected error in one request that leaves those
    # behind it running for nobody.
    async def test_error_in_front_lets_the_others_end(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        vm, caller = await start(vms, 100.0)
        caller.writer.write(FRONT + READ + WRITE)
        await wait_for_run(vms, "read")

        def fail_once(*_: object) -> None:
            monkeypatch.undo()
            raise RecursionError

        monkeypatch.setattr(vm._caller_service, "on_answered", fail_once)
        assert (await caller.read_response())[0] == 502
        assert (await caller.read_response())[0] == 200
        assert (await caller.read_response())[0] == 200
        check_nothing_held(vm)

    # Guards against an unexpected error ahead of its turn that costs more than
    # its own request.
    async def test_error_ahead_of_its_turn_costs_one_request(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        vm, caller = await start(vms, 100.0)
        caller.writer.write(FRONT)
        await wait_for_run(vms, "front")

        def fail(*_: object) -> None:
            raise RecursionError

        monkeypatch.setattr(vm._cluster.suspects, "is_refused", fail)
        caller.writer.write(READ)
        await asyncio.sleep(SETTLE_SECONDS / 3)
        monkeypatch.undo()
        caller.writer.write(WRITE)
        assert (await caller.read_response())[0] == 200
        assert (await caller.read_response())[0] == 503
        assert (await caller.read_response())[0] == 200
        check_nothing_held(vm)


class TestStop:
    """A planned stop answers what was sent to a target, and nothing else."""

    # Guards against requests that ran ahead and are cut by the close of the
    # connection behind the first response after SIGTERM.
    @pytest.mark.parametrize("delay_seconds", [0.0, 0.2])
    async def test_requests_that_run_ahead_are_answered(
        self, vms: vm_fleet.VmFleet, delay_seconds: float
    ) -> None:
        vm, caller = await start(vms)
        caller.writer.write(FRONT + READ + READ + WRITE + READ)
        await fleet.wait_for(lambda: vm._caller_service.in_flight == 3)
        await wait_for_run(vms, "read")
        await asyncio.sleep(delay_seconds)
        drain_task = asyncio.create_task(vm.drain())
        for _ in range(3):
            assert (await caller.read_response())[0] == 200
        # The caller takes what follows the close as not read.
        assert await caller.reader.read() == b""
        assert not vms.find_targets_that_ran("write")
        await drain_task

    # Guards against a request that starts ahead after SIGTERM, behind a
    # response that closes the connection.
    async def test_nothing_starts_ahead_after_the_stop_began(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm, caller = await start(vms)
        caller.writer.write(FRONT)
        await wait_for_run(vms, "front")
        drain_task = asyncio.create_task(vm.drain())
        await asyncio.sleep(0)
        caller.writer.write(READ + WRITE)
        assert (await caller.read_response())[0] == 200
        assert await caller.reader.read() == b""
        assert not vms.find_targets_that_ran("read")
        assert not vms.find_targets_that_ran("write")
        await drain_task

    # Guards against a VM that waits for requests which it never read.
    async def test_killed_vm_runs_nothing_more(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        _, caller = await start(vms)
        caller.writer.write(FRONT + READ + WRITE)
        await wait_for_run(vms, "read")
        await vms.kill_vm("vm-1")
        await asyncio.sleep(SETTLE_SECONDS)
        assert not vms.find_targets_that_ran("write")

"""Tests an entry VM as a process with a settings file, as in production."""

import asyncio
from collections.abc import AsyncIterator
import json
import os
import pathlib
import signal
import subprocess
import sys
from typing import Any

from aiohttp import web
import loguru
import pytest
import pytest_asyncio

from tests import fleet
from tests import test_odd_entries
from tests import vm_fleet
from wigeonspool import listen_sockets
from wigeonspool import process
from wigeonspool.core import cluster_state
from wigeonspool.model import fleet as fleet_model
from wigeonspool.model import vm_settings
from wigeonspool.platform import ports
from wigeonspool.vm import startup_gate
from wigeonspool.vm import structured_log

pytestmark = pytest.mark.processes

SETTINGS = """
New = "a field that nobody knows"
[Self]
Node = "{vm}"
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "north"
[Self.Limits]
CpuShare = 0.86
Cores = 1
[Network]
PortRange = [{port}, {port}]
Seeds = []
[Network.Listen]
EdgeAddr = "{callers}"
Readiness = "{readiness}"
Directory = "{directory}"
[Network.Zones]
zone-a = "north"
zone-b = "north"
zone-c = "south"
[Provider]
Discovery = "platform"
[Provider.Provider]
Address = "{store}"
MinTtl = "1000ms"
[Terms.Bounds]
RetryBudget = 0.2
BudgetSlack = 60
RetryWindow = "10s"
Grace = "{grace}"
Drain = "2000ms"
ConfigApply = "2000ms"
ttl_max = "5s"
"""


def write_settings(
    path: pathlib.Path, settings: vm_settings.VmSettings, grace: str
) -> None:
    text = SETTINGS.format(
        vm=settings.vm,
        zone=settings.zone,
        port=settings.first_free_port,
        callers=settings.callers,
        readiness=settings.readiness,
        directory=settings.directory,
        store=settings.store,
        grace=grace,
    )
    path.write_text(text, encoding="utf-8")


class VmProcess:
    """A process of an entry VM, and the log lines that it wrote."""

    def __init__(self, vms: vm_fleet.VmFleet, path: pathlib.Path) -> None:
        self.lines: list[dict[str, Any]] = []
        self._vms = vms
        self._path = path
        self._reader_task: asyncio.Task[None] | None = None
        self.process: asyncio.subprocess.Process

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "wigeonspool.vm.main"),
            env=os.environ | {"WIGEONSPOOL_BOOT": str(self._path)},
            stdout=asyncio.subprocess.PIPE,
        )
        self._reader_task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stdout is not None
        async for line in self.process.stdout:
            self.lines.append(json.loads(line))

    def has_logged(self, event: str) -> bool:
        """Returns True if the process has logged an event."""
        return any(line["event"] == event for line in self.lines)

    async def is_ready(self, vm: str) -> bool:
        url = f"http://{self._vms.settings[vm].readiness}/v1/ready"
        try:
            async with self._vms.session.get(url) as response:
                return response.status == 200
        except OSError:
            return False

    async def wait_ready(self, vm: str) -> None:
        async with asyncio.timeout(20):
            while not await self.is_ready(vm):
                await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """Kills the process if it still runs, and reads its last lines."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        if self._reader_task is not None:
            await self._reader_task


async def start_process(
    vms: vm_fleet.VmFleet, folder: pathlib.Path
) -> VmProcess:
    """Starts a VM as a process, without waiting until it is ready."""
    settings = vm_fleet.build_settings("vm-1", "zone-a", vms.store_address)
    vms.settings["vm-1"] = settings
    path = folder / "local.toml"
    write_settings(path, settings, "3s")
    vm_process = VmProcess(vms, path)
    await vm_process.start()
    return vm_process


@pytest_asyncio.fixture
async def vm_process(
    vms: vm_fleet.VmFleet, tmp_path: pathlib.Path
) -> AsyncIterator[VmProcess]:
    running_vm = await start_process(vms, tmp_path)
    await running_vm.wait_ready("vm-1")
    yield running_vm
    await running_vm.stop()


class TestProcess:
    async def test_stop_completes_the_requests_in_flight(
        self, vms: vm_fleet.VmFleet, vm_process: VmProcess
    ) -> None:
        assert (await vms.send("vm-1", "/read/1"))[0] == 200
        for target in vms.targets.values():
            target.service_ms = 700
        requests = [
            asyncio.create_task(vms.send("vm-1", "/read/1")) for _ in range(3)
        ]
        await fleet.wait_for(
            lambda: sum(len(t.runs) for t in vms.targets.values()) >= 4
        )
        vm_process.process.send_signal(signal.SIGTERM)
        assert [(await task)[0] for task in requests] == [200] * 3
        assert await vm_process.process.wait() == 0
        await vm_process.stop()
        assert vm_process.has_logged("started")
        assert vm_process.has_logged("stopped")

    async def test_settings_are_reloaded_at_a_signal(
        self, vms: vm_fleet.VmFleet, vm_process: VmProcess
    ) -> None:
        vm_process.process.send_signal(signal.SIGHUP)
        await fleet.wait_for(lambda: vm_process.has_logged("reloaded"))
        assert (await vms.send("vm-1", "/read/1"))[0] == 200

    async def test_changed_settings_are_reloaded_without_a_signal(
        self,
        vms: vm_fleet.VmFleet,
        vm_process: VmProcess,
        tmp_path: pathlib.Path,
    ) -> None:
        path = tmp_path / "local.toml"
        write_settings(path, vms.settings["vm-1"], "5s")
        await fleet.wait_for(lambda: vm_process.has_logged("reloaded"))
        path.write_text("broken = [", encoding="utf-8")
        failure_event = "reload failed; settings stay"
        await fleet.wait_for(lambda: vm_process.has_logged(failure_event))
        assert (await vms.send("vm-1", "/read/1"))[0] == 200

    async def test_log_line_explains_a_failed_request(
        self, vms: vm_fleet.VmFleet, vm_process: VmProcess
    ) -> None:
        vms.set_faults(lost=True)
        status, _, _ = await vms.send(
            "vm-1", "/write/1", "POST", attempt="one", data=b"x"
        )
        assert status == 502
        await fleet.wait_for(lambda: vm_process.has_logged("ended"))
        (line,) = [
            record
            for record in vm_process.lines
            if record.get("request") == "one"
        ]
        assert line["event"] == "ended"
        assert line["outcome"] == "connection-lost"
        assert line["not_run"] is False
        lost_step, refusal_step = line["steps"][-2:]
        assert lost_step[1:3] == ["lost", vms.find_targets_that_ran("one")[0]]
        assert refusal_step[1] == "may-not-repeat"

    async def test_odd_entries_do_not_end_the_process(
        self, vms: vm_fleet.VmFleet, vm_process: VmProcess
    ) -> None:
        # Guards against lost requests: the first nested entry ended the
        # process, with exit code 0.
        odd_entries = test_odd_entries.build_odd_entries()
        for number, odd_entry in enumerate(odd_entries):
            await vms.store.put(f"servers/odd-{number}", odd_entry)
            assert (await vms.send("vm-1", "/read/1"))[0] == 200

        def list_unreadable() -> list[str]:
            return sorted(
                line["key"]
                for line in vm_process.lines
                if line["event"] == "unreadable"
            )

        await fleet.wait_for(lambda: len(list_unreadable()) >= len(odd_entries))
        assert list_unreadable() == sorted(
            f"servers/odd-{number}" for number in range(len(odd_entries))
        )
        address = vms.settings["vm-1"].readiness
        async with vms.session.get(f"http://{address}/metrics") as response:
            metrics = await response.text()
        count = f"wigeonspool_vm_unreadable_items_total {len(odd_entries)}"
        assert count in metrics
        assert vm_process.process.returncode is None

    async def test_invalid_settings_end_the_process_with_an_error(
        self, tmp_path: pathlib.Path
    ) -> None:
        path = tmp_path / "local.toml"
        path.write_text("[Self]\nNode = 3\n", encoding="utf-8")
        failed_process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "wigeonspool.vm.main"),
            env=os.environ | {"WIGEONSPOOL_BOOT": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, stderr = await failed_process.communicate()
        assert failed_process.returncode == 2
        assert str(path).encode() in stderr


class TestStart:
    """Callers connect while the process still loads its libraries."""

    def test_ports_open_before_libraries_are_loaded(self) -> None:
        code = "import sys, wigeonspool.vm.main; print(*sys.modules)"
        command = [sys.executable, "-c", code]
        output = subprocess.run(command, capture_output=True, check=True)
        loaded = output.stdout.decode().split()
        slow_modules = {
            "aiohttp",
            "asyncio",
            "loguru",
            "mode",
            "msgspec",
            "uvloop",
        }
        assert "wigeonspool.listen_sockets" in loaded
        assert not slow_modules & set(loaded)

    async def test_early_callers_wait_and_are_served(
        self, vms: vm_fleet.VmFleet, tmp_path: pathlib.Path
    ) -> None:
        early_process = await start_process(vms, tmp_path)
        settings = vms.settings["vm-1"]
        host, _, port = settings.callers.rpartition(":")
        async with asyncio.timeout(10):
            while True:
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                    break
                except ConnectionRefusedError:
                    await asyncio.sleep(0.002)
        assert not early_process.has_logged("started")
        writer.close()
        lookup = asyncio.create_task(vms.resolve("vm-1", "zone-a"))
        status, _, _ = await vms.send("vm-1", "/read/1")
        assert status == 200
        assert await lookup == [settings.callers]
        await early_process.stop()

    def test_invalid_settings_open_no_port(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        path = tmp_path / "local.toml"
        monkeypatch.setenv("WIGEONSPOOL_BOOT", str(path))
        assert ports.list_ports() == []
        for text in ("[Network", "Network = 3", "[Network]\nListen = []"):
            path.write_text(text, encoding="utf-8")
            assert ports.list_ports() == []
        path.write_text(
            '[Network.Listen]\nEdgeAddr = "h:1"\nDirectory = "h:x"\n',
            encoding="utf-8",
        )
        assert ports.list_ports() == ["h:1"]

    async def test_server_reports_a_port_in_use(self) -> None:
        address = fleet.reserve_address()
        used_socket = listen_sockets.open_listen_socket(address)
        listeners = listen_sockets.ListenSockets([address])
        assert list(listeners.failures) == [address]
        with pytest.raises(OSError):
            server = web.Server(lambda request: web.Response())
            await process.serve_http(
                address, server, listeners.pop_socket(address)
            )
        used_socket.close()


class TestSignals:
    """Signals that arrive in any state end no request and no process."""

    async def wait_listening(self, vms: vm_fleet.VmFleet) -> None:
        """Waits until the process has begun to load its libraries."""
        host, _, port = vms.settings["vm-1"].callers.rpartition(":")
        async with asyncio.timeout(10):
            while True:
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                    break
                except ConnectionRefusedError:
                    await asyncio.sleep(0.002)
        writer.close()

    # Guards against a process that a change of its settings ends while it
    # starts.
    async def test_reload_during_a_start_ends_no_process(
        self, vms: vm_fleet.VmFleet, tmp_path: pathlib.Path
    ) -> None:
        starting = await start_process(vms, tmp_path)
        await self.wait_listening(vms)
        assert not starting.has_logged("started")
        starting.process.send_signal(signal.SIGHUP)
        assert (await vms.send("vm-1", "/read/1"))[0] == 200
        await fleet.wait_for(lambda: starting.has_logged("reloaded"))
        await starting.stop()

    # Guards against a stop that closes the connections of early callers.
    async def test_stop_during_a_start_answers_early_callers(
        self, vms: vm_fleet.VmFleet, tmp_path: pathlib.Path
    ) -> None:
        starting = await start_process(vms, tmp_path)
        await self.wait_listening(vms)
        request = asyncio.create_task(vms.send("vm-1", "/read/1"))
        await asyncio.sleep(0.01)
        assert not starting.has_logged("started")
        starting.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(10):
            status, _, _ = await request
            # A slow machine may start too late to serve it.
            assert status in (200, 503)
            assert await starting.process.wait() == 0
        await starting.stop()
        (line,) = (x for x in starting.lines if x["event"] == "stopped")
        assert line["cut"] == 0

    # Guards against a request that is cut since signals arrive during a stop.
    async def test_repeated_signals_do_not_shorten_a_stop(
        self, vms: vm_fleet.VmFleet, vm_process: VmProcess
    ) -> None:
        for target in vms.targets.values():
            target.service_ms = 800
        requests = [
            asyncio.create_task(vms.send("vm-1", "/read/1")) for _ in range(3)
        ]
        await fleet.wait_for(
            lambda: sum(len(t.runs) for t in vms.targets.values()) >= 3
        )
        for signal_number in (
            signal.SIGHUP,
            signal.SIGTERM,
            signal.SIGHUP,
            signal.SIGTERM,
            signal.SIGINT,
        ):
            vm_process.process.send_signal(signal_number)
            await asyncio.sleep(0.05)
        assert [(await task)[0] for task in requests] == [200] * 3
        assert await vm_process.process.wait() == 0
        await vm_process.stop()
        (line,) = (x for x in vm_process.lines if x["event"] == "stopped")
        assert line["cut"] == 0


class TestStartupGate:
    """Requests arrive before the first configuration is loaded."""

    async def test_gate_opens_at_the_first_configuration(self) -> None:
        cluster = cluster_state.ClusterState()
        gate = startup_gate.StartupGate(cluster)
        wait_task = asyncio.create_task(gate.wait())
        await asyncio.sleep(0.01)
        gate.open_if_configured()
        await asyncio.sleep(0.01)
        assert not wait_task.done()
        cluster.configuration = fleet_model.Configuration(
            1, {}, {}, fleet_model.CallerLimits()
        )
        gate.open_if_configured()
        await asyncio.wait_for(wait_task, 0.1)

    async def test_gate_opens_after_the_time_limit(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(startup_gate, "FIRST_READ_SECONDS", 0.02)
        gate = startup_gate.StartupGate(cluster_state.ClusterState())
        await asyncio.wait_for(gate.wait(), 0.5)
        # Later requests do not wait.
        await asyncio.wait_for(gate.wait(), 0.005)


def build_message(level: str) -> Any:
    record = {"level": loguru.logger.level(level)}
    return type("Message", (), {"record": record})()


class TestLineWriter:
    def read_available(self, descriptor: int) -> bytes:
        os.set_blocking(descriptor, False)
        chunks = []
        try:
            while chunk := os.read(descriptor, 65536):
                chunks.append(chunk)
        except BlockingIOError:
            pass
        return b"".join(chunks)

    def test_lines_are_dropped_if_the_reader_stops(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(structured_log, "LINES_PER_SECOND", 1e9)
        read_end, write_end = os.pipe()
        writer = structured_log.LineWriter(write_end)
        monkeypatch.setattr(
            structured_log, "encode_record", lambda _: b"x" * 999 + b"\n"
        )
        message = build_message("INFO")
        for _ in range(200):
            writer.write(message)
        assert writer.dropped_lines > 0
        first_output = self.read_available(read_end)
        assert set(first_output) <= set(b"x\n")
        writer.write(message)
        writer.write(message)
        later_output = self.read_available(read_end)
        assert b"lines left out" in later_output
        os.close(read_end)
        os.close(write_end)

    def test_number_of_lines_is_limited(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        read_end, write_end = os.pipe()
        writer = structured_log.LineWriter(write_end)
        monkeypatch.setattr(structured_log, "encode_record", lambda _: b"\n")
        # Debug lines are dropped first.
        count = int(structured_log.BURST_LINES) * 3
        for _ in range(count):
            writer.write(build_message("DEBUG"))
        written = count - writer.dropped_lines
        assert written < 0.75 * structured_log.BURST_LINES
        for _ in range(count):
            writer.write(build_message("INFO"))
        # The tokens added while the loop runs are far below another burst.
        assert writer.dropped_lines > 4 * structured_log.BURST_LINES
        assert 2 * count - writer.dropped_lines > written
        os.close(read_end)
        os.close(write_end)

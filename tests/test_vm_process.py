"""An entry VM as the platform starts it: a process with a settings file."""

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
    """One process and the lines that it wrote."""

    def __init__(self, vms: vm_fleet.VmFleet, path: pathlib.Path) -> None:
        self.lines: list[dict[str, Any]] = []
        self._vms = vms
        self._path = path
        self._reading: asyncio.Task[None] | None = None
        self.process: asyncio.subprocess.Process

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "wigeonspool.vm.main"),
            env=os.environ | {"WIGEONSPOOL_BOOT": str(self._path)},
            stdout=asyncio.subprocess.PIPE,
        )
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stdout is not None
        async for line in self.process.stdout:
            self.lines.append(json.loads(line))

    def tells(self, event: str) -> bool:
        """Returns True once a line tells of an event."""
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

    async def end(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        if self._reading is not None:
            await self._reading


async def start_process(
    vms: vm_fleet.VmFleet, folder: pathlib.Path
) -> VmProcess:
    """Starts a VM as a process; it is not ready yet."""
    settings = vm_fleet.build_boot("vm-1", "zone-a", vms.store_address)
    vms.settings["vm-1"] = settings
    path = folder / "local.toml"
    write_settings(path, settings, "3s")
    started = VmProcess(vms, path)
    await started.start()
    return started


@pytest_asyncio.fixture
async def vm_process(
    vms: vm_fleet.VmFleet, tmp_path: pathlib.Path
) -> AsyncIterator[VmProcess]:
    started = await start_process(vms, tmp_path)
    await started.wait_ready("vm-1")
    yield started
    await started.end()


class TestProcess:
    async def test_it_serves_and_stops_without_a_cut(
        self, vms: vm_fleet.VmFleet, vm_process: VmProcess
    ) -> None:
        assert (await vms.send("vm-1", "/read/1"))[0] == 200
        for target in vms.targets.values():
            target.service_ms = 700
        running = [
            asyncio.create_task(vms.send("vm-1", "/read/1")) for _ in range(3)
        ]
        await fleet.wait_for(
            lambda: sum(len(t.runs) for t in vms.targets.values()) >= 4
        )
        vm_process.process.send_signal(signal.SIGTERM)
        assert [(await task)[0] for task in running] == [200] * 3
        assert await vm_process.process.wait() == 0
        await vm_process.end()
        assert vm_process.tells("started")
        assert vm_process.tells("stopped")

    async def test_settings_are_read_anew_at_a_signal(
        self, vms: vm_fleet.VmFleet, vm_process: VmProcess
    ) -> None:
        vm_process.process.send_signal(signal.SIGHUP)
        await fleet.wait_for(lambda: vm_process.tells("reloaded"))
        assert (await vms.send("vm-1", "/read/1"))[0] == 200

    async def test_settings_are_read_anew_without_a_signal(
        self,
        vms: vm_fleet.VmFleet,
        vm_process: VmProcess,
        tmp_path: pathlib.Path,
    ) -> None:
        path = tmp_path / "local.toml"
        write_settings(path, vms.settings["vm-1"], "5s")
        await fleet.wait_for(lambda: vm_process.tells("reloaded"))
        path.write_text("broken = [", encoding="utf-8")
        failed = "reload failed; settings stay"
        await fleet.wait_for(lambda: vm_process.tells(failed))
        assert (await vms.send("vm-1", "/read/1"))[0] == 200

    async def test_failed_request_is_explained_by_its_line(
        self, vms: vm_fleet.VmFleet, vm_process: VmProcess
    ) -> None:
        vms.set_faults(lost=True)
        status, _, _ = await vms.send(
            "vm-1", "/write/1", "POST", attempt="one", data=b"x"
        )
        assert status == 502
        await fleet.wait_for(lambda: vm_process.tells("ended"))
        (line,) = [x for x in vm_process.lines if x.get("request") == "one"]
        assert line["event"] == "ended"
        assert line["outcome"] == "connection-lost"
        assert line["not_run"] is False
        lost, refused = line["steps"][-2:]
        assert lost[1:3] == ["lost", vms.find_runs("one")[0]]
        assert refused[1] == "may-not-repeat"

    async def test_invalid_settings_end_it_with_a_reason(
        self, tmp_path: pathlib.Path
    ) -> None:
        path = tmp_path / "local.toml"
        path.write_text("[Self]\nNode = 3\n", encoding="utf-8")
        ended = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "wigeonspool.vm.main"),
            env=os.environ | {"WIGEONSPOOL_BOOT": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await ended.communicate()
        assert ended.returncode == 2
        assert str(path).encode() in errors


class TestStart:
    """Callers who connect while the libraries of a process are loaded."""

    def test_ports_open_before_libraries_are_loaded(self) -> None:
        code = "import sys, wigeonspool.vm.main; print(*sys.modules)"
        command = [sys.executable, "-c", code]
        found = subprocess.run(command, capture_output=True, check=True)
        loaded = found.stdout.decode().split()
        slow = {"aiohttp", "asyncio", "loguru", "mode", "msgspec", "uvloop"}
        assert "wigeonspool.listen_sockets" in loaded
        assert not slow & set(loaded)

    async def test_they_wait_and_are_answered(
        self, vms: vm_fleet.VmFleet, tmp_path: pathlib.Path
    ) -> None:
        started = await start_process(vms, tmp_path)
        settings = vms.settings["vm-1"]
        host, _, port = settings.callers.rpartition(":")
        async with asyncio.timeout(10):
            while True:
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                    break
                except ConnectionRefusedError:
                    await asyncio.sleep(0.002)
        assert not started.tells("started")
        writer.close()
        asked = asyncio.create_task(vms.resolve("vm-1", "zone-a"))
        status, _, _ = await vms.send("vm-1", "/read/1")
        assert status == 200
        assert await asked == [settings.callers]
        await started.end()

    def test_unreadable_settings_open_no_port(
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

    async def test_port_that_is_taken_is_told_by_its_server(self) -> None:
        address = fleet.reserve_address()
        taken = listen_sockets.open_listen_socket(address)
        opened = listen_sockets.ListenSockets([address])
        assert list(opened.failures) == [address]
        with pytest.raises(OSError):
            server = web.Server(lambda request: web.Response())
            await process.serve_http(
                address, server, opened.pop_socket(address)
            )
        taken.close()


class TestStartGate:
    """What arrives before the configuration is known."""

    async def test_it_waits_for_the_first_read(self) -> None:
        known = cluster_state.ClusterState()
        gate = startup_gate.StartupGate(known)
        waiting = asyncio.create_task(gate.wait())
        await asyncio.sleep(0.01)
        gate.open_if_configured()
        await asyncio.sleep(0.01)
        assert not waiting.done()
        known.configuration = fleet_model.Configuration(
            1, {}, {}, fleet_model.CallerLimits()
        )
        gate.open_if_configured()
        await asyncio.wait_for(waiting, 0.1)

    async def test_it_waits_no_longer_than_the_first_read_takes(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(startup_gate, "FIRST_READ_SECONDS", 0.02)
        gate = startup_gate.StartupGate(cluster_state.ClusterState())
        await asyncio.wait_for(gate.wait(), 0.5)
        # Whoever comes later is told at once.
        await asyncio.wait_for(gate.wait(), 0.005)


def build_message(level: str) -> Any:
    record = {"level": loguru.logger.level(level)}
    return type("Message", (), {"record": record})()


class TestLineWriter:
    def read_all(self, descriptor: int) -> bytes:
        os.set_blocking(descriptor, False)
        parts = []
        try:
            while part := os.read(descriptor, 65536):
                parts.append(part)
        except BlockingIOError:
            pass
        return b"".join(parts)

    def test_reader_that_stops_costs_lines_and_nothing_else(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(structured_log, "LINES_PER_SECOND", 1e9)
        reading, writing = os.pipe()
        writer = structured_log.LineWriter(writing)
        monkeypatch.setattr(
            structured_log, "encode_record", lambda _: b"x" * 999 + b"\n"
        )
        message = build_message("INFO")
        for _ in range(200):
            writer.write(message)
        assert writer.dropped_lines > 0
        before = self.read_all(reading)
        assert set(before) <= set(b"x\n")
        writer.write(message)
        writer.write(message)
        after = self.read_all(reading)
        assert b"lines left out" in after
        os.close(reading)
        os.close(writing)

    def test_volume_is_bounded(self, monkeypatch: pytest.MonkeyPatch) -> None:
        reading, writing = os.pipe()
        writer = structured_log.LineWriter(writing)
        monkeypatch.setattr(structured_log, "encode_record", lambda _: b"\n")
        # What went as it should is left out first.
        count = int(structured_log.BURST_LINES) * 3
        for _ in range(count):
            writer.write(build_message("DEBUG"))
        written = count - writer.dropped_lines
        assert written < 0.75 * structured_log.BURST_LINES
        for _ in range(count):
            writer.write(build_message("INFO"))
        # What is earned while the loop runs is far below another burst.
        assert writer.dropped_lines > 4 * structured_log.BURST_LINES
        assert 2 * count - writer.dropped_lines > written
        os.close(reading)
        os.close(writing)

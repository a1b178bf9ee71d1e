"""A gateway in its own process that signals terminate, pause and kill."""

import asyncio
from collections.abc import AsyncIterator
import pathlib
import signal
import sys

import aiohttp
import pytest
import pytest_asyncio
import yaml

from tests import fleet as fleets
from tests import test_home
from wigeonspool.agent import service as agents

pytestmark = pytest.mark.processes

COMMAND = "from wigeonspool.gateway.main import main; main()"
VM = "vm-alone"


class ProcessScene(test_home.Harness):
    """A scene whose key owner is a separate process; two gateways run here."""

    process: asyncio.subprocess.Process

    async def start_process(self, folder: pathlib.Path) -> None:
        fleet = self.fleet
        settings = fleet.build_settings(VM, "zone-9")
        fleet.settings[VM] = settings
        fleet.add_to_vm_list(VM, "zone-9", settings.agent.listen, "entry")
        fleet.agents[VM] = agents.AgentService(settings)
        await fleet.agents[VM].start()
        file = folder / "settings.yaml"
        file.write_text(yaml.safe_dump(settings.model_dump(mode="json")))
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-c", COMMAND, "--settings", str(file))
        )
        fleet.addresses[VM] = settings.gateway.addresses[0]
        view = next(iter(fleet.gateways.values()))._view
        await fleets.wait_for(lambda: f"{VM}-0" in view.gateways, 20.0)
        self.assignment = await self.request_zone_assignment("zone-9")
        assert self.owner_vm == VM
        # The new process may report to its agent before it has the tables.
        while (await self.send("first"))[0] != "answered":
            self.assignment = await self.request_zone_assignment("zone-9")
        self.target.runs.clear()

    async def request_zone_assignment(self, zone: str) -> dict[str, str]:
        seed = self.fleet.addresses["vm-0"]
        async with self.fleet.session.get(
            f"http://{seed}/.wigeonspool/address?pool=queue&zone={zone}",
            headers={"Wigeonspool-Caller": test_home.CALLER},
        ) as response:
            return dict(await response.json())["assignment"]


@pytest_asyncio.fixture
async def scene(tmp_path: pathlib.Path) -> AsyncIterator[ProcessScene]:
    fleet = fleets.Fleet()
    base_scene = await test_home.build_harness(fleet)
    process_scene = ProcessScene(fleet, base_scene.target)
    await process_scene.start_process(tmp_path)
    yield process_scene
    if process_scene.process.returncode is None:
        process_scene.process.kill()
    await process_scene.process.wait()
    await fleet.stop()


class TestSignals:
    async def test_resumed_process_runs_no_request_past_its_deadline(
        self, scene: ProcessScene
    ) -> None:
        scene.process.send_signal(signal.SIGSTOP)
        expired = asyncio.create_task(
            scene.send("2", Wigeonspool_Remaining_Ms="300")
        )
        await asyncio.sleep(1.5)
        resent = await scene.send(
            "2", address=scene.other_address, Wigeonspool_Remaining_Ms="300"
        )
        assert resent[0] == "unknown"
        scene.process.send_signal(signal.SIGCONT)
        assert (await expired)[:2] == ("not_run", "deadline-passed")
        assert scene.target.runs == []

    async def test_terminated_process_finishes_its_requests_and_exits(
        self, scene: ProcessScene
    ) -> None:
        scene.target.script = ["wait"]
        running = asyncio.create_task(scene.send("2"))
        await fleets.wait_for(lambda: bool(scene.target.runs))
        scene.process.terminate()
        await asyncio.sleep(1.0)
        scene.target.release.set()
        assert (await running)[0] == "answered"
        async with asyncio.timeout(20.0):
            assert await scene.process.wait() == 0
        assert len(scene.target.runs) == 1

    async def test_killed_process_leaves_an_unknown_outcome(
        self, scene: ProcessScene
    ) -> None:
        scene.target.script = ["wait"]
        running = asyncio.create_task(scene.send("2"))
        await fleets.wait_for(lambda: bool(scene.target.runs))
        scene.process.kill()
        results = await asyncio.gather(running, return_exceptions=True)
        assert isinstance(results[0], aiohttp.ClientError)
        scene.target.release.set()
        resent = await scene.send("2", address=scene.other_address)
        assert resent[0] == "unknown"
        assert len(scene.target.runs) == 1

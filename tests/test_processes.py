"""SIGTERM, SIGSTOP and SIGKILL sent to a gateway in its own process."""

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
from tests import test_key_owner
from wigeonspool.agent import service as agents

pytestmark = pytest.mark.processes

COMMAND = "from wigeonspool.gateway.main import main; main()"
VM = "vm-alone"


class ProcessHarness(test_key_owner.Harness):
    """A harness whose key owner is a gateway in its own process.

    Two more gateways run in the process of the test.
    """

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
        self.assignment = await self.request_assignment_in("zone-9")
        assert self.owner_vm == VM
        # The new process may report to its agent before it has the tables, and
        # refuses requests until then.
        while (await self.send("first"))[0] != "answered":
            self.assignment = await self.request_assignment_in("zone-9")
        self.target.runs.clear()

    async def request_assignment_in(self, zone: str) -> dict[str, str]:
        seed = self.fleet.addresses["vm-0"]
        async with self.fleet.session.get(
            f"http://{seed}/.wigeonspool/address?pool=queue&zone={zone}",
            headers={"Wigeonspool-Caller": test_key_owner.CALLER},
        ) as response:
            return dict(await response.json())["assignment"]


@pytest_asyncio.fixture
async def harness(tmp_path: pathlib.Path) -> AsyncIterator[ProcessHarness]:
    fleet = fleets.Fleet()
    base_harness = await test_key_owner.build_harness(fleet)
    harness = ProcessHarness(fleet, base_harness.target)
    await harness.start_process(tmp_path)
    yield harness
    if harness.process.returncode is None:
        harness.process.kill()
    await harness.process.wait()
    await fleet.stop()


class TestSignals:
    async def test_resumed_process_runs_no_request_past_its_deadline(
        self, harness: ProcessHarness
    ) -> None:
        harness.process.send_signal(signal.SIGSTOP)
        expired = asyncio.create_task(
            harness.send("2", Wigeonspool_Remaining_Ms="300")
        )
        await asyncio.sleep(1.5)
        resent = await harness.send(
            "2", address=harness.other_address, Wigeonspool_Remaining_Ms="300"
        )
        assert resent[0] == "unknown"
        harness.process.send_signal(signal.SIGCONT)
        assert (await expired)[:2] == ("not_run", "deadline-passed")
        assert harness.target.runs == []

    async def test_terminated_process_finishes_its_requests_and_exits(
        self, harness: ProcessHarness
    ) -> None:
        harness.target.script = ["wait"]
        running = asyncio.create_task(harness.send("2"))
        await fleets.wait_for(lambda: bool(harness.target.runs))
        harness.process.terminate()
        await asyncio.sleep(1.0)
        harness.target.release.set()
        assert (await running)[0] == "answered"
        async with asyncio.timeout(20.0):
            assert await harness.process.wait() == 0
        assert len(harness.target.runs) == 1

    async def test_killed_process_leaves_an_unknown_outcome(
        self, harness: ProcessHarness
    ) -> None:
        harness.target.script = ["wait"]
        running = asyncio.create_task(harness.send("2"))
        await fleets.wait_for(lambda: bool(harness.target.runs))
        harness.process.kill()
        results = await asyncio.gather(running, return_exceptions=True)
        assert isinstance(results[0], aiohttp.ClientError)
        harness.target.release.set()
        resent = await harness.send("2", address=harness.other_address)
        assert resent[0] == "unknown"
        assert len(harness.target.runs) == 1

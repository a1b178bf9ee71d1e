"""Requests through an entry VM; each component is a process."""

import asyncio
from collections.abc import Iterator
import dataclasses
import os
import pathlib
import sys
from typing import Any

import aiohttp
import pytest
from pytest_bdd import given
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests import fleet
from tests import test_vm_process
from tests import vm_fleet
from wigeonspool.model import vm_settings
from wigeonspool.platform.standin import main as standins

pytestmark = pytest.mark.processes
scenarios("platform.feature")

STANDIN = (sys.executable, "-m", "wigeonspool.platform.standin.main")
VM = (sys.executable, "-m", "wigeonspool.vm.main")
START_TIMEOUT_SECONDS = 30.0


@dataclasses.dataclass
class Scenario:
    """Processes that one scenario has started, and its latest response."""

    runner: asyncio.Runner
    folder: pathlib.Path
    store: str = dataclasses.field(default_factory=fleet.reserve_address)
    targets: dict[str, str] = dataclasses.field(default_factory=dict)
    processes: list[Any] = dataclasses.field(default_factory=list)
    settings: vm_settings.VmSettings | None = None
    address: str = ""
    response: tuple[int, bytes, Any] = (0, b"", None)

    async def start(self, *command: str, **variables: str) -> None:
        """Starts a process with additional environment variables."""
        process = await asyncio.create_subprocess_exec(
            *command,
            env=os.environ | variables,
            stdout=asyncio.subprocess.DEVNULL,
        )
        self.processes.append(process)

    async def stop(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()

    async def request(
        self, method: str, url: str, **options: Any
    ) -> tuple[int, bytes, Any]:
        """Returns the status, body and header fields of a response."""
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, **options) as response,
        ):
            return response.status, await response.read(), response.headers

    async def wait_for(self, url: str) -> None:
        """Waits until a GET of a URL returns status 200."""
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while True:
                try:
                    if (await self.request("GET", url))[0] == 200:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.05)

    async def send(self, method: str, path: str) -> None:
        """Sends a caller's request to the address that was looked up."""
        fields = {
            "Host": vm_fleet.HOST,
            "X-Attempt-Id": "a-1",
            "X-Timeout-Remaining": vm_fleet.REMAINING_MS,
        }
        url = f"http://{self.address}{path}"
        self.response = await self.request(method, url, headers=fields)


@pytest.fixture
def scenario(
    runner: asyncio.Runner, tmp_path: pathlib.Path
) -> Iterator[Scenario]:
    started = Scenario(runner, tmp_path)
    yield started
    runner.run(started.stop())


@given("a store, two targets and an entry VM as processes")
def start_all(scenario: Scenario) -> None:
    async def start() -> None:
        await scenario.start(*STANDIN, "store", scenario.store)
        await scenario.wait_for(f"http://{scenario.store}/v1/kv-range")
        rules = [
            vm_fleet.build_rule("read", "/read/", "safe", Service="reads"),
            vm_fleet.build_rule("post", "/post/", "unsafe", Service="reads"),
        ]
        document = vm_fleet.build_configuration(1, rules)
        await standins.write_key(scenario.store, "op/config", document)
        for identity in ("t-1", "t-2"):
            address = fleet.reserve_address()
            scenario.targets[identity] = address
            arguments = (identity, "reads", "zone-a", scenario.store)
            await scenario.start(*STANDIN, "target", address, *arguments)
            await scenario.wait_for(f"http://{address}/health")
            key_url = (
                f"http://{scenario.store}/v1/kv-key?Key=servers/{identity}"
            )
            await scenario.wait_for(key_url)
        settings = vm_fleet.build_settings("vm-1", "zone-a", scenario.store)
        scenario.settings = settings
        path = scenario.folder / "local.toml"
        test_vm_process.write_settings(path, settings, "2s")
        await scenario.start(*VM, WIGEONSPOOL_BOOT=str(path))
        await scenario.wait_for(f"http://{settings.readiness}/v1/ready")

    scenario.runner.run(start())


def set_faults(scenario: Scenario, address: str, **faults: Any) -> None:
    url = f"http://{address}/faults"
    response = scenario.runner.run(scenario.request("POST", url, json=faults))
    assert response[0] == 200


@given("all targets refuse requests")
def set_targets_full(scenario: Scenario) -> None:
    for address in scenario.targets.values():
        set_faults(scenario, address, full=True)


@given("the first target is five times slower than usual")
def slow_down_target(scenario: Scenario) -> None:
    set_faults(scenario, scenario.targets["t-1"], pace=500)


@given("the store is unavailable")
def make_store_unavailable(scenario: Scenario) -> None:
    set_faults(scenario, scenario.store, down=True)


@when("the caller looks up an address")
def look_up_address(scenario: Scenario) -> None:
    assert scenario.settings is not None
    query = f"Name={vm_fleet.HOST}&Region=north&Zone=zone-a"
    url = f"http://{scenario.settings.directory}/v1/resolve?{query}"
    status, body, _ = scenario.runner.run(scenario.request("GET", url))
    assert status == 200
    scenario.address = scenario.settings.callers
    assert scenario.address.encode() in body


@when("the caller reads a balance at that address")
def read_balance(scenario: Scenario) -> None:
    scenario.runner.run(scenario.send("GET", "/read/balance"))


@when("the caller posts a refund to that address")
def post_refund(scenario: Scenario) -> None:
    scenario.runner.run(scenario.send("POST", "/post/refund"))


@then("the caller receives the complete response of a target")
def check_response(scenario: Scenario) -> None:
    status, body, fields = scenario.response
    assert (status, body.decode() in scenario.targets) == (200, True)
    assert fields["X-Response-Seal"] == "seal-a-1"


@then(
    "the refund is refused without being run, and the response states when to"
    " retry"
)
def check_refusal(scenario: Scenario) -> None:
    status, _, fields = scenario.response
    assert status == 503
    assert float(fields["Retry-After"]) > 0


@then("the caller receives the response of the second target")
def check_second_target(scenario: Scenario) -> None:
    assert scenario.response[:2] == (200, b"t-2")

"""The whole path on a platform, as separate processes."""

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
START_SECONDS = 30.0


@dataclasses.dataclass
class Scene:
    """What one scenario has started and seen."""

    runner: asyncio.Runner
    folder: pathlib.Path
    store: str = dataclasses.field(default_factory=fleet.reserve_address)
    targets: dict[str, str] = dataclasses.field(default_factory=dict)
    processes: list[Any] = dataclasses.field(default_factory=list)
    settings: vm_settings.VmSettings | None = None
    address: str = ""
    answer: tuple[int, bytes, Any] = (0, b"", None)

    async def start(self, *command: str, **variables: str) -> None:
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

    async def ask(
        self, method: str, url: str, **options: Any
    ) -> tuple[int, bytes, Any]:
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, **options) as response,
        ):
            return response.status, await response.read(), response.headers

    async def wait_for(self, url: str) -> None:
        """Waits until a page answers 200."""
        async with asyncio.timeout(START_SECONDS):
            while True:
                try:
                    if (await self.ask("GET", url))[0] == 200:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.05)

    async def send(self, method: str, path: str) -> None:
        fields = {
            "Host": vm_fleet.HOST,
            "X-Attempt-Id": "a-1",
            "X-Timeout-Remaining": vm_fleet.REMAINING_MS,
        }
        url = f"http://{self.address}{path}"
        self.answer = await self.ask(method, url, headers=fields)


@pytest.fixture
def scene(runner: asyncio.Runner, tmp_path: pathlib.Path) -> Iterator[Scene]:
    started = Scene(runner, tmp_path)
    yield started
    runner.run(started.stop())


@given("a store, two targets and an entry VM as processes")
def start_all(scene: Scene) -> None:
    async def work() -> None:
        await scene.start(*STANDIN, "store", scene.store)
        await scene.wait_for(f"http://{scene.store}/v1/kv-range")
        rules = [
            vm_fleet.build_rule("read", "/read/", "safe", Service="reads"),
            vm_fleet.build_rule("post", "/post/", "unsafe", Service="reads"),
        ]
        document = vm_fleet.build_configuration(1, rules)
        await standins.write_key(scene.store, "op/config", document)
        for identity in ("t-1", "t-2"):
            address = fleet.reserve_address()
            scene.targets[identity] = address
            place = (identity, "reads", "zone-a", scene.store)
            await scene.start(*STANDIN, "target", address, *place)
            await scene.wait_for(f"http://{address}/health")
            key = f"http://{scene.store}/v1/kv-key?Key=servers/{identity}"
            await scene.wait_for(key)
        settings = vm_fleet.build_boot("vm-1", "zone-a", scene.store)
        scene.settings = settings
        path = scene.folder / "local.toml"
        test_vm_process.write_settings(path, settings, "2s")
        await scene.start(*VM, WIGEONSPOOL_BOOT=str(path))
        await scene.wait_for(f"http://{settings.readiness}/v1/ready")

    scene.runner.run(work())


def set_faults(scene: Scene, address: str, **faults: Any) -> None:
    url = f"http://{address}/faults"
    answer = scene.runner.run(scene.ask("POST", url, json=faults))
    assert answer[0] == 200


@given("all targets refuse work")
def fill_targets(scene: Scene) -> None:
    for address in scene.targets.values():
        set_faults(scene, address, full=True)


@given("the first target takes five times longer")
def slow_target(scene: Scene) -> None:
    set_faults(scene, scene.targets["t-1"], pace=500)


@given("the store is away")
def stop_store(scene: Scene) -> None:
    set_faults(scene, scene.store, down=True)


@when("the counter asks which address to use")
def ask_address(scene: Scene) -> None:
    assert scene.settings is not None
    query = f"Name={vm_fleet.HOST}&Region=north&Zone=zone-a"
    url = f"http://{scene.settings.directory}/v1/resolve?{query}"
    status, body, _ = scene.runner.run(scene.ask("GET", url))
    assert status == 200
    scene.address = scene.settings.callers
    assert scene.address.encode() in body


@when("the counter reads a balance there")
def read_balance(scene: Scene) -> None:
    scene.runner.run(scene.send("GET", "/read/balance"))


@when("the counter posts a refund there")
def post_refund(scene: Scene) -> None:
    scene.runner.run(scene.send("POST", "/post/refund"))


@then("it gets the whole answer of a target")
def check_answer(scene: Scene) -> None:
    status, body, fields = scene.answer
    assert (status, body.decode() in scene.targets) == (200, True)
    assert fields["X-Response-Seal"] == "seal-a-1"


@then("it is told that the refund was not run, and when to come back")
def check_refusal(scene: Scene) -> None:
    status, _, fields = scene.answer
    assert status == 503
    assert float(fields["Retry-After"]) > 0


@then("the second target answered")
def check_second(scene: Scene) -> None:
    assert scene.answer[:2] == (200, b"t-2")

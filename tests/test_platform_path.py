"""Requests through an entry VM; each component is a process."""

import asyncio
from collections.abc import Iterator
import dataclasses
import json
import os
import pathlib
import sys
import time
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
# The bound Drain of the settings in tests/test_vm_process.py.
DRAIN_SECONDS = 2.0
DECLINE_SECONDS = 2.0
# An attempt that is on its way when its target declines arrives within this
# time; after it, two more may reach the target until the end that it stated.
DECLINE_SLACK_SECONDS = 0.5
MAX_REQUESTS_DURING_DECLINE = 2


@dataclasses.dataclass
class Scenario:
    """Processes that one scenario has started, and its latest response."""

    runner: asyncio.Runner
    folder: pathlib.Path
    store: str = dataclasses.field(default_factory=fleet.reserve_address)
    targets: dict[str, str] = dataclasses.field(default_factory=dict)
    processes: list[Any] = dataclasses.field(default_factory=list)
    target_processes: dict[str, Any] = dataclasses.field(default_factory=dict)
    settings: vm_settings.VmSettings | None = None
    address: str = ""
    response: tuple[int, bytes, Any] = (0, b"", None)
    reads: list[tuple[str, int, bytes, Any]] = dataclasses.field(
        default_factory=list
    )
    left_at: float = 0.0
    responded_at: float = 0.0

    async def start(self, *command: str, **variables: str) -> Any:
        """Starts a process with additional environment variables."""
        process = await asyncio.create_subprocess_exec(
            *command,
            env=os.environ | variables,
            stdout=asyncio.subprocess.DEVNULL,
        )
        self.processes.append(process)
        return process

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

    async def start_target(self, identity: str, *options: str) -> None:
        """Starts a target at its address; waits until it is registered."""
        address = self.targets[identity]
        arguments = (identity, "reads", "zone-a", self.store, *options)
        self.target_processes[identity] = await self.start(
            *STANDIN, "target", address, *arguments
        )
        await self.wait_for(f"http://{address}/health")
        await self.wait_for(
            f"http://{self.store}/v1/kv-key?Key=servers/{identity}"
        )

    async def list_arrivals(
        self, identity: str, health_checks: bool = False
    ) -> list[dict[str, Any]]:
        """Returns the requests that reached a target.

        Args:
            identity: Identity of the target.
            health_checks: True to include health checks.
        """
        url = f"http://{self.targets[identity]}/arrivals"
        _, body, _ = await self.request("GET", url)
        return [
            row
            for row in json.loads(body)
            if health_checks or row["path"] != "/health"
        ]

    async def read_balance(self) -> None:
        """Sends one of many reads, and records its response."""
        attempt = f"read-{len(self.reads)}"
        await self.send("GET", "/read/balance", attempt)
        self.reads.append((attempt, *self.response))
        self.responded_at = time.monotonic()

    async def send(self, method: str, path: str, attempt: str = "a-1") -> None:
        """Sends a caller's request to the address that was looked up."""
        fields = {
            "Host": vm_fleet.HOST,
            "X-Attempt-Id": attempt,
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
            scenario.targets[identity] = fleet.reserve_address()
            await scenario.start_target(identity)
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


@when("the first target states that it leaves")
def state_leaving(scenario: Scenario) -> None:
    set_faults(scenario, scenario.targets["t-1"], leaving=True)
    stated_at = time.monotonic()

    async def read_until_told() -> None:
        """Reads until the target has told the VM in a response."""
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while not scenario.left_at:
                await scenario.read_balance()
                arrivals = await scenario.list_arrivals("t-1", True)
                if arrivals and arrivals[-1]["at"] > stated_at:
                    scenario.left_at = time.monotonic()

    scenario.runner.run(read_until_told())


@when("the caller reads balances for longer than the drain time")
def read_for_longer_than_drain(scenario: Scenario) -> None:
    async def read() -> None:
        while time.monotonic() < scenario.left_at + DRAIN_SECONDS + 1.0:
            await scenario.read_balance()
            await asyncio.sleep(0.01)

    scenario.runner.run(read())


@then("the caller received a complete response each time")
def check_reads(scenario: Scenario) -> None:
    assert len(scenario.reads) > 10
    for attempt, status, body, fields in scenario.reads:
        assert (status, body.decode() in scenario.targets) == (200, True)
        assert fields["X-Response-Seal"] == f"seal-{attempt}"


@then("no request reached the first target later than the drain time")
def check_drained(scenario: Scenario) -> None:
    arrivals = scenario.runner.run(scenario.list_arrivals("t-1"))
    drained_at = scenario.left_at + DRAIN_SECONDS
    late = [row for row in arrivals if row["at"] > drained_at]
    assert late == []
    others = scenario.runner.run(scenario.list_arrivals("t-2"))
    assert any(row["at"] > drained_at for row in others)


@when("the first target starts again under its identity")
def start_target_again(scenario: Scenario) -> None:
    async def start() -> None:
        process = scenario.target_processes["t-1"]
        process.kill()
        await process.wait()
        started_at_ms = str(standins.FIRST_START_MS + 1)
        await scenario.start_target("t-1", "--started-at-ms", started_at_ms)

    scenario.runner.run(start())


@then("requests of the caller reach the first target")
def check_requests_reach_target(scenario: Scenario) -> None:
    async def read() -> None:
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while not await scenario.list_arrivals("t-1"):
                await scenario.read_balance()

    scenario.runner.run(read())


@given("all targets decline requests for two seconds")
def let_targets_decline(scenario: Scenario) -> None:
    for address in scenario.targets.values():
        set_faults(scenario, address, declining_seconds=DECLINE_SECONDS)


@when("the caller reads a balance until all targets have declined")
def read_until_declined(scenario: Scenario) -> None:
    async def read() -> None:
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while not all(
                [await scenario.list_arrivals(t) for t in scenario.targets]
            ):
                await scenario.read_balance()

    scenario.runner.run(read())


@then("the caller is refused until the targets want requests again")
def check_refused_until_wanted(scenario: Scenario) -> None:
    declined_at = find_first_declines(scenario)
    status, _, fields = scenario.response
    assert status == 503
    # The targets' times count from before the VM received them, and the time
    # of the caller from after the response was built.
    retry_at = time.monotonic() + float(fields["Retry-After"])
    assert retry_at >= min(declined_at.values()) + DECLINE_SECONDS


def find_first_declines(scenario: Scenario) -> dict[str, float]:
    """Returns when each target declined first, by identity."""
    return {
        identity: scenario.runner.run(scenario.list_arrivals(identity))[0]["at"]
        for identity in scenario.targets
    }


@then("at most two requests reach each target before that")
def check_requests_during_decline(scenario: Scenario) -> None:
    declined_at = find_first_declines(scenario)

    async def read() -> None:
        end = max(declined_at.values()) + DECLINE_SECONDS
        while time.monotonic() < end - DECLINE_SLACK_SECONDS:
            began_at = time.monotonic()
            await scenario.read_balance()
            assert scenario.response[0] == 503
            # The time limit of the request is 1.5 s.
            assert time.monotonic() - began_at < 1.0

    scenario.runner.run(read())
    for identity, at in declined_at.items():
        begin = at + DECLINE_SLACK_SECONDS
        arrivals = scenario.runner.run(scenario.list_arrivals(identity, True))
        during = [
            row for row in arrivals if begin < row["at"] < at + DECLINE_SECONDS
        ]
        assert len(during) <= MAX_REQUESTS_DURING_DECLINE


@when("all targets accept requests")
def let_targets_accept(scenario: Scenario) -> None:
    for address in scenario.targets.values():
        set_faults(scenario, address, declining_seconds=None)


@when("the caller returns when it was told to")
def return_as_told(scenario: Scenario) -> None:
    async def wait_and_read() -> None:
        seconds = float(scenario.response[2]["Retry-After"])
        return_at = scenario.responded_at + seconds
        await asyncio.sleep(max(0.0, return_at - time.monotonic()))
        await scenario.send("GET", "/read/balance")

    scenario.runner.run(wait_and_read())

"""Scenarios of path.feature: requests through the gateways to targets."""

import asyncio
from collections.abc import Iterator
import dataclasses
from typing import Any

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests import fleet as fleets

scenarios("path.feature")


@dataclasses.dataclass
class Scenario:
    """State of one scenario.

    Attributes:
        runner: Runs the coroutines of the steps.
        fleet: The fleet, which each scenario starts anew.
        address_response: Response to the latest address lookup.
        responses: Status, header fields and content of each response.
        drained_address: Address of the drained target, or "".
    """

    runner: asyncio.Runner
    fleet: fleets.Fleet
    address_response: dict[str, Any] = dataclasses.field(default_factory=dict)
    responses: list[Any] = dataclasses.field(default_factory=list)
    drained_address: str = ""

    async def send(self, method: str, path: str, **fields: str) -> None:
        """Sends a request to the first address that was looked up."""
        address = self.address_response["addresses"][0]["address"]
        fields = {"Wigeonspool-Caller": "moderator"} | fields
        async with self.fleet.session.request(
            method, f"http://{address}{path}", headers=fields
        ) as response:
            content = await response.json(content_type=None)
            self.responses.append((response.status, response.headers, content))


@pytest.fixture
def scenario(runner: asyncio.Runner) -> Iterator[Scenario]:
    fleet = fleets.Fleet()
    runner.run(fleet.start())
    yield Scenario(runner, fleet)
    runner.run(fleet.stop())


@given("a fleet with three targets and the tables applied")
def start_targets(scenario: Scenario) -> None:
    async def start() -> None:
        for _ in range(3):
            await scenario.fleet.start_target()
        await scenario.fleet.apply(scenario.fleet.build_document())
        await fleets.wait_for(
            lambda: all(
                len(g._view.gateways) == 2
                for g in scenario.fleet.gateways.values()
            )
        )

    scenario.runner.run(start())


@when("a moderator looks up an address for the queue")
def look_up_address(scenario: Scenario) -> None:
    async def look_up() -> None:
        vm_address = scenario.fleet.addresses["vm-0"]
        async with scenario.fleet.session.get(
            f"http://{vm_address}/.wigeonspool/address?pool=queue&zone=zone-0",
            headers={"Wigeonspool-Caller": "moderator"},
        ) as response:
            assert response.status == 200
            scenario.address_response = await response.json()

    scenario.runner.run(look_up())


@when("the moderator reads the queue at that address")
def read_queue(scenario: Scenario) -> None:
    scenario.runner.run(
        scenario.send("GET", "/queue/1", **{"Wigeonspool-Request": "read-1"})
    )


@when(
    parsers.parse(
        "the moderator reads the queue at that address {count:d} times"
    )
)
def read_queue_repeatedly(scenario: Scenario, count: int) -> None:
    for _ in range(count):
        read_queue(scenario)
    assert all(status == 200 for status, _, _ in scenario.responses)


@when("the moderator reads a path that no route matches")
def read_unrouted_path(scenario: Scenario) -> None:
    scenario.runner.run(scenario.send("GET", "/nowhere"))


@when("the moderator sends the same ban twice")
def send_ban_twice(scenario: Scenario) -> None:
    assignment = scenario.address_response["assignment"]
    fields = {
        "Wigeonspool-Assignment": assignment["token"],
        "Idempotency-Key": f"{assignment['id']}.ban-7",
    }
    for _ in range(2):
        scenario.runner.run(scenario.send("POST", "/queue/ban", **fields))


@when("an operator drains one of the targets")
def drain_target(scenario: Scenario) -> None:
    document = scenario.fleet.build_document()
    document["pools"][0]["targets"][0]["drained"] = True
    scenario.drained_address = document["pools"][0]["targets"][0]["address"]
    scenario.runner.run(scenario.fleet.apply(document))


@then("the moderator receives the complete response to its own request")
def check_response(scenario: Scenario) -> None:
    status, fields, content = scenario.responses[0]
    assert status == 200
    assert fields["Wigeonspool-Outcome"] == "answered"
    assert content["request"] == "read-1"
    assert content["caller"] == "moderator"


@then("both responses are the same")
def check_same_response(scenario: Scenario) -> None:
    first, second = scenario.responses
    assert first[0] == second[0] == 200
    assert first[2] == second[2]


@then("the ban ran once")
def check_single_run(scenario: Scenario) -> None:
    runs = [r for t in scenario.fleet.targets.values() for r in t.runs]
    assert [run.path for run in runs] == ["/queue/ban"]


@then("the drained target ran no request")
def check_drained_target(scenario: Scenario) -> None:
    assert scenario.fleet.targets[scenario.drained_address].runs == []
    others = [
        target
        for address, target in scenario.fleet.targets.items()
        if address != scenario.drained_address
    ]
    assert sum(len(t.runs) for t in others) == 20


@then(
    "the moderator receives an error that states that the request was not run"
)
def check_not_run(scenario: Scenario) -> None:
    status, fields, content = scenario.responses[0]
    assert status == 404
    assert fields["Wigeonspool-Outcome"] == "not_run"
    assert content["reason"] == "no-route"

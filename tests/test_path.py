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
class Scene:
    """What one scenario has seen."""

    runner: asyncio.Runner
    fleet: fleets.Fleet
    address: dict[str, Any] = dataclasses.field(default_factory=dict)
    answers: list[Any] = dataclasses.field(default_factory=list)
    drained: str = ""

    async def send(self, method: str, path: str, **fields: str) -> None:
        host = self.address["addresses"][0]["address"]
        fields = {"Wigeonspool-Caller": "moderator"} | fields
        async with self.fleet.session.request(
            method, f"http://{host}{path}", headers=fields
        ) as response:
            content = await response.json(content_type=None)
            self.answers.append((response.status, response.headers, content))


@pytest.fixture
def scene(runner: asyncio.Runner) -> Iterator[Scene]:
    fleet = fleets.Fleet()
    runner.run(fleet.start())
    yield Scene(runner, fleet)
    runner.run(fleet.stop())


@given("a fleet with three targets and the tables applied")
def start_targets(scene: Scene) -> None:
    async def work() -> None:
        for _ in range(3):
            await scene.fleet.start_target()
        await scene.fleet.apply(scene.fleet.declare())
        await fleets.wait_for(
            lambda: all(
                len(g._view.gateways) == 2
                for g in scene.fleet.gateways.values()
            )
        )

    scene.runner.run(work())


@when("a moderator asks which address to use for the queue")
def ask_address(scene: Scene) -> None:
    async def work() -> None:
        seed = scene.fleet.addresses["vm-0"]
        async with scene.fleet.session.get(
            f"http://{seed}/.wigeonspool/address?pool=queue&zone=zone-0",
            headers={"Wigeonspool-Caller": "moderator"},
        ) as response:
            assert response.status == 200
            scene.address = await response.json()

    scene.runner.run(work())


@when("the moderator reads the queue there")
def read_queue(scene: Scene) -> None:
    scene.runner.run(
        scene.send("GET", "/queue/1", **{"Wigeonspool-Request": "read-1"})
    )


@when(parsers.parse("the moderator reads the queue there {count:d} times"))
def read_often(scene: Scene, count: int) -> None:
    for _ in range(count):
        read_queue(scene)
    assert all(status == 200 for status, _, _ in scene.answers)


@when("the moderator reads what no route serves")
def read_nothing(scene: Scene) -> None:
    scene.runner.run(scene.send("GET", "/nowhere"))


@when("the moderator sends the same ban twice")
def send_twice(scene: Scene) -> None:
    assignment = scene.address["assignment"]
    fields = {
        "Wigeonspool-Assignment": assignment["token"],
        "Idempotency-Key": f"{assignment['id']}.ban-7",
    }
    for _ in range(2):
        scene.runner.run(scene.send("POST", "/queue/ban", **fields))


@when("an operator drains one of the targets")
def drain_target(scene: Scene) -> None:
    document = scene.fleet.declare()
    document["pools"][0]["targets"][0]["drained"] = True
    scene.drained = document["pools"][0]["targets"][0]["address"]
    scene.runner.run(scene.fleet.apply(document))


@then("the moderator gets the whole answer to its own request")
def check_answer(scene: Scene) -> None:
    status, fields, content = scene.answers[0]
    assert status == 200
    assert fields["Wigeonspool-Outcome"] == "answered"
    assert content["request"] == "read-1"
    assert content["caller"] == "moderator"


@then("both answers are the same")
def check_same(scene: Scene) -> None:
    first, second = scene.answers
    assert first[0] == second[0] == 200
    assert first[2] == second[2]


@then("the ban ran once")
def check_once(scene: Scene) -> None:
    runs = [r for t in scene.fleet.targets.values() for r in t.runs]
    assert [run.path for run in runs] == ["/queue/ban"]


@then("the drained target ran nothing")
def check_drained(scene: Scene) -> None:
    assert scene.fleet.targets[scene.drained].runs == []
    others = [t for a, t in scene.fleet.targets.items() if a != scene.drained]
    assert sum(len(t.runs) for t in others) == 20


@then("the moderator is told that the request was not run")
def check_not_run(scene: Scene) -> None:
    status, fields, content = scene.answers[0]
    assert status == 404
    assert fields["Wigeonspool-Outcome"] == "not_run"
    assert content["reason"] == "no-route"

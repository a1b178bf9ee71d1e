import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import io
import json
import pathlib
from typing import Any

import pytest
import pytest_asyncio
import yaml

from tests import fleet as fleets
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import messages
from wigeonspool.model import probe_messages
from wigeonspool.operator import ctl
from wigeonspool.operator import differences
from wigeonspool.operator import draining
from wigeonspool.operator import edits
from wigeonspool.operator import sessions
from wigeonspool.operator import statuses
from wigeonspool.operator import versions

# Commands have a few seconds for each answer of a fleet in the same process.
pytestmark = pytest.mark.processes


@dataclasses.dataclass(frozen=True)
class Done:
    """How a command ended."""

    code: int
    out: str
    err: str

    @property
    def document(self) -> Any:
        return json.loads(self.out)


class Operator:
    """Runs commands against a fleet, each on an event loop of its own."""

    def __init__(self, fleet: fleets.Fleet, directory: pathlib.Path) -> None:
        self.fleet = fleet
        self._directory = directory

    def write(self, document: dict[str, Any], name: str = "tables") -> str:
        path = self._directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(document))
        return str(path)

    async def run(self, *arguments: str) -> Done:
        def work() -> Done:
            out, err = io.StringIO(), io.StringIO()
            code = 0
            with (
                contextlib.redirect_stdout(out),
                contextlib.redirect_stderr(err),
            ):
                try:
                    ctl.app(arguments)
                except SystemExit as error:
                    code = int(error.code or 0)
            return Done(code, out.getvalue(), err.getvalue())

        with pytest.MonkeyPatch.context() as patch:
            patch.setenv("WIGEONSPOOL_STORE", self.fleet.store_url)
            patch.setenv(
                "WIGEONSPOOL_AGENT",
                self.fleet.settings["vm-0"].agent.listen,
            )
            patch.setenv("WIGEONSPOOL_VM_LIST", f"{self.fleet.vms_url}/v1/vms")
            return await asyncio.to_thread(work)


@pytest_asyncio.fixture
async def operator(
    fleet: fleets.Fleet, tmp_path: pathlib.Path
) -> AsyncIterator[Operator]:
    """An operator of a fleet of two VMs and two targets, tables applied."""
    await fleet.start_target()
    await fleet.start_target()
    await fleet.apply(fleet.declare())
    agent = fleet.agents["vm-0"]
    await fleets.wait_for(
        lambda: (
            sum(len(h.gateways) for h in agent._members.list_heartbeats()) == 2
        )
    )
    yield Operator(fleet, tmp_path)


class TestValidateAndDiff:
    async def test_field_that_changes_is_shown(
        self, operator: Operator
    ) -> None:
        document = operator.fleet.declare(slots=8)
        document["pools"][0]["targets"][0]["drained"] = True
        address = document["pools"][0]["targets"][0]["address"]
        document["routes"].pop()
        file = operator.write(document)
        assert (await operator.run("validate", file)).out == (
            "1 pools, 1 routes: valid\n"
        )
        done = await operator.run("diff", file)
        assert done.out.splitlines() == [
            "~ pool queue: slots: 4 -> 8",
            f"~ pool queue target {address}: drained: false -> true",
            "- route write: POST /queue to pool queue",
        ]
        done = await operator.run("diff", file, "--json")
        assert done.document["differences"][0] == {
            "table": "pool",
            "row": "queue",
            "field": "slots",
            "target": "",
            "before": 4,
            "after": 8,
        }
        shown = await operator.run("show", "--json")
        assert shown.document["generation"] == 1

    async def test_store_that_is_down_is_told(self, operator: Operator) -> None:
        file = operator.write(operator.fleet.declare())
        done = await operator.run(
            "diff", file, "--store", "http://127.0.0.1:1", "--json"
        )
        assert done.code == 1
        assert json.loads(done.err)["error"] == "store-unavailable"


class TestApply:
    async def test_generation_is_in_force_on_n_of_n(
        self, operator: Operator
    ) -> None:
        file = operator.write(operator.fleet.declare(slots=8))
        done = await operator.run("apply", file, "--wait")
        assert done.code == 0
        assert "generation 2 accepted" in done.out
        assert "generation 2 in force on 2 of 2 VMs after" in done.out
        done = await operator.run("apply", file, "--wait", "--json")
        assert done.document["changed"] is False
        assert done.document["in_force"] == 2

    async def test_invalid_file_applies_nothing(
        self, operator: Operator
    ) -> None:
        document = operator.fleet.declare()
        document["routes"][0]["pool"] = "other"
        done = await operator.run("apply", operator.write(document))
        assert done.code == 2
        assert "pool 'other' does not exist" in done.err
        shown = await operator.run("show", "--json")
        assert shown.document["generation"] == 1

    async def test_file_based_on_an_old_state_is_refused(
        self, operator: Operator
    ) -> None:
        address = next(iter(operator.fleet.targets))
        file = operator.write(operator.fleet.declare(slots=8))
        assert (await operator.run("drain", address)).code == 0
        done = await operator.run("apply", file, "--base", "1")
        assert done.code == 3
        assert f"target {address}: drained: false -> true" in done.err
        shown = await operator.run("show", "--json")
        assert shown.document["pools"][0]["slots"] == 4
        assert (await operator.run("apply", file, "--base", "2")).code == 0

    async def test_change_that_came_first_is_shown(
        self, operator: Operator
    ) -> None:
        fleet = operator.fleet
        held = entities.EMPTY_TABLES
        async with sessions.open_log(fleet.store_url, fleets.PREFIX) as log:
            held = await log.read_tables()
            await fleet.apply(fleet.declare(slots=8))
            original = log.read_tables
            reads = [held]

            async def read_stale() -> entities.Tables:
                return reads.pop() if reads else await original()

            log.read_tables = read_stale  # type: ignore[method-assign]
            wanted = dataclasses.replace(held, routes={})
            with pytest.raises(errors.BaseOutdatedError) as caught:
                await edits.replace_tables(log, wanted)
        assert caught.value.intervening_changes == (
            "2 by test: ~ pool queue: slots: 4 -> 8",
        )

    async def test_not_in_force_in_time_has_a_code_of_its_own(
        self, operator: Operator
    ) -> None:
        file = operator.write(operator.fleet.declare(slots=8))
        done = await operator.run(
            "apply",
            file,
            "--wait",
            "--agent",
            "127.0.0.1:1",
            "--wait-seconds",
            "0.2",
        )
        assert done.code == 4
        assert "generation 2 is accepted" in done.err


class TestShowAndHistory:
    async def test_old_generation_can_be_applied_again(
        self, operator: Operator
    ) -> None:
        await operator.fleet.apply(operator.fleet.declare(slots=8))
        shown = await operator.run("show", "--at", "1")
        assert shown.out.startswith("# generation 1\n")
        file = operator.write(yaml.safe_load(shown.out))
        done = await operator.run("diff", file)
        assert done.out == "~ pool queue: slots: 8 -> 4\n"
        done = await operator.run("show", "--at", "9")
        assert done.code == 2

    async def test_history_tells_who_changed_what(
        self, operator: Operator
    ) -> None:
        await operator.fleet.apply(operator.fleet.declare(slots=8))
        done = await operator.run("history", "--last", "1")
        first, second = done.out.splitlines()
        assert first.startswith("2  ")
        assert first.endswith("UTC  test")
        assert second == "  ~ pool queue: slots: 4 -> 8"

    async def test_history_goes_back_beyond_the_oldest_snapshot(
        self, operator: Operator
    ) -> None:
        fleet = operator.fleet
        for slots in (5, 6, 7, 8):
            await fleet.apply(fleet.declare(slots=slots))
        async with sessions.open_log(fleet.store_url, fleets.PREFIX) as log:
            tables = await versions.read_tables_at(log, 4)
            await log.snapshots.write(tables, {}, "test")
            await log.compact(4, kept_changes=1)
        done = await operator.run("history")
        lines = done.out.splitlines()
        assert [x.split("  ")[0] for x in lines[::2]] == ["3", "4", "5"]
        assert lines[1].startswith("  ~ pool queue: row: not kept -> 2 targets")
        assert lines[5] == "  ~ pool queue: slots: 7 -> 8"
        done = await operator.run("show", "--at", "4", "--json")
        assert done.document["pools"][0]["slots"] == 7
        done = await operator.run("show", "--at", "3")
        assert done.code == 2
        assert "which holds 4 to 5" in done.err


class TestDrain:
    async def test_target_is_drained_and_served_again(
        self, operator: Operator
    ) -> None:
        address = next(iter(operator.fleet.targets))
        done = await operator.run("drain", address, "--wait")
        assert "drained: false -> true" in done.out
        status = await operator.run("status")
        assert f"target {address}  zone-0  draining at 2 gateways" in status.out
        assert "(drained by an operator)" in status.out
        done = await operator.run("drain", address)
        assert done.out == "no difference\n"
        assert (await operator.run("undrain", address, "--wait")).code == 0
        status = await operator.run("status")
        assert "targets: 2 serving" in status.out

    async def test_target_is_named_by_its_vm(self, operator: Operator) -> None:
        address = next(iter(operator.fleet.targets))
        operator.fleet.list_vm("host-9", "zone-0", address, "target")
        done = await operator.run("drain", "host-9")
        assert f"target {address}: drained: false -> true" in done.out

    @pytest.mark.parametrize("name", ["10.0.0.9:1", "no-such-vm"])
    async def test_unknown_target_is_refused(
        self, operator: Operator, name: str
    ) -> None:
        done = await operator.run("drain", name)
        assert done.code == 2

    async def test_racing_operators_lose_nothing(
        self, operator: Operator
    ) -> None:
        fleet = operator.fleet
        for _ in range(4):
            await fleet.start_target()
        await fleet.apply(fleet.declare())

        async def drain(address: str) -> None:
            async with sessions.open_log(fleet.store_url, fleets.PREFIX) as log:
                await edits.edit_tables(
                    log, lambda t: draining.mark_drained(t, address, True)
                )

        await asyncio.gather(*(drain(address) for address in fleet.targets))
        async with sessions.open_log(fleet.store_url, fleets.PREFIX) as log:
            tables = await log.read_tables()
        assert all(t.drained for t in tables.pools["queue"].targets)
        assert tables.generation == 2 + len(fleet.targets)


class TestStatus:
    async def test_fleet_is_shown(self, operator: Operator) -> None:
        done = await operator.run("status", "--all")
        lines = done.out.splitlines()
        assert lines[0].startswith("generation 1 in force on 2 of 2 VMs; ")
        assert sum(line.startswith("  gateway ") for line in lines) == 2
        assert sum(line.startswith("  target ") for line in lines) == 2
        done = await operator.run("status", "--json", "--pool", "queue")
        assert done.document["in_force"] == 2
        assert [p["name"] for p in done.document["pools"]] == ["queue"]
        assert done.document["pools"][0]["targets"][0]["states"] == {
            "serving": 2
        }

    async def test_vm_that_does_not_answer_hides_no_other(
        self, operator: Operator
    ) -> None:
        agent = operator.fleet.agents["vm-1"]
        assert agent._stream_server._server is not None
        agent._stream_server._server.close()
        done = await operator.run("status")
        assert done.code == 0
        assert "  vm-1-agent did not answer" in done.out
        assert "targets: 2 serving" in done.out

    async def test_holder_of_a_measuring_budget_is_shown(
        self, operator: Operator
    ) -> None:
        fleet = operator.fleet
        held: list[str] = []

        def check() -> bool:
            held[:] = [
                vm
                for vm, agent in fleet.agents.items()
                if "queue" in agent._feeder.leases.list_held()
            ]
            return len(held) == 1

        await fleets.wait_for(check)
        done = await operator.run("status")
        assert f"  measuring budget is held by {held[0]}" in done.out
        calls = sum(
            agent._feeder.client.calls for agent in fleet.agents.values()
        )
        assert 0 < int(done.out.split("; ")[1].split(" ")[0]) <= calls

    async def test_what_measuring_cost_is_shown(
        self, operator: Operator
    ) -> None:
        fleet = operator.fleet
        spenders = [a._feeder.probe_scheduler for a in fleet.agents.values()]
        target = next(iter(fleet.targets))
        wish = probe_messages.ProbeRequest("queue", (target,))

        def check() -> bool:
            for prober in spenders:
                prober.add_request(wish)
            return any(
                spent.bytes
                for prober in spenders
                for spent in prober.list_spending()
            )

        await fleets.wait_for(check)
        done = await operator.run("status", "--json")
        spent = done.document["pools"][0]["spent"]
        (row,) = spent.values()
        assert row["requests"] >= 1
        assert row["bytes"] >= 100 * row["requests"]
        done = await operator.run("status")
        assert (
            f"  measured by {next(iter(spent))} since its start: " in done.out
        )
        assert "budget 10 requests/s, 20000 bytes/s" in done.out

    async def test_top_refreshes(self, operator: Operator) -> None:
        done = await operator.run(
            "top", "--count", "3", "--every-seconds", "0.01", "--json"
        )
        shown = [json.loads(line) for line in done.out.splitlines()]
        assert [s["generation"] for s in shown] == [1, 1, 1]

    async def test_agent_that_is_down_is_told(self, operator: Operator) -> None:
        done = await operator.run("status", "--agent", "127.0.0.1:1")
        assert done.code == 1
        assert "agent 127.0.0.1:1 did not answer" in done.err

    @pytest.mark.parametrize("address", ["", "nonsense", "a:b", "a:99999"])
    async def test_address_that_is_none_is_told(
        self, operator: Operator, address: str
    ) -> None:
        done = await operator.run("status", "--agent", address)
        assert done.code == 1
        assert f"agent {address} did not answer" in done.err

    async def test_region_that_cannot_be_reached_hides_no_other(
        self, operator: Operator, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        heartbeats = await statuses.read_heartbeats(
            operator.fleet.settings["vm-0"].agent.listen
        )
        gone = messages.Heartbeat("far-unreachable", "far", "", "", 0, 0, ())

        async def read(_: str) -> tuple[messages.Heartbeat, ...]:
            return (*heartbeats, gone)

        monkeypatch.setattr(statuses, "read_heartbeats", read)
        done = await operator.run("status")
        assert "in force on 2 of 3 VMs" in done.out
        assert "  far-unreachable-agent did not answer" in done.out


class TestDifferences:
    def test_every_field_of_a_row_is_compared(self) -> None:
        before = entities.Route("r", "GET", "/a", "p", True)
        for field in dataclasses.fields(before):
            if field.name == "name":
                continue
            after = dataclasses.replace(before, **{field.name: "other"})
            found = differences.compare_tables(
                entities.Tables(0, {"r": before}, {}),
                entities.Tables(0, {"r": after}, {}),
            )
            assert [d.field for d in found] == [field.name]

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

# The fleet runs in this process, and a command fails if a reply of the fleet
# takes longer than a few seconds.
pytestmark = pytest.mark.processes


@dataclasses.dataclass(frozen=True)
class CommandResult:
    """Exit code and output of a command."""

    code: int
    out: str
    err: str

    @property
    def document(self) -> Any:
        return json.loads(self.out)


class Operator:
    """Runs commands against a fleet, each on its own event loop."""

    def __init__(self, fleet: fleets.Fleet, directory: pathlib.Path) -> None:
        self.fleet = fleet
        self._directory = directory

    def write(self, document: dict[str, Any], name: str = "tables") -> str:
        path = self._directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(document))
        return str(path)

    async def run(self, *arguments: str) -> CommandResult:
        def run_command() -> CommandResult:
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
            return CommandResult(code, out.getvalue(), err.getvalue())

        with pytest.MonkeyPatch.context() as patch:
            patch.setenv("WIGEONSPOOL_STORE", self.fleet.store_url)
            patch.setenv(
                "WIGEONSPOOL_AGENT",
                self.fleet.settings["vm-0"].agent.listen,
            )
            patch.setenv("WIGEONSPOOL_VM_LIST", f"{self.fleet.vms_url}/v1/vms")
            return await asyncio.to_thread(run_command)


@pytest_asyncio.fixture
async def operator(
    fleet: fleets.Fleet, tmp_path: pathlib.Path
) -> AsyncIterator[Operator]:
    """An operator of a fleet of two VMs and two targets with applied tables."""
    await fleet.start_target()
    await fleet.start_target()
    await fleet.apply(fleet.build_document())
    agent = fleet.agents["vm-0"]
    await fleets.wait_for(
        lambda: (
            sum(len(h.gateways) for h in agent._members.list_heartbeats()) == 2
        )
    )
    yield Operator(fleet, tmp_path)


class TestValidateAndDiff:
    async def test_changed_fields_and_rows_are_shown(
        self, operator: Operator
    ) -> None:
        document = operator.fleet.build_document(slots=8)
        document["pools"][0]["targets"][0]["drained"] = True
        address = document["pools"][0]["targets"][0]["address"]
        document["routes"].pop()
        file = operator.write(document)
        assert (await operator.run("validate", file)).out == (
            "1 pools, 1 routes: valid\n"
        )
        result = await operator.run("diff", file)
        assert result.out.splitlines() == [
            "~ pool queue: slots: 4 -> 8",
            f"~ pool queue target {address}: drained: false -> true",
            "- route write: POST /queue to pool queue",
        ]
        result = await operator.run("diff", file, "--json")
        assert result.document["differences"][0] == {
            "table": "pool",
            "row": "queue",
            "field": "slots",
            "target": "",
            "before": 4,
            "after": 8,
        }
        shown = await operator.run("show", "--json")
        assert shown.document["generation"] == 1

    async def test_unavailable_store_is_reported(
        self, operator: Operator
    ) -> None:
        file = operator.write(operator.fleet.build_document())
        result = await operator.run(
            "diff", file, "--store", "http://127.0.0.1:1", "--json"
        )
        assert result.code == 1
        assert json.loads(result.err)["error"] == "store-unavailable"


class TestApply:
    async def test_wait_ends_when_the_generation_is_active_on_all_vms(
        self, operator: Operator
    ) -> None:
        file = operator.write(operator.fleet.build_document(slots=8))
        result = await operator.run("apply", file, "--wait")
        assert result.code == 0
        assert "generation 2 accepted" in result.out
        assert "generation 2 in force on 2 of 2 VMs after" in result.out
        result = await operator.run("apply", file, "--wait", "--json")
        assert result.document["changed"] is False
        assert result.document["in_force"] == 2

    async def test_invalid_file_changes_nothing(
        self, operator: Operator
    ) -> None:
        document = operator.fleet.build_document()
        document["routes"][0]["pool"] = "other"
        result = await operator.run("apply", operator.write(document))
        assert result.code == 2
        assert "pool 'other' does not exist" in result.err
        shown = await operator.run("show", "--json")
        assert shown.document["generation"] == 1

    async def test_file_with_an_outdated_base_is_refused(
        self, operator: Operator
    ) -> None:
        address = next(iter(operator.fleet.targets))
        file = operator.write(operator.fleet.build_document(slots=8))
        assert (await operator.run("drain", address)).code == 0
        result = await operator.run("apply", file, "--base", "1")
        assert result.code == 3
        assert f"target {address}: drained: false -> true" in result.err
        shown = await operator.run("show", "--json")
        assert shown.document["pools"][0]["slots"] == 4
        assert (await operator.run("apply", file, "--base", "2")).code == 0

    async def test_intervening_change_is_shown(
        self, operator: Operator
    ) -> None:
        fleet = operator.fleet
        current = entities.EMPTY_TABLES
        async with sessions.open_log(fleet.store_url, fleets.PREFIX) as log:
            current = await log.read_tables()
            await fleet.apply(fleet.build_document(slots=8))
            # The edit first reads the tables from before the other change, so
            # that its own change conflicts with that one.
            read_current = log.read_tables
            stale_tables = [current]

            async def read_stale() -> entities.Tables:
                return (
                    stale_tables.pop() if stale_tables else await read_current()
                )

            log.read_tables = read_stale  # type: ignore[method-assign]
            desired = dataclasses.replace(current, routes={})
            with pytest.raises(errors.BaseOutdatedError) as caught:
                await edits.replace_tables(log, desired)
        assert caught.value.intervening_changes == (
            "2 by test: ~ pool queue: slots: 4 -> 8",
        )

    async def test_wait_timeout_has_its_own_exit_code(
        self, operator: Operator
    ) -> None:
        file = operator.write(operator.fleet.build_document(slots=8))
        result = await operator.run(
            "apply",
            file,
            "--wait",
            "--agent",
            "127.0.0.1:1",
            "--wait-seconds",
            "0.2",
        )
        assert result.code == 4
        assert "generation 2 is accepted" in result.err


class TestShowAndHistory:
    async def test_shown_old_generation_can_be_applied_again(
        self, operator: Operator
    ) -> None:
        await operator.fleet.apply(operator.fleet.build_document(slots=8))
        shown = await operator.run("show", "--at", "1")
        assert shown.out.startswith("# generation 1\n")
        file = operator.write(yaml.safe_load(shown.out))
        result = await operator.run("diff", file)
        assert result.out == "~ pool queue: slots: 8 -> 4\n"
        result = await operator.run("show", "--at", "9")
        assert result.code == 2

    async def test_history_shows_authors_and_differences(
        self, operator: Operator
    ) -> None:
        await operator.fleet.apply(operator.fleet.build_document(slots=8))
        result = await operator.run("history", "--last", "1")
        first, second = result.out.splitlines()
        assert first.startswith("2  ")
        assert first.endswith("UTC  test")
        assert second == "  ~ pool queue: slots: 4 -> 8"

    async def test_history_includes_changes_before_the_oldest_snapshot(
        self, operator: Operator
    ) -> None:
        fleet = operator.fleet
        for slots in (5, 6, 7, 8):
            await fleet.apply(fleet.build_document(slots=slots))
        async with sessions.open_log(fleet.store_url, fleets.PREFIX) as log:
            tables = await versions.read_tables_at(log, 4)
            await log.snapshots.write(tables, {}, "test")
            await log.compact(4, kept_changes=1)
        result = await operator.run("history")
        lines = result.out.splitlines()
        assert [x.split("  ")[0] for x in lines[::2]] == ["3", "4", "5"]
        assert lines[1].startswith("  ~ pool queue: row: not kept -> 2 targets")
        assert lines[5] == "  ~ pool queue: slots: 7 -> 8"
        result = await operator.run("show", "--at", "4", "--json")
        assert result.document["pools"][0]["slots"] == 7
        result = await operator.run("show", "--at", "3")
        assert result.code == 2
        assert "which holds 4 to 5" in result.err


class TestDrain:
    async def test_target_is_drained_and_undrained(
        self, operator: Operator
    ) -> None:
        address = next(iter(operator.fleet.targets))
        result = await operator.run("drain", address, "--wait")
        assert "drained: false -> true" in result.out
        status = await operator.run("status")
        assert f"target {address}  zone-0  draining at 2 gateways" in status.out
        assert "(drained by an operator)" in status.out
        result = await operator.run("drain", address)
        assert result.out == "no difference\n"
        assert (await operator.run("undrain", address, "--wait")).code == 0
        status = await operator.run("status")
        assert "targets: 2 serving" in status.out

    async def test_target_can_be_named_by_its_vm(
        self, operator: Operator
    ) -> None:
        address = next(iter(operator.fleet.targets))
        operator.fleet.add_to_vm_list("host-9", "zone-0", address, "target")
        result = await operator.run("drain", "host-9")
        assert f"target {address}: drained: false -> true" in result.out

    @pytest.mark.parametrize("name", ["10.0.0.9:1", "no-such-vm"])
    async def test_unknown_target_is_refused(
        self, operator: Operator, name: str
    ) -> None:
        result = await operator.run("drain", name)
        assert result.code == 2

    async def test_concurrent_drains_are_all_applied(
        self, operator: Operator
    ) -> None:
        fleet = operator.fleet
        for _ in range(4):
            await fleet.start_target()
        await fleet.apply(fleet.build_document())

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
    async def test_status_shows_the_fleet(self, operator: Operator) -> None:
        result = await operator.run("status", "--all")
        lines = result.out.splitlines()
        assert lines[0].startswith("generation 1 in force on 2 of 2 VMs; ")
        assert sum(line.startswith("  gateway ") for line in lines) == 2
        assert sum(line.startswith("  target ") for line in lines) == 2
        result = await operator.run("status", "--json", "--pool", "queue")
        assert result.document["in_force"] == 2
        assert [p["name"] for p in result.document["pools"]] == ["queue"]
        assert result.document["pools"][0]["targets"][0]["states"] == {
            "serving": 2
        }

    async def test_unresponsive_vm_hides_no_other_vm(
        self, operator: Operator
    ) -> None:
        agent = operator.fleet.agents["vm-1"]
        assert agent._stream_server._server is not None
        agent._stream_server._server.close()
        result = await operator.run("status")
        assert result.code == 0
        assert "  vm-1-agent did not answer" in result.out
        assert "targets: 2 serving" in result.out

    async def test_holder_of_a_measuring_budget_is_shown(
        self, operator: Operator
    ) -> None:
        fleet = operator.fleet
        holders: list[str] = []

        def has_one_holder() -> bool:
            holders[:] = [
                vm
                for vm, agent in fleet.agents.items()
                if "queue" in agent._feeder.leases.list_held()
            ]
            return len(holders) == 1

        await fleets.wait_for(has_one_holder)
        result = await operator.run("status")
        assert f"  measuring budget is held by {holders[0]}" in result.out
        calls = sum(
            agent._feeder.client.calls for agent in fleet.agents.values()
        )
        assert 0 < int(result.out.split("; ")[1].split(" ")[0]) <= calls

    async def test_use_of_the_measuring_budget_is_shown(
        self, operator: Operator
    ) -> None:
        fleet = operator.fleet
        schedulers = [a._feeder.probe_scheduler for a in fleet.agents.values()]
        target = next(iter(fleet.targets))
        probe_request = probe_messages.ProbeRequest("queue", (target,))

        def is_any_budget_used() -> bool:
            for scheduler in schedulers:
                scheduler.add_request(probe_request)
            return any(
                use.bytes
                for scheduler in schedulers
                for use in scheduler.list_budget_use()
            )

        await fleets.wait_for(is_any_budget_used)
        result = await operator.run("status", "--json")
        spent = result.document["pools"][0]["spent"]
        (row,) = spent.values()
        assert row["requests"] >= 1
        assert row["bytes"] >= 100 * row["requests"]
        result = await operator.run("status")
        assert (
            f"  measured by {next(iter(spent))} since its start: " in result.out
        )
        assert "budget 10 requests/s, 20000 bytes/s" in result.out

    async def test_top_prints_each_refresh(self, operator: Operator) -> None:
        result = await operator.run(
            "top", "--count", "3", "--every-seconds", "0.01", "--json"
        )
        shown = [json.loads(line) for line in result.out.splitlines()]
        assert [s["generation"] for s in shown] == [1, 1, 1]

    async def test_unavailable_agent_is_reported(
        self, operator: Operator
    ) -> None:
        result = await operator.run("status", "--agent", "127.0.0.1:1")
        assert result.code == 1
        assert "agent 127.0.0.1:1 did not answer" in result.err

    @pytest.mark.parametrize("address", ["", "nonsense", "a:b", "a:99999"])
    async def test_invalid_agent_address_is_reported(
        self, operator: Operator, address: str
    ) -> None:
        result = await operator.run("status", "--agent", address)
        assert result.code == 1
        assert f"agent {address} did not answer" in result.err

    async def test_unreachable_region_hides_no_other_region(
        self, operator: Operator, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        heartbeats = await statuses.read_heartbeats(
            operator.fleet.settings["vm-0"].agent.listen
        )
        unreachable = messages.Heartbeat(
            "far-unreachable", "far", "", "", 0, 0, ()
        )

        async def read(_: str) -> tuple[messages.Heartbeat, ...]:
            return (*heartbeats, unreachable)

        monkeypatch.setattr(statuses, "read_heartbeats", read)
        result = await operator.run("status")
        assert "in force on 2 of 3 VMs" in result.out
        assert "  far-unreachable-agent did not answer" in result.out


class TestDifferences:
    def test_every_field_of_a_row_is_compared(self) -> None:
        before = entities.Route("r", "GET", "/a", "p", True)
        for field in dataclasses.fields(before):
            if field.name == "name":
                continue
            after = dataclasses.replace(before, **{field.name: "other"})
            row_differences = differences.compare_tables(
                entities.Tables(0, {"r": before}, {}),
                entities.Tables(0, {"r": after}, {}),
            )
            assert [d.field for d in row_differences] == [field.name]

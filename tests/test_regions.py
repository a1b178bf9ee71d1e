"""Requests whose rule or account allows only targets of some regions."""

import asyncio
import types
from typing import Any

from tests import fleet
from tests import vm_fleet
from wigeonspool.model import fleet as fleet_model
from wigeonspool.vm import request_context
from wigeonspool.vm import service

SOUTH = ["south"]


def build_rules(regions: list[str], **action: Any) -> list[Any]:
    """Returns a rule whose requests only some regions may serve."""
    action = {"Service": "reads", "AllowedRegions": regions} | action
    return [vm_fleet.build_rule("read", "/read/", "safe", **action)]


async def start(
    vms: vm_fleet.VmFleet, regions: list[str], **action: Any
) -> service.VmService:
    """Starts a target in each other zone, and a VM with a restricted rule.

    Targets t-1 and t-2 are in region north, `south` is in region south, and
    the zone of `nowhere` is not among those of the settings.
    """
    await vms.start_target("south", "reads", "zone-c")
    await vms.start_target("nowhere", "reads", "zone-x")
    await vms.configure(build_rules(regions, **action))
    return await vms.start_vm("vm-1")


class TestRestriction:
    # Guards against a response from a region that must not see the request.
    async def test_only_targets_of_allowed_regions_serve(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await start(vms, SOUTH)
        for number in range(8):
            response = await vms.send("vm-1", f"/read/{number}")
            assert response[:2] == (200, b"south")

    # Guards against a zone without a known region that counts as allowed.
    async def test_target_in_an_unknown_zone_serves_unrestricted_requests_only(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await start(vms, SOUTH)
        await vms.targets["south"].stop()
        assert (await vms.send("vm-1", "/read/1"))[0] == 503
        await vms.configure(build_rules([]))
        await vms.wait_ready("vm-1")
        vms.set_faults("t-1", "t-2", mute=True)
        assert (await vms.send("vm-1", "/read/2"))[1] == b"nowhere"

    # Guards against a refused request that a caller waits for, or that it must
    # take for one that may have run.
    async def test_request_without_an_allowed_target_is_refused_at_once(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await start(vms, ["east"])
        sending = vms.send("vm-1", "/read/1", attempt="one", remaining="60000")
        async with asyncio.timeout(10.0):
            status, _, fields = await sending
        assert status == 503
        assert float(fields["Retry-After"]) > 0
        assert vms.find_targets_that_ran("one") == []

    # Guards against a refusal at once while an allowed target is only busy.
    async def test_request_waits_for_an_allowed_target_that_is_ejected(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await start(vms, SOUTH, Timeout="20s")
        row = vm._cluster.targets["south"]
        row.health.ejected_until = asyncio.get_running_loop().time() + 0.3
        response = await vms.send("vm-1", "/read/1", remaining="20000")
        assert response[:2] == (200, b"south")


class TestExtraAttempts:
    # Guards against a retry that leaves the allowed regions.
    async def test_retries_stay_in_allowed_regions(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_target("south-2", "reads", "zone-c")
        await start(vms, SOUTH, MaxAttempts=4)
        vms.set_faults("south", "south-2", failing=True)
        for number in range(6):
            assert (await vms.send("vm-1", f"/read/{number}"))[0] == 500
        for identity in ("t-1", "t-2", "nowhere"):
            assert not vms.targets[identity].runs

    # Guards against a hedged request that leaves the allowed regions.
    async def test_hedged_requests_stay_in_allowed_regions(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await start(vms, SOUTH, MaxAttempts=4)
        for number in range(3):
            await vms.send("vm-1", f"/read/{number}")
        hedged = vm._request_runner._select_hedge_target
        found: list[Any] = []

        async def record(context: Any) -> Any:
            found.append(await hedged(context))
            return found[-1]

        vm._request_runner._select_hedge_target = record  # type: ignore
        vms.targets["south"].service_ms = 300.0
        assert (await vms.send("vm-1", "/read/1"))[1] == b"south"
        assert found == [None]

    # Guards against a failure of a target that is reported as a refusal, since
    # no other target may serve the request.
    async def test_response_of_the_only_allowed_target_is_forwarded(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await start(vms, SOUTH)
        vms.set_faults("south", failing=True)
        assert (await vms.send("vm-1", "/read/1"))[0] == 500


class TestConfigurationChange:
    # Guards against a target that was selected before a new configuration
    # excluded its region.
    async def test_selected_target_is_checked_before_the_request_is_sent(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await start(vms, [])
        selector = vm._request_runner._selector
        select = selector.select
        selected: list[str] = []

        async def select_and_configure(context: Any) -> Any:
            candidate = await select(context)
            selected.append(candidate.row.entry.identity)
            if len(selected) == 1:
                await vms.configure(build_rules(SOUTH))
                await vms.wait_ready("vm-1")
            return candidate

        selector.select = select_and_configure  # type: ignore
        response = await vms.send("vm-1", "/read/1", attempt="one")
        assert response[:2] == (200, b"south")
        assert vms.find_targets_that_ran("one") == ["south"]
        assert selected[0] != "south"

    # Guards against a queued request that keeps its old restriction.
    async def test_queued_request_uses_newly_allowed_regions(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await start(vms, SOUTH, Timeout="20s")
        row = vm._cluster.targets["south"]
        row.health.ejected_until = asyncio.get_running_loop().time() + 60.0
        sending = vms.send("vm-1", "/read/1", remaining="20000")
        task = asyncio.create_task(sending)
        await fleet.wait_for(
            lambda: len(vm._request_runner._selector._queues["reads"].requests)
        )
        await vms.configure(build_rules(["north"], Timeout="20s"))
        assert (await task)[1] in (b"t-1", b"t-2")


def build_context(
    rule_regions: list[str], account_regions: list[str] | None
) -> request_context.RequestContext:
    """Returns a request whose rule and account allow some regions."""
    rule = fleet_model.Rule(
        name="read",
        prefix="/read/",
        weighted_services=(),
        idempotent=True,
        large_responses=False,
        objective_seconds=1.0,
        limit_seconds=1.0,
        max_targets=1,
        priority=1,
        regions=frozenset(rule_regions),
    )
    request: Any = types.SimpleNamespace(
        headers={"Host": "shop.example:80"}, raw_path="/read/1?a=b"
    )
    context = request_context.RequestContext(
        request, "one", rule, "reads", b"", True, 0, 0.0, 1.0, 1.0
    )
    if account_regions is not None:
        context.account = fleet_model.ClientAccount(
            "small", regions=frozenset(account_regions)
        )
    return context


class TestContext:
    # Guards against one restriction that replaces the other.
    def test_both_restrictions_apply(self) -> None:
        context = build_context(["north", "south"], ["south", "east"])
        assert context.regions == {"south"}
        assert context.allows_region("south")
        assert not context.allows_region("east")

    # Guards against an empty intersection that allows all regions.
    def test_disjoint_restrictions_allow_nothing(self) -> None:
        context = build_context(["north"], ["south"])
        assert context.regions == frozenset()
        assert not context.allows_region("north")

    def test_empty_lists_allow_all_regions(self) -> None:
        assert build_context([], []).regions is None
        assert build_context([], ["south"]).regions == {"south"}
        assert build_context(["south"], None).regions == {"south"}

    # Guards against a restriction of an account that a new version adds while
    # its request waits.
    def test_newer_configuration_replaces_the_regions(self) -> None:
        context = build_context([], [])
        newer = build_context(["north", "south"], ["north"])
        assert newer.account is not None
        configuration = fleet_model.Configuration(
            7,
            {"shop.example": (newer.rule,)},
            {},
            fleet_model.CallerLimits(),
            {newer.account.name: newer.account},
        )
        context.update_regions(configuration)
        assert context.regions == {"north"}

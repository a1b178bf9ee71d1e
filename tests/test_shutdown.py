"""Requests of callers while gateways drain, stop or are killed."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random
import time

import aiohttp
import pytest_asyncio

from tests import check_histories
from tests import fleet as fleets
from tests import test_key_owner
from wigeonspool.load import checker
from wigeonspool.load import history as histories
from wigeonspool.load import retrying_callers

CALLERS = 8


@pytest_asyncio.fixture
async def scene() -> AsyncIterator[test_key_owner.Harness]:
    fleet = fleets.Fleet()
    harness = await test_key_owner.build_harness(fleet)
    yield harness
    await fleet.stop()


@contextlib.asynccontextmanager
async def load(
    bench: check_histories.FleetBench, impatient: bool
) -> AsyncIterator[None]:
    """Sends load as long as the block lasts."""
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        is_running = [True]
        callers = [
            retrying_callers.RetryingCaller(
                session,
                f"caller-{index}",
                bench.connect_addresses,
                bench.history,
                random.Random(index),
                impatient,
            )
            for index in range(CALLERS)
        ]
        tasks = [
            asyncio.create_task(run_while(caller, is_running))
            for caller in callers
        ]
        yield
        is_running[0] = False
        await asyncio.gather(*tasks)


async def run_while(
    caller: retrying_callers.RetryingCaller, is_running: list[bool]
) -> None:
    while is_running[0]:
        await caller.run(time.monotonic() + 0.1)


class TestPlannedStop:
    async def test_every_request_is_answered_during_rolling_replacement(
        self,
    ) -> None:
        bench = check_histories.FleetBench(proxy_gateways=False)
        await bench.start()
        async with load(bench, impatient=False):
            for number, vm in enumerate(list(bench.settings)):
                await bench.start_vm(f"new-{number}", f"zone-{number % 2}")
                await fleets.wait_for(
                    lambda name=f"new-{number}-0": all(
                        name in g._view.gateways
                        for g in bench.gateways.values()
                    )
                )
                await bench.replace_vm(vm)
        bench.history.ended_at = time.time()
        await bench.stop()
        assert checker.find_violations(bench.history) == []
        unanswered = [
            submission
            for submission in bench.history.invocations
            if submission.outcome != "answered"
        ]
        assert unanswered == []
        assert len(bench.history.invocations) > 100

    async def test_drain_refuses_queued_requests_and_ends_running_ones(
        self, scene: test_key_owner.Harness
    ) -> None:
        scene.target.script = ["wait"] * 4
        running = [asyncio.create_task(scene.send(f"r{i}")) for i in range(4)]
        await fleets.wait_for(lambda: len(scene.target.runs) == 4)
        queued = [asyncio.create_task(scene.send(f"q{i}")) for i in range(3)]
        stop = asyncio.create_task(scene.fleet.stop_gateway(scene.owner_vm))
        refused = await asyncio.gather(*queued)
        assert {r[:2] for r in refused} == {("not_run", "draining")}
        scene.target.release.set()
        ended = await asyncio.gather(*running)
        assert {r[0] for r in ended} == {"answered"}
        await stop
        assert len(scene.target.runs) == 4

    async def test_draining_owner_returns_known_outcomes_to_retries(
        self, scene: test_key_owner.Harness
    ) -> None:
        first = await scene.send()
        scene.target.script = ["wait"]
        running = asyncio.create_task(scene.send("2"))
        await fleets.wait_for(lambda: len(scene.target.runs) == 2)
        owner = scene.fleet.gateways[scene.owner_vm]
        stop = asyncio.create_task(scene.fleet.stop_gateway(scene.owner_vm))
        await fleets.wait_for(lambda: owner._ingress.key_owner.draining)
        for at in (None, scene.other_address):
            assert await scene.send(address=at) == first
            refused = await scene.send("3", address=at)
            assert refused[:2] == ("not_run", "draining")
        retry = asyncio.create_task(
            scene.send("2", address=scene.other_address)
        )
        await asyncio.sleep(0.05)
        scene.target.release.set()
        assert (await running)[0] == "answered"
        assert await retry == await running
        await stop
        assert len(scene.target.runs) == 2

    async def test_draining_gateway_serves_next_request_after_long_response(
        self, scene: test_key_owner.Harness
    ) -> None:
        scene.fleet.gateways[scene.owner_vm]._ingress.draining = True
        scene.target.body = b"z" * 2_000_000
        for number in range(20):
            response = await scene.send(str(number))
            assert response == ("answered", "", scene.target.body)

    async def test_drain_ends_after_the_configured_time(self) -> None:
        fleet = fleets.Fleet(drain_seconds=1.0)
        scene = await test_key_owner.build_harness(fleet)
        scene.target.script = ["wait"]
        cut = asyncio.create_task(scene.send())
        await fleets.wait_for(lambda: bool(scene.target.runs))
        async with asyncio.timeout(6.0):
            await fleet.stop_gateway(scene.owner_vm)
        results = await asyncio.gather(cut, return_exceptions=True)
        assert isinstance(results[0], aiohttp.ClientError)
        await fleet.stop()

    async def test_address_query_returns_draining_gateways_without_others(
        self, scene: test_key_owner.Harness
    ) -> None:
        stops = [
            asyncio.create_task(scene.fleet.stop_gateway(vm))
            for vm in list(scene.fleet.gateways)
        ]
        await asyncio.sleep(0.3)
        assignment = await scene.request_assignment()
        assert assignment["home"] in scene.fleet.addresses.values()
        await asyncio.gather(*stops)

    async def test_draining_gateway_is_reported_while_its_agent_stops(
        self, scene: test_key_owner.Harness
    ) -> None:
        owner = scene.owner_vm
        other = next(vm for vm in scene.fleet.gateways if vm != owner)
        view = scene.fleet.gateways[other]._view
        agent = scene.fleet.agents[owner]

        async def stop_agent() -> None:
            await agent.drain()
            await agent.stop()

        stops = [
            asyncio.create_task(stop_agent()),
            asyncio.create_task(scene.fleet.stop_gateway(owner)),
        ]
        await fleets.wait_for(lambda: view.gateways[f"{owner}-0"].draining)
        await asyncio.gather(*stops)


class TestKill:
    async def test_killed_gateway_causes_no_violation(self) -> None:
        bench = check_histories.FleetBench()
        await bench.start()
        async with load(bench, impatient=True):
            for vm in list(bench.settings):
                await asyncio.sleep(0.5)
                await bench.inject_gateway_kill(random.Random(vm))
        bench.history.ended_at = time.time()
        await bench.stop()
        assert checker.find_violations(bench.history) == []
        assert isinstance(bench.history, histories.History)

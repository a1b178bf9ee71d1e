import asyncio
from collections.abc import AsyncIterator
import contextlib
import random
import time

import aiohttp
import pytest_asyncio

from tests import check_histories
from tests import fleet as fleets
from tests import test_home
from wigeonspool.load import checker
from wigeonspool.load import history as histories
from wigeonspool.load import retrying_callers

CALLERS = 8


@pytest_asyncio.fixture
async def scene() -> AsyncIterator[test_home.Scene]:
    fleet = fleets.Fleet()
    built = await test_home.build_scene(fleet)
    yield built
    await fleet.stop()


@contextlib.asynccontextmanager
async def load(
    bench: check_histories.FleetBench, hurried: bool
) -> AsyncIterator[None]:
    """Sends load as long as the block lasts."""
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        working = [True]
        callers = [
            retrying_callers.Resender(
                session,
                f"caller-{index}",
                bench.doors,
                bench.history,
                random.Random(index),
                hurried,
            )
            for index in range(CALLERS)
        ]
        tasks = [
            asyncio.create_task(work_while(caller, working))
            for caller in callers
        ]
        yield
        working[0] = False
        await asyncio.gather(*tasks)


async def work_while(
    caller: retrying_callers.Resender, working: list[bool]
) -> None:
    while working[0]:
        await caller.work(time.monotonic() + 0.1)


class TestPlannedStop:
    async def test_rolling_replacement_costs_nobody_a_request(self) -> None:
        bench = check_histories.FleetBench(doors_piped=False)
        await bench.start()
        async with load(bench, hurried=False):
            for number, vm in enumerate(list(bench.settings)):
                await bench.start_vm(f"new-{number}", f"zone-{number % 2}")
                await fleets.wait_for(
                    lambda wanted=f"new-{number}-0": all(
                        wanted in g._view.gateways
                        for g in bench.gateways.values()
                    )
                )
                await bench.replace_vm(vm)
        bench.history.ended_at = time.time()
        await bench.stop()
        assert checker.find_violations(bench.history) == []
        bad = [
            send
            for send in bench.history.invocations
            if send.outcome != "answered"
        ]
        assert bad == []
        assert len(bench.history.invocations) > 100

    async def test_queued_work_is_refused_and_running_work_ends(
        self, scene: test_home.Scene
    ) -> None:
        scene.target.script = ["wait"] * 4
        running = [asyncio.create_task(scene.send(f"r{i}")) for i in range(4)]
        await fleets.wait_for(lambda: len(scene.target.runs) == 4)
        queued = [asyncio.create_task(scene.send(f"q{i}")) for i in range(3)]
        stop = asyncio.create_task(scene.fleet.stop_gateway(scene.home))
        told = await asyncio.gather(*queued)
        assert {t[:2] for t in told} == {("not_run", "draining")}
        scene.target.release.set()
        ended = await asyncio.gather(*running)
        assert {t[0] for t in ended} == {"answered"}
        await stop
        assert len(scene.target.runs) == 4

    async def test_resend_at_a_draining_home_is_told_what_is_known(
        self, scene: test_home.Scene
    ) -> None:
        first = await scene.send()
        scene.target.script = ["wait"]
        running = asyncio.create_task(scene.send("2"))
        await fleets.wait_for(lambda: len(scene.target.runs) == 2)
        home = scene.fleet.gateways[scene.home]
        stop = asyncio.create_task(scene.fleet.stop_gateway(scene.home))
        await fleets.wait_for(lambda: home._ingress.key_owner.draining)
        for at in (None, scene.other):
            assert await scene.send(at=at) == first
            told = await scene.send("3", at=at)
            assert told[:2] == ("not_run", "draining")
        resent = asyncio.create_task(scene.send("2", at=scene.other))
        await asyncio.sleep(0.05)
        scene.target.release.set()
        assert (await running)[0] == "answered"
        assert await resent == await running
        await stop
        assert len(scene.target.runs) == 2

    async def test_connection_of_a_long_answer_serves_the_next_request(
        self, scene: test_home.Scene
    ) -> None:
        scene.fleet.gateways[scene.home]._ingress.draining = True
        scene.target.body = b"z" * 2_000_000
        for number in range(20):
            told = await scene.send(str(number))
            assert told == ("answered", "", scene.target.body)

    async def test_drain_ends_at_its_setting(self) -> None:
        fleet = fleets.Fleet(drain_seconds=1.0)
        scene = await test_home.build_scene(fleet)
        scene.target.script = ["wait"]
        cut = asyncio.create_task(scene.send())
        await fleets.wait_for(lambda: bool(scene.target.runs))
        async with asyncio.timeout(6.0):
            await fleet.stop_gateway(scene.home)
        told = await asyncio.gather(cut, return_exceptions=True)
        assert isinstance(told[0], aiohttp.ClientError)
        await fleet.stop()

    async def test_last_gateways_are_named_while_they_drain(
        self, scene: test_home.Scene
    ) -> None:
        stops = [
            asyncio.create_task(scene.fleet.stop_gateway(vm))
            for vm in list(scene.fleet.gateways)
        ]
        await asyncio.sleep(0.3)
        assignment = await scene.ask_address()
        assert assignment["home"] in scene.fleet.addresses.values()
        await asyncio.gather(*stops)

    async def test_gateway_is_told_of_though_its_agent_stops_too(
        self, scene: test_home.Scene
    ) -> None:
        home = scene.home
        other = next(vm for vm in scene.fleet.gateways if vm != home)
        view = scene.fleet.gateways[other]._view
        agent = scene.fleet.agents[home]

        async def stop_agent() -> None:
            await agent.drain()
            await agent.stop()

        stops = [
            asyncio.create_task(stop_agent()),
            asyncio.create_task(scene.fleet.stop_gateway(home)),
        ]
        await fleets.wait_for(lambda: view.gateways[f"{home}-0"].draining)
        await asyncio.gather(*stops)


class TestKill:
    async def test_killed_gateway_repeats_and_denies_nothing(self) -> None:
        bench = check_histories.FleetBench()
        await bench.start()
        async with load(bench, hurried=True):
            for vm in list(bench.settings):
                await asyncio.sleep(0.5)
                await bench.strike_gateway_kill(random.Random(vm))
        bench.history.ended_at = time.time()
        await bench.stop()
        assert checker.find_violations(bench.history) == []
        assert isinstance(bench.history, histories.History)

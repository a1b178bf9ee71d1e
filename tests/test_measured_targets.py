import asyncio
import contextlib
import dataclasses
import itertools
import time
from typing import Any

from aiohttp import web
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import loguru
import pytest

from tests import fleet as fleets
from tests import test_leases
from wigeonspool import process
from wigeonspool.agent import health
from wigeonspool.agent import probe_relay as relays
from wigeonspool.agent import probe_scheduler
from wigeonspool.core import probe_budget
from wigeonspool.core import tables
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import messages
from wigeonspool.model import probe_messages
from wigeonspool.standin import target as targets

QUEUE = probe_messages.ProbeRequest(
    "queue", tuple(f"t{n}:1" for n in range(30))
)
OK = probe_messages.ProbeState.OK
DRAINING = probe_messages.ProbeState.DRAINING
FAILING = probe_messages.ProbeState.FAILING
# Requests and bytes a second that operators declare in turn.
BUDGETS = [(10.0, 20_000.0), (0.5, 20_000.0), (50.0, 1_000.0), (0.0, 9.0)]


def list_listed(count: int = 30) -> tuple[entities.Target, ...]:
    return tuple(entities.Target(f"t{n}:1", "zone-0") for n in range(count))


class Spender:
    """Agents that share one budget, each with a lease keeper and a prober."""

    def __init__(self, agents: int) -> None:
        self.scene = test_leases.Scene(agents)
        self.budget = BUDGETS[0]
        # What each second since the start paid for, at the budget of then.
        self.paid = [(0.0, 0.0, 0.0)]
        self.sent: list[tuple[float, int, float, float]] = []
        self.under_way: list[tuple[float, int, probe_scheduler.Probe, int]] = []
        self.probers = [
            probe_scheduler.ProbeScheduler(
                keeper.find_term,
                lambda name: self.build_pool(name),
                self.scene.clocks.read,
                lambda result: None,
            )
            for keeper in self.scene.keepers
        ]

    def build_pool(self, name: str) -> entities.Pool:
        return entities.Pool(name, 4, list_listed(), *self.budget)

    def move(self, seconds: float) -> None:
        """Lets time pass; what was under way ends on its way."""
        _, requests, size = self.paid[-1]
        self.scene.clocks.now += seconds
        self.paid.append(
            (
                self.scene.clocks.now,
                requests + self.budget[0] * seconds,
                size + self.budget[1] * seconds,
            )
        )

    def probe(self, delay: float, late: float, size: int) -> None:
        """Lets all agents send what they may; it leaves a little late."""
        for prober in self.probers:
            prober.add_request(QUEUE)
        begun = [
            (index, probe)
            for index, prober in enumerate(self.probers)
            for probe in prober.start_due_probes()
        ]
        charged_at, requests, paid = self.paid[-1]
        self.move(late)
        for index, probe in begun:
            assert probe.charged_at == charged_at
            if self.probers[index].may_send(probe):
                assert late <= probe_scheduler.MAX_SEND_DELAY_SECONDS
                assert self.scene.list_holders() == [index]
                self.sent.append((charged_at, size, requests, paid))
            ends_at = self.scene.clocks.now + delay
            self.under_way.append((ends_at, index, probe, size))

    def settle(self) -> None:
        for entry in list(self.under_way):
            ends_at, index, probe, size = entry
            if ends_at <= self.scene.clocks.now:
                self.under_way.remove(entry)
                self.probers[index].finish(probe, OK, size)

    def check(self) -> None:
        """Checks every window between two probes, as they were charged."""
        for first, begin in enumerate(self.sent):
            spent = 0
            for count, end in enumerate(self.sent[first:], start=1):
                spent += end[1]
                assert count <= end[2] - begin[2] + 1 + 1e-6
                allowed = end[3] - begin[3] + probe_budget.MAX_PROBE_BYTES
                assert spent <= allowed + 1e-3


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """What befalls the agents, and how the probes after it go."""

    event: str = ""
    number: int = 0
    pause: float = 0.0
    passed: float = 0.05
    late: float = 0.0
    delay: float = 0.0
    size: int = 300


EVENTS = ["", "", "", "", "want", "budget", "outage", "pause", "late"]
STEPS = strategies.builds(
    Step,
    strategies.sampled_from(EVENTS),
    strategies.integers(0, 3),
    strategies.sampled_from([1.0, 4.0, 9.0]),
    strategies.sampled_from([0.01, 0.05, 0.2, 0.5]),
    strategies.sampled_from([0.0, 0.0, 0.1, 0.3]),
    strategies.sampled_from([0.0, 0.1, 0.9]),
    strategies.sampled_from([100, 300, probe_budget.MAX_PROBE_BYTES]),
)
ROUNDS = 4


async def play(agents: int, steps: list[Step]) -> Spender:
    """Plays leases, budgets, outages, pauses and probes of some agents."""
    loguru.logger.disable("wigeonspool")
    spender = Spender(agents)
    wanting = [True] * agents
    for step in steps:
        index = step.number % agents
        if step.event == "want":
            wanting[index] = not wanting[index]
        elif step.event == "budget":
            spender.budget = BUDGETS[step.number]
        elif step.event == "outage":
            faults = spender.scene.store.faults
            faults.down = not faults.down
        elif step.event == "pause":
            spender.move(step.pause)
        for number in range(agents):
            with contextlib.suppress(errors.StoreError):
                wanted = "queue" if wanting[number] else ""
                await spender.scene.step(number, wanted)
        late = step.pause if step.event == "late" else step.late
        for _ in range(ROUNDS):
            spender.move(step.passed)
            spender.settle()
            spender.probe(step.delay, late, step.size)
    spender.check()
    loguru.logger.enable("wigeonspool")
    return spender


class TestBudgetOverAgents:
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        agents=strategies.integers(1, 4),
        steps=strategies.lists(STEPS, min_size=10, max_size=50),
    )
    def test_no_sequence_exceeds_the_budget(
        self, agents: int, steps: list[Step]
    ) -> None:
        asyncio.run(play(agents, steps))

    async def test_budget_is_used_while_it_is_held(self) -> None:
        """The property above would hold of agents that send nothing."""
        spender = await play(2, [Step()] * 25)
        # Five seconds at ten probes a second, less the first space.
        assert 30 < len(spender.sent) <= 50

    async def test_store_that_is_down_ends_the_measuring(self) -> None:
        steps = [Step(), Step("outage"), *[Step(passed=0.2)] * 30]
        spender = await play(1, steps)
        last = max(at for at, *_ in spender.sent)
        assert 5.0 < last < test_leases.leases.LEASE_TTL_SECONDS

    async def test_pool_that_comes_back_begins_with_a_whole_space(
        self,
    ) -> None:
        """Another agent may have probed a moment ago."""
        spender = Spender(2)
        scene = spender.scene
        for index in (0, 1):
            await scene.step(index)
            spender.probe(0.0, 0.0, 300)
            spender.move(1.0)
            spender.probe(0.0, 0.0, probe_budget.MAX_PROBE_BYTES)
            await scene.step(index, "")
        count = len(spender.sent)
        assert count == 2
        await scene.step(0)
        assert scene.list_holders() == [0]
        spender.probe(0.0, 0.0, 300)
        assert len(spender.sent) == count
        spender.move(0.5)
        spender.probe(0.0, 0.0, 300)
        assert len(spender.sent) == count + 1


class TestProber:
    def build(self, told: list[probe_messages.ProbeResult]) -> Spender:
        spender = Spender(1)
        spender.probers[0]._publish_result = told.append
        return spender

    async def test_only_listed_targets_are_asked(self) -> None:
        spender = self.build([])
        await spender.scene.step(0)
        stranger = probe_messages.ProbeRequest("queue", ("elsewhere:1",))
        spender.probers[0].add_request(stranger)
        spender.probers[0].start_due_probes()
        spender.move(2.0)
        assert spender.probers[0].start_due_probes() == []
        spender.probers[0].add_request(QUEUE)
        assert spender.probers[0].start_due_probes()[0].target == "t0:1"

    async def test_what_is_known_is_told_again_only_after_seconds(
        self,
    ) -> None:
        told: list[probe_messages.ProbeResult] = []
        spender = self.build(told)
        await spender.scene.step(0)
        one = probe_messages.ProbeRequest("queue", ("t0:1",))
        for _ in range(140):
            with contextlib.suppress(errors.StoreError):
                await spender.scene.step(0)
            spender.probers[0].add_request(one)
            for probe in spender.probers[0].start_due_probes():
                spender.probers[0].finish(probe, DRAINING, 300)
            spender.move(0.1)
        assert [r.state for r in told] == [DRAINING] * 3
        spent = spender.probers[0].list_spending()[0]
        assert 7 <= spent.requests <= 10
        assert spent.bytes == 300 * spent.requests


class TestRelay:
    def test_result_goes_round_once_and_at_a_bounded_rate(self) -> None:
        relay = relays.ProbeRelay()
        told: list[messages.Message] = []
        for number in range(100):
            result = probe_messages.ProbeResult(number // 2, "queue", "t", OK)
            relay.relay_result(0.5, result, told.append)
        assert len(told) == relays.MAX_RESULTS_PER_SECOND
        assert relay.result_limit.dropped == 60

    def test_wish_is_passed_up_once_in_a_while(self) -> None:
        relay = relays.ProbeRelay()
        told: list[messages.Message] = []
        relay.relay_request(0.0, QUEUE, told.append)
        relay.relay_request(0.5, QUEUE, told.append)
        assert told == [QUEUE]
        relay.relay_request(1.0, QUEUE, told.append)
        assert told == [QUEUE, QUEUE]


class TestHealthEndpoint:
    async def ask(
        self, handler: Any, may_send: bool = True
    ) -> tuple[health.HealthResponse, int]:
        """Returns the answer and the number of requests that came."""
        address = fleets.reserve_address()
        count = itertools.count()

        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            next(count)
            answer: web.StreamResponse = await handler(request)
            return answer

        runner = await process.serve_http(address, web.Server(serve))
        async with health.build_session() as session:
            answer = await health.probe_health(
                session, address, lambda: may_send
            )
        await runner.cleanup()
        return answer, next(count)

    @pytest.mark.parametrize(
        ("status", "text", "state"),
        [
            (200, '{"state": "ok"}', OK),
            (200, '{"state": "draining", "in_flight": 3}', DRAINING),
            (200, "draining", DRAINING),
            (200, "", OK),
            (200, "[" * 400, OK),
            (503, '{"state": "ok"}', FAILING),
            (404, "", None),
        ],
    )
    async def test_answer_is_read(
        self, status: int, text: str, state: Any
    ) -> None:
        async def answer(_: web.BaseRequest) -> web.Response:
            return web.Response(status=status, text=text)

        got, _ = await self.ask(answer)
        assert got.state is state
        assert len(text) + 150 < got.size_bytes < len(text) + 350

    async def test_endless_answer_is_cut_and_charged_whole(self) -> None:
        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            response = web.StreamResponse()
            await response.prepare(request)
            with contextlib.suppress(ConnectionError):
                while True:
                    await response.write(b"x" * 1000)
            return response

        got, _ = await self.ask(answer)
        assert got == health.HealthResponse(OK, probe_budget.MAX_PROBE_BYTES)

    async def test_long_fields_tell_nothing_and_are_charged_whole(
        self,
    ) -> None:
        async def answer(_: web.BaseRequest) -> web.Response:
            return web.Response(headers={"Long": "x" * 5000})

        got, _ = await self.ask(answer)
        assert got == health.HealthResponse(None, probe_budget.MAX_PROBE_BYTES)

    async def test_nothing_is_sent_once_it_may_not(self) -> None:
        async def answer(_: web.BaseRequest) -> web.Response:
            return web.Response()

        got, count = await self.ask(answer, may_send=False)
        assert got == health.HealthResponse(None, 0)
        assert count == 0

    async def test_refused_connection_is_failing_and_costs_no_bytes(
        self,
    ) -> None:
        async with health.build_session() as session:
            address = fleets.reserve_address()
            got = await health.probe_health(session, address, lambda: True)
        assert got == health.HealthResponse(FAILING, 0)


class TestFleet:
    async def start(
        self, fleet: fleets.Fleet
    ) -> tuple[targets.TargetStandin, tables.TargetRow]:
        """Returns a target and its row at the gateway that is sent to."""
        for _ in range(3):
            await fleet.start_target()
        await fleet.apply(fleet.declare())
        agents = fleet.agents.values()
        await fleets.wait_for(
            lambda: any(a._feeder.leases.list_held() for a in agents)
        )
        target = next(iter(fleet.targets.values()))
        core = fleet.gateways["vm-0"]._scheduler.core
        row = next(
            row
            for row in core.list_targets("queue")
            if row.address == target.address
        )
        return target, row

    async def read(self, fleet: fleets.Fleet, count: int = 6) -> list[int]:
        url = f"http://{fleet.addresses['vm-0']}/queue/1"

        async def send() -> int:
            async with fleet.session.get(url) as response:
                await response.read()
                return response.status

        return await asyncio.gather(*(send() for _ in range(count)))

    async def drain(self, fleet: fleets.Fleet, row: tables.TargetRow) -> None:
        fleet.targets[row.address].set_faults(draining=True)
        while row.state is not tables.TargetState.DRAINING:
            assert set(await self.read(fleet)) == {200}

    async def test_target_that_is_back_is_used_again(
        self, fleet: fleets.Fleet
    ) -> None:
        target, row = await self.start(fleet)
        await self.drain(fleet, row)
        await fleets.wait_for(lambda: row.health.probe_failed)
        target.set_faults(draining=False)
        before = len(target.runs)
        give_up_at = time.monotonic() + 10.0
        while len(target.runs) == before:
            assert time.monotonic() < give_up_at
            # More than the slots of the others: it begins with one attempt.
            assert set(await self.read(fleet, 12)) == {200}
            await asyncio.sleep(0.02)
        spent = [
            spending
            for agent in fleet.agents.values()
            for spending in agent._feeder.probe_scheduler.list_spending()
        ]
        assert sum(s.requests for s in spent) >= len(target.probes) > 0

    async def test_target_that_stays_draining_gets_nothing_new(
        self, fleet: fleets.Fleet
    ) -> None:
        target, row = await self.start(fleet)
        await self.drain(fleet, row)
        before = len(target.runs)
        await fleets.wait_for(lambda: len(target.probes) > 3)
        assert set(await self.read(fleet, 30)) == {200}
        assert len(target.runs) == before
        assert row.state is tables.TargetState.DRAINING

    async def test_nothing_is_measured_past_the_lease(
        self, fleet: fleets.Fleet
    ) -> None:
        target, row = await self.start(fleet)
        await self.drain(fleet, row)
        await fleets.wait_for(lambda: bool(target.probes))
        for agent in fleet.agents.values():
            agent._feeder.leases._deadline = float("-inf")
            agent._feeder.leases._renew_at = float("inf")
        count = len(target.probes)
        await asyncio.sleep(1.0)
        assert len(target.probes) <= count + 1
        assert row.state is tables.TargetState.DRAINING

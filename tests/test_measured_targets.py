"""Tests of health probes: budgets over several agents, relays and the fleet."""

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
# Probe budgets that operators set in turn: requests and bytes per second.
BUDGETS = [(10.0, 20_000.0), (0.5, 20_000.0), (50.0, 1_000.0), (0.0, 9.0)]


def build_targets(count: int = 30) -> tuple[entities.Target, ...]:
    return tuple(entities.Target(f"t{n}:1", "zone-0") for n in range(count))


class BudgetScenario:
    """Agents that share one budget, each with a lease manager and scheduler."""

    def __init__(self, agents: int) -> None:
        self.leases = test_leases.LeaseScenario(agents)
        self.budget = BUDGETS[0]
        # Times since the start, with the total requests and bytes that were
        # allowed until then by the budgets in effect.
        self.allowed = [(0.0, 0.0, 0.0)]
        # Charge time and bytes of each sent probe, with the requests and bytes
        # allowed in total until then.
        self.sent: list[tuple[float, int, float, float]] = []
        # Time of the response, scheduler, probe and bytes.
        self.in_flight: list[tuple[float, int, probe_scheduler.Probe, int]] = []
        self.schedulers = [
            probe_scheduler.ProbeScheduler(
                manager.find_term,
                lambda name: self.build_pool(name),
                self.leases.clock.read,
                lambda result: None,
            )
            for manager in self.leases.managers
        ]

    def build_pool(self, name: str) -> entities.Pool:
        return entities.Pool(name, 4, build_targets(), *self.budget)

    def advance(self, seconds: float) -> None:
        """Advances the clock and the totals that the budget allows."""
        _, requests, size = self.allowed[-1]
        self.leases.clock.now += seconds
        self.allowed.append(
            (
                self.leases.clock.now,
                requests + self.budget[0] * seconds,
                size + self.budget[1] * seconds,
            )
        )

    def probe(self, delay: float, late: float, size: int) -> None:
        """Starts all due probes; they are sent after `late` seconds."""
        for scheduler in self.schedulers:
            scheduler.add_request(QUEUE)
        started = [
            (index, probe)
            for index, scheduler in enumerate(self.schedulers)
            for probe in scheduler.start_due_probes()
        ]
        charged_at, requests, allowed_bytes = self.allowed[-1]
        self.advance(late)
        for index, probe in started:
            assert probe.charged_at == charged_at
            if self.schedulers[index].may_send(probe):
                assert late <= probe_scheduler.MAX_SEND_DELAY_SECONDS
                assert self.leases.list_holders() == [index]
                self.sent.append((charged_at, size, requests, allowed_bytes))
            responds_at = self.leases.clock.now + delay
            self.in_flight.append((responds_at, index, probe, size))

    def finish_probes(self) -> None:
        """Ends the probes whose responses have arrived by now."""
        for entry in list(self.in_flight):
            responds_at, index, probe, size = entry
            if responds_at <= self.leases.clock.now:
                self.in_flight.remove(entry)
                self.schedulers[index].finish(probe, OK, size)

    def check(self) -> None:
        """Checks the budget between any two sent probes, including both."""
        for first, begin in enumerate(self.sent):
            used_bytes = 0
            for count, end in enumerate(self.sent[first:], start=1):
                used_bytes += end[1]
                assert count <= end[2] - begin[2] + 1 + 1e-6
                max_bytes = end[3] - begin[3] + probe_budget.MAX_PROBE_BYTES
                assert used_bytes <= max_bytes + 1e-3


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A fault or change, and the timing of the probes after it.

    Attributes:
        event: Kind of fault or change, or "" for none.
        number: Selects the agent or the budget.
        pause: Length of a pause, or of a late send, in seconds.
        passed: Time before each round of probes, in seconds.
        late: Delay between charging and sending a probe, in seconds.
        delay: Time until the response, in seconds.
        size: Bytes of a probe and its response.
    """

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
ROUNDS_PER_STEP = 4


async def play(agents: int, steps: list[Step]) -> BudgetScenario:
    """Runs steps with leases, budgets, outages, pauses and probes.

    The name stays: Hypothesis derives the examples of the property test below
    from its source, which calls this function.
    """
    loguru.logger.disable("wigeonspool")
    scenario = BudgetScenario(agents)
    is_assigned = [True] * agents
    for step in steps:
        index = step.number % agents
        if step.event == "want":
            is_assigned[index] = not is_assigned[index]
        elif step.event == "budget":
            scenario.budget = BUDGETS[step.number]
        elif step.event == "outage":
            faults = scenario.leases.store.faults
            faults.down = not faults.down
        elif step.event == "pause":
            scenario.advance(step.pause)
        for number in range(agents):
            with contextlib.suppress(errors.StoreError):
                pool = "queue" if is_assigned[number] else ""
                await scenario.leases.step(number, pool)
        late = step.pause if step.event == "late" else step.late
        for _ in range(ROUNDS_PER_STEP):
            scenario.advance(step.passed)
            scenario.finish_probes()
            scenario.probe(step.delay, late, step.size)
    scenario.check()
    loguru.logger.enable("wigeonspool")
    return scenario


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
        """The property above would also hold if agents sent no probes."""
        scenario = await play(2, [Step()] * 25)
        # Five seconds at ten probes per second, less the first interval.
        assert 30 < len(scenario.sent) <= 50

    async def test_probes_end_when_the_store_is_down(self) -> None:
        steps = [Step(), Step("outage"), *[Step(passed=0.2)] * 30]
        scenario = await play(1, steps)
        last = max(at for at, *_ in scenario.sent)
        assert 5.0 < last < test_leases.leases.LEASE_TTL_SECONDS

    async def test_reacquired_pool_waits_for_a_full_interval(
        self,
    ) -> None:
        """Otherwise probes of two holders in turn would exceed the budget."""
        scenario = BudgetScenario(2)
        lease_scenario = scenario.leases
        for index in (0, 1):
            await lease_scenario.step(index)
            scenario.probe(0.0, 0.0, 300)
            scenario.advance(1.0)
            scenario.probe(0.0, 0.0, probe_budget.MAX_PROBE_BYTES)
            await lease_scenario.step(index, "")
        count = len(scenario.sent)
        assert count == 2
        await lease_scenario.step(0)
        assert lease_scenario.list_holders() == [0]
        scenario.probe(0.0, 0.0, 300)
        assert len(scenario.sent) == count
        scenario.advance(0.5)
        scenario.probe(0.0, 0.0, 300)
        assert len(scenario.sent) == count + 1


class TestProbeScheduler:
    def build(
        self, published: list[probe_messages.ProbeResult]
    ) -> BudgetScenario:
        scenario = BudgetScenario(1)
        scenario.schedulers[0]._publish_result = published.append
        return scenario

    async def test_only_listed_targets_are_probed(self) -> None:
        scenario = self.build([])
        await scenario.leases.step(0)
        unlisted = probe_messages.ProbeRequest("queue", ("elsewhere:1",))
        scenario.schedulers[0].add_request(unlisted)
        scenario.schedulers[0].start_due_probes()
        scenario.advance(2.0)
        assert scenario.schedulers[0].start_due_probes() == []
        scenario.schedulers[0].add_request(QUEUE)
        assert scenario.schedulers[0].start_due_probes()[0].target == "t0:1"

    async def test_unchanged_state_is_published_again_after_seconds(
        self,
    ) -> None:
        published: list[probe_messages.ProbeResult] = []
        scenario = self.build(published)
        await scenario.leases.step(0)
        one = probe_messages.ProbeRequest("queue", ("t0:1",))
        for _ in range(140):
            with contextlib.suppress(errors.StoreError):
                await scenario.leases.step(0)
            scenario.schedulers[0].add_request(one)
            for probe in scenario.schedulers[0].start_due_probes():
                scenario.schedulers[0].finish(probe, DRAINING, 300)
            scenario.advance(0.1)
        assert [r.state for r in published] == [DRAINING] * 3
        used = scenario.schedulers[0].list_budget_use()[0]
        assert 7 <= used.requests <= 10
        assert used.bytes == 300 * used.requests


class TestProbeRelay:
    def test_results_are_forwarded_once_and_at_a_limited_rate(self) -> None:
        relay = relays.ProbeRelay()
        published: list[messages.Message] = []
        for number in range(100):
            result = probe_messages.ProbeResult(number // 2, "queue", "t", OK)
            relay.relay_result(0.5, result, published.append)
        assert len(published) == relays.MAX_RESULTS_PER_SECOND
        assert relay.result_limit.dropped == 60

    def test_request_is_forwarded_once_per_interval(self) -> None:
        relay = relays.ProbeRelay()
        published: list[messages.Message] = []
        relay.relay_request(0.0, QUEUE, published.append)
        relay.relay_request(0.5, QUEUE, published.append)
        assert published == [QUEUE]
        relay.relay_request(1.0, QUEUE, published.append)
        assert published == [QUEUE, QUEUE]


class TestHealthEndpoint:
    async def probe(
        self, handler: Any, may_send: bool = True
    ) -> tuple[health.HealthResponse, int]:
        """Returns the probe result and the number of received requests."""
        address = fleets.reserve_address()
        count = itertools.count()

        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            next(count)
            response: web.StreamResponse = await handler(request)
            return response

        runner = await process.serve_http(address, web.Server(serve))
        async with health.build_session() as session:
            result = await health.probe_health(
                session, address, lambda: may_send
            )
        await runner.cleanup()
        return result, next(count)

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
    async def test_response_is_parsed(
        self, status: int, text: str, state: Any
    ) -> None:
        async def respond(_: web.BaseRequest) -> web.Response:
            return web.Response(status=status, text=text)

        result, _ = await self.probe(respond)
        assert result.state is state
        assert len(text) + 150 < result.size_bytes < len(text) + 350

    async def test_endless_response_is_charged_at_the_maximum(self) -> None:
        async def respond(request: web.BaseRequest) -> web.StreamResponse:
            response = web.StreamResponse()
            await response.prepare(request)
            with contextlib.suppress(ConnectionError):
                while True:
                    await response.write(b"x" * 1000)
            return response

        result, _ = await self.probe(respond)
        assert result == health.HealthResponse(OK, probe_budget.MAX_PROBE_BYTES)

    async def test_long_fields_are_charged_at_the_maximum(
        self,
    ) -> None:
        async def respond(_: web.BaseRequest) -> web.Response:
            return web.Response(headers={"Long": "x" * 5000})

        result, _ = await self.probe(respond)
        assert result == health.HealthResponse(
            None, probe_budget.MAX_PROBE_BYTES
        )

    async def test_probe_that_may_not_be_sent_sends_no_request(self) -> None:
        async def respond(_: web.BaseRequest) -> web.Response:
            return web.Response()

        result, count = await self.probe(respond, may_send=False)
        assert result == health.HealthResponse(None, 0)
        assert count == 0

    async def test_refused_connection_is_failing_and_charges_no_bytes(
        self,
    ) -> None:
        async with health.build_session() as session:
            address = fleets.reserve_address()
            result = await health.probe_health(session, address, lambda: True)
        assert result == health.HealthResponse(FAILING, 0)


class TestProbesInTheFleet:
    async def start(
        self, fleet: fleets.Fleet
    ) -> tuple[targets.TargetStandin, tables.TargetRow]:
        """Returns a target and its row at the gateway of vm-0."""
        for _ in range(3):
            await fleet.start_target()
        await fleet.apply(fleet.build_document())
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

    async def test_restored_target_is_used_again(
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
            # More requests than the others have slots, so that the restored
            # target, which starts with one attempt, gets one.
            assert set(await self.read(fleet, 12)) == {200}
            await asyncio.sleep(0.02)
        budget_use = [
            used
            for agent in fleet.agents.values()
            for used in agent._feeder.probe_scheduler.list_budget_use()
        ]
        assert (
            sum(entry.requests for entry in budget_use)
            >= len(target.probes)
            > 0
        )

    async def test_draining_target_gets_no_new_requests(
        self, fleet: fleets.Fleet
    ) -> None:
        target, row = await self.start(fleet)
        await self.drain(fleet, row)
        before = len(target.runs)
        await fleets.wait_for(lambda: len(target.probes) > 3)
        assert set(await self.read(fleet, 30)) == {200}
        assert len(target.runs) == before
        assert row.state is tables.TargetState.DRAINING

    async def test_no_probes_are_sent_after_the_lease_ends(
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

"""Tests of leases: at most one agent holds a pool, whatever fails."""

import asyncio
import contextlib
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from tests import change_log_fakes
from tests import test_membership
from wigeonspool.agent import leases
from wigeonspool.model import errors
from wigeonspool.standin import store as stores

# Seconds that a call to grant or renew a lease, or its reply, is delayed.
DELAYS = strategies.sampled_from([0.0, 0.0, 1.0, 3.0, 6.0])


class FakeClock:
    """A clock that tests advance; all lease holders read it."""

    def __init__(self) -> None:
        self.now = 0.0

    def read(self) -> float:
        return self.now


class LeaseClient(change_log_fakes.DirectClient):
    """Calls the store stand-in with delays and lost calls or replies.

    Leases expire by the clock of the test.

    Attributes:
        delay_before: Seconds that a call to grant or renew a lease takes to
            reach the store.
        delay_after: Seconds that its reply takes.
        fault: "lost" or "reply-lost" for all calls, or "" for no fault.
    """

    def __init__(self, standin: stores.StoreStandin, clock: FakeClock) -> None:
        super().__init__(standin)
        self._clock = clock
        self.delay_before = 0.0
        self.delay_after = 0.0
        self.fault = ""

    async def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        self.calls += 1
        await asyncio.sleep(0)
        if self.fault == "lost" or self._standin.faults.down:
            raise errors.StoreUnavailableError(path, "lost")
        sets_deadline = path in ("/v3/lease/grant", "/v3/lease/keepalive")
        self._clock.now += self.delay_before if sets_deadline else 0.0
        expire_leases(self._standin, self._clock.now)
        serve = {
            "/v3/kv/range": self._standin._range,
            "/v3/kv/txn": self._standin._txn,
            "/v3/lease/grant": self._standin._grant,
            "/v3/lease/keepalive": self._standin._renew,
            "/v3/lease/revoke": self._standin._revoke,
        }[path]
        try:
            reply = serve(body)
        except ValueError as error:
            raise errors.StoreUnavailableError(path, str(error)) from error
        lease = int(reply.get("ID", body.get("ID", 0)))
        if sets_deadline:
            row = self._standin.leases.get(lease)
            if row is not None:
                row.deadline = self._clock.now + row.ttl_seconds
        self._clock.now += self.delay_after if sets_deadline else 0.0
        if self.fault == "reply-lost":
            raise errors.StoreUnavailableError(path, "reply lost")
        return reply


def expire_leases(standin: stores.StoreStandin, now: float) -> None:
    """Removes leases past their deadline and the keys attached to them."""
    for lease, row in list(standin.leases.items()):
        if row.deadline <= now:
            del standin.leases[lease]
            for key in [
                k for k, r in standin.records.items() if r.lease == lease
            ]:
                standin._remove(key)


class LeaseScenario:
    """Some agents to which the same pool is assigned."""

    def __init__(self, agents: int = 2) -> None:
        self.clock = FakeClock()
        self.store = stores.StoreStandin()
        self.clients = [
            LeaseClient(self.store, self.clock) for _ in range(agents)
        ]
        self.managers = [
            leases.LeaseManager(client, "/w/", f"vm-{i}", self.clock.read)
            for i, client in enumerate(self.clients)
        ]

    def list_holders(self) -> list[int]:
        return [i for i, m in enumerate(self.managers) if m.is_held("queue")]

    async def step(self, index: int, assigned: str = "queue") -> None:
        await self.managers[index].update({assigned} if assigned else set())


class TestLeaseManager:
    async def test_only_one_of_two_agents_acquires_a_pool(self) -> None:
        scenario = LeaseScenario()
        await asyncio.gather(scenario.step(0), scenario.step(1))
        assert len(scenario.list_holders()) == 1

    async def test_holder_keeps_the_pool_while_it_renews(self) -> None:
        scenario = LeaseScenario()
        for _ in range(50):
            await scenario.step(0)
            await scenario.step(1)
            assert scenario.list_holders() == [0]
            scenario.clock.now += 1.0

    async def test_paused_holder_loses_the_pool(self) -> None:
        scenario = LeaseScenario()
        await scenario.step(0)
        scenario.clock.now += leases.LEASE_TTL_SECONDS
        # After the pause, the check before each use runs before any renewal.
        assert scenario.list_holders() == []
        await scenario.step(1)
        assert scenario.list_holders() == [1]
        await scenario.step(0)
        assert scenario.list_holders() == [1]

    async def test_deadline_counts_from_before_a_slow_grant(self) -> None:
        scenario = LeaseScenario()
        scenario.clients[0].delay_after = leases.LEASE_TTL_SECONDS - 0.5
        await scenario.step(0)
        assert scenario.list_holders() == []

    async def test_pool_is_held_only_to_its_deadline_while_the_store_is_down(
        self,
    ) -> None:
        scenario = LeaseScenario()
        await scenario.step(0)
        scenario.store.faults.down = True
        for _ in range(leases.LEASE_TTL_SECONDS):
            with contextlib.suppress(errors.StoreError):
                await scenario.step(0)
            scenario.clock.now += 1.0
        assert scenario.list_holders() == []
        scenario.store.faults.down = False
        scenario.clock.now += 1.0
        await scenario.step(1)
        assert scenario.list_holders() == [1]

    async def test_acquisition_with_a_lost_reply_is_detected(self) -> None:
        scenario = LeaseScenario()
        await scenario.step(0, "other")
        scenario.clients[0].fault = "reply-lost"
        try:
            await scenario.step(0)
        except errors.StoreError:
            assert scenario.list_holders() == []
        scenario.clients[0].fault = ""
        await scenario.step(0)
        assert scenario.list_holders() == [0]

    async def test_pool_of_an_earlier_lease_is_not_held(self) -> None:
        scenario = LeaseScenario()
        await scenario.step(0)
        manager = scenario.managers[0]
        manager._clear()
        await scenario.step(0)
        assert scenario.list_holders() == []

    async def test_unassigned_pool_is_released_without_delay(self) -> None:
        scenario = LeaseScenario()
        await scenario.step(0)
        await scenario.step(0, "")
        assert scenario.list_holders() == []
        await scenario.step(1)
        assert scenario.list_holders() == [1]

    async def test_store_calls_do_not_grow_with_the_pools(self) -> None:
        scenario = LeaseScenario()
        assigned = {f"pool-{n}" for n in range(300)}
        for _ in range(70):
            await scenario.managers[0].update(assigned)
            scenario.clock.now += 1.0
        assert scenario.managers[0].list_held() == assigned
        before = scenario.clients[0].calls
        for _ in range(30):
            await scenario.managers[0].update(assigned)
            scenario.clock.now += 1.0
        assert scenario.clients[0].calls - before == 10

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(
        steps=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["step", "drop", "pause"]),
                strategies.integers(0, 1),
                strategies.sampled_from(["", "", "lost", "reply-lost"]),
                DELAYS,
                DELAYS,
            ),
            max_size=30,
        )
    )
    def test_two_agents_never_act_at_one_time(
        self, steps: list[tuple[str, int, str, float, float]]
    ) -> None:
        asyncio.run(self._interleave(steps))

    async def _interleave(
        self, steps: list[tuple[str, int, str, float, float]]
    ) -> None:
        scenario = LeaseScenario()
        for kind, index, fault, before, after in steps:
            client = scenario.clients[index]
            client.fault = fault
            client.delay_before = before
            client.delay_after = after
            if kind == "pause":
                scenario.clock.now += before + after
            else:
                with contextlib.suppress(errors.StoreError):
                    await scenario.step(
                        index, "queue" if kind == "step" else ""
                    )
            assert len(scenario.list_holders()) <= 1


class TestChoosePools:
    def test_each_pool_is_assigned_to_one_feeder(self) -> None:
        feeders = test_membership.build_vms(2, 2)
        pools = [f"pool-{n}" for n in range(100)]
        chosen = [leases.choose_pools(v.name, feeders, pools) for v in feeders]
        assert sum(map(len, chosen)) == 100
        assert set().union(*chosen) == set(pools)
        assert leases.choose_pools("other", feeders, pools) == set()

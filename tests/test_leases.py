import asyncio
import contextlib
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from tests import log_fakes
from tests import test_membership
from wigeonspool.agent import leases
from wigeonspool.model import errors
from wigeonspool.standin import store as stores

# Seconds that a call to renew takes on its way there or back.
DELAYS = strategies.sampled_from([0.0, 0.0, 1.0, 3.0, 6.0])


class Clocks:
    """One true time; each holder's clock follows it."""

    def __init__(self) -> None:
        self.now = 0.0

    def read(self) -> float:
        return self.now


class LeaseClient(log_fakes.DirectClient):
    """Serves leases by the test's clock; a call may take time or be lost."""

    def __init__(self, standin: stores.StoreStandin, clocks: Clocks) -> None:
        super().__init__(standin)
        self._clocks = clocks
        self.delay_before = 0.0
        self.delay_after = 0.0
        self.fault = ""

    async def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        self.calls += 1
        await asyncio.sleep(0)
        if self.fault == "lost" or self._standin.faults.down:
            raise errors.StoreUnavailableError(path, "lost")
        renews = path in ("/v3/lease/grant", "/v3/lease/keepalive")
        self._clocks.now += self.delay_before if renews else 0.0
        expire(self._standin, self._clocks.now)
        serve = {
            "/v3/kv/range": self._standin._range,
            "/v3/kv/txn": self._standin._txn,
            "/v3/lease/grant": self._standin._grant,
            "/v3/lease/keepalive": self._standin._renew,
            "/v3/lease/revoke": self._standin._revoke,
        }[path]
        try:
            answer = serve(body)
        except ValueError as error:
            raise errors.StoreUnavailableError(path, str(error)) from error
        lease = int(answer.get("ID", body.get("ID", 0)))
        if renews:
            row = self._standin.leases.get(lease)
            if row is not None:
                row.deadline = self._clocks.now + row.ttl_seconds
        self._clocks.now += self.delay_after if renews else 0.0
        if self.fault == "reply-lost":
            raise errors.StoreUnavailableError(path, "reply lost")
        return answer


def expire(standin: stores.StoreStandin, now: float) -> None:
    for lease, row in list(standin.leases.items()):
        if row.deadline <= now:
            del standin.leases[lease]
            for key in [
                k for k, r in standin.records.items() if r.lease == lease
            ]:
                standin._remove(key)


class Scene:
    """Some agents that want the same pool."""

    def __init__(self, agents: int = 2) -> None:
        self.clocks = Clocks()
        self.store = stores.StoreStandin()
        self.clients = [
            LeaseClient(self.store, self.clocks) for _ in range(agents)
        ]
        self.keepers = [
            leases.LeaseManager(client, "/w/", f"vm-{i}", self.clocks.read)
            for i, client in enumerate(self.clients)
        ]

    def list_holders(self) -> list[int]:
        return [i for i, k in enumerate(self.keepers) if k.is_held("queue")]

    async def step(self, index: int, wanted: str = "queue") -> None:
        await self.keepers[index].update({wanted} if wanted else set())


class TestLeaseKeeper:
    async def test_one_of_two_claimants_holds(self) -> None:
        scene = Scene()
        await asyncio.gather(scene.step(0), scene.step(1))
        assert len(scene.list_holders()) == 1

    async def test_holder_that_renews_goes_on(self) -> None:
        scene = Scene()
        for _ in range(50):
            await scene.step(0)
            await scene.step(1)
            assert scene.list_holders() == [0]
            scene.clocks.now += 1.0

    async def test_holder_that_was_paused_does_nothing_more(self) -> None:
        scene = Scene()
        await scene.step(0)
        scene.clocks.now += leases.LEASE_TTL_SECONDS
        # It wakes; nothing of it has run but the check before the act.
        assert scene.list_holders() == []
        await scene.step(1)
        assert scene.list_holders() == [1]
        await scene.step(0)
        assert scene.list_holders() == [1]

    async def test_deadline_counts_from_before_a_slow_grant(self) -> None:
        scene = Scene()
        scene.clients[0].delay_after = leases.LEASE_TTL_SECONDS - 0.5
        await scene.step(0)
        assert scene.list_holders() == []

    async def test_store_that_is_down_ends_the_hold_in_time(self) -> None:
        scene = Scene()
        await scene.step(0)
        scene.store.faults.down = True
        for _ in range(leases.LEASE_TTL_SECONDS):
            with contextlib.suppress(errors.StoreError):
                await scene.step(0)
            scene.clocks.now += 1.0
        assert scene.list_holders() == []
        scene.store.faults.down = False
        scene.clocks.now += 1.0
        await scene.step(1)
        assert scene.list_holders() == [1]

    async def test_claim_whose_reply_was_lost_is_found(self) -> None:
        scene = Scene()
        await scene.step(0, "other")
        scene.clients[0].fault = "reply-lost"
        try:
            await scene.step(0)
        except errors.StoreError:
            assert scene.list_holders() == []
        scene.clients[0].fault = ""
        await scene.step(0)
        assert scene.list_holders() == [0]

    async def test_key_of_an_earlier_lease_is_not_held(self) -> None:
        scene = Scene()
        await scene.step(0)
        keeper = scene.keepers[0]
        keeper._clear()
        await scene.step(0)
        assert scene.list_holders() == []

    async def test_pool_that_is_not_wanted_is_given_up_at_once(self) -> None:
        scene = Scene()
        await scene.step(0)
        await scene.step(0, "")
        assert scene.list_holders() == []
        await scene.step(1)
        assert scene.list_holders() == [1]

    async def test_calls_do_not_grow_with_the_pools(self) -> None:
        scene = Scene()
        wanted = {f"pool-{n}" for n in range(300)}
        for _ in range(70):
            await scene.keepers[0].update(wanted)
            scene.clocks.now += 1.0
        assert scene.keepers[0].list_held() == wanted
        before = scene.clients[0].calls
        for _ in range(30):
            await scene.keepers[0].update(wanted)
            scene.clocks.now += 1.0
        assert scene.clients[0].calls - before == 10

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
        scene = Scene()
        for kind, index, fault, before, after in steps:
            client = scene.clients[index]
            client.fault = fault
            client.delay_before = before
            client.delay_after = after
            if kind == "pause":
                scene.clocks.now += before + after
            else:
                with contextlib.suppress(errors.StoreError):
                    await scene.step(index, "queue" if kind == "step" else "")
            assert len(scene.list_holders()) <= 1


class TestChoosePools:
    def test_each_pool_falls_to_one_feeder(self) -> None:
        feeders = test_membership.build_vms(2, 2)
        pools = [f"pool-{n}" for n in range(100)]
        chosen = [leases.choose_pools(v.name, feeders, pools) for v in feeders]
        assert sum(map(len, chosen)) == 100
        assert set().union(*chosen) == set(pools)
        assert leases.choose_pools("other", feeders, pools) == set()

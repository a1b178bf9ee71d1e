"""Tests which queued request gets a target, and when."""

import asyncio
from collections.abc import Callable
import types
from typing import Any

from wigeonspool.core import cluster_state
from wigeonspool.load import virtual_loop
from wigeonspool.model import fleet
from wigeonspool.model import outcomes
from wigeonspool.model import protocols
from wigeonspool.vm import locality
from wigeonspool.vm import request_context
from wigeonspool.vm import target_probes
from wigeonspool.vm import target_selection

SERVICE = "reads"
SLOTS = 4


class Channel:
    """A connection that does nothing."""

    def release(self) -> None:
        """Does nothing."""

    def close(self) -> None:
        """Does nothing."""


class FakeProber(target_probes.TargetProber):
    """A prober whose targets reply at once.

    Attributes:
        full_zones: Zones whose targets have no free slot; the others are idle.
    """

    def __init__(self, cluster: cluster_state.ClusterState) -> None:
        super().__init__(
            types.SimpleNamespace(close_idle=lambda address: None),
            cluster,
            types.SimpleNamespace(),
            locality.VmLocality("a", "north", {"a": "north", "b": "north"}),
            "vm-1",
        )
        self.full_zones = {"a", "b"}

    async def probe_targets(
        self, rows: list[cluster_state.TargetRow]
    ) -> list[target_probes.Candidate]:
        """Returns all targets as candidates."""
        await asyncio.sleep(0)
        candidates = []
        for row in rows:
            is_full = row.entry.zone in self.full_zones
            report = protocols.LoadReport(
                row.entry.identity,
                True,
                SLOTS if is_full else 0,
                0,
                SLOTS,
                2.0 if is_full else 1.0,
            )
            candidates.append(
                target_probes.Candidate(
                    row, Channel(), None, report, 0.001, self._loop.time()
                )
            )
        self.update_estimates(candidates)
        return candidates


class Queue:
    """A selector and the tasks of its requests."""

    def __init__(self, zones: str) -> None:
        """Creates a selector with one target in each of some zones."""
        self.cluster = cluster_state.ClusterState()
        self.prober = FakeProber(self.cluster)
        self.selector = target_selection.TargetSelector(self.prober)
        self.loop = asyncio.get_running_loop()
        for number, zone in enumerate(zones):
            entry = fleet.TargetEntry(
                f"t-{number}",
                SERVICE,
                f"10.0.0.1:{number + 1}",
                zone,
                SLOTS,
                fleet.TargetState.SERVING,
            )
            change = cluster_state.TargetChange(entry.identity, entry)
            self.cluster.apply(0.0, f"servers/t-{number}", number + 1, change)

    @property
    def state(self) -> target_selection.ServiceQueue:
        """The queue of the service."""
        return self.selector._queues[SERVICE]

    def send(
        self,
        priority: int,
        objective_seconds: float = 1.0,
        large_responses: bool = False,
    ) -> "asyncio.Task[Any]":
        """Starts to select the target of a request."""
        name = f"rule-{priority}"
        rule = fleet.Rule(
            name,
            f"/{name}/",
            (),
            True,
            large_responses,
            objective_seconds,
            30.0,
            1,
            priority,
        )
        now = self.loop.time()
        context = request_context.RequestContext(
            types.SimpleNamespace(headers={}, raw_path=rule.prefix),
            name,
            rule,
            SERVICE,
            None,
            True,
            0,
            now,
            now + objective_seconds,
            now + rule.limit_seconds,
        )
        return asyncio.create_task(self.selector.select(context))

    async def wait_for_length(self, length: int) -> None:
        """Waits until some requests are queued; the clock stands still."""
        for _ in range(100):
            if len(self.state.requests) == length:
                return
            await asyncio.sleep(0)
        raise AssertionError(f"{len(self.state.requests)} queued requests")


def run(test: Callable[[], Any]) -> None:
    """Runs a test in virtual time."""
    virtual_loop.run(test())


class TestOrder:
    # Guards against a request that gives its target to a less urgent one.
    def test_request_keeps_its_target_before_those_behind_it(self) -> None:
        async def test() -> None:
            queue = Queue("a")
            other = queue.send(priority=5)
            await queue.wait_for_length(1)
            queue.prober.full_zones.clear()
            candidate = await queue.send(priority=0)
            assert candidate.row.entry.identity == "t-0"
            assert not other.done()
            assert (await other).row.entry.identity == "t-0"

        run(test)

    # Guards against large transfers between zones while a wait would do.
    def test_large_response_in_time_stays_in_its_zone(self) -> None:
        async def test() -> None:
            queue = Queue("ab")
            large = queue.send(1, objective_seconds=9.0, large_responses=True)
            await queue.wait_for_length(1)
            queue.prober.full_zones.remove("b")
            candidate = await queue.send(priority=2)
            assert candidate.row.entry.zone == "b"
            await asyncio.sleep(1.0)
            assert not large.done()
            queue.prober.full_zones.clear()
            assert (await large).row.entry.zone == "a"

        run(test)


class TestRefusals:
    # Guards against an evacuation that refuses requests one at a time.
    def test_evacuation_refuses_all_queued_requests_at_once(self) -> None:
        async def test() -> None:
            queue = Queue("a")
            refused_at = []
            tasks = [
                queue.send(priority=1, objective_seconds=20.0)
                for _ in range(50)
            ]
            for task in tasks:
                task.add_done_callback(
                    lambda _: refused_at.append(queue.loop.time())
                )
            await queue.wait_for_length(50)
            assert not refused_at
            queue.cluster.apply(
                queue.loop.time(),
                "evacuated/a",
                99,
                cluster_state.EvacuationChange("a", True),
            )
            results = await asyncio.gather(*tasks)
            assert all(
                isinstance(result, outcomes.Failure) for result in results
            )
            # The virtual clock stands still while any of them is ready.
            assert len(refused_at) == 50 and len(set(refused_at)) == 1

        run(test)


class TestTimer:
    # Guards against an urgent request that waits for the timer of late ones.
    def test_request_that_joins_brings_the_timer_forward(self) -> None:
        async def test() -> None:
            queue = Queue("a")
            late = queue.send(priority=5, objective_seconds=0.01)
            await asyncio.sleep(1.0)
            interval = target_selection.PROBE_INTERVAL_SECONDS
            while queue.state.timer.when() < queue.loop.time() + 2 * interval:
                await asyncio.sleep(interval / 10)
            timer_at = queue.state.timer.when()
            urgent = queue.send(priority=0)
            await queue.wait_for_length(2)
            queue.prober.full_zones.clear()
            await urgent
            assert queue.loop.time() < timer_at
            await late

        run(test)

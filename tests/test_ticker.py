import asyncio

import pytest

from wigeonspool.core import dispatcher
from wigeonspool.core import health
from wigeonspool.core import tables
from wigeonspool.gateway import ticker
from wigeonspool.model import entities

REFUSED = tables.Result(tables.ResultKind.NOT_RUN, connection_refused=True)
ANSWERED = tables.Result(tables.ResultKind.ANSWERED)


@pytest.fixture
def only_due_ticks(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disables the periodic tick, so that ticks only run when due."""
    monkeypatch.setattr(ticker, "MAX_TICK_SECONDS", 1000.0)


@pytest.mark.usefixtures("only_due_ticks")
class TestTicker:
    async def test_new_work_brings_the_tick_forward(self) -> None:
        ticks = ticker.Ticker()
        wait_task = asyncio.create_task(ticks.wait(float("inf")))
        await asyncio.sleep(0.05)
        assert not wait_task.done()
        ticks.expedite()
        async with asyncio.timeout(5.0):
            await wait_task

    async def test_tick_runs_when_work_is_due(self) -> None:
        async with asyncio.timeout(5.0):
            await ticker.Ticker().wait(float("-inf"))

    async def test_work_during_a_tick_does_not_end_the_next_wait(self) -> None:
        ticks = ticker.Ticker()
        await ticks.wait(float("-inf"))
        ticks.expedite()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(ticks.wait(float("inf")), 0.05)


class TestFindNextTick:
    def build(self) -> dispatcher.Dispatcher:
        core = dispatcher.Dispatcher("z")
        target = entities.Target("t:1", "z")
        core.configure([entities.Pool("a", 1, (target,))])
        return core

    def test_no_tick_is_due_while_idle(self) -> None:
        assert self.build().find_next_tick() == float("inf")

    def test_tick_is_due_now_with_queued_requests(self) -> None:
        core = self.build()
        for number in range(2):
            core.submit(0.0, tables.RequestRow(number, "a", "r", 9.0, True))
        assert core.find_next_tick() == float("-inf")

    def test_tick_is_due_at_the_end_of_an_ejection(self) -> None:
        core = self.build()
        core.submit(1.0, tables.RequestRow(1, "a", "r", 9.0, False))
        core.handle_result(1.0, 1, "t:1", REFUSED)
        core.cancel(1.0, 1)
        assert core.find_next_tick() == 1.0 + health.EJECTION_SECONDS

    def test_tick_is_due_to_check_a_slow_attempt(self) -> None:
        core = self.build()
        for number in range(200):
            now = number / 10
            core.submit(now, tables.RequestRow(number, "a", "r", 99.0, True))
            core.handle_result(now + 0.01, number, "t:1", ANSWERED)
        core.tick(50.0)
        core.submit(50.0, tables.RequestRow(999, "a", "r", 99.0, True))
        assert 50.0 < core.find_next_tick() < 51.0

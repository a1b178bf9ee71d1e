"""The retry budget of a pool."""

import pytest

from wigeonspool.core import actions
from wigeonspool.core import dispatcher
from wigeonspool.core import retry_budget
from wigeonspool.core import tables
from wigeonspool.model import entities

FAILED = tables.Result(tables.ResultKind.FAILED)
NOT_RUN = tables.Result(tables.ResultKind.NOT_RUN)


class TestRetryBudget:
    @pytest.mark.parametrize("fraction", [0.0, 0.1, 0.5])
    def test_failing_pool_gets_its_retry_fraction_and_one_burst(
        self, fraction: float
    ) -> None:
        core = dispatcher.Dispatcher("zone-0")
        listed = tuple(entities.Target(f"t{i}:1", "zone-0") for i in range(20))
        pool = entities.Pool("queue", 4, listed, retry_fraction=fraction)
        core.configure([pool])
        sends = 0
        requests = 1000
        for number in range(requests):
            now = float(number)
            row = tables.RequestRow(number, "queue", "read", now + 0.5, True)
            pending_actions = core.tick(now) + core.submit(now, row)
            while pending_actions and isinstance(
                pending_actions[-1], actions.Send
            ):
                sends += 1
                send = pending_actions[-1]
                pending_actions = core.handle_result(
                    now, number, send.target, FAILED
                )
        assert sends <= requests * (1 + fraction) + retry_budget.MAX_TOKENS
        assert sends > requests * (1 + fraction) * 0.9

    def test_attempt_that_did_not_run_needs_no_budget(self) -> None:
        budget = retry_budget.RetryBudget(tokens=0.0)
        core = dispatcher.Dispatcher("zone-0")
        listed = (
            entities.Target("t0:1", "zone-0"),
            entities.Target("t1:1", "zone-0"),
        )
        core.configure([entities.Pool("queue", 4, listed)])
        core._pools["queue"].retry_budget = budget
        row = tables.RequestRow(1, "queue", "read", 5.0, True)
        first = core.submit(0.0, row)[0]
        assert isinstance(first, actions.Send)
        second = core.handle_result(0.0, 1, first.target, NOT_RUN)
        assert isinstance(second[0], actions.Send)
        assert second[0].target != first.target

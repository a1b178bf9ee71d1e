"""Tests of the log lines about the retry budget."""

import asyncio
from collections.abc import Iterator
from typing import Any

import loguru
import pytest

from wigeonspool.core import shared_retry_budget
from wigeonspool.load import virtual_loop
from wigeonspool.vm import retry_log

CAUSE = shared_retry_budget.ExtraAttemptCause.FAILED


@pytest.fixture(name="lines")
def collect_log_lines() -> Iterator[list[dict[str, Any]]]:
    """Yields a list that receives the fields of each log line."""
    records: list[dict[str, Any]] = []
    sink = loguru.logger.add(
        lambda message: records.append(dict(message.record["extra"])),
        level="INFO",
    )
    yield records
    loguru.logger.remove(sink)


async def use_budget(extra_attempts: int) -> None:
    """Logs a budget with a request and some extra attempts, for 5 intervals."""
    budget = shared_retry_budget.ServiceRetryBudget(lambda: 0.5)
    budget.set_limits(0.2, 100.0, 10.0)
    budget.set_slack_share(1.0, -10.0)
    log = retry_log.RetryLog(budget)
    now = asyncio.get_running_loop().time()
    budget.add_tokens("reads", now)
    for _ in range(extra_attempts):
        budget.consume_token("reads", now, CAUSE)
    for _ in range(10):
        await asyncio.sleep(retry_log.INTERVAL_SECONDS / 2)
        log.write_if_due()


class TestRetryLog:
    """Guards against extra attempts that only debug lines explain."""

    def test_use_is_logged_once(self, lines: list[dict[str, Any]]) -> None:
        virtual_loop.run(use_budget(3))
        (line,) = [e for e in lines if "after_failures" in e]
        assert line["service"] == "reads"
        assert (line["requests"], line["after_failures"]) == (1, 3)
        assert (line["after_refusals"], line["hedges"]) == (0, 0)

    def test_unused_budget_is_not_logged(
        self, lines: list[dict[str, Any]]
    ) -> None:
        virtual_loop.run(use_budget(0))
        assert not [e for e in lines if "after_failures" in e]

"""The log of repeated failures."""

from collections.abc import Iterator

import loguru
import pytest

from wigeonspool import failure_logs
from wigeonspool.model import errors


@pytest.fixture
def lines() -> Iterator[list[str]]:
    """Returns the list to which log lines are appended."""
    logged: list[str] = []
    sink = loguru.logger.add(logged.append, format="{message}")
    yield logged
    loguru.logger.remove(sink)


class TestFailureLog:
    def test_repeated_failure_and_its_end_are_each_logged_once(
        self, lines: list[str]
    ) -> None:
        log = failure_logs.FailureLog("store")
        log.record_recovery()
        for _ in range(1000):
            log.record(errors.StoreUnavailableError("/range", "503"))
            log.record(ConnectionRefusedError("refused"))
        log.record_recovery()
        log.record_recovery()
        assert [line.strip() for line in lines] == [
            "store: StoreUnavailableError: store call /range failed: 503",
            "store: ConnectionRefusedError: refused",
            "store: back after 2000 failures",
        ]

    def test_failure_after_a_recovery_is_logged_again(
        self, lines: list[str]
    ) -> None:
        log = failure_logs.FailureLog("store")
        for _ in range(2):
            log.record(TimeoutError())
            log.record_recovery()
        assert len(lines) == 4

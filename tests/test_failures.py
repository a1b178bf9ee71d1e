"""The log of failures that repeat."""

from collections.abc import Iterator

import loguru
import pytest

from wigeonspool import failures
from wigeonspool.model import errors


@pytest.fixture
def lines() -> Iterator[list[str]]:
    """Returns what is logged."""
    seen: list[str] = []
    sink = loguru.logger.add(seen.append, format="{message}")
    yield seen
    loguru.logger.remove(sink)


class TestFailureLog:
    def test_failure_that_repeats_is_logged_once_and_so_is_its_end(
        self, lines: list[str]
    ) -> None:
        log = failures.FailureLog("store")
        log.clear()
        for _ in range(1000):
            log.note(errors.StoreUnavailableError("/range", "503"))
            log.note(ConnectionRefusedError("refused"))
        log.clear()
        log.clear()
        assert [line.strip() for line in lines] == [
            "store: StoreUnavailableError: store call /range failed: 503",
            "store: ConnectionRefusedError: refused",
            "store: back after 2000 failures",
        ]

    def test_failure_that_comes_again_is_logged_again(
        self, lines: list[str]
    ) -> None:
        log = failures.FailureLog("store")
        for _ in range(2):
            log.note(TimeoutError())
            log.clear()
        assert len(lines) == 4

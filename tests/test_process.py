"""Tests how a process ends."""

import asyncio
import os
import signal
from typing import Any

import loguru
import mode
import pytest

from wigeonspool import process
from wigeonspool import service_runner


class CrashingService(process.DrainableService):
    """A service one of whose tasks fails."""

    @mode.Service.task
    async def _fail(self) -> None:
        raise RecursionError("too deep")


class EndingService(process.DrainableService):
    """A service that ends by itself, without an error."""

    @mode.Service.task
    async def _end(self) -> None:
        self.set_shutdown()
        await self.stop()


class RunningService(process.DrainableService):
    """A service that gets a signal to stop."""

    async def on_started(self) -> None:
        """Sends the signal."""
        os.kill(os.getpid(), signal.SIGTERM)


@pytest.mark.processes
class TestExitCode:
    def run(self, service: type[process.DrainableService]) -> list[Any]:
        """Runs a service; returns the lines that it logged."""
        lines: list[Any] = []
        handler = loguru.logger.add(lines.append, level="ERROR")
        try:
            service_runner.run_service(service())
        finally:
            loguru.logger.remove(handler)
            asyncio.set_event_loop(None)
        return lines

    def test_crash_ends_the_process_with_an_error(self) -> None:
        # Guards against lost requests that nobody sees: a process whose service
        # crashed ended with exit code 0.
        lines: list[Any] = []
        handler = loguru.logger.add(lines.append, level="ERROR")
        with pytest.raises(SystemExit) as caught:
            self.run(CrashingService)
        loguru.logger.remove(handler)
        assert caught.value.code == service_runner.EXIT_CRASHED
        assert any("too deep" in str(line) for line in lines)

    @pytest.mark.parametrize("service", [RunningService, EndingService])
    def test_stop_is_no_error(
        self, service: type[process.DrainableService]
    ) -> None:
        assert not self.run(service)

"""Tests the tasks of the process of an entry VM, and its loggers."""

import asyncio
import json
import os
import pathlib
import subprocess
import sys

import pytest

from wigeonspool import service_runner
from wigeonspool.vm import task_service

LOG = """
import sys
from wigeonspool.vm import structured_log
writer = structured_log.configure("vm-1")
log = structured_log.get_logger("callers")
log.info("plain {braces}", path="/a")
log.warning("odd", path="\\udc80")
try:
    raise ValueError("reason")
except ValueError:
    log.opt(exception=True).error("failed", count=2)
import logging, warnings
logging.getLogger("library").warning("warned %s", "twice")
logging.getLogger("library").info("not written")
assert "loguru" not in sys.modules
"""


class FailingService(task_service.TaskService):
    """A service with a task that fails."""

    async def on_start(self) -> None:
        self.add_task(self.fail())

    async def fail(self) -> None:
        raise ValueError("reason")

    async def drain(self) -> None:
        """Has nothing to finish."""

    async def reload(self) -> None:
        """Has no settings."""


class TestTasks:
    async def test_failed_task_ends_the_service(self) -> None:
        service = FailingService()
        await service.start()
        async with asyncio.timeout(5):
            await service.wait_until_stopped()
        assert service.crashed
        assert service.should_stop
        assert repr(service.crash_reason) == "ValueError('reason')"
        await service.stop()

    def test_process_of_a_failed_service_ends_with_an_error(self) -> None:
        # Guards against a VM that goes on without one of its tasks.
        with pytest.raises(SystemExit) as caught:
            service_runner.run_service(FailingService())
        assert caught.value.code == service_runner.EXIT_CRASHED

    async def test_stop_cancels_the_tasks_after_the_ports_are_closed(
        self,
    ) -> None:
        events: list[str] = []

        class Service(task_service.TaskService):
            async def on_stop(self) -> None:
                events.append("on_stop")

        async def wait() -> None:
            try:
                await asyncio.sleep(60)
            finally:
                events.append("cancelled")

        service = Service()
        await service.start()
        service.add_task(wait())
        await asyncio.sleep(0)
        await service.stop()
        await service.stop()
        assert events == ["on_stop", "cancelled"]
        assert not service.crashed

    async def test_error_of_a_task_during_a_stop_is_no_crash(self) -> None:
        async def fail_when_cancelled() -> None:
            try:
                await asyncio.sleep(60)
            finally:
                raise ValueError("late")

        service = task_service.TaskService()
        await service.start()
        service.add_task(fail_when_cancelled())
        await asyncio.sleep(0)
        await service.stop()
        assert not service.crashed


class TestLog:
    def test_lines_are_written_without_the_logging_library(self) -> None:
        root = pathlib.Path(__file__).parent.parent
        output = subprocess.run(
            [sys.executable, "-c", LOG],
            capture_output=True,
            check=True,
            cwd=root,
            env=os.environ | {"PYTHONPATH": str(root)},
        )
        lines = [json.loads(line) for line in output.stdout.splitlines()]
        times = {line.pop("time")[:2] for line in lines}
        assert times == {"20"}
        common = {"vm": "vm-1", "part": "callers"}
        assert lines[0] == common | {
            "level": "INFO",
            "event": "plain {braces}",
            "path": "/a",
        }
        # Guards against lost requests: text that cannot be encoded raised an
        # error in the caller of the logger.
        assert lines[1]["path"] == "'\\udc80'"
        assert lines[2] == common | {
            "level": "ERROR",
            "event": "failed",
            "count": 2,
            "exception": "ValueError('reason')",
        }
        assert lines[3]["event"] == "library: warned twice"
        assert lines[3]["level"] == "WARNING"
        assert len(lines) == 4

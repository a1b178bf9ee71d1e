"""Writes reports about suspects to the store."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from wigeonspool import failure_logs
from wigeonspool.core import suspect_reports

# Time from a failed call to the next; not shorter, since each call is paid.
RETRY_SECONDS: Final = 1.0


class SuspectWriter:
    """Writes reports when they are due, until the store holds them."""

    def __init__(
        self,
        reports: suspect_reports.SuspectReports,
        write: Callable[[list[suspect_reports.SuspectReport]], Awaitable[int]],
        max_batch: int,
    ) -> None:
        """Creates a writer.

        Args:
            reports: The reports of this VM.
            write: Writes reports with one call to the store and returns their
                revision.
            max_batch: Maximum number of reports in one call.
        """
        self._reports = reports
        self._write = write
        self._max_batch = max_batch
        self._changed = asyncio.Event()
        self._failures = failure_logs.FailureLog("suspect reports")
        self._loop = asyncio.get_running_loop()

    def add_crash(self, fingerprint: int, target: str) -> None:
        """Reports that a target crashed while it ran a request."""
        self._reports.add_crash(self._loop.time(), fingerprint, target)
        self._changed.set()

    def add_answer(self, fingerprint: int, targets: tuple[str, ...]) -> None:
        """Reports that a suspect got a response.

        Args:
            fingerprint: Fingerprint of the request.
            targets: Targets that had crashed while they ran it.
        """
        self._reports.add_answer(self._loop.time(), fingerprint, targets)
        self._changed.set()

    def handle_change(
        self,
        subject: suspect_reports.Subject,
        state: suspect_reports.ReportState,
    ) -> None:
        """Handles a change of a report in the store.

        Args:
            subject: Request and target that the report is about.
            state: What it states now.
        """
        now = self._loop.time()
        if state is suspect_reports.ReportState.CRASHED:
            self._reports.check_report(now, subject)
        elif state is suspect_reports.ReportState.EXPIRED:
            self._reports.restore(now, subject)
        self._changed.set()

    def adopt(self, subject: suspect_reports.Subject) -> None:
        """Takes over a report that an earlier process of this VM wrote."""
        self._reports.adopt(self._loop.time(), subject)

    def begin_era(self) -> None:
        """Writes the reports of this VM again, since the store is restored."""
        self._reports.begin_era(self._loop.time())
        self._changed.set()

    async def write_due(self) -> None:
        """Waits until reports are due and writes them with one call.

        After a failure, logs it and waits.
        """
        batch = self._reports.list_batch(self._loop.time(), self._max_batch)
        if not batch:
            await self._wait_for_reports()
            return
        try:
            revision = await self._write(batch)
        except Exception as error:
            self._failures.record(error)
            await asyncio.sleep(RETRY_SECONDS)
            return
        self._failures.record_recovery()
        self._reports.record_written(batch, revision)

    async def _wait_for_reports(self) -> None:
        """Waits until a report is due or a new one is added."""
        self._changed.clear()
        due_at = self._reports.find_next_due_at()
        try:
            async with asyncio.timeout_at(due_at):
                await self._changed.wait()
        except TimeoutError:
            pass

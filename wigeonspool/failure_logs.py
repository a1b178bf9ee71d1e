"""Logs a failure once however often it repeats, and its end.

A store or a peer may be away for an hour while it is tried several times a
second; the log shows when that began, when it changed and when it ended.
"""

import loguru


class FailureLog:
    """The failures of one repeated attempt."""

    __slots__ = ("_count", "_logged", "_subject")

    def __init__(self, subject: str) -> None:
        """Prepares a log without failures.

        Args:
            subject: What is tried; the lines begin with it.
        """
        self._subject = subject
        self._logged: set[str] = set()
        self._count = 0

    def record(self, error: Exception) -> None:
        """Logs a failure, unless it is one that was logged before."""
        self._count += 1
        text = f"{type(error).__name__}: {error}"
        if text not in self._logged:
            self._logged.add(text)
            loguru.logger.info("{}: {}", self._subject, text)

    def record_recovery(self) -> None:
        """Logs the end of the failures, if there were any."""
        if self._count:
            loguru.logger.info(
                "{}: back after {} failures", self._subject, self._count
            )
            self._logged.clear()
            self._count = 0

"""Logs each distinct failure of a retried operation once, and its recovery.

A store or a peer may be unavailable for an hour while it is retried several
times a second. The log shows when the failures began, when their cause changed
and when they ended.
"""

from wigeonspool import component_logs

log = component_logs.get_logger()


class FailureLog:
    """Logs the failures of one operation that is retried."""

    __slots__ = ("_count", "_logged_texts", "_subject")

    def __init__(self, subject: str) -> None:
        """Starts with no failures.

        Args:
            subject: The operation; each log line begins with it.
        """
        self._subject = subject
        self._logged_texts: set[str] = set()
        self._count = 0

    def record(self, error: Exception) -> None:
        """Logs a failure, once for each type and message until the recovery."""
        self._count += 1
        text = f"{type(error).__name__}: {error}"
        if text not in self._logged_texts:
            self._logged_texts.add(text)
            log.info(f"{self._subject}: {text}")

    def record_recovery(self) -> None:
        """Logs the number of failures, if there were any, and forgets them."""
        if self._count:
            log.info(f"{self._subject}: back after {self._count} failures")
            self._logged_texts.clear()
            self._count = 0

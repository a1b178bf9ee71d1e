"""Detects changes of the settings file by its modification time."""

import pathlib

from wigeonspool.vm import structured_log

log = structured_log.get_logger("process")


class SettingsFile:
    """The settings file of this process.

    Attributes:
        path: Path of the file, or None if the settings never change.
    """

    def __init__(self, path: pathlib.Path | None) -> None:
        """Creates the state of a file that was just read."""
        self.path = path
        self._modified_ns = self._read_modified_ns()

    def mark_read(self) -> None:
        """Records the current version of the file as read."""
        self._modified_ns = self._read_modified_ns()

    def is_changed(self) -> bool:
        """Returns True if the file was written since it was last read."""
        return self._read_modified_ns() != self._modified_ns

    def _read_modified_ns(self) -> int:
        """Returns the modification time in nanoseconds, or 0 if unknown."""
        if self.path is None:
            return 0
        try:
            return self.path.stat().st_mtime_ns
        except OSError as error:
            log.warning("settings file cannot be seen", reason=str(error))
            return 0

"""Notices that the settings file changed, with or without a signal."""

import pathlib

from wigeonspool.vm import structured_log

log = structured_log.get_logger("process")


class SettingsFile:
    """The settings file of this process.

    Attributes:
        path: Where it is, or None for settings that never change.
    """

    def __init__(self, path: pathlib.Path | None) -> None:
        """Takes the file as it was read at the start."""
        self.path = path
        self._modified_ns = self._read_modified_ns()

    def mark_read(self) -> None:
        """Notes that the file is read now."""
        self._modified_ns = self._read_modified_ns()

    def is_changed(self) -> bool:
        """Returns True if the file was written since it was last read."""
        return self._read_modified_ns() != self._modified_ns

    def _read_modified_ns(self) -> int:
        """Returns when it was written, in nanoseconds; 0 if unknown."""
        if self.path is None:
            return 0
        try:
            return self.path.stat().st_mtime_ns
        except OSError as error:
            log.warning("settings file cannot be seen", reason=str(error))
            return 0

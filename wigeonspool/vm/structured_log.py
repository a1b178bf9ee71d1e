"""The log of an entry VM: JSON lines, limited in rate and never blocking.

A line holds the time, the level, the component that wrote it, the event, and
the values that explain it, each in a field of its own. Lines that exceed the
rate limit, or that the reader does not read in time, are dropped and counted.
The count is written with the next line that can be written.
"""

import logging
import os
import sys
import time
from typing import Any, Final

import msgspec

from wigeonspool import component_logs

# With 300 bytes per line this is below 1 Mbit/s.
LINES_PER_SECOND: Final = 400.0
BURST_LINES: Final = 1000.0
# Lines about normal operation are dropped first: half of a burst is reserved
# for other lines.
ROUTINE_MIN_TOKENS: Final = BURST_LINES / 2
# Fields that identify the source of a line; the other fields explain the event.
PART_FIELD: Final = component_logs.PART_FIELD
VM_FIELD: Final = "vm"

library_log = component_logs.get_logger("process")


class LineWriter:
    """Writes lines to a file descriptor without waiting for its reader.

    Attributes:
        dropped_lines: Number of lines that were dropped.
    """

    def __init__(self, descriptor: int) -> None:
        """Creates a writer and makes the descriptor non-blocking."""
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self._unwritten = b""
        self._unreported_drops = 0
        os.set_blocking(descriptor, False)

    def write(self, message: Any) -> None:
        """Writes one log record, or drops and counts it."""
        min_tokens = 1.0 if _is_notable(message.record) else ROUTINE_MIN_TOKENS
        if not self._consume_token(min_tokens) or not self._flush():
            self.dropped_lines += 1
            self._unreported_drops += 1
            return
        lines = encode_record(message.record)
        if self._unreported_drops:
            drop_record = {
                "event": "lines left out",
                "count": self._unreported_drops,
            }
            lines = msgspec.json.encode(drop_record) + b"\n" + lines
            self._unreported_drops = 0
        self._unwritten = lines
        self._flush()

    def _consume_token(self, min_tokens: float) -> bool:
        """Returns True and consumes a token if the rate limit allows a line.

        Args:
            min_tokens: Number of tokens that must be available.
        """
        now = time.monotonic()
        refill = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < min_tokens:
            return False
        self._tokens -= 1.0
        return True

    def _flush(self) -> bool:
        """Writes the rest of the last line; returns True if it is complete."""
        if not self._unwritten:
            return True
        try:
            written = os.write(self._descriptor, self._unwritten)
        except OSError:
            # The reader is slow or has closed its end. The rest of the line is
            # written before the next line.
            return False
        self._unwritten = self._unwritten[written:]
        return not self._unwritten


def _is_notable(record: Any) -> bool:
    """Returns True unless a record reports normal operation."""
    return bool(record["level"].no >= logging.INFO)


def encode_record(record: Any) -> bytes:
    """Returns a log record as a line of JSON."""
    extra_fields = record["extra"]
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "vm": extra_fields.get(VM_FIELD, ""),
        "part": extra_fields.get(PART_FIELD, "process"),
        "event": record["message"],
    }
    for name, value in extra_fields.items():
        if name not in (PART_FIELD, VM_FIELD):
            line[name] = value
    failure = record["exception"]
    if failure is not None:
        line["exception"] = repr(failure.value)
    return msgspec.json.encode(line, enc_hook=str) + b"\n"


class LibraryHandler(logging.Handler):
    """Writes records of the standard library's logging to the same log."""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record of a library, after the name of its logger."""
        error = record.exc_info[1] if record.exc_info else None
        level = component_logs.Level(record.levelname, record.levelno)
        library_log.opt(exception=error).log(
            level, f"{record.name}: {record.getMessage()}"
        )


def configure(vm: str) -> LineWriter:
    """Directs the log of this process to standard output.

    Args:
        vm: Name of the VM, which is a field of each line.

    Returns:
        The writer of the lines.
    """
    writer = LineWriter(sys.stdout.fileno())

    def write(line: Any) -> None:
        """Writes a line with the name of this VM; raises nothing."""
        record = line.record
        record["extra"][VM_FIELD] = vm
        try:
            writer.write(line)
        except Exception:
            # A value of the line cannot be encoded, for example text with
            # lone surrogates from a request.
            record["message"] = ascii(record["message"])
            record["extra"] = {k: ascii(v) for k, v in record["extra"].items()}
            record["exception"] = None
            writer.write(line)

    component_logs.set_sink(write)
    logging.basicConfig(
        handlers=[LibraryHandler()], level=logging.WARNING, force=True
    )
    logging.captureWarnings(True)
    return writer


def get_logger(name: str) -> Any:
    """Returns the logger of a component.

    Args:
        name: Name of the component, which is a field of each of its lines.
    """
    return component_logs.get_logger(name)

"""Reads the logs that entry VMs wrote and merges their lines by time.

On a platform, a process that has ended cannot be queried for its events any
more, but its log is kept. The clocks of VMs differ a little, so lines of two
VMs may be in the wrong order if their times differ by less than the clocks do.
The lines of one VM stay in the order in which they were written.
"""

from collections.abc import Iterable
import dataclasses
import pathlib
from typing import Any

import msgspec

from wigeonspool.model import errors
from wigeonspool.model import events

# Fields that are not printed as name=value: a line of text begins with the
# values of the first four, and the level is left out.
LEADING_FIELDS = ("time", "vm", "part", "event", "level")


@dataclasses.dataclass(slots=True)
class LogLines:
    """Lines of one or more logs.

    Attributes:
        lines: The lines that match the filter, in the order of their times.
        lines_read: Number of all lines read.
        unreadable: Number of lines that hold no record.
    """

    lines: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    lines_read: int = 0
    unreadable: int = 0


def read_logs(
    paths: Iterable[pathlib.Path], event_filter: events.Filter
) -> LogLines:
    """Returns the lines of logs that match a filter, in the order of time.

    Args:
        paths: Log files, one or more for each VM.
        event_filter: Which lines to return; its `kinds` are ignored.

    Raises:
        SettingsError: If a file cannot be read.
    """
    log_lines = LogLines()
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                _add_matching_lines(file, event_filter, log_lines)
        except OSError as error:
            raise errors.SettingsError(str(path), "file", str(error)) from error
    log_lines.lines.sort(key=lambda line: str(line.get("time", "")))
    return log_lines


def _add_matching_lines(
    file: Iterable[str], event_filter: events.Filter, log_lines: LogLines
) -> None:
    """Counts the lines of one file and adds those that match a filter."""
    for text in file:
        log_lines.lines_read += 1
        # Log collectors may prefix each line with its origin.
        record_start = text.find("{")
        try:
            line = msgspec.json.decode(text[max(0, record_start) :])
        except msgspec.MsgspecError:
            log_lines.unreadable += 1
            continue
        if isinstance(line, dict) and _matches(line, event_filter):
            log_lines.lines.append(line)


def _matches(line: dict[str, Any], event_filter: events.Filter) -> bool:
    """Returns True if a line matches request, VM and target of a filter."""
    if event_filter.request and line.get("request") != event_filter.request:
        return False
    if event_filter.vm and line.get("vm") != event_filter.vm:
        return False
    return not event_filter.target or _mentions_target(
        line, event_filter.target
    )


def _mentions_target(line: dict[str, Any], target: str) -> bool:
    """Returns True if a field or a step of a line names a target.

    A line about a changed entry of the store has the key of the entry, which
    for a target is `servers/` and the identity of the target.
    """
    if target in (line.get("target"), line.get("key")):
        return True
    if str(line.get("key", "")).endswith(f"/{target}"):
        return True
    return any(target in step for step in line.get("steps", ()))


def format_line(line: dict[str, Any]) -> str:
    """Returns a line as text: time, VM, component, event, other fields."""
    fields = [
        f"{name}={_format_value(value)}"
        for name, value in line.items()
        if name not in LEADING_FIELDS
    ]
    leading = [str(line.get(name, "")) for name in LEADING_FIELDS[:4]]
    return " ".join([*leading, *fields])


def _format_value(value: Any) -> str:
    """Returns the value of a field as text, quoted if it has spaces."""
    if isinstance(value, str):
        return value if value and " " not in value else repr(value)
    return msgspec.json.encode(value).decode()

"""Reads the logs that entry VMs wrote, and puts their lines in one order.

On a platform nobody can ask a process that has ended; what it wrote is kept.
Clocks of VMs differ a little, so lines of two VMs may stand in the wrong order
by that much; those of one VM stand as they were written.
"""

from collections.abc import Iterable
import dataclasses
import pathlib
from typing import Any

import msgspec

from wigeonspool.model import errors
from wigeonspool.model import events

# Fields that stand at the beginning of each line of text.
LEADING = ("time", "vm", "part", "event", "level")


@dataclasses.dataclass(slots=True)
class LogLines:
    """Lines of some logs.

    Attributes:
        lines: The lines that are wanted, in the order of their times.
        read: Lines read.
        unreadable: Lines that hold no record.
    """

    lines: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    read: int = 0
    unreadable: int = 0


def read_logs(paths: Iterable[pathlib.Path], wanted: events.Filter) -> LogLines:
    """Returns the lines of logs that are wanted, in order.

    Args:
        paths: Files, one or more for each VM.
        wanted: Which lines; its kinds are not used.

    Raises:
        SettingsError: If a file cannot be read.
    """
    found = LogLines()
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                _take_lines(file, wanted, found)
        except OSError as error:
            raise errors.SettingsError(str(path), "file", str(error)) from error
    found.lines.sort(key=lambda line: str(line.get("time", "")))
    return found


def _take_lines(
    file: Iterable[str], wanted: events.Filter, found: LogLines
) -> None:
    """Adds the lines of one file that are wanted."""
    for text in file:
        found.read += 1
        # Whoever collects logs may write before each line where it is from.
        begin = text.find("{")
        try:
            line = msgspec.json.decode(text[max(0, begin) :])
        except msgspec.MsgspecError:
            found.unreadable += 1
            continue
        if isinstance(line, dict) and _is_wanted(line, wanted):
            found.lines.append(line)


def _is_wanted(line: dict[str, Any], wanted: events.Filter) -> bool:
    """Returns True if a line tells of what is asked for."""
    if wanted.request and line.get("request") != wanted.request:
        return False
    if wanted.vm and line.get("vm") != wanted.vm:
        return False
    return not wanted.target or _names_target(line, wanted.target)


def _names_target(line: dict[str, Any], target: str) -> bool:
    """Returns True if a line names a target, in a field or in a step."""
    if target in (line.get("target"), line.get("key")):
        return True
    if str(line.get("key", "")).endswith(f"/{target}"):
        return True
    return any(target in step for step in line.get("steps", ()))


def write_text(line: dict[str, Any]) -> str:
    """Returns a line for people: when, where, what, and the facts."""
    facts = [
        f"{name}={_write_value(value)}"
        for name, value in line.items()
        if name not in LEADING
    ]
    head = [str(line.get(name, "")) for name in LEADING[:4]]
    return " ".join([*head, *facts])


def _write_value(value: Any) -> str:
    """Returns a fact as text."""
    if isinstance(value, str):
        return value if value and " " not in value else repr(value)
    return msgspec.json.encode(value).decode()

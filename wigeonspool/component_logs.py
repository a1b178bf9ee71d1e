"""Loggers of components, which do not load a logging library by themselves.

Lines go to a sink of the process. Without one they go to the library `loguru`,
which is loaded at the first line. An entry VM has its own sink and therefore
never loads it, since that would delay each of its starts.
"""

from collections.abc import Callable
import datetime
import logging
import sys
import types
from typing import Any, Final, NamedTuple

# Field that names the component that wrote a line.
PART_FIELD: Final = "part"
# How many frames lie between the caller of a logger and the library.
LIBRARY_DEPTH: Final = 3


class Level(NamedTuple):
    """Severity of a line.

    Attributes:
        name: Its name.
        no: Its number, as in the standard library.
    """

    name: str
    no: int


class Failure(NamedTuple):
    """The error that a line reports.

    Attributes:
        value: The error.
    """

    value: BaseException


DEBUG: Final = Level("DEBUG", logging.DEBUG)
INFO: Final = Level("INFO", logging.INFO)
WARNING: Final = Level("WARNING", logging.WARNING)
ERROR: Final = Level("ERROR", logging.ERROR)

Sink = Callable[[Any], None]
_sinks: list[Sink] = []


def set_sink(sink: Sink) -> None:
    """Sends the lines of this process to a sink, from now on.

    Args:
        sink: Called with each line, whose `record` has the fields `level`,
            `time`, `message`, `extra` and `exception` of the library.
    """
    _sinks[:] = [sink]


def get_logger(part: str = "") -> "ComponentLogger":
    """Returns the logger of a component.

    Args:
        part: Name of the component, which is a field of each of its lines, or
            "" for none.
    """
    return ComponentLogger({PART_FIELD: part} if part else {})


class ComponentLogger:
    """Writes the lines of one component."""

    __slots__ = ("_bound", "_error")

    def __init__(
        self, bound: dict[str, Any], error: BaseException | None = None
    ) -> None:
        """Creates a logger.

        Args:
            bound: Fields of each line.
            error: Error that each line reports, or None.
        """
        self._bound = bound
        self._error = error

    def opt(self, *, exception: BaseException | bool | None) -> Any:
        """Returns a logger whose lines report an error.

        Args:
            exception: The error, True for the one that is being handled, or
                None for none.
        """
        error = sys.exc_info()[1] if exception is True else exception
        return ComponentLogger(self._bound, error or None)

    def debug(self, event: str, **fields: Any) -> None:
        """Writes a line about normal operation that is frequent."""
        self._write(DEBUG, event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Writes a line about normal operation."""
        self._write(INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Writes a line about a condition that needs attention."""
        self._write(WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Writes a line about a failure."""
        self._write(ERROR, event, fields)

    def log(self, level: Level, event: str) -> None:
        """Writes a line of any level."""
        self._write(level, event, {})

    def _write(self, level: Level, event: str, fields: dict[str, Any]) -> None:
        """Passes a line to the sink of the process, or to the library."""
        if not _sinks:
            _pass_to_library(level, event, self._bound | fields, self._error)
            return
        error = self._error
        record = {
            "level": level,
            "time": datetime.datetime.now().astimezone(),
            "message": event,
            "extra": self._bound | fields,
            "exception": None if error is None else Failure(error),
        }
        line = types.SimpleNamespace(record=record)
        _sinks[0](line)


def _pass_to_library(
    level: Level,
    event: str,
    fields: dict[str, Any],
    error: BaseException | None,
) -> None:
    """Writes a line with the library."""
    # Loaded here, since a process that has a sink does not need it.
    import loguru

    logger = loguru.logger.opt(exception=error, depth=LIBRARY_DEPTH)
    # An argument keeps the library from formatting the event itself.
    logger.bind(**fields).log(level.name, "{}", event)

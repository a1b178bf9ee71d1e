"""Configures the log of a process; each line has the prefix of its component.

Libraries write to the standard library's logging. Their records are passed on
to the same log, so that an operator reads one log in one format.
"""

import json
import logging
import sys
from typing import TYPE_CHECKING, Any, Final

import loguru

if TYPE_CHECKING:
    # Pydantic models are slow to import, and an entry VM does not use these.
    from wigeonspool.model import options

TEXT_FORMAT: Final = "{time:HH:mm:ss.SSS} {level} {extra[part]}: {message}"


class StdlibLogHandler(logging.Handler):
    """Passes records of the standard library's logging on to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs one record of a library, after the name of its logger."""
        try:
            level: str | int = loguru.logger.level(record.levelname).name
        except ValueError:
            # Some libraries define levels of their own.
            level = record.levelno
        message = f"{record.name}: {record.getMessage()}"
        logger = loguru.logger.opt(exception=record.exc_info)
        logger.log(level, "{}", message)


def configure_logs(component: str, settings: "options.LogOptions") -> None:
    """Makes this process log to standard error.

    Args:
        component: Prefix of each line.
        settings: Format and minimum level.
    """
    loguru.logger.remove()
    loguru.logger.configure(extra={"part": component})
    if settings.format == "text":
        loguru.logger.add(
            sys.stderr, format=TEXT_FORMAT, level=settings.level, diagnose=False
        )
    else:
        loguru.logger.add(write_json_line, level=settings.level)
    # Libraries log each start and stop of a service at INFO, which is of use
    # for debugging only. Other levels show only their warnings and errors.
    library_level = max(logging.WARNING, logging.getLevelName(settings.level))
    level = logging.DEBUG if settings.level == "DEBUG" else library_level
    logging.basicConfig(handlers=[StdlibLogHandler()], level=level, force=True)
    logging.captureWarnings(True)


def write_json_line(message: Any) -> None:
    """Writes one log record to standard error as a line of JSON."""
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "part": record["extra"]["part"],
        "message": record["message"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
        line["traceback"] = str(message).partition("\n")[2]
    print(json.dumps(line), file=sys.stderr, flush=True)

"""How commands print: text for people, JSON for scripts, typed exit codes."""

import asyncio
from collections.abc import Coroutine, Iterable
import json
import sys
from typing import Any, Final, TypeVar

from wigeonspool.model import errors

EXIT_FAILED: Final = 1
EXIT_INVALID: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_NOT_IN_FORCE: Final = 4
EXIT_UNKNOWN: Final = 5

EXIT_CODES: Final[dict[type[errors.WigeonspoolError], int]] = {
    errors.SettingsError: EXIT_INVALID,
    errors.TargetUnknownError: EXIT_INVALID,
    errors.GenerationMissingError: EXIT_INVALID,
    errors.ChangeTooLargeError: EXIT_INVALID,
    errors.ChangeConflictError: EXIT_CONFLICT,
    errors.BaseOutdatedError: EXIT_CONFLICT,
    errors.NotInForceError: EXIT_NOT_IN_FORCE,
    errors.ChangeUnknownError: EXIT_UNKNOWN,
}

Value = TypeVar("Value")


def print_result(
    document: dict[str, Any], lines: Iterable[str], as_json: bool
) -> None:
    """Prints the result of a command.

    Args:
        document: Result as one JSON object.
        lines: Result as text.
        as_json: Which of the two to print.
    """
    if as_json:
        print(json.dumps(document))
        return
    for line in lines:
        print(line)


def run_command(work: Coroutine[Any, Any, Value], as_json: bool) -> Value:
    """Runs a command; a typed failure becomes a message and an exit code.

    Args:
        work: The command.
        as_json: True to print a failure as JSON.

    Returns:
        What the command returned.
    """
    try:
        return asyncio.run(work)
    except errors.WigeonspoolError as error:
        message = str(error)
        if as_json:
            message = json.dumps({"error": error.code, "message": message})
        print(message, file=sys.stderr)
        sys.exit(EXIT_CODES.get(type(error), EXIT_FAILED))

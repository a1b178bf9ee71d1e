"""Output of commands as text or JSON, and their exit codes by type of error."""

import asyncio
from collections.abc import Coroutine, Iterable
import json
import sys
from typing import Any, Final, TypeVar

from wigeonspool.model import errors

EXIT_FAILED: Final = 1
EXIT_INVALID: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_NOT_ACTIVE: Final = 4
EXIT_OUTCOME_UNKNOWN: Final = 5

EXIT_CODES: Final[dict[type[errors.WigeonspoolError], int]] = {
    errors.SettingsError: EXIT_INVALID,
    errors.TargetUnknownError: EXIT_INVALID,
    errors.GenerationMissingError: EXIT_INVALID,
    errors.ChangeTooLargeError: EXIT_INVALID,
    errors.ChangeConflictError: EXIT_CONFLICT,
    errors.BaseOutdatedError: EXIT_CONFLICT,
    errors.GenerationNotActiveError: EXIT_NOT_ACTIVE,
    errors.ChangeOutcomeUnknownError: EXIT_OUTCOME_UNKNOWN,
}

Value = TypeVar("Value")


def print_result(
    document: dict[str, Any], lines: Iterable[str], as_json: bool
) -> None:
    """Prints the result of a command.

    Args:
        document: Result as one JSON object.
        lines: Result as text.
        as_json: True to print the document, False to print the lines.
    """
    if as_json:
        print(json.dumps(document))
        return
    for line in lines:
        print(line)


def run_command(command: Coroutine[Any, Any, Value], as_json: bool) -> Value:
    """Runs a command; prints an error and exits if the command fails.

    Args:
        command: The command.
        as_json: True to print an error as JSON.

    Returns:
        The result of the command.

    Raises:
        SystemExit: With the exit code of the error, if the command failed.
    """
    try:
        return asyncio.run(command)
    except errors.WigeonspoolError as error:
        message = str(error)
        if as_json:
            message = json.dumps({"error": error.code, "message": message})
        print(message, file=sys.stderr)
        sys.exit(EXIT_CODES.get(type(error), EXIT_FAILED))

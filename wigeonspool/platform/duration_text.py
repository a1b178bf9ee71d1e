"""Reads the times that the platform writes as text."""

import re
from typing import Final

from wigeonspool.model import errors

DURATION_PATTERN: Final = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
SECONDS_PER_UNIT: Final = {"ms": 0.001, "s": 1.0}


def parse_seconds(text: str) -> float:
    """Returns a time such as `1500ms` or `2.5s`, in seconds.

    Raises:
        PlatformFormatError: If the text is no time.
    """
    match = DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise errors.PlatformFormatError(f"{text!r} is not a time")
    return float(match[1]) * SECONDS_PER_UNIT[match[2]]


def format_seconds(seconds: float) -> str:
    """Returns a time in seconds as the platform writes it."""
    return f"{round(seconds * 1000)}ms"

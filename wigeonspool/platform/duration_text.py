"""Parses and formats durations in the platform's text form."""

import re
from typing import Final

from wigeonspool.model import errors

DURATION_PATTERN: Final = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
SECONDS_PER_UNIT: Final = {"ms": 0.001, "s": 1.0}


def parse_seconds(text: str) -> float:
    """Parses a duration such as `1500ms` or `2.5s`; returns seconds.

    Raises:
        PlatformFormatError: If the text is not a duration in `ms` or `s`.
    """
    match = DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise errors.PlatformFormatError(f"{text!r} is not a duration")
    return float(match[1]) * SECONDS_PER_UNIT[match[2]]


def format_seconds(seconds: float) -> str:
    """Returns a duration as the platform writes it: in whole milliseconds."""
    return f"{round(seconds * 1000)}ms"

"""Parses and formats durations in the platform's text form."""

import re
import reprlib
from typing import Final

from wigeonspool.model import errors

# ASCII digits, as many as the longest duration needs and some decimals.
DURATION_PATTERN: Final = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,30})?)(ms|s)")
# Timers overflow beyond some hundred years.
MAX_DURATION_SECONDS: Final = 366 * 24 * 3600.0
SECONDS_PER_UNIT: Final = {"ms": 0.001, "s": 1.0}


def parse_seconds(text: str) -> float:
    """Parses a duration such as `1500ms` or `2.5s`; returns seconds.

    Raises:
        PlatformFormatError: If the text is not a duration in `ms` or `s`, or
            exceeds `MAX_DURATION_SECONDS`.
    """
    match = DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise errors.PlatformFormatError(
            f"{reprlib.repr(text)} is not a duration"
        )
    seconds = float(match[1]) * SECONDS_PER_UNIT[match[2]]
    if seconds > MAX_DURATION_SECONDS:
        raise errors.PlatformFormatError(
            f"{text!r} exceeds {MAX_DURATION_SECONDS} s"
        )
    return seconds


def format_seconds(seconds: float) -> str:
    """Returns a duration as the platform writes it: in whole milliseconds."""
    return f"{round(seconds * 1000)}ms"

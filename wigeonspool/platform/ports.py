"""Finds the ports of this process before its libraries are loaded.

The sockets are opened first, so that callers that connect during a start wait
instead of being refused. This module therefore imports only the standard
library and does not validate the settings file; `settings` reports errors in it
later.
"""

import os
import tomllib
from typing import Any, Final

SETTINGS_PATH_VARIABLE: Final = "WIGEONSPOOL_BOOT"
# Settings of the ports that others connect to while this process starts.
ADDRESS_FIELDS: Final = ("EdgeAddr", "Directory", "Readiness")


def list_ports() -> list[str]:
    """Returns host:port of each listening port in the settings file.

    A missing or malformed file has no ports.
    """
    try:
        with open(os.environ.get(SETTINGS_PATH_VARIABLE, ""), "rb") as file:
            document = tomllib.load(file)
    except (OSError, ValueError, RecursionError):
        # `settings` fails to read the file for the same reason and reports it.
        return []
    table: Any = document
    for name in ("Network", "Listen"):
        table = table.get(name)
        if not isinstance(table, dict):
            return []
    values = [table.get(field) for field in ADDRESS_FIELDS]
    return [value for value in values if _is_address(value)]


def _is_address(value: Any) -> bool:
    """Returns True if a value is a text of the form host:port."""
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    return bool(host) and port.isascii() and port.isdecimal()

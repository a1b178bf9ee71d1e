"""Finds the ports of this process before its libraries are loaded.

Only the ports are read here, without the validated models; what is wrong with
the file is told when the rest of it is read.
"""

import os
import tomllib
from typing import Any, Final

PATH_VARIABLE: Final = "WIGEONSPOOL_BOOT"
# Fields of the ports on which somebody waits for this process.
ADDRESS_FIELDS: Final = ("EdgeAddr", "Directory", "Readiness")


def list_ports() -> list[str]:
    """Returns host:port of each port that is named in the settings file."""
    try:
        with open(os.environ.get(PATH_VARIABLE, ""), "rb") as file:
            document = tomllib.load(file)
    except (OSError, ValueError):
        # Reading the whole file fails alike, and reports it.
        return []
    listen: Any = document
    for table in ("Network", "Listen"):
        listen = listen.get(table)
        if not isinstance(listen, dict):
            return []
    found = [listen.get(field) for field in ADDRESS_FIELDS]
    return [text for text in found if _is_address(text)]


def _is_address(text: Any) -> bool:
    """Returns True if a field holds host:port."""
    if not isinstance(text, str):
        return False
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdecimal()

"""Parses the addresses of targets and VMs.

The platform has no name lookups: a host is an IPv4 address.
"""

import ipaddress
import re
from typing import Final

from wigeonspool.model import errors

MIN_PORT: Final = 1
MAX_PORT: Final = 65535
# ASCII digits only: `str.isdecimal` accepts the digits of all scripts.
_PORT: Final = re.compile("[0-9]{1,5}")


def split_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address `host:port`.

    Raises:
        AddressInvalidError: If the host is not an IPv4 address, or the port is
            not a number from `MIN_PORT` to `MAX_PORT`.
    """
    host, _, port = address.rpartition(":")
    if _PORT.fullmatch(port) is None:
        raise errors.AddressInvalidError(address)
    if not MIN_PORT <= int(port) <= MAX_PORT:
        raise errors.AddressInvalidError(address)
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise errors.AddressInvalidError(address) from error
    return host, int(port)

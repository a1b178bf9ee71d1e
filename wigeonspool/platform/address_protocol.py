"""Paths, queries and responses of the platform's address lookup."""

from collections.abc import Iterable
from typing import Final

import msgspec
import yarl

from wigeonspool.model import protocols
from wigeonspool.platform import duration_text

RESOLVE_PATH: Final = "/v1/resolve"
READY_PATH: Final = "/v1/ready"
# Callers ignore addresses beyond this number.
MAX_ADDRESSES: Final = 64


def read_address_request(url: yarl.URL) -> protocols.AddressRequest:
    """Returns the address request in a URL; a missing parameter is ""."""
    query = url.query
    return protocols.AddressRequest(
        query.get("Name", ""), query.get("Region", ""), query.get("Zone", "")
    )


def build_address_response(
    addresses: Iterable[str], ttl_seconds: float
) -> bytes:
    """Returns the JSON response body of an address lookup.

    Args:
        addresses: host:port of the VMs to use. Those after the first
            `MAX_ADDRESSES` are left out.
        ttl_seconds: How long callers may cache the addresses.
    """
    returned_addresses = list(addresses)[:MAX_ADDRESSES]
    return msgspec.json.encode(
        {
            "Addrs": returned_addresses,
            "Ttl": duration_text.format_seconds(ttl_seconds),
        }
    )


ADDRESS_PROTOCOL: Final = protocols.AddressLookupAdapter(
    lookup_path=RESOLVE_PATH,
    ready_path=READY_PATH,
    read_address_request=read_address_request,
    build_address_response=build_address_response,
)

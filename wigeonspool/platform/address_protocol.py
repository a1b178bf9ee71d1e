"""The address question as the platform's callers ask it."""

from collections.abc import Iterable
from typing import Final

import msgspec
import yarl

from wigeonspool.model import protocols
from wigeonspool.platform import duration_text

RESOLVE_PATH: Final = "/v1/resolve"
READY_PATH: Final = "/v1/ready"
# Callers take no more addresses than this.
MAX_ADDRESSES: Final = 64


def read_address_request(url: yarl.URL) -> protocols.AddressRequest:
    """Returns the question in a query; what is left out is ""."""
    query = url.query
    return protocols.AddressRequest(
        query.get("Name", ""), query.get("Region", ""), query.get("Zone", "")
    )


def write_addresses(addresses: Iterable[str], ttl_seconds: float) -> bytes:
    """Returns the answer: addresses, and how long to keep them."""
    listed = list(addresses)[:MAX_ADDRESSES]
    return msgspec.json.encode(
        {"Addrs": listed, "Ttl": duration_text.format_seconds(ttl_seconds)}
    )


ADDRESS_PROTOCOL: Final = protocols.AddressLookupAdapter(
    lookup_path=RESOLVE_PATH,
    ready_path=READY_PATH,
    read_address_request=read_address_request,
    build_address_response=write_addresses,
)

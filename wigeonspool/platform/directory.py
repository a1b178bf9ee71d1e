"""The address question as the platform's callers ask it."""

from collections.abc import Iterable
from typing import Final

import msgspec
import yarl

from wigeonspool.model import border
from wigeonspool.platform import texts

RESOLVE_PATH: Final = "/v1/resolve"
READY_PATH: Final = "/v1/ready"
# Callers take no more addresses than this.
MOST_ADDRESSES: Final = 64


def read_question(url: yarl.URL) -> border.Question:
    """Returns the question in a query; what is left out is ""."""
    query = url.query
    return border.Question(
        query.get("Name", ""), query.get("Region", ""), query.get("Zone", "")
    )


def write_addresses(addresses: Iterable[str], keep_seconds: float) -> bytes:
    """Returns the answer: addresses, and how long to keep them."""
    listed = list(addresses)[:MOST_ADDRESSES]
    return msgspec.json.encode(
        {"Addrs": listed, "Ttl": texts.write_seconds(keep_seconds)}
    )


ADDRESSING: Final = border.Addressing(
    resolve_path=RESOLVE_PATH,
    ready_path=READY_PATH,
    read_question=read_question,
    write_addresses=write_addresses,
)

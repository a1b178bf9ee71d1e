"""Names of the HTTP header fields of callers, gateways and targets."""

from typing import Final

from multidict import CIMultiDict
from multidict import CIMultiDictProxy
from multidict import istr

ASSIGNMENT: Final = istr("Wigeonspool-Assignment")
ATTEMPT: Final = istr("Wigeonspool-Attempt")
CALLER: Final = istr("Wigeonspool-Caller")
FORWARDED: Final = istr("Wigeonspool-Forwarded")
IDEMPOTENCY_KEY: Final = istr("Idempotency-Key")
OUTCOME: Final = istr("Wigeonspool-Outcome")
REASON: Final = istr("Wigeonspool-Reason")
REMAINING_MS: Final = istr("Wigeonspool-Remaining-Ms")
REQUEST: Final = istr("Wigeonspool-Request")
DRAINING: Final = istr("Wigeonspool-Draining")
LOAD: Final = istr("endpoint-load-metrics")

# Fields that only gateways and targets set; they are dropped from callers'
# requests.
RESERVED_FIELDS: Final = (ASSIGNMENT, FORWARDED, OUTCOME, REASON, DRAINING)

ADDRESS_PATH: Final = "/.wigeonspool/address"

# Fields of a single connection, which are not forwarded.
HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "expect",
        "content-length",
    }
)

DROPPED_FROM_CALLERS: Final = HOP_BY_HOP | {
    name.lower() for name in RESERVED_FIELDS
}


def list_end_to_end(
    fields: CIMultiDictProxy[str], excluded: frozenset[str] = HOP_BY_HOP
) -> list[tuple[str, str]]:
    """Returns the end-to-end fields of a message, in order.

    Fields that a Connection field names are hop-by-hop fields too.

    Args:
        fields: Fields of a message; names may occur more than once.
        excluded: Names in lower case that are always left out.
    """
    for value in fields.getall("Connection", ()):
        options = value.lower()
        if options not in ("keep-alive", "close"):
            excluded |= {name.strip() for name in options.split(",")}
    return [
        (name, value)
        for name, value in fields.items()
        if name.lower() not in excluded
    ]


def select_end_to_end(fields: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Returns the end-to-end fields of a message."""
    return CIMultiDict(list_end_to_end(fields))

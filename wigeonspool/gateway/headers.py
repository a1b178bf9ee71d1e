"""Names of the HTTP fields that callers, gateways and targets share."""

from collections.abc import Mapping
from typing import Final

from multidict import CIMultiDict
from multidict import istr

ASSIGNMENT: Final = istr("Wigeonspool-Assignment")
ATTEMPT: Final = istr("Wigeonspool-Attempt")
CALLER: Final = istr("Wigeonspool-Caller")
FORWARDED: Final = istr("Wigeonspool-Forwarded")
KEY: Final = istr("Idempotency-Key")
OUTCOME: Final = istr("Wigeonspool-Outcome")
REASON: Final = istr("Wigeonspool-Reason")
REMAINING_MS: Final = istr("Wigeonspool-Remaining-Ms")
REQUEST: Final = istr("Wigeonspool-Request")
DRAINING: Final = istr("Wigeonspool-Draining")
LOAD: Final = istr("endpoint-load-metrics")

# Fields that only gateways and targets set; a caller's are dropped.
GATEWAYS_OWN: Final = (ASSIGNMENT, FORWARDED, OUTCOME, REASON, DRAINING)

ADDRESS_PATH: Final = "/.wigeonspool/address"

# Fields that belong to one connection and are not passed on.
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


def select_end_to_end(fields: Mapping[str, str]) -> CIMultiDict[str]:
    """Returns the fields that pass from one hop to the next.

    Fields that the Connection field names belong to the hop too.

    Args:
        fields: Fields of a message; names may occur more than once.
    """
    passed = CIMultiDict(
        [
            (name, value)
            for name, value in fields.items()
            if name.lower() not in HOP_BY_HOP
        ]
    )
    named = fields.get("Connection")
    if named is None or named.lower() in ("keep-alive", "close"):
        return passed
    for value in CIMultiDict(fields).getall("Connection"):
        for name in value.split(","):
            passed.popall(name.strip(), None)
    return passed

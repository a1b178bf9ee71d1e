"""Names of the HTTP fields that callers, gateways and targets share."""

from typing import Final

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
        "content-length",
    }
)

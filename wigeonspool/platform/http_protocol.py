"""The platform's header fields and statuses on the path of a request."""

from typing import Final

from multidict import CIMultiDict
from multidict import istr

from wigeonspool.gateway import headers
from wigeonspool.model import protocols

# Identity of one attempt of a caller; targets repeat it.
ATTEMPT: Final = istr("X-Attempt-Id")
# Milliseconds that the sender waits.
REMAINING: Final = istr("X-Timeout-Remaining")
# Proof that an answer comes from the target that ran the request.
SEAL: Final = istr("X-Response-Seal")
# Any target but this one must not run the request.
EXPECTED_TARGET: Final = istr("X-Target-Instance")
# Its presence proves that the request did not run.
NOT_EXECUTED: Final = istr("X-Not-Executed")
# Running, waiting, slots, and the pace in percent, where it is told.
LOAD: Final = istr("X-Instance-Load")
TARGET: Final = istr("X-Instance-Id")
RETRY_AFTER: Final = "Retry-After"

STATUS_SUCCESS: Final = range(200, 300)
STATUS_MISDIRECTED: Final = 421
STATUS_REFUSED: Final = 503
STATUS_UNKNOWN: Final = 502
STATUS_LATE: Final = 504
STATUS_OK: Final = 200
NOT_RUN_STATUSES: Final = frozenset(
    {408, STATUS_MISDIRECTED, 429, STATUS_REFUSED}
)
BASELINE_PERCENT: Final = 100.0
# A target that tells of none would seem to take no time at all.
MIN_SLOWDOWN: Final = 0.01
MIN_LOAD_FIELDS: Final = 3
MAX_DIGITS: Final = 9
# What callers may not set, since this system sets it itself.
DROPPED_FIELDS: Final = headers.HOP_BY_HOP | {
    REMAINING.lower(),
    EXPECTED_TARGET.lower(),
}


def read_caller_fields(fields: protocols.Headers) -> protocols.RequestMetadata:
    """Returns what a caller tells of its request."""
    text = fields.get(REMAINING, "")
    remaining = None
    if text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS:
        remaining = int(text) / 1000
    return protocols.RequestMetadata(fields.get(ATTEMPT, ""), remaining)


def write_fields(
    fields: protocols.Headers, remaining_seconds: float, target: str
) -> CIMultiDict[str]:
    """Returns the fields that a target gets.

    Args:
        fields: Fields of the caller's request.
        remaining_seconds: How long the caller will still wait.
        target: Identity of the only target that may run the request.
    """
    passed = CIMultiDict(headers.list_end_to_end(fields, DROPPED_FIELDS))
    passed[REMAINING] = str(max(1, int(remaining_seconds * 1000)))
    if target:
        passed[EXPECTED_TARGET] = target
    return passed


def classify_response(
    status: int, fields: protocols.Headers, identity: str
) -> protocols.ResponseClass:
    """Returns what the head of an answer proves.

    Args:
        status: HTTP status.
        fields: Fields of the answer.
        identity: Identity of the attempt that was sent.
    """
    echoed = fields.get(ATTEMPT)
    if echoed is not None and echoed != identity:
        return protocols.ResponseClass.MISMATCHED
    if NOT_EXECUTED in fields or status == STATUS_MISDIRECTED:
        return protocols.ResponseClass.NOT_RUN
    if SEAL not in fields or echoed is None or "Content-Encoding" in fields:
        return protocols.ResponseClass.INVALID
    if status in STATUS_SUCCESS:
        return protocols.ResponseClass.ANSWERED
    return protocols.ResponseClass.FAILED


def read_load_report(
    status: int, fields: protocols.Headers
) -> protocols.LoadReport:
    """Returns what the answer to a health check tells."""
    identity = fields.get(TARGET, "")
    parts = fields.get(LOAD, "").split(",")
    numbers = [int(part) for part in parts if part.strip().isdecimal()]
    healthy = status == STATUS_OK
    if len(numbers) != len(parts) or len(numbers) < MIN_LOAD_FIELDS:
        return protocols.LoadReport(identity, healthy, 0, 0, 0, 1.0)
    running, waiting, slots = numbers[:MIN_LOAD_FIELDS]
    slowdown = 1.0
    if len(numbers) > MIN_LOAD_FIELDS:
        slowdown = numbers[MIN_LOAD_FIELDS] / BASELINE_PERCENT
    return protocols.LoadReport(
        identity, healthy, running, waiting, slots, max(slowdown, MIN_SLOWDOWN)
    )


def write_retry_after(seconds: float) -> dict[str, str]:
    """Returns the fields that tell a caller when to come back."""
    return {RETRY_AFTER: f"{seconds:.3f}"}


HTTP_PROTOCOL: Final = protocols.ProtocolAdapter(
    read_request_metadata=read_caller_fields,
    build_target_headers=write_fields,
    classify_response=classify_response,
    read_load_report=read_load_report,
    build_retry_headers=write_retry_after,
    refusal_status=STATUS_REFUSED,
    unknown_outcome_status=STATUS_UNKNOWN,
    timeout_status=STATUS_LATE,
    not_run_statuses=NOT_RUN_STATUSES,
)

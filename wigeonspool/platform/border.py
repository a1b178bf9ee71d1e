"""The platform's header fields and statuses on the path of a request."""

from typing import Final

from multidict import CIMultiDict
from multidict import istr

from wigeonspool.gateway import headers
from wigeonspool.model import border

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
STATUS_DOUBT: Final = 502
STATUS_LATE: Final = 504
STATUS_OK: Final = 200
PROMISING: Final = frozenset({408, STATUS_MISDIRECTED, 429, STATUS_REFUSED})
USUAL_PACE: Final = 100.0
# A target that tells of none would seem to take no time at all.
LEAST_PACE: Final = 0.01
LOAD_FIELDS: Final = 3
MOST_DIGITS: Final = 9
# What callers may not set, since this system sets it itself.
DROPPED: Final = headers.HOP_BY_HOP | {
    REMAINING.lower(),
    EXPECTED_TARGET.lower(),
}


def read_asked(fields: border.Fields) -> border.Asked:
    """Returns what a caller tells of its request."""
    text = fields.get(REMAINING, "")
    remaining = None
    if text.isascii() and text.isdecimal() and len(text) <= MOST_DIGITS:
        remaining = int(text) / 1000
    return border.Asked(fields.get(ATTEMPT, ""), remaining)


def write_fields(
    fields: border.Fields, remaining_seconds: float, target: str
) -> CIMultiDict[str]:
    """Returns the fields that a target gets.

    Args:
        fields: Fields of the caller's request.
        remaining_seconds: How long the caller will still wait.
        target: Identity of the only target that may run the request.
    """
    passed = CIMultiDict(headers.list_end_to_end(fields, DROPPED))
    passed[REMAINING] = str(max(1, int(remaining_seconds * 1000)))
    if target:
        passed[EXPECTED_TARGET] = target
    return passed


def judge(status: int, fields: border.Fields, identity: str) -> border.Verdict:
    """Returns what the head of an answer proves.

    Args:
        status: HTTP status.
        fields: Fields of the answer.
        identity: Identity of the attempt that was sent.
    """
    echoed = fields.get(ATTEMPT)
    if echoed is not None and echoed != identity:
        return border.Verdict.FOREIGN
    if NOT_EXECUTED in fields or status == STATUS_MISDIRECTED:
        return border.Verdict.NOT_RUN
    if SEAL not in fields or echoed is None or "Content-Encoding" in fields:
        return border.Verdict.SPOILED
    if status in STATUS_SUCCESS:
        return border.Verdict.ANSWERED
    return border.Verdict.FAILED


def read_report(status: int, fields: border.Fields) -> border.LoadReport:
    """Returns what the answer to a health check tells."""
    identity = fields.get(TARGET, "")
    parts = fields.get(LOAD, "").split(",")
    numbers = [int(part) for part in parts if part.strip().isdecimal()]
    healthy = status == STATUS_OK
    if len(numbers) != len(parts) or len(numbers) < LOAD_FIELDS:
        return border.LoadReport(identity, healthy, 0, 0, 0, 1.0)
    running, waiting, slots = numbers[:LOAD_FIELDS]
    pace = 1.0
    if len(numbers) > LOAD_FIELDS:
        pace = numbers[LOAD_FIELDS] / USUAL_PACE
    return border.LoadReport(
        identity, healthy, running, waiting, slots, max(pace, LEAST_PACE)
    )


def write_retry(seconds: float) -> dict[str, str]:
    """Returns the fields that tell a caller when to come back."""
    return {RETRY_AFTER: f"{seconds:.3f}"}


BORDER: Final = border.Border(
    read_asked=read_asked,
    write_fields=write_fields,
    judge=judge,
    read_report=read_report,
    write_retry=write_retry,
    refusal_status=STATUS_REFUSED,
    doubt_status=STATUS_DOUBT,
    late_status=STATUS_LATE,
    promising=PROMISING,
)

"""Header fields and status codes of requests in the platform's protocol."""

import re
from typing import Final

from multidict import CIMultiDict
from multidict import istr

from wigeonspool.gateway import headers
from wigeonspool.model import credentials
from wigeonspool.model import protocols

# Identity of one attempt of a caller. Targets copy it into their response.
ATTEMPT_ID: Final = istr("X-Attempt-Id")
# How long the sender still waits for a response, in milliseconds.
REMAINING_TIME: Final = istr("X-Timeout-Remaining")
# Proof that a response comes from the target that ran the request.
RESPONSE_SEAL: Final = istr("X-Response-Seal")
# The only target that may run the request; any other must refuse it.
EXPECTED_TARGET: Final = istr("X-Target-Instance")
# The field's presence proves that the target did not run the request.
NOT_EXECUTED: Final = istr("X-Not-Executed")
# Comma-separated numbers: running requests, waiting requests, slots and,
# optionally, the slowdown in percent.
TARGET_LOAD: Final = istr("X-Instance-Load")
TARGET_ID: Final = istr("X-Instance-Id")
# The key of the caller's client account, after the scheme.
CREDENTIALS: Final = istr("Authorization")
CREDENTIALS_SCHEME: Final = "bearer"
CHALLENGE: Final = {"WWW-Authenticate": "Bearer"}
# Name of the caller's client account.
ACCOUNT: Final = istr("X-Tenant")
# Names which a target may read as that of the account: some servers replace
# special characters in the names of fields.
ACCOUNT_SPELLINGS: Final = re.compile(
    "x[^a-z0-9]tenant", re.IGNORECASE | re.ASCII
)
# How long a target stays cold, in milliseconds, in responses to health checks.
COLD_REMAINING: Final = istr("X-Cold-Remaining")
RETRY_AFTER: Final = istr("Retry-After")
# A target that leaves sends it in all its responses.
LEAVING: Final = istr("Server-Leaving")
LEAVING_VALUE: Final = "1"
# Seconds with an optional fraction. The longest value is about 30 years.
RETRY_AFTER_PATTERN: Final = re.compile(r"[0-9]{1,9}(\.[0-9]{0,30})?")
# Milliseconds with an optional fraction.
COLD_REMAINING_PATTERN: Final = RETRY_AFTER_PATTERN
# Longest part of an invalid value that is reported.
MAX_REPORTED_LENGTH: Final = 64

SUCCESS_STATUSES: Final = range(200, 300)
STATUS_MISDIRECTED: Final = 421
STATUS_REFUSED: Final = 503
STATUS_UNKNOWN_OUTCOME: Final = 502
STATUS_TIMEOUT: Final = 504
STATUS_OK: Final = 200
# Statuses which guarantee a caller that its request did not run.
NOT_RUN_STATUSES: Final = frozenset(
    {408, STATUS_MISDIRECTED, 429, STATUS_REFUSED}
)
# Slowdown in percent of a target that runs at its baseline service time.
BASELINE_PERCENT: Final = 100.0
# A target that reports 0 percent would seem to need no time at all.
MIN_SLOWDOWN: Final = 0.01
MIN_LOAD_FIELDS: Final = 3
# Longer numbers than this are no load that a target can have.
MAX_LOAD_DIGITS: Final = 6
MAX_REMAINING_TIME_DIGITS: Final = 9
# Fields of a caller's request that are not forwarded: those of the connection,
# and those that this system sets itself.
DROPPED_FIELDS: Final = headers.HOP_BY_HOP | {
    REMAINING_TIME.lower(),
    EXPECTED_TARGET.lower(),
}
# Fields that are not forwarded if client accounts are configured, in addition
# to those whose name is a spelling of `ACCOUNT`.
DROPPED_WITH_ACCOUNTS: Final = DROPPED_FIELDS | {CREDENTIALS.lower()}


def read_request_metadata(
    fields: protocols.Headers,
) -> protocols.RequestMetadata:
    """Returns the attempt and the remaining time of a caller's request.

    A remaining time that is missing, malformed or has too many digits is
    None.
    """
    text = fields.get(REMAINING_TIME, "")
    remaining_seconds = None
    if (
        text.isascii()
        and text.isdecimal()
        and len(text) <= MAX_REMAINING_TIME_DIGITS
    ):
        remaining_seconds = int(text) / 1000
    return protocols.RequestMetadata(
        fields.get(ATTEMPT_ID, ""), remaining_seconds
    )


def read_credentials(fields: protocols.Headers) -> tuple[bytes | None, ...]:
    """Returns the keys of client accounts that a caller's request states.

    Args:
        fields: Header fields of the request.

    Returns:
        For each field with credentials its key, or None if its scheme is
        another one or its key is not valid.
    """
    return tuple(_parse_key(text) for text in fields.getall(CREDENTIALS, ()))


def _parse_key(text: str) -> bytes | None:
    """Returns the key in the value of a field, or None without a valid one."""
    scheme, _, key = text.partition(" ")
    if scheme.lower() != CREDENTIALS_SCHEME:
        return None
    return credentials.encode_key(key.lstrip(" "))


def build_target_headers(
    fields: protocols.Headers,
    remaining_seconds: float,
    target: str,
    account: str,
    has_accounts: bool,
) -> CIMultiDict[str]:
    """Returns the header fields of a request to a target.

    If client accounts are configured, the credentials of the caller are not
    forwarded, and neither is an account that the caller states itself.

    Args:
        fields: Header fields of the caller's request.
        remaining_seconds: How long the caller will still wait. A target gets
            at least 1 ms.
        target: Identity of the only target that may run the request, or "" if
            any target may.
        account: Name of the caller's client account, or "".
        has_accounts: True if client accounts are configured.
    """
    if has_accounts:
        forwarded = _select_without_account(fields)
        if account:
            forwarded[ACCOUNT] = account
    else:
        forwarded = CIMultiDict(headers.list_end_to_end(fields, DROPPED_FIELDS))
    forwarded[REMAINING_TIME] = str(max(1, int(remaining_seconds * 1000)))
    if target:
        forwarded[EXPECTED_TARGET] = target
    return forwarded


def _select_without_account(fields: protocols.Headers) -> CIMultiDict[str]:
    """Returns the fields to forward that state no account or credentials."""
    return CIMultiDict(
        (name, value)
        for name, value in headers.list_end_to_end(
            fields, DROPPED_WITH_ACCOUNTS
        )
        if ACCOUNT_SPELLINGS.fullmatch(name) is None
    )


def classify_response(
    status: int, fields: protocols.Headers, identity: str
) -> protocols.ResponseClass:
    """Classifies a target's response by what its head proves.

    A response proves nothing without the identity of the attempt: an earlier
    refusal may be repeated on the connection of a request that runs. Neither
    does one that lacks the seal or has an encoded body, unless it states that
    the request was not run.

    Args:
        status: HTTP status of the response.
        fields: Header fields of the response.
        identity: Identity of the attempt that was sent to the target, or "".
    """
    echoed_identities = set(fields.getall(ATTEMPT_ID, ()))
    if echoed_identities and identity not in echoed_identities:
        return protocols.ResponseClass.MISMATCHED
    if not echoed_identities and TARGET_ID in fields:
        # Only responses to health checks, which have no attempt identity,
        # state the identity of the target.
        return protocols.ResponseClass.MISMATCHED
    if not identity or echoed_identities != {identity}:
        return protocols.ResponseClass.INVALID
    if NOT_EXECUTED in fields or status == STATUS_MISDIRECTED:
        return protocols.ResponseClass.NOT_RUN
    if RESPONSE_SEAL not in fields or "Content-Encoding" in fields:
        return protocols.ResponseClass.INVALID
    if status in SUCCESS_STATUSES:
        return protocols.ResponseClass.ANSWERED
    return protocols.ResponseClass.FAILED


def read_load_report(
    status: int, fields: protocols.Headers
) -> protocols.LoadReport | None:
    """Returns the load that a target reports in a health check response.

    A missing or malformed load field counts as a load without slots, and a
    missing slowdown as 1. Health checks have no attempt identity, so a
    response with one belongs to a request, and the result is None.
    """
    if fields.get(ATTEMPT_ID):
        return None
    identity = fields.get(TARGET_ID, "")
    cold_seconds = _read_cold_seconds(fields)
    texts = fields.get(TARGET_LOAD, "").split(",")
    numbers = [
        int(text)
        for text in texts
        if text.isascii()
        and text.strip().isdecimal()
        and len(text.strip()) <= MAX_LOAD_DIGITS
    ]
    healthy = status == STATUS_OK
    if len(numbers) != len(texts) or len(numbers) < MIN_LOAD_FIELDS:
        return protocols.LoadReport(
            identity, healthy, 0, 0, 0, 1.0, cold_seconds
        )
    running, waiting, slots = numbers[:MIN_LOAD_FIELDS]
    slowdown = 1.0
    if len(numbers) > MIN_LOAD_FIELDS:
        slowdown = numbers[MIN_LOAD_FIELDS] / BASELINE_PERCENT
    return protocols.LoadReport(
        identity,
        healthy,
        running,
        waiting,
        slots,
        max(slowdown, MIN_SLOWDOWN),
        cold_seconds,
    )


def _read_cold_seconds(fields: protocols.Headers) -> float:
    """Returns how long a target stays cold; 0 for a missing or invalid value.

    The longest of several values counts.
    """
    texts = fields.getall(COLD_REMAINING, ())
    return max(
        (
            float(text) / 1000
            for text in texts
            if COLD_REMAINING_PATTERN.fullmatch(text)
        ),
        default=0.0,
    )


def read_notice(
    status: int, fields: protocols.Headers
) -> protocols.TargetNotice:
    """Returns what a target states about itself in a response.

    The time without requests counts only in a refusal. A date or another value
    that is not a number of seconds is ignored.
    """
    problems = []
    leaving_text = fields.get(LEAVING)
    if leaving_text not in (None, LEAVING_VALUE):
        problems.append(f"{LEAVING}: {leaving_text[:MAX_REPORTED_LENGTH]}")
    retry_after_seconds = None
    retry_text = fields.get(RETRY_AFTER) if status == STATUS_REFUSED else None
    if retry_text is not None:
        if RETRY_AFTER_PATTERN.fullmatch(retry_text):
            retry_after_seconds = float(retry_text)
        else:
            problems.append(
                f"{RETRY_AFTER}: {retry_text[:MAX_REPORTED_LENGTH]}"
            )
    return protocols.TargetNotice(
        leaving_text == LEAVING_VALUE, retry_after_seconds, ", ".join(problems)
    )


def build_retry_headers(seconds: float) -> dict[str, str]:
    """Returns the header fields that state after how many seconds to retry."""
    return {RETRY_AFTER: f"{seconds:.3f}"}


HTTP_PROTOCOL: Final = protocols.ProtocolAdapter(
    read_request_metadata=read_request_metadata,
    read_credentials=read_credentials,
    build_target_headers=build_target_headers,
    classify_response=classify_response,
    read_load_report=read_load_report,
    read_notice=read_notice,
    build_retry_headers=build_retry_headers,
    challenge_headers=CHALLENGE,
    refusal_status=STATUS_REFUSED,
    unknown_outcome_status=STATUS_UNKNOWN_OUTCOME,
    timeout_status=STATUS_TIMEOUT,
    not_run_statuses=NOT_RUN_STATUSES,
    misdirected_status=STATUS_MISDIRECTED,
)

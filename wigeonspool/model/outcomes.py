"""Outcomes of requests, and the reasons for failures.

Every request ends with exactly one outcome. Code compares reasons by identity;
metrics and problem bodies show their values.
"""

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """What the caller may conclude about its request.

    ANSWERED: The caller gets the target's response.
    NOT_RUN: The request did not run on any target, and never will.
    UNKNOWN: The request may have run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a request failed.

    In these names, HOME is the gateway that owns an idempotency key, ANSWER is
    a target's response, SILENT means that nothing arrived in time, and DECLINE
    that a target stated that it wants no requests.
    """

    NO_ROUTE = "no-route"
    NO_TARGET = "no-target"
    NOT_CONFIGURED = "not-configured"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    DEADLINE_PASSED = "deadline-passed"
    QUEUE_FULL = "queue-full"
    DRAINING = "draining"
    QUARANTINED = "quarantined"
    TARGET_REFUSED = "target-refused"
    TARGET_SHED = "target-shed"
    TARGETS_DECLINE = "targets-decline"
    TARGET_FAILED = "target-failed"
    CONNECTION_LOST = "connection-lost"
    CONNECTION_SILENT = "connection-silent"
    CALLER_LEFT = "caller-left"
    KEY_MISSING = "key-missing"
    KEY_MALFORMED = "key-malformed"
    KEY_REUSED = "key-reused"
    TABLE_FULL = "table-full"
    TOKEN_MISSING = "token-missing"
    TOKEN_INVALID = "token-invalid"
    TOKEN_EXPIRED = "token-expired"
    HOME_GONE = "home-gone"
    HOME_UNREACHABLE = "home-unreachable"
    IN_PROGRESS = "in-progress"
    ANSWER_NOT_KEPT = "answer-not-kept"
    QUOTA_EXCEEDED = "quota-exceeded"
    BODY_TOO_LARGE = "body-too-large"
    BAD_REQUEST = "bad-request"
    CREDENTIALS_MISSING = "credentials-missing"
    CREDENTIALS_MALFORMED = "credentials-malformed"
    CREDENTIALS_UNKNOWN = "credentials-unknown"
    INTERNAL_ERROR = "internal-error"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Why a request failed, and whether it may have run.

    Attributes:
        outcome: NOT_RUN only if the request did not run on any target and
            never will.
        reason: Cause of the failure.
        retry_at: Time at which the caller should retry, on the clock of the
            event loop, or None if it follows from the reason.
    """

    outcome: Outcome
    reason: Reason
    retry_at: float | None = None


def build_refusal(reason: Reason) -> Failure:
    """Returns the failure of a request that did not run on any target."""
    return Failure(Outcome.NOT_RUN, reason)


def build_unknown_outcome(reason: Reason) -> Failure:
    """Returns the failure of a request that may have run."""
    return Failure(Outcome.UNKNOWN, reason)

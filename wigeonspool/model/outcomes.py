"""How a request can end, and why.

Every request ends in exactly one outcome. A reason is a sentinel value: code
compares it by identity, metrics and problem bodies show its text.
"""

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """What the caller may conclude about its request."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a request was not answered."""

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
    BODY_TOO_LARGE = "body-too-large"
    BAD_REQUEST = "bad-request"
    INTERNAL_ERROR = "internal-error"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A request that was not answered.

    Attributes:
        outcome: NOT_RUN only if the request ran nowhere and will not run.
        reason: The typed cause.
    """

    outcome: Outcome
    reason: Reason


def build_refusal(reason: Reason) -> Failure:
    """Returns the failure of a request that ran nowhere."""
    return Failure(Outcome.NOT_RUN, reason)


def build_unknown(reason: Reason) -> Failure:
    """Returns the failure of a request that may have run."""
    return Failure(Outcome.UNKNOWN, reason)

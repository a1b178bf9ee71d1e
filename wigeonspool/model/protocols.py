"""What the data path needs to know of a protocol, as plain functions.

The words on the wire differ between deployments; what they mean does not. An
adapter gives the data path one `Border`, and nothing else knows its names.
"""

from collections.abc import Callable, Iterable, Mapping
import dataclasses
import enum
from typing import NamedTuple

from multidict import CIMultiDict
from multidict import CIMultiDictProxy
import yarl

Headers = CIMultiDictProxy[str]


class RequestMetadata(NamedTuple):
    """What a caller wants to know of itself and of its request.

    Attributes:
        identity: Identity of this attempt of the caller, or "".
        remaining_seconds: How long the caller waits, or None if not told.
    """

    identity: str
    remaining_seconds: float | None


class ResponseClass(enum.Enum):
    """What the head of a target's answer proves.

    ANSWERED: the target's own success.
    FAILED: the target's own failure; the request ran.
    NOT_RUN: the target did not run the request, and never will.
    MISMATCHED: the answer belongs to another request.
    INVALID: it proves nothing; the request may have run.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not-run"
    MISMATCHED = "foreign"
    INVALID = "spoiled"


class LoadReport(NamedTuple):
    """What a target told of its load.

    Attributes:
        identity: Identity of the target, or "" if it told none.
        healthy: True if it considers itself fit for work.
        running: Requests that it runs.
        waiting: Requests that wait there.
        slots: Requests that it can run at once; 0 if it told no load.
        slowdown: How many times longer than usual work takes there now.
    """

    identity: str
    healthy: bool
    running: int
    waiting: int
    slots: int
    slowdown: float


@dataclasses.dataclass(frozen=True, slots=True)
class ProtocolAdapter:
    """The functions of one protocol.

    Attributes:
        read_request_metadata: Reads the fields of a caller's request.
        build_target_headers: Returns the fields for a target, from those of the
            caller, the remaining seconds and the identity of the target.
        classify_response: Judges status and fields of an answer to an identity.
        read_load_report: Reads the answer to a health check.
        refusal_status: Status of a refusal, which promises that the request
            did not run and never will.
        unknown_outcome_status: Status of a failure that promises nothing.
        timeout_status: Status at a time limit; promises nothing.
        not_run_statuses: Statuses that promise that a request did not run.
        build_retry_headers: Returns the fields that tell when to come back,
            from seconds.
    """

    read_request_metadata: Callable[[Headers], RequestMetadata]
    build_target_headers: Callable[[Headers, float, str], CIMultiDict[str]]
    classify_response: Callable[[int, Headers, str], ResponseClass]
    read_load_report: Callable[[int, Headers], LoadReport]
    build_retry_headers: Callable[[float], Mapping[str, str]]
    refusal_status: int
    unknown_outcome_status: int
    timeout_status: int
    not_run_statuses: frozenset[int]


class AddressRequest(NamedTuple):
    """Who asks for addresses.

    Attributes:
        host: Host that the caller wants to reach.
        region: Region of the caller.
        zone: Availability zone of the caller.
    """

    host: str
    region: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class AddressLookupAdapter:
    """The address question of one protocol, as plain functions.

    Attributes:
        lookup_path: Path of the question.
        ready_path: Path that tells whether a VM is ready.
        read_address_request: Reads the question in a URL.
        build_address_response: Returns the answer from addresses and the
            seconds for which callers keep it.
    """

    lookup_path: str
    ready_path: str
    read_address_request: Callable[[yarl.URL], AddressRequest]
    build_address_response: Callable[[Iterable[str], float], bytes]

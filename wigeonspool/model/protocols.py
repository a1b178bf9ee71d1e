"""Interfaces of protocol adapters for the data path.

Deployments use different header fields and statuses with the same meanings. A
deployment provides one `ProtocolAdapter` to the data path; only the adapter
contains the protocol names.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
import dataclasses
import enum
from typing import NamedTuple

from multidict import CIMultiDict
from multidict import CIMultiDictProxy
import yarl

Headers = CIMultiDictProxy[str]


class RequestMetadata(NamedTuple):
    """What a request's header fields state about the request.

    Attributes:
        identity: Identity of this attempt of the caller, or "".
        remaining_seconds: How long the caller waits, or None if it is not
            stated.
    """

    identity: str
    remaining_seconds: float | None


class ResponseClass(enum.Enum):
    """What the status and fields of a target's response prove.

    ANSWERED: The target ran the request, and the request succeeded.
    FAILED: The target ran the request, and the request failed.
    NOT_RUN: The target did not run the request, and never will.
    MISMATCHED: The response belongs to another request.
    INVALID: The response proves nothing; the request may have run.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not-run"
    MISMATCHED = "foreign"
    INVALID = "spoiled"


class LoadReport(NamedTuple):
    """Load of a target, from its response to a health check.

    Attributes:
        identity: Identity of the target, or "" if it is not stated.
        healthy: True if the target reports that it is healthy.
        running: Requests that the target runs.
        waiting: Requests that are queued at the target.
        slots: Requests that the target can run concurrently, or 0 if it
            reports no load.
        slowdown: Ratio of the current service time to the baseline.
        cold_seconds: Time for which the target stays cold, or 0 if it is not
            cold.
    """

    identity: str
    healthy: bool
    running: int
    waiting: int
    slots: int
    slowdown: float
    cold_seconds: float = 0.0


class TargetNotice(NamedTuple):
    """What a target states about itself in a response.

    Attributes:
        leaving: True if the target leaves and must get no more requests.
        retry_after_seconds: How long the target wants no requests, or None if
            it does not state that.
        problem: Which value is invalid and was ignored, or "".
    """

    leaving: bool
    retry_after_seconds: float | None
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProtocolAdapter:
    """Functions and statuses of one protocol between callers and targets.

    Attributes:
        read_request_metadata: Reads the header fields of a caller's request.
        read_credentials: Reads from the header fields of a caller's request
            what identifies its client account: for each credential the key, or
            None if it is not a valid key.
        build_target_headers: Returns the header fields for a target, from the
            caller's fields, the remaining seconds, the identity of the target,
            the name of the caller's account or "", and whether accounts are
            configured.
        classify_response: Returns what a status and header fields prove about
            the attempt with a given identity.
        read_load_report: Reads the response to a health check; None if it is
            the response to a request.
        read_notice: Reads from the status and header fields of a response what
            the target states about itself.
        build_retry_headers: Returns the header fields that state after how
            many seconds to retry.
        challenge_headers: Header fields of the refusal of a request that does
            not identify its account.
        refusal_status: Status of a refusal, which guarantees that the request
            did not run and never will.
        unknown_outcome_status: Status of a failure after which the request may
            have run.
        timeout_status: Status of a request that exceeded its time limit; the
            request may have run.
        not_run_statuses: Statuses which guarantee that a request did not run.
        misdirected_status: Status of a response to a request that was meant for
            another target.
    """

    read_request_metadata: Callable[[Headers], RequestMetadata]
    read_credentials: Callable[[Headers], Sequence[bytes | None]]
    build_target_headers: Callable[
        [Headers, float, str, str, bool], CIMultiDict[str]
    ]
    classify_response: Callable[[int, Headers, str], ResponseClass]
    read_load_report: Callable[[int, Headers], LoadReport | None]
    read_notice: Callable[[int, Headers], TargetNotice]
    build_retry_headers: Callable[[float], Mapping[str, str]]
    challenge_headers: Mapping[str, str]
    refusal_status: int
    unknown_outcome_status: int
    timeout_status: int
    not_run_statuses: frozenset[int]
    misdirected_status: int


class AddressRequest(NamedTuple):
    """A caller's request for the addresses of a host.

    Attributes:
        host: Host that the caller is going to connect to.
        region: Region of the caller.
        zone: Availability zone of the caller.
    """

    host: str
    region: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class AddressLookupAdapter:
    """Paths and functions of one protocol for address lookups.

    Attributes:
        lookup_path: Path of address lookups.
        ready_path: Path of the readiness check of a VM.
        read_address_request: Reads an address request from its URL.
        build_address_response: Returns the response body, from addresses and
            the seconds for which callers cache them.
    """

    lookup_path: str
    ready_path: str
    read_address_request: Callable[[yarl.URL], AddressRequest]
    build_address_response: Callable[[Iterable[str], float], bytes]

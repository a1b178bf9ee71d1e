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

Fields = CIMultiDictProxy[str]


class Asked(NamedTuple):
    """What a caller wants to know of itself and of its request.

    Attributes:
        identity: Identity of this attempt of the caller, or "".
        remaining_seconds: How long the caller waits, or None if not told.
    """

    identity: str
    remaining_seconds: float | None


class Verdict(enum.Enum):
    """What the head of a target's answer proves.

    ANSWERED: the target's own success.
    FAILED: the target's own failure; the request ran.
    NOT_RUN: the target did not run the request, and never will.
    FOREIGN: the answer belongs to another request.
    SPOILED: it proves nothing; the request may have run.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not-run"
    FOREIGN = "foreign"
    SPOILED = "spoiled"


class LoadReport(NamedTuple):
    """What a target told of its load.

    Attributes:
        identity: Identity of the target, or "" if it told none.
        healthy: True if it considers itself fit for work.
        running: Requests that it runs.
        waiting: Requests that wait there.
        slots: Requests that it can run at once; 0 if it told no load.
        pace: How many times longer than usual work takes there now.
    """

    identity: str
    healthy: bool
    running: int
    waiting: int
    slots: int
    pace: float


@dataclasses.dataclass(frozen=True, slots=True)
class Border:
    """The functions of one protocol.

    Attributes:
        read_asked: Reads the fields of a caller's request.
        write_fields: Returns the fields for a target, from those of the
            caller, the remaining seconds and the identity of the target.
        judge: Judges status and fields of an answer to an identity.
        read_report: Reads the answer to a health check.
        refusal_status: Status of a refusal, which promises that the request
            did not run and never will.
        doubt_status: Status of a failure that promises nothing.
        late_status: Status at a time limit; promises nothing.
        promising: Statuses that promise that a request did not run.
        write_retry: Returns the fields that tell when to come back, from
            seconds.
    """

    read_asked: Callable[[Fields], Asked]
    write_fields: Callable[[Fields, float, str], CIMultiDict[str]]
    judge: Callable[[int, Fields, str], Verdict]
    read_report: Callable[[int, Fields], LoadReport]
    write_retry: Callable[[float], Mapping[str, str]]
    refusal_status: int
    doubt_status: int
    late_status: int
    promising: frozenset[int]


class Question(NamedTuple):
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
class Addressing:
    """The address question of one protocol, as plain functions.

    Attributes:
        resolve_path: Path of the question.
        ready_path: Path that tells whether a VM is ready.
        read_question: Reads the question in a URL.
        write_addresses: Returns the answer from addresses and the seconds for
            which callers keep it.
    """

    resolve_path: str
    ready_path: str
    read_question: Callable[[yarl.URL], Question]
    write_addresses: Callable[[Iterable[str], float], bytes]

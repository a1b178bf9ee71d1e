"""Typed events, and the bounded ring in which a process keeps them.

The time line merges the rings of all processes by their stamps.
"""

import collections
from collections.abc import Mapping
import dataclasses
import enum
import operator
from typing import Final, NamedTuple

MAX_REQUEST_EVENTS: Final = 4096
MAX_DECISION_EVENTS: Final = 512
MAX_STATE_EVENTS: Final = 1024
# Facts whose names begin so are the candidates of a decision.
CANDIDATE_PREFIX: Final = "candidate-"

Details = dict[str, str]


class Kind(enum.StrEnum):
    """What an event tells."""

    PROCESS_STARTED = "process-started"
    PROCESS_STOPPING = "process-stopping"
    CONFIGURATION_IN_FORCE = "configuration-in-force"
    CONFIGURATION_STALE_HEAD = "configuration-stale-head"
    CONFIGURATION_DIVERGED = "configuration-diverged"
    CONFIGURATION_RESTORED = "configuration-restored"
    STORE_UNAVAILABLE = "store-unavailable"
    STORE_AVAILABLE = "store-available"
    MEMBER_JOINED = "member-joined"
    MEMBER_LEFT = "member-left"
    PEER_REJECTED = "peer-rejected"
    PROCESS_PAUSED = "process-paused"
    REQUEST_RECEIVED = "request-received"
    REQUEST_SENT = "request-sent"
    REQUEST_SETTLED = "request-settled"
    REQUEST_QUEUED = "request-queued"
    REQUEST_REFUSED = "request-refused"
    TARGET_CHOSEN = "target-chosen"
    TARGET_EJECTED = "target-ejected"
    TARGET_RESTORED = "target-restored"
    TARGET_DRAINING = "target-draining"
    TARGET_PROBED = "target-probed"
    REQUEST_QUARANTINED = "request-quarantined"
    CONNECTION_SILENT = "connection-silent"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """A reading of a hybrid logical clock.

    Attributes:
        wall_ms: Milliseconds since the epoch, never behind one seen before.
        counter: Orders readings of the same millisecond.
        process: Name of the process, which breaks ties.
    """

    wall_ms: int
    counter: int
    process: str


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One thing that happened in one process.

    Attributes:
        stamp: When and where.
        kind: What.
        request: Identity of the request it is about, or "".
        target: Address of the target it is about, or "".
        vm: Name of the VM it is about, or "".
        detail: Further facts by name.
    """

    stamp: Stamp
    kind: Kind
    request: str = ""
    target: str = ""
    vm: str = ""
    detail: Details = dataclasses.field(default_factory=dict)


class Entry(NamedTuple):
    """An event as a process keeps it: cheap to make, and seldom read.

    Attributes:
        wall_ms: Time of its stamp, in milliseconds since the epoch.
        counter: Counter of its stamp.
        kind: What happened.
        request: Identity of the request it is about, or "".
        target: Address of the target it is about, or "".
        vm: Name of the VM it is about, or "".
        detail: Further facts by name, or None.
    """

    wall_ms: int
    counter: int
    kind: Kind
    request: str
    target: str
    vm: str
    detail: Mapping[str, str] | None

    def build_event(self, process: str) -> Event:
        """Returns the event, stamped by the process that it happened in."""
        return Event(
            Stamp(self.wall_ms, self.counter, process),
            self.kind,
            self.request,
            self.target,
            self.vm,
            dict(self.detail or {}),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Filter:
    """Which events are wanted; an empty field wants all.

    Attributes:
        request: Identity of a request.
        target: Address of a target.
        vm: Name of a VM that an event is about, or that its process runs on.
        kinds: Kinds of events.
    """

    request: str = ""
    target: str = ""
    vm: str = ""
    kinds: tuple[Kind, ...] = ()

    def matches(self, event: Event) -> bool:
        """Returns True if an event is wanted."""
        if self.kinds and event.kind not in self.kinds:
            return False
        if self.request not in ("", event.request):
            return False
        if self.target not in ("", event.target):
            return False
        if self.vm in ("", event.vm):
            return True
        return event.stamp.process.startswith(f"{self.vm}-")


MATCH_ALL: Final = Filter()
CLOCK_SORT_KEY: Final = operator.itemgetter(0, 1)


class RingBuffer:
    """Keeps the newest events of a process.

    Events of requests are kept apart, since they are so many that they would
    push out all others within seconds. Explained decisions are sampled, and
    kept apart from these for the same reason.

    Attributes:
        dropped: Events that were forgotten to make room.
    """

    __slots__ = ("_decisions", "_process", "_requests", "_states", "dropped")

    def __init__(
        self,
        process: str,
        request_capacity: int = MAX_REQUEST_EVENTS,
        state_capacity: int = MAX_STATE_EVENTS,
        decision_capacity: int = MAX_DECISION_EVENTS,
    ) -> None:
        """Prepares an empty ring.

        Args:
            process: Name of the process, for the stamps.
            request_capacity: Most events to keep that are about a request.
            state_capacity: Most other events to keep.
            decision_capacity: Most explained decisions to keep.
        """
        self._process = process
        self._decisions: collections.deque[Entry] = collections.deque(
            maxlen=decision_capacity
        )
        self._requests: collections.deque[Entry] = collections.deque(
            maxlen=request_capacity
        )
        self._states: collections.deque[Entry] = collections.deque(
            maxlen=state_capacity
        )
        self.dropped = 0

    def append(self, entry: Entry) -> None:
        """Adds an event; the oldest of its sort is dropped if need be."""
        self._append_to(
            self._requests if entry.request else self._states, entry
        )

    def append_decision(self, entry: Entry) -> None:
        """Adds an explained decision; the oldest is dropped if need be."""
        self._append_to(self._decisions, entry)

    def _append_to(
        self, buffer: collections.deque[Entry], entry: Entry
    ) -> None:
        """Adds an event to those of its sort."""
        if len(buffer) == buffer.maxlen:
            self.dropped += 1
        buffer.append(entry)

    def list_events(self, event_filter: Filter = MATCH_ALL) -> list[Event]:
        """Returns the kept events that are wanted, oldest first."""
        kept = (*self._requests, *self._decisions, *self._states)
        built = (
            entry.build_event(self._process)
            for entry in sorted(kept, key=CLOCK_SORT_KEY)
        )
        return [event for event in built if event_filter.matches(event)]

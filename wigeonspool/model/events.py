"""Typed events, and the bounded buffer in which a process stores them.

The timeline command merges the events of all processes by their stamps.
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
# Prefix of the names of details that describe a decision's candidates.
CANDIDATE_PREFIX: Final = "candidate-"

Details = dict[str, str]


class Kind(enum.StrEnum):
    """What happened."""

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
        wall_ms: Milliseconds since the epoch; never decreases.
        counter: Orders readings of the same millisecond.
        process: Name of the process; breaks ties.
    """

    wall_ms: int
    counter: int
    process: str


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """An event of one process.

    Attributes:
        stamp: Time and process of the event.
        kind: What happened.
        request: Identity of the request that the event concerns, or "".
        target: Address of the target that the event concerns, or "".
        vm: Name of the VM that the event concerns, or "".
        detail: Further details by name.
    """

    stamp: Stamp
    kind: Kind
    request: str = ""
    target: str = ""
    vm: str = ""
    detail: Details = dataclasses.field(default_factory=dict)


class Entry(NamedTuple):
    """An event as a process stores it.

    It is a tuple because events are created on the path of each request, and
    few of them are ever read.

    Attributes:
        wall_ms: Time of the stamp, in milliseconds since the epoch.
        counter: Counter of the stamp.
        kind: What happened.
        request: Identity of the request that the event concerns, or "".
        target: Address of the target that the event concerns, or "".
        vm: Name of the VM that the event concerns, or "".
        detail: Further details by name, or None.
    """

    wall_ms: int
    counter: int
    kind: Kind
    request: str
    target: str
    vm: str
    detail: Mapping[str, str] | None

    def build_event(self, process: str) -> Event:
        """Returns the event with the name of its process."""
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
    """Selects events; an empty field matches all events.

    Attributes:
        request: Identity of a request.
        target: Address of a target.
        vm: Name of a VM that an event concerns or that its process runs on.
        kinds: Kinds of events.
    """

    request: str = ""
    target: str = ""
    vm: str = ""
    kinds: tuple[Kind, ...] = ()

    def matches(self, event: Event) -> bool:
        """Returns True if an event matches all fields."""
        if self.kinds and event.kind not in self.kinds:
            return False
        if self.request not in ("", event.request):
            return False
        if self.target not in ("", event.target):
            return False
        if self.vm in ("", event.vm):
            return True
        # The name of a process begins with the name of its VM.
        return event.stamp.process.startswith(f"{self.vm}-")


MATCH_ALL: Final = Filter()
CLOCK_SORT_KEY: Final = operator.itemgetter(0, 1)


class RingBuffer:
    """Stores the newest events of a process.

    Events of requests have a buffer of their own, because there are so many of
    them that they would push out all other events within seconds. Explained
    decisions are sampled and would be pushed out too, so they also have a
    buffer of their own.

    Attributes:
        dropped: Events that were dropped because a buffer was full.
    """

    __slots__ = ("_decisions", "_process", "_requests", "_states", "dropped")

    def __init__(
        self,
        process: str,
        request_capacity: int = MAX_REQUEST_EVENTS,
        state_capacity: int = MAX_STATE_EVENTS,
        decision_capacity: int = MAX_DECISION_EVENTS,
    ) -> None:
        """Creates empty buffers.

        Args:
            process: Name of the process, for the stamps.
            request_capacity: Maximum number of events that concern a request.
            state_capacity: Maximum number of other events.
            decision_capacity: Maximum number of explained decisions.
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
        """Adds an event; drops the oldest one if the buffer is full."""
        self._append_to(
            self._requests if entry.request else self._states, entry
        )

    def append_decision(self, entry: Entry) -> None:
        """Adds an explained decision; drops the oldest one if necessary."""
        self._append_to(self._decisions, entry)

    def _append_to(
        self, buffer: collections.deque[Entry], entry: Entry
    ) -> None:
        """Adds an event to one buffer and counts an event that this drops."""
        if len(buffer) == buffer.maxlen:
            self.dropped += 1
        buffer.append(entry)

    def list_events(self, event_filter: Filter = MATCH_ALL) -> list[Event]:
        """Returns the stored events that match a filter, oldest first."""
        entries = (*self._requests, *self._decisions, *self._states)
        all_events = (
            entry.build_event(self._process)
            for entry in sorted(entries, key=CLOCK_SORT_KEY)
        )
        return [event for event in all_events if event_filter.matches(event)]

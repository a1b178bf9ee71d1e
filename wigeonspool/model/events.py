"""Typed events, and the bounded ring in which a process keeps them.

The time line merges the rings of all processes by their stamps.
"""

import collections
import dataclasses
import enum
from typing import Final

REQUEST_CAPACITY_EVENTS: Final = 4096
STATE_CAPACITY_EVENTS: Final = 1024


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
    detail: dict[str, str] = dataclasses.field(default_factory=dict)


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


WANT_ALL: Final = Filter()


class Ring:
    """Keeps the newest events of a process.

    Events of requests are kept apart, since they are so many that they would
    push out all others within seconds.

    Attributes:
        dropped: Events that were forgotten to make room.
    """

    __slots__ = ("_requests", "_states", "dropped")

    def __init__(
        self,
        request_capacity: int = REQUEST_CAPACITY_EVENTS,
        state_capacity: int = STATE_CAPACITY_EVENTS,
    ) -> None:
        """Prepares an empty ring.

        Args:
            request_capacity: Most events to keep that are about a request.
            state_capacity: Most other events to keep.
        """
        self._requests: collections.deque[Event] = collections.deque(
            maxlen=request_capacity
        )
        self._states: collections.deque[Event] = collections.deque(
            maxlen=state_capacity
        )
        self.dropped = 0

    def append(self, event: Event) -> None:
        """Adds an event; the oldest of its sort is dropped if need be."""
        kept = self._requests if event.request else self._states
        if len(kept) == kept.maxlen:
            self.dropped += 1
        kept.append(event)

    def list_events(self, wanted: Filter = WANT_ALL) -> list[Event]:
        """Returns the kept events that are wanted, oldest first."""
        kept = [*self._requests, *self._states]
        return sorted(
            filter(wanted.matches, kept), key=lambda event: event.stamp
        )

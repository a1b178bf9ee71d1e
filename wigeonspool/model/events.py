"""Typed events, and the bounded ring in which a process keeps them.

The time line merges the rings of all processes by their stamps.
"""

import collections
import dataclasses
import enum
from typing import Final

RING_CAPACITY_EVENTS: Final = 4096


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


class Ring:
    """Keeps the newest events of a process."""

    __slots__ = ("_events", "dropped")

    def __init__(self, capacity: int = RING_CAPACITY_EVENTS) -> None:
        self._events: collections.deque[Event] = collections.deque(
            maxlen=capacity
        )
        self.dropped = 0

    def append(self, event: Event) -> None:
        """Adds an event; the oldest one is dropped if the ring is full."""
        if len(self._events) == self._events.maxlen:
            self.dropped += 1
        self._events.append(event)

    def list_events(self) -> list[Event]:
        """Returns the kept events, oldest first."""
        return list(self._events)

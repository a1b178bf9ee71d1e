"""The events of one process, for the time line over all processes."""

from collections.abc import Mapping

from wigeonspool.model import events
from wigeonspool.model import status_messages
from wigeonspool.wire import clocks


class EventLog:
    """Stamps the events of this process and keeps the newest.

    Attributes:
        clock: Clock of this process; streams make it follow their peers.
        ring: The newest events.
    """

    __slots__ = ("_process", "clock", "ring")

    def __init__(self, process: str) -> None:
        self._process = process
        self.clock = clocks.HybridClock(process)
        self.ring = events.RingBuffer(process)

    def record(
        self,
        kind: events.Kind,
        request: str = "",
        target: str = "",
        vm: str = "",
        detail: Mapping[str, str] | None = None,
    ) -> None:
        """Adds an event that happens now.

        Args:
            kind: What happened.
            request: Identity of the request it is about, or "".
            target: Address of the target it is about, or "".
            vm: Name of the VM it is about, or "".
            detail: Further facts by name; not changed afterwards.
        """
        entry = self._build_entry(kind, request, target, vm, detail)
        self.ring.append(entry)

    def record_decision(
        self,
        kind: events.Kind,
        request: str,
        target: str,
        detail: events.Details,
    ) -> None:
        """Adds a decision that is made now, with its reasons."""
        entry = self._build_entry(kind, request, target, "", detail)
        self.ring.append_decision(entry)

    def _build_entry(
        self,
        kind: events.Kind,
        request: str,
        target: str,
        vm: str,
        detail: Mapping[str, str] | None,
    ) -> events.Entry:
        """Returns an event that happens now, as it is kept."""
        clock = self.clock
        clock.advance()
        return events.Entry(
            clock.wall_ms, clock.counter, kind, request, target, vm, detail
        )

    def build_reply(
        self, event_filter: events.Filter
    ) -> status_messages.EventsReply:
        """Returns the events of this process that are wanted."""
        return status_messages.EventsReply(
            self._process,
            tuple(self.ring.list_events(event_filter)),
            {self._process: self.ring.dropped},
        )

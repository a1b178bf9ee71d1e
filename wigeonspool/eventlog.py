"""The event log of one process.

The timeline command merges the event logs of all processes.
"""

from collections.abc import Mapping

from wigeonspool.model import events
from wigeonspool.model import status_messages
from wigeonspool.wire import clocks


class EventLog:
    """Stamps the events of this process and keeps the newest ones.

    Attributes:
        clock: Clock of this process; streams move it up to the stamps that
            they receive from peers.
        ring: Buffer of the newest events.
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
        """Records an event with the current time.

        Args:
            kind: What happened.
            request: ID of the request that the event concerns, or "".
            target: Address of the target that the event concerns, or "".
            vm: Name of the VM that the event concerns, or "".
            detail: Further facts by name. The caller must not change the
                mapping afterwards.
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
        """Records an explained decision with the current time."""
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
        """Returns an event in its stored form, with the current time."""
        clock = self.clock
        clock.advance()
        return events.Entry(
            clock.wall_ms, clock.counter, kind, request, target, vm, detail
        )

    def build_reply(
        self, event_filter: events.Filter
    ) -> status_messages.EventsReply:
        """Returns the recorded events that match a filter."""
        return status_messages.EventsReply(
            self._process,
            tuple(self.ring.list_events(event_filter)),
            {self._process: self.ring.dropped},
        )

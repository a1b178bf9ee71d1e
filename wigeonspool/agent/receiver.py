"""Applies the tables and changes that feeders send."""

from collections.abc import Callable

import loguru

from wigeonspool import eventlog
from wigeonspool.agent import configuration
from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import messages


class TableReceiver:
    """Applies tables and changes with the same history as the active ones."""

    def __init__(
        self,
        state: configuration.ConfigurationState,
        event_log: eventlog.EventLog,
        on_change: Callable[[], None],
    ) -> None:
        """Builds the receiver.

        Args:
            state: Active tables.
            event_log: Event log of this process.
            on_change: Called after the tables changed.
        """
        self._state = state
        self._events = event_log
        self._on_change = on_change
        self._diverged_generation = 0

    def receive(self, message: messages.Message) -> None:
        """Handles tables, a change or a synchronization marker of a feeder.

        If the feeder has another history of changes, the message is ignored.
        An event is recorded and logged, but not again for the same generation.

        Raises:
            FrameEncodingError: If a change before the received one is missing.
        """
        try:
            self._apply(message)
        except errors.ChainBrokenError as error:
            if self._diverged_generation != error.generation:
                self._diverged_generation = error.generation
                self._events.record(
                    events.Kind.CONFIGURATION_DIVERGED,
                    detail={"problem": str(error)},
                )
                loguru.logger.warning("a feeder has another history: {}", error)

    def _apply(self, message: messages.Message) -> None:
        """Applies tables or a change, or checks a synchronization marker.

        Raises:
            ChainBrokenError: If the feeder has another history of changes.
            FrameEncodingError: If a change before the received one is missing.
        """
        state = self._state
        if isinstance(message, messages.Snapshot):
            if state.replace_tables(
                message.tables, dict(message.lineage), message.last
            ):
                self._on_change()
        elif isinstance(message, messages.ChangeNotice):
            change = message.change
            if state.apply_change(change):
                self._on_change()
            elif change.generation > state.tables.generation:
                raise errors.FrameEncodingError("a change is missing")
        elif isinstance(message, messages.Pulse):
            state.check_digest(message.generation, message.digest)

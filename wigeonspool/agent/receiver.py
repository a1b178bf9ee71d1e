"""Takes the tables and changes that feeders send."""

from collections.abc import Callable

import loguru

from wigeonspool import eventlog
from wigeonspool.agent import configuration
from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import messages


class TableReceiver:
    """Puts in force what follows from the tables held; refuses the rest."""

    def __init__(
        self,
        state: configuration.ConfigurationState,
        event_log: eventlog.EventLog,
        on_change: Callable[[], None],
    ) -> None:
        """Prepares the receiver.

        Args:
            state: Tables in force.
            event_log: Events of this process.
            on_change: Called after the tables changed.
        """
        self._state = state
        self._events = event_log
        self._on_change = on_change
        self._diverged_generation = 0

    def receive(self, message: messages.Message) -> None:
        """Takes tables, a change or a pulse of a feeder.

        A feeder with another history of changes is reported, not followed.

        Raises:
            FrameEncodingError: If a change between is missing.
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
                loguru.logger.warning("a feeder differs: {}", error)

    def _apply(self, message: messages.Message) -> None:
        """Takes tables, a change or a pulse of a feeder.

        Raises:
            ChainBrokenError: If the feeder has another history of changes.
            FrameEncodingError: If a change between is missing.
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

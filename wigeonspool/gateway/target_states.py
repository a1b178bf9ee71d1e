"""Records on the time line when a target changes its state."""

import dataclasses
from typing import Final

from wigeonspool import eventlog
from wigeonspool.core import tables
from wigeonspool.gateway import fleet_view
from wigeonspool.gateway import scheduler as schedulers
from wigeonspool.gateway import statuses
from wigeonspool.model import entities
from wigeonspool.model import events

EVENT_KINDS: Final = {
    tables.TargetState.SERVING: events.Kind.TARGET_RESTORED,
    tables.TargetState.EJECTED: events.Kind.TARGET_EJECTED,
    tables.TargetState.DRAINING: events.Kind.TARGET_DRAINING,
}


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedState:
    """A target as it was seen last.

    Attributes:
        state: Its state.
        ejections: Ejections since it last had all its slots; an ejection may
            begin and end between two looks.
    """

    state: tables.TargetState
    ejections: int


INITIAL_STATE: Final = ObservedState(tables.TargetState.SERVING, 0)


def list_transitions(
    previous: ObservedState, current: ObservedState
) -> list[tables.TargetState]:
    """Returns the states that a target went into between two looks."""
    entered: list[tables.TargetState] = []
    if current.ejections > previous.ejections:
        entered.append(tables.TargetState.EJECTED)
    last = entered[-1] if entered else previous.state
    if current.state is not last:
        entered.append(current.state)
    return entered


class TargetStateRecorder:
    """Remembers the state of each target that does not simply serve."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        scheduler: schedulers.Scheduler,
        log: eventlog.EventLog,
    ) -> None:
        """Prepares the watcher.

        Args:
            view: Holds the tables in force.
            scheduler: Holds the core.
            log: Events of this process.
        """
        self._view = view
        self._scheduler = scheduler
        self._log = log
        self._last_states: dict[tuple[str, str], ObservedState] = {}

    def record_transitions(self) -> None:
        """Records each change of state since the last call."""
        states: dict[tuple[str, str], ObservedState] = {}
        for pool, row in self._scheduler.core.list_degraded():
            self._observe_target(pool, row, states)
        self._last_states = states

    def _observe_target(
        self,
        pool: entities.Pool,
        row: tables.TargetRow,
        states: dict[tuple[str, str], ObservedState],
    ) -> None:
        """Records what changed at one target and keeps its state."""
        target_key = (pool.name, row.address)
        current = ObservedState(row.state, row.health.ejections)
        if current != INITIAL_STATE:
            states[target_key] = current
        drained = {t.address for t in pool.targets if t.drained}
        previous = self._last_states.get(target_key, INITIAL_STATE)
        for state in list_transitions(previous, current):
            self._record_transition(pool.name, row, state, drained)

    def _record_transition(
        self,
        pool: str,
        row: tables.TargetRow,
        state: tables.TargetState,
        drained: set[str],
    ) -> None:
        """Records that a target went into a state."""
        reason = statuses.explain_state(
            row, state, row.address in drained, self._view
        )
        self._log.record(
            EVENT_KINDS[state],
            target=row.address,
            detail={"pool": pool, "reason": reason},
        )

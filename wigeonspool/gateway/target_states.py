"""Records changes of the targets' states on the timeline."""

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
    """The state of a target at one observation.

    Attributes:
        state: State of the target.
        ejections: Ejections since the target last had all its slots. An
            ejection may begin and end between two observations.
    """

    state: tables.TargetState
    ejections: int


NORMAL_STATE: Final = ObservedState(tables.TargetState.SERVING, 0)


def list_transitions(
    previous: ObservedState, current: ObservedState
) -> list[tables.TargetState]:
    """Returns the states that a target entered between two observations."""
    entered: list[tables.TargetState] = []
    if current.ejections > previous.ejections:
        entered.append(tables.TargetState.EJECTED)
    last = entered[-1] if entered else previous.state
    if current.state is not last:
        entered.append(current.state)
    return entered


class TargetStateRecorder:
    """Records on the timeline each change of a target's state.

    It keeps the last state of the targets that do not serve normally.
    """

    def __init__(
        self,
        view: fleet_view.FleetView,
        scheduler: schedulers.Scheduler,
        log: eventlog.EventLog,
    ) -> None:
        """Creates a recorder that has observed no target.

        Args:
            view: Lists the targets that are draining by the VM list.
            scheduler: Holds the core.
            log: Timeline events of this process.
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
        """Records the changes of one target and adds its state to `states`.

        Args:
            pool: Pool of the target.
            row: Row of the target.
            states: Receives the state, unless the target serves normally.
        """
        target_key = (pool.name, row.address)
        current = ObservedState(row.state, row.health.ejections)
        if current != NORMAL_STATE:
            states[target_key] = current
        drained_addresses = {t.address for t in pool.targets if t.drained}
        previous = self._last_states.get(target_key, NORMAL_STATE)
        for state in list_transitions(previous, current):
            self._record_transition(pool.name, row, state, drained_addresses)

    def _record_transition(
        self,
        pool: str,
        row: tables.TargetRow,
        state: tables.TargetState,
        drained_addresses: set[str],
    ) -> None:
        """Records on the timeline that a target entered a state."""
        reason = statuses.explain_state(
            row, state, row.address in drained_addresses, self._view
        )
        self._log.record(
            EVENT_KINDS[state],
            target=row.address,
            detail={"pool": pool, "reason": reason},
        )

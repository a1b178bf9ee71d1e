"""Records on the time line when a target changes its state."""

import dataclasses
from typing import Final

from wigeonspool import eventlog
from wigeonspool.core import tables
from wigeonspool.gateway import scheduler as schedulers
from wigeonspool.gateway import statuses
from wigeonspool.gateway import view as views
from wigeonspool.model import entities
from wigeonspool.model import events

KINDS: Final = {
    tables.TargetState.SERVING: events.Kind.TARGET_RESTORED,
    tables.TargetState.EJECTED: events.Kind.TARGET_EJECTED,
    tables.TargetState.DRAINING: events.Kind.TARGET_DRAINING,
}


@dataclasses.dataclass(frozen=True, slots=True)
class SeenState:
    """A target as it was seen last.

    Attributes:
        state: Its state.
        ejections: Ejections since it last had all its slots; an ejection may
            begin and end between two looks.
    """

    state: tables.TargetState
    ejections: int


USUAL: Final = SeenState(tables.TargetState.SERVING, 0)


def list_changes(before: SeenState, now: SeenState) -> list[tables.TargetState]:
    """Returns the states that a target went into between two looks."""
    entered: list[tables.TargetState] = []
    if now.ejections > before.ejections:
        entered.append(tables.TargetState.EJECTED)
    last = entered[-1] if entered else before.state
    if now.state is not last:
        entered.append(now.state)
    return entered


class TargetWatcher:
    """Remembers the state of each target that does not simply serve."""

    def __init__(
        self,
        view: views.FleetView,
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
        self._known: dict[tuple[str, str], SeenState] = {}

    def observe(self) -> None:
        """Records each change of state since the last call."""
        found: dict[tuple[str, str], SeenState] = {}
        for pool, row in self._scheduler.core.list_unusual():
            self._look(pool, row, found)
        self._known = found

    def _look(
        self,
        pool: entities.Pool,
        row: tables.TargetRow,
        found: dict[tuple[str, str], SeenState],
    ) -> None:
        """Records what changed at one target and keeps its state."""
        place = (pool.name, row.address)
        now = SeenState(row.state, row.health.ejections)
        if now != USUAL:
            found[place] = now
        drained = {t.address for t in pool.targets if t.drained}
        before = self._known.get(place, USUAL)
        for state in list_changes(before, now):
            self._record(pool.name, row, state, drained)

    def _record(
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
            KINDS[state],
            target=row.address,
            detail={"pool": pool, "reason": reason},
        )

"""Records on the time line when a target changes its state."""

from typing import Final

from wigeonspool.core import tables
from wigeonspool.gateway import scheduler as schedulers
from wigeonspool.gateway import statuses
from wigeonspool.gateway import view as views
from wigeonspool.model import events
from wigeonspool.process import EventLog

KINDS: Final = {
    tables.TargetState.SERVING: events.Kind.TARGET_RESTORED,
    tables.TargetState.EJECTED: events.Kind.TARGET_EJECTED,
    tables.TargetState.DRAINING: events.Kind.TARGET_DRAINING,
}


class TargetWatcher:
    """Remembers the state of each target that does not simply serve."""

    def __init__(
        self,
        view: views.FleetView,
        scheduler: schedulers.Scheduler,
        log: EventLog,
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
        self._known: dict[tuple[str, str], tables.TargetState] = {}

    def observe(self) -> None:
        """Records each change of state since the last call."""
        found: dict[tuple[str, str], tables.TargetState] = {}
        for pool in self._view.tables.pools.values():
            drained = {t.address for t in pool.targets if t.drained}
            for row in self._scheduler.core.list_targets(pool.name):
                place = (pool.name, row.address)
                if row.state is not tables.TargetState.SERVING:
                    found[place] = row.state
                if row.state is self._known.pop(
                    place, tables.TargetState.SERVING
                ):
                    continue
                reason = statuses.explain_state(
                    row, row.address in drained, self._view
                )
                self._log.record(
                    KINDS[row.state],
                    target=row.address,
                    detail={"pool": pool.name, "reason": reason},
                )
        self._known = found

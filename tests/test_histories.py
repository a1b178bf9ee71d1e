"""Histories of a fleet under faults, without and with a planted fault.

A planted fault replaces one method of the real code; the checker must find the
invariant that it violates.
"""

import asyncio
from typing import Any
from unittest import mock

import pytest

from tests import check_histories as benches
from tests import fleet as fleets
from wigeonspool.agent import probe_scheduler
from wigeonspool.core import dispatcher
from wigeonspool.gateway import fleet_view
from wigeonspool.gateway import service as gateways
from wigeonspool.load import check_histories
from wigeonspool.load import checker

# Invariants with bounds in seconds, which may be exceeded while other work
# loads the machine.
TIMED_INVARIANTS = {"leaving", "in-force"}
# How often the planted stop cuts the connections of running requests.
CUTS = 10


class PlannedBench(benches.FleetBench):
    """A fleet into which only one kind of planned change is injected."""

    kind = ""

    def __init__(self) -> None:
        super().__init__(proxy_gateways=False)
        self.faults = {}
        self.plans = {self.kind: self.plans[self.kind], "idle": self.idle}

    async def start(self, vm_count: int = benches.VMS) -> None:
        """Starts slow targets, so that every gateway has running requests."""
        await super().start(vm_count)
        for target in self.targets.values():
            target.faults.slow = 10.0

    def _reserve_subject(self, names: list[str], rng: Any) -> Any:
        """Chooses the first name: of the VMs, one assigned to the callers."""
        return super()._reserve_subject(names[:1], rng)

    async def idle(self, _: Any) -> None:
        await asyncio.sleep(0.1)


def check_bench(bench: benches.FleetBench, seed: int) -> set[str]:
    """Returns the invariants that the history of one fleet violates."""
    asyncio.run(
        check_histories.check_one_fleet(bench, seed, check_histories.Tally())
    )
    return {v.promise for v in checker.find_violations(bench.history)}


async def cut_connections_at_stop(self: gateways.GatewayService) -> None:
    """Cuts connections with running requests instead of draining them.

    It does so several times, since some connections belong to other gateways,
    which then report "unknown" to their callers.
    """
    server = self._caller_server.server
    assert server is not None
    for _ in range(CUTS):
        await fleets.wait_for(lambda: self._ingress.in_flight > 0)
        for connection in list(server.connections):
            if connection._current_request is not None:
                assert connection.transport is not None
                connection.transport.abort()
        await asyncio.sleep(0.01)


def ignore_draining(self: dispatcher.Dispatcher, addresses: Any) -> None:
    """Continues to send to targets that the VM list shows as leaving."""


def activate_any_tables(self: fleet_view.FleetView, tables: Any) -> bool:
    """Activates any tables, and the older ones again 0.2 s later."""
    older = self.tables
    self.tables = tables
    if older.generation:
        loop = asyncio.get_running_loop()
        loop.call_later(0.2, setattr, self, "tables", older)
    return True


def probe_without_budget(
    self: probe_scheduler.ProbeScheduler,
) -> list[probe_scheduler.Probe]:
    """Probes all requested targets, whatever the budget allows."""
    now = self._now()
    probes = []
    for name, rows in self._requested.items():
        pool = self._find_pool(name)
        if pool is not None and self._refresh_budget(pool, now) is not None:
            term = self._term_starts[name]
            probes += [probe_scheduler.Probe(name, t, now, term) for t in rows]
    return probes


PLANTED_FAULTS = {
    "measuring": (
        "own-drain",
        probe_scheduler.ProbeScheduler,
        "start_due_probes",
        probe_without_budget,
    ),
    "leaving": (
        "leave",
        dispatcher.Dispatcher,
        "set_draining_targets",
        ignore_draining,
    ),
    "cut": (
        "planned-stop",
        gateways.GatewayService,
        "drain",
        cut_connections_at_stop,
    ),
    "generation": (
        "racing-operators",
        fleet_view.FleetView,
        "update_tables",
        activate_any_tables,
    ),
}


class TestHistories:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_fleet_violates_no_invariant_under_faults(self, seed: int) -> None:
        assert (
            check_bench(benches.FleetBench(), seed) - TIMED_INVARIANTS == set()
        )

    def test_targets_record_their_probes(self) -> None:
        """Without probes the invariant on probe budgets could not fail."""
        with mock.patch.object(PlannedBench, "kind", "own-drain"):
            bench = PlannedBench()
            assert "measuring" not in check_bench(bench, 3)
        assert bench.history.probes

    @pytest.mark.parametrize("invariant", PLANTED_FAULTS)
    def test_fault_planted_in_a_fleet_is_found(self, invariant: str) -> None:
        kind, owner, attribute, replacement = PLANTED_FAULTS[invariant]
        with (
            mock.patch.object(PlannedBench, "kind", kind),
            mock.patch.object(owner, attribute, replacement),
        ):
            assert invariant in check_bench(PlannedBench(), 3)

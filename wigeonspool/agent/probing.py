"""Measures targets that are out, within the budgets that this agent holds.

Gateways ask for the targets that they hold out. Only the holder of a pool's
lease sends probes, and only for targets that the tables list. It tells what
changed, and what did not change again after some seconds, for gateways that
did not hear it.
"""

import asyncio
from collections.abc import Callable, Iterable
import dataclasses
import secrets
from typing import Final

from wigeonspool.agent import leases
from wigeonspool.core import measuring
from wigeonspool.model import entities
from wigeonspool.model import measurements

# Gateways ask again sooner than that.
WANTED_SECONDS: Final = 5.0
TELL_AGAIN_SECONDS: Final = 5.0
FIRST_INTERVAL_SECONDS: Final = 0.5
LONGEST_INTERVAL_SECONDS: Final = 2.0
PROBE_ID_BITS: Final = 53
MAX_WANTED: Final = 10_000
# A probe that could not leave by then is not sent any more.
LATEST_SECONDS: Final = 0.25


@dataclasses.dataclass(slots=True)
class WantedRow:
    """A target that gateways want to be measured.

    Attributes:
        wanted_until: Deadline of the wish, on the holder's clock.
        next_at: Earliest time of the next probe.
        interval: Least time between two probes, in seconds.
        is_probed: True while a probe is under way.
        state: What was told last.
        told_at: When that was told.
    """

    wanted_until: float
    next_at: float
    interval: float = FIRST_INTERVAL_SECONDS
    is_probed: bool = False
    state: measurements.ProbeState | None = None
    told_at: float = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A probe that must be sent now.

    Attributes:
        pool: Pool that pays for it.
        target: Address to ask.
        sent_at: When it was charged, on the holder's clock.
        began_at: Begin of the term of the lease.
    """

    pool: str
    target: str
    sent_at: float
    began_at: float


class Prober:
    """Decides which target is asked when, and tells what it shows.

    Attributes:
        wanted: Set while any target is wanted.
    """

    def __init__(
        self,
        find_term: Callable[[str], leases.Term | None],
        find_pool: Callable[[str], entities.Pool | None],
        now: Callable[[], float],
        tell: Callable[[measurements.ProbeResult], None],
    ) -> None:
        """Prepares to measure nothing.

        Args:
            find_term: Returns the term of a pool's lease, if it is held.
            find_pool: Returns a pool in force.
            now: Clock of the leases, in seconds.
            tell: Tells all gateways of a result.
        """
        self._find_term = find_term
        self._find_pool = find_pool
        self._now = now
        self._tell = tell
        self._wanted: dict[str, dict[str, WantedRow]] = {}
        self._budgets: dict[str, measuring.MeasuringRow] = {}
        self._terms: dict[str, float] = {}
        self.wanted = asyncio.Event()

    def want(self, request: measurements.ProbeRequest) -> None:
        """Takes a gateway's wish; without the lease it is forgotten soon."""
        now = self._now()
        rows = self._wanted.setdefault(request.pool, {})
        for target in request.targets:
            if len(rows) >= MAX_WANTED:
                return
            row = rows.setdefault(target, WantedRow(0.0, now))
            row.wanted_until = now + WANTED_SECONDS
        self.wanted.set()

    def begin(self) -> list[Probe]:
        """Returns the probes to send now, which are charged already."""
        return [
            probe
            for pool in list(self._wanted)
            for probe in self._begin_pool(pool)
        ]

    def _begin_pool(self, name: str) -> Iterable[Probe]:
        """Yields the probe of a pool, if one is due and paid for."""
        now = self._now()
        rows = self._list_wanted(name, now)
        pool = self._find_pool(name)
        if pool is None or not rows:
            return
        budget = self._take_budget(pool, now)
        if budget is None:
            return
        listed = {target.address for target in pool.targets}
        due = [
            (row.next_at, address)
            for address, row in rows.items()
            if row.next_at <= now and not row.is_probed and address in listed
        ]
        if due and measuring.take_probe(budget, now):
            _, address = min(due)
            rows[address].is_probed = True
            rows[address].next_at = now + rows[address].interval
            yield Probe(name, address, now, self._terms[name])

    def may_send(self, probe: Probe) -> bool:
        """Returns True if a probe may leave; to be asked right before."""
        term = self._find_term(probe.pool)
        return (
            term is not None
            and term.began_at == probe.began_at
            and self._now() <= probe.sent_at + LATEST_SECONDS
        )

    def _list_wanted(self, name: str, now: float) -> dict[str, WantedRow]:
        """Returns the targets of a pool that are wanted still."""
        rows = self._wanted[name]
        for address, row in list(rows.items()):
            if row.wanted_until <= now and not row.is_probed:
                del rows[address]
        if not rows:
            del self._wanted[name]
        if not self._wanted:
            self.wanted.clear()
        return rows

    def _take_budget(
        self, pool: entities.Pool, now: float
    ) -> measuring.MeasuringRow | None:
        """Returns the budget of a pool in the present term of its lease."""
        term = self._find_term(pool.name)
        if term is None:
            return None
        rates = (
            pool.measuring_requests_per_second,
            pool.measuring_bytes_per_second,
        )
        budget = self._budgets.get(pool.name)
        if budget is None:
            budget = measuring.MeasuringRow(*rates)
            self._budgets[pool.name] = budget
        if self._terms.get(pool.name) != term.began_at:
            self._terms[pool.name] = term.began_at
            measuring.lose_budget(budget)
        measuring.grant_budget(budget, now, term.deadline)
        measuring.change_budget(budget, now, *rates)
        return budget

    def finish(
        self,
        probe: Probe,
        state: measurements.ProbeState | None,
        size: int,
    ) -> None:
        """Takes the end of a probe.

        Args:
            probe: What was sent.
            state: What it showed, or None if nothing.
            size: Bytes of the request and of what was read of the answer.
        """
        measuring.settle_probe(self._budgets[probe.pool], probe.sent_at, size)
        row = self._wanted.get(probe.pool, {}).get(probe.target)
        if row is None:
            return
        row.is_probed = False
        if state is None:
            return
        now = self._now()
        if state is row.state:
            row.interval = min(2 * row.interval, LONGEST_INTERVAL_SECONDS)
            if now < row.told_at + TELL_AGAIN_SECONDS:
                return
        else:
            row.interval = FIRST_INTERVAL_SECONDS
        row.state = state
        row.told_at = now
        number = secrets.randbits(PROBE_ID_BITS)
        self._tell(
            measurements.ProbeResult(number, probe.pool, probe.target, state)
        )

    def list_spending(self) -> tuple[measurements.Spending, ...]:
        """Returns what was spent of each budget that was ever held."""
        return tuple(
            measurements.Spending(
                name,
                row.probes,
                row.probe_bytes,
                row.requests_per_second,
                row.bytes_per_second,
            )
            for name, row in sorted(self._budgets.items())
        )

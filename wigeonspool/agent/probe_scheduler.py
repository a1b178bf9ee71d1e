"""Schedules health probes of unavailable targets within leased budgets.

Gateways request probes of their unavailable targets. Only the holder of a
pool's lease sends probes, and only to targets that the tables list. It
publishes a changed state immediately, and repeats an unchanged one after some
seconds for gateways that did not receive it.
"""

import asyncio
from collections.abc import Callable, Iterable
import dataclasses
import secrets
from typing import Final

from wigeonspool.agent import leases
from wigeonspool.core import probe_budget
from wigeonspool.model import entities
from wigeonspool.model import probe_messages

# Gateways repeat a request before it expires.
REQUEST_TTL_SECONDS: Final = 5.0
RESEND_INTERVAL_SECONDS: Final = 5.0
MIN_INTERVAL_SECONDS: Final = 0.5
MAX_INTERVAL_SECONDS: Final = 2.0
PROBE_ID_BITS: Final = 53
MAX_TARGETS_PER_POOL: Final = 10_000
# A probe that could not be sent within this time is cancelled, because the
# budget spaces probes by the time at which they are charged.
MAX_SEND_DELAY_SECONDS: Final = 0.25


@dataclasses.dataclass(slots=True)
class RequestedTarget:
    """A target for which gateways requested probes.

    All times are in seconds on the holder's clock.

    Attributes:
        expires_at: When the request expires unless it is repeated.
        next_probe_at: Earliest time of the next probe.
        interval_seconds: Minimum time between two probes.
        is_in_flight: True while a probe is in flight.
        reported_state: State that was last published, if any.
        reported_at: When it was published.
    """

    expires_at: float
    next_probe_at: float
    interval_seconds: float = MIN_INTERVAL_SECONDS
    is_in_flight: bool = False
    reported_state: probe_messages.ProbeState | None = None
    reported_at: float = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A probe that is charged to a budget and is due to be sent.

    Attributes:
        pool: Pool whose budget is charged.
        target: Address of the target.
        charged_at: When it was charged, in seconds on the holder's clock.
        term_started_at: Start of the lease term in which it was charged.
    """

    pool: str
    target: str
    charged_at: float
    term_started_at: float


class ProbeScheduler:
    """Decides which target is probed when, and publishes the results.

    Attributes:
        has_requests: Set while probes of any target are requested.
    """

    def __init__(
        self,
        find_term: Callable[[str], leases.LeaseTerm | None],
        find_pool: Callable[[str], entities.Pool | None],
        now: Callable[[], float],
        publish_result: Callable[[probe_messages.ProbeResult], None],
    ) -> None:
        """Builds a scheduler without requests.

        Args:
            find_term: Returns the lease term of a pool, or None if not held.
            find_pool: Returns a pool of the active tables, if it exists.
            now: Clock of the leases, in seconds.
            publish_result: Sends a result to all gateways.
        """
        self._find_term = find_term
        self._find_pool = find_pool
        self._now = now
        self._publish_result = publish_result
        self._requested: dict[str, dict[str, RequestedTarget]] = {}
        self._budgets: dict[str, probe_budget.ProbeBudget] = {}
        self._term_starts: dict[str, float] = {}
        self.has_requests = asyncio.Event()

    def add_request(self, request: probe_messages.ProbeRequest) -> None:
        """Stores a gateway's request for probes until it expires.

        Requests are stored also while this agent does not hold the lease.
        Once a pool has the maximum number of targets, the rest of the request
        is ignored.
        """
        now = self._now()
        rows = self._requested.setdefault(request.pool, {})
        for target in request.targets:
            if len(rows) >= MAX_TARGETS_PER_POOL:
                return
            row = rows.setdefault(target, RequestedTarget(0.0, now))
            row.expires_at = now + REQUEST_TTL_SECONDS
        self.has_requests.set()

    def start_due_probes(self) -> list[Probe]:
        """Charges the probes that are due now, and returns them.

        At most one probe of each pool is started by a call.
        """
        return [
            probe
            for pool in list(self._requested)
            for probe in self._start_pool_probe(pool)
        ]

    def _start_pool_probe(self, name: str) -> Iterable[Probe]:
        """Yields one probe of a pool if it is due and the budget allows it."""
        now = self._now()
        rows = self._list_requested(name, now)
        pool = self._find_pool(name)
        if pool is None or not rows:
            return
        budget = self._refresh_budget(pool, now)
        if budget is None:
            return
        listed = {target.address for target in pool.targets}
        due = [
            (row.next_probe_at, address)
            for address, row in rows.items()
            if row.next_probe_at <= now
            and not row.is_in_flight
            and address in listed
        ]
        if due and probe_budget.acquire_probe(budget, now):
            _, address = min(due)
            rows[address].is_in_flight = True
            rows[address].next_probe_at = now + rows[address].interval_seconds
            yield Probe(name, address, now, self._term_starts[name])

    def may_send(self, probe: Probe) -> bool:
        """Returns True if a probe may still be sent.

        Callers check this right before they connect and send, because the
        lease may lapse or the send delay may pass meanwhile.
        """
        term = self._find_term(probe.pool)
        return (
            term is not None
            and term.acquired_at == probe.term_started_at
            and self._now() <= probe.charged_at + MAX_SEND_DELAY_SECONDS
        )

    def _list_requested(
        self, name: str, now: float
    ) -> dict[str, RequestedTarget]:
        """Returns the requested targets of a pool; removes expired ones."""
        rows = self._requested[name]
        for address, row in list(rows.items()):
            if row.expires_at <= now and not row.is_in_flight:
                del rows[address]
        if not rows:
            del self._requested[name]
        if not self._requested:
            self.has_requests.clear()
        return rows

    def _refresh_budget(
        self, pool: entities.Pool, now: float
    ) -> probe_budget.ProbeBudget | None:
        """Returns the budget of a pool, or None if its lease is not held.

        Applies the current lease term and the rates that operators set.
        """
        term = self._find_term(pool.name)
        if term is None:
            return None
        rates = (
            pool.measuring_requests_per_second,
            pool.measuring_bytes_per_second,
        )
        budget = self._budgets.get(pool.name)
        if budget is None:
            budget = probe_budget.ProbeBudget(*rates)
            self._budgets[pool.name] = budget
        if self._term_starts.get(pool.name) != term.acquired_at:
            self._term_starts[pool.name] = term.acquired_at
            # Another agent may have probed between the terms, so the new one
            # starts with a full interval.
            probe_budget.release_budget(budget)
        probe_budget.grant_budget(budget, now, term.deadline)
        probe_budget.update_budget(budget, now, *rates)
        return budget

    def finish(
        self,
        probe: Probe,
        state: probe_messages.ProbeState | None,
        size_bytes: int,
    ) -> None:
        """Settles the charge of a probe and publishes its result if due.

        Args:
            probe: Probe that ended.
            state: State that the target reported, or None if unknown.
            size_bytes: Bytes of the request and of the part of the response
                that was read.
        """
        probe_budget.settle_probe(
            self._budgets[probe.pool], probe.charged_at, size_bytes
        )
        row = self._requested.get(probe.pool, {}).get(probe.target)
        if row is None:
            return
        row.is_in_flight = False
        if state is None:
            return
        now = self._now()
        if state is row.reported_state:
            row.interval_seconds = min(
                2 * row.interval_seconds, MAX_INTERVAL_SECONDS
            )
            if now < row.reported_at + RESEND_INTERVAL_SECONDS:
                return
        else:
            row.interval_seconds = MIN_INTERVAL_SECONDS
        row.reported_state = state
        row.reported_at = now
        probe_id = secrets.randbits(PROBE_ID_BITS)
        self._publish_result(
            probe_messages.ProbeResult(
                probe_id, probe.pool, probe.target, state
            )
        )

    def list_budget_use(self) -> tuple[probe_messages.Spending, ...]:
        """Returns the use of each budget that this agent has held."""
        return tuple(
            probe_messages.Spending(
                name,
                row.probes,
                row.probe_bytes,
                row.requests_per_second,
                row.bytes_per_second,
            )
            for name, row in sorted(self._budgets.items())
        )

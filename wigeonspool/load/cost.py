"""Measures the cost of a decision by the number of targets and of routes."""

import collections
import dataclasses
import functools
import gc
import statistics
import time
import tracemalloc
from typing import Final

from wigeonspool import eventlog
from wigeonspool.core import dispatcher
from wigeonspool.core import routing
from wigeonspool.core import tables
from wigeonspool.gateway import decision_log
from wigeonspool.model import entities

TARGET_COUNTS: Final = (40, 400, 4_000, 10_000)
TARGETS_PER_SERVICE: Final = 5
SLOTS: Final = 4
UTILIZATION: Final = 0.8
REQUESTS_PER_TICK: Final = 14
SECONDS_BETWEEN_REQUESTS: Final = 0.0007
TIME_LIMIT_SECONDS: Final = 1e6
COMPLETED_RESULT: Final = tables.Result(tables.ResultKind.ANSWERED)


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """The cost of one decision.

    Attributes:
        targets: Targets of the pool.
        microseconds: Processor time of a request, from the lookup of its
            route to its result, including its fraction of the ticks; the
            median of the runs.
        request_bytes: Memory of a request in flight.
        target_bytes: Memory of a target.
    """

    targets: int
    microseconds: float
    request_bytes: float
    target_bytes: float


class Bench:
    """A dispatcher under steady load."""

    def __init__(self, targets: int, explained: float = 0.0) -> None:
        """Creates a dispatcher with one pool and no requests.

        Args:
            targets: Targets of the pool; there is one route for each
                `TARGETS_PER_SERVICE` of them.
            explained: Fraction of the requests whose decisions are recorded.
        """
        self._sampler = decision_log.DecisionSampler(explained)
        pool_targets = tuple(
            entities.Target(f"t{i}:1", "ege-1") for i in range(targets)
        )
        count = max(1, targets // TARGETS_PER_SERVICE)
        self._routes = routing.RouteIndex(
            entities.Route(f"r{i}", "GET", f"/r{i}", "pool", idempotent=True)
            for i in range(count)
        )
        self._path = f"/r{count - 1}/comments?page=2"
        self._dispatcher = dispatcher.Dispatcher("ege-1")
        self._dispatcher.on_explained = functools.partial(
            decision_log.record_decision, eventlog.EventLog("bench")
        )
        self._dispatcher.configure([entities.Pool("pool", SLOTS, pool_targets)])
        self._now = 0.0
        self._request_count = 0
        self._running: collections.deque[tuple[int, str]] = collections.deque()

    def fill(self) -> int:
        """Submits requests up to `UTILIZATION` and returns their number."""
        count = int(
            len(self._dispatcher.list_targets("pool")) * SLOTS * UTILIZATION
        )
        for _ in range(count):
            self._submit()
        return count

    def run(self, requests: int) -> float:
        """Ends requests and submits as many new ones.

        Args:
            requests: Requests to end, each followed by a new one.

        Returns:
            The processor time of a request, in microseconds.
        """
        started = time.process_time()
        for number in range(requests):
            self._now += SECONDS_BETWEEN_REQUESTS
            request_id, target = self._running.popleft()
            self._dispatcher.handle_result(
                self._now, request_id, target, COMPLETED_RESULT
            )
            self._submit()
            if number % REQUESTS_PER_TICK == 0:
                self._dispatcher.tick(self._now)
        return (time.process_time() - started) / requests * 1e6

    def _submit(self) -> None:
        """Submits one request, for which a slot must be free."""
        self._request_count += 1
        route = self._routes.find("GET", self._path)
        assert route is not None
        deadline = self._now + TIME_LIMIT_SECONDS
        row = tables.RequestRow(
            self._request_count,
            route.pool,
            route.name,
            deadline,
            route.idempotent,
        )
        if self._sampler.should_sample():
            row.sample_id = str(self._request_count)
        self._dispatcher.submit(self._now, row)
        self._running.append((row.request_id, row.target))


def measure_sizes(
    requests: int, repeats: int, explained: float = 0.0
) -> list[Cost]:
    """Returns the cost of a decision for each number of targets.

    Args:
        requests: Requests measured in each run.
        repeats: Runs of each size; the sizes take turns, so that noise of
            the machine affects all of them.
        explained: Fraction of the requests whose decisions are recorded.
    """
    benches = {targets: Bench(targets, explained) for targets in TARGET_COUNTS}
    times: dict[int, list[float]] = {targets: [] for targets in TARGET_COUNTS}
    for bench in benches.values():
        bench.fill()
        bench.run(requests)
    for _ in range(repeats):
        for targets, bench in benches.items():
            times[targets].append(bench.run(requests))
    del benches
    return [
        Cost(
            targets,
            statistics.median(times[targets]),
            *_measure_memory(targets),
        )
        for targets in TARGET_COUNTS
    ]


def _measure_memory(targets: int) -> tuple[float, float]:
    """Returns the bytes of a request in flight and of a target."""
    gc.collect()
    tracemalloc.start()
    bench = Bench(targets)
    empty = tracemalloc.get_traced_memory()[0]
    count = bench.fill()
    full = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (full - empty) / count, empty / targets


def print_costs(costs: list[Cost]) -> None:
    """Prints the costs as a table."""
    print(f"{'targets':>8}{'us/request':>12}{'to first':>10}", end="")
    print(f"{'B/request':>11}{'B/target':>10}")
    for cost in costs:
        growth = cost.microseconds / costs[0].microseconds
        print(
            f"{cost.targets:>8}{cost.microseconds:>12.2f}{growth:>10.2f}"
            f"{cost.request_bytes:>11.0f}{cost.target_bytes:>10.0f}"
        )

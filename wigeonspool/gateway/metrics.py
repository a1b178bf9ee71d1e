"""The metrics of a gateway, computed when they are scraped.

Nothing here runs on the path of a request, and nothing runs in a gateway that
is not scraped.
"""

from typing import Final

import aioprometheus

from wigeonspool.gateway import egress
from wigeonspool.gateway import fleet_view
from wigeonspool.gateway import ingress as ingresses
from wigeonspool.gateway import scheduler as schedulers
from wigeonspool.model import events

REQUESTS: Final = aioprometheus.Counter(
    "wigeonspool_gateway_requests_total",
    "Requests that ended, by outcome and reason.",
)
DURATIONS: Final = aioprometheus.Histogram(
    "wigeonspool_gateway_request_duration_seconds",
    "Time from the head of an answered request to the end of its answer.",
    buckets=ingresses.DURATION_BUCKETS_SECONDS,
)
RUNNING: Final = aioprometheus.Gauge(
    "wigeonspool_gateway_requests_running", "Requests that have not ended."
)
QUEUED: Final = aioprometheus.Gauge(
    "wigeonspool_gateway_requests_queued",
    "Requests that wait for a slot of a target, by pool.",
)
RUNNING_ATTEMPTS: Final = aioprometheus.Gauge(
    "wigeonspool_gateway_attempts_running",
    "Attempts that run on targets, by pool.",
)
TARGETS: Final = aioprometheus.Gauge(
    "wigeonspool_gateway_targets", "Targets, by pool and state."
)
GENERATION: Final = aioprometheus.Gauge(
    "wigeonspool_gateway_generation", "Generation of the tables in force."
)
DRAINING: Final = aioprometheus.Gauge(
    "wigeonspool_gateway_draining", "1 while the gateway prepares to stop."
)
UNRESPONSIVE_CONNECTIONS: Final = aioprometheus.Counter(
    "wigeonspool_gateway_connections_silent_total",
    "Kept connections to targets that were found silent or dead.",
)
EVENTS_DROPPED: Final = aioprometheus.Counter(
    "wigeonspool_gateway_events_dropped_total",
    "Events that were forgotten to make room for newer ones.",
)

POOL_GAUGES: Final = (QUEUED, RUNNING_ATTEMPTS, TARGETS)
LABEL_NAMES: Final = ("pool", "state")
LabelValues = tuple[str, ...]


class GatewayMetrics:
    """Updates the metrics from the state of a gateway."""

    def __init__(
        self,
        ingress: ingresses.Ingress,
        client: egress.Egress,
        scheduler: schedulers.Scheduler,
        view: fleet_view.FleetView,
        ring: events.RingBuffer,
    ) -> None:
        """Creates the updater; `publish` updates the metrics.

        Args:
            ingress: Counts the completed requests.
            client: Counts the unresponsive connections.
            scheduler: Holds the core.
            view: Holds the active tables.
            ring: Counts the dropped events.
        """
        self._ingress = ingress
        self._client = client
        self._scheduler = scheduler
        self._view = view
        self._ring = ring
        self._published_labels: dict[str, set[LabelValues]] = {}

    def publish(self) -> None:
        """Updates all metrics."""
        for (outcome, reason), count in self._ingress.request_counts.items():
            REQUESTS.set({"outcome": outcome, "reason": reason}, count)
        for pool, durations in self._ingress.durations.items():
            DURATIONS.set_value({"pool": pool}, durations)
        UNRESPONSIVE_CONNECTIONS.set({}, self._client.unresponsive_count)
        RUNNING.set({}, self._scheduler.core.count_unsettled())
        GENERATION.set({}, self._view.tables.generation)
        DRAINING.set({}, int(self._ingress.draining))
        EVENTS_DROPPED.set({}, self._ring.dropped)
        self._publish_pools()

    def _publish_pools(self) -> None:
        """Updates the metrics that have a pool label."""
        values: dict[str, dict[LabelValues, float]]
        values = {gauge.name: {} for gauge in POOL_GAUGES}
        queued = self._scheduler.core.count_queued()
        for pool in self._view.tables.pools:
            targets = self._scheduler.core.list_targets(pool)
            values[QUEUED.name][(pool,)] = queued[pool]
            running = sum(target.in_flight for target in targets)
            values[RUNNING_ATTEMPTS.name][(pool,)] = running
            for target in targets:
                labels = (pool, target.state.name.lower())
                count = values[TARGETS.name].get(labels, 0)
                values[TARGETS.name][labels] = count + 1
        for gauge in POOL_GAUGES:
            self._set_gauge(gauge, values[gauge.name])

    def _set_gauge(
        self, gauge: aioprometheus.Gauge, values: dict[LabelValues, float]
    ) -> None:
        """Sets a gauge; labels that were set before but not now become 0."""
        previous = self._published_labels.get(gauge.name, set())
        for labels in previous | values.keys():
            label_values = dict(zip(LABEL_NAMES, labels, strict=False))
            gauge.set(label_values, values.get(labels, 0))
        self._published_labels[gauge.name] = previous | values.keys()

"""The metrics of an entry VM, updated at each scrape."""

import asyncio
import itertools
from typing import Final

from aiohttp import web
import aioprometheus
from aioprometheus import histogram

from wigeonspool import metrics_page
from wigeonspool.core import cluster_state
from wigeonspool.model import fleet
from wigeonspool.model import key_values
from wigeonspool.vm import caller_service
from wigeonspool.vm import channels
from wigeonspool.vm import durations
from wigeonspool.vm import feed_server
from wigeonspool.vm import pipelines
from wigeonspool.vm import request_runner
from wigeonspool.vm import store_follower
from wigeonspool.vm import structured_log
from wigeonspool.vm import target_probes
from wigeonspool.vm import usage_limiter

REQUESTS: Final = aioprometheus.Counter(
    "wigeonspool_vm_requests_total",
    "Requests that ended, by outcome and reason.",
)
ACCOUNT_REQUESTS: Final = aioprometheus.Counter(
    "wigeonspool_vm_account_requests_total",
    "Requests of client accounts that ended, by account and outcome.",
)
RUNNING: Final = aioprometheus.Gauge(
    "wigeonspool_vm_requests_running", "Requests that have not ended."
)
DURATIONS: Final = aioprometheus.Histogram(
    "wigeonspool_vm_request_duration_seconds",
    "Time from the head of an answered request to its answer, by service.",
    buckets=durations.BUCKETS_SECONDS,
)
HEALTH_CHECKS: Final = aioprometheus.Counter(
    "wigeonspool_vm_health_checks_total",
    "Health checks sent to targets, by what came of them.",
)
CONNECTIONS: Final = aioprometheus.Counter(
    "wigeonspool_vm_connections_opened_total",
    "Connections to targets that were begun.",
)
UNEXPECTED_ERRORS: Final = aioprometheus.Counter(
    "wigeonspool_vm_unexpected_errors_total",
    "Requests, attempts and health checks that this program failed.",
)
RETRIES_REFUSED: Final = aioprometheus.Counter(
    "wigeonspool_vm_retries_refused_total",
    "Attempts that the retry allowance did not cover.",
)
BUDGETED_REQUESTS: Final = aioprometheus.Counter(
    "wigeonspool_vm_budgeted_requests_total",
    "Requests that added to the retry budget, by service.",
)
EXTRA_ATTEMPTS: Final = aioprometheus.Counter(
    "wigeonspool_vm_extra_attempts_total",
    "Attempts beyond the first of a request, by service and cause.",
)
DENIED_ATTEMPTS: Final = aioprometheus.Counter(
    "wigeonspool_vm_extra_attempts_denied_total",
    "Attempts that the retry budget did not allow, by service.",
)
RETRY_TOKENS: Final = aioprometheus.Gauge(
    "wigeonspool_vm_retry_tokens",
    "Extra attempts that the retry budget allows now, by service.",
)
STORE_CALLS: Final = aioprometheus.Counter(
    "wigeonspool_vm_store_calls_total", "Calls made to the store."
)
STORE_FAILURES: Final = aioprometheus.Counter(
    "wigeonspool_vm_store_failures_total", "Calls to the store that failed."
)
UNREADABLE_ITEMS: Final = aioprometheus.Counter(
    "wigeonspool_vm_unreadable_items_total",
    "Items of the store that could not be decoded.",
)
STORE_ERA: Final = aioprometheus.Gauge(
    "wigeonspool_vm_store_era",
    "Era of the store; increases when it is restored, 0 without eras.",
)
VERSION: Final = aioprometheus.Gauge(
    "wigeonspool_vm_configuration_version",
    "Version of the configuration in force; 0 before the first.",
)
TARGETS: Final = aioprometheus.Gauge(
    "wigeonspool_vm_targets", "Targets that are known, by service."
)
LEAVING_TARGETS: Final = aioprometheus.Gauge(
    "wigeonspool_vm_targets_leaving",
    "Targets that stated that they leave, by service.",
)
DECLINING_TARGETS: Final = aioprometheus.Gauge(
    "wigeonspool_vm_targets_declining",
    "Targets that want no requests now, by service.",
)
DECLINE_SECONDS_LEFT: Final = aioprometheus.Gauge(
    "wigeonspool_vm_decline_seconds_left",
    "Longest time for which a target still wants no requests.",
)
TARGET_NOTICES: Final = aioprometheus.Counter(
    "wigeonspool_vm_target_notices_total",
    "Statements of targets about themselves, by kind.",
)
WITHHELD_ATTEMPTS: Final = aioprometheus.Counter(
    "wigeonspool_vm_attempts_withheld_total",
    "Attempts not sent since their target had just declined.",
)
EVACUATED_ZONES: Final = aioprometheus.Gauge(
    "wigeonspool_vm_zones_evacuated",
    "Zones whose targets get no requests since operators evacuated them.",
)
COLD_TARGETS: Final = aioprometheus.Gauge(
    "wigeonspool_vm_targets_cold",
    "Targets that are cold and whose requests are limited, by service.",
)
COLD_ATTEMPTS: Final = aioprometheus.Counter(
    "wigeonspool_vm_cold_attempts_total",
    "Attempts sent to cold targets whose requests are limited.",
)
VMS: Final = aioprometheus.Gauge(
    "wigeonspool_vm_members", "Entry VMs that are registered."
)
FOLLOWERS: Final = aioprometheus.Gauge(
    "wigeonspool_vm_followers", "VMs that follow this one."
)
MISMATCHED_RESPONSES: Final = aioprometheus.Counter(
    "wigeonspool_vm_foreign_answers_total",
    "Answers of targets that belonged to other requests.",
)
UNSOLICITED_RESPONSES: Final = aioprometheus.Counter(
    "wigeonspool_vm_unsolicited_responses_total",
    "Connections closed since a target sent data while no response was due.",
)
PIPELINED_REQUESTS: Final = aioprometheus.Counter(
    "wigeonspool_vm_pipelined_requests_total",
    "Requests that arrived behind another one on their connection, by start.",
)
REQUESTS_AHEAD: Final = aioprometheus.Gauge(
    "wigeonspool_vm_requests_ahead",
    "Pipelined requests that run or whose response is held before their turn.",
)
HELD_BYTES: Final = aioprometheus.Gauge(
    "wigeonspool_vm_held_response_bytes",
    "Size of the bodies that are held until their turn.",
)
HELD_SECONDS: Final = aioprometheus.Counter(
    "wigeonspool_vm_held_response_seconds_total",
    "Time for which complete responses were held until their turn.",
)
QUOTA_GRANTED: Final = aioprometheus.Counter(
    "wigeonspool_vm_quota_requests_granted_total",
    "Requests that got a token of a quota, by account and source.",
)
QUOTA_REFUSED: Final = aioprometheus.Counter(
    "wigeonspool_vm_quota_requests_refused_total",
    "Requests that got no token of a quota, by account and cause.",
)
QUOTA_SHARES: Final = aioprometheus.Gauge(
    "wigeonspool_vm_quota_shares",
    "Shares of the quotas that are delegated to this VM.",
)
QUOTA_DATAGRAMS: Final = aioprometheus.Counter(
    "wigeonspool_vm_quota_datagrams_total",
    "Datagrams about quotas, by what became of them.",
)
QUOTA_BYTES: Final = aioprometheus.Counter(
    "wigeonspool_vm_quota_bytes_total",
    "Size of the datagrams about quotas, by direction.",
)
DROPPED_LOG_LINES: Final = aioprometheus.Counter(
    "wigeonspool_vm_log_lines_left_out_total",
    "Log lines that exceeded the bound or that nobody read.",
)


class VmMetrics:
    """Copies the counters of the components of a VM into the metrics."""

    def __init__(
        self,
        service: caller_service.CallerService,
        runner: request_runner.RequestRunner,
        prober: target_probes.TargetProber,
        pool: channels.ChannelPool,
        cluster: cluster_state.ClusterState,
        feeder: feed_server.Feeder,
        store: key_values.CallCounter,
        replica: store_follower.StoreReplica,
        writer: structured_log.LineWriter | None,
        pipeline_use: pipelines.PipelineUse,
        request_durations: durations.Durations,
        limiter: usage_limiter.UsageLimiter,
    ) -> None:
        """Stores the components that are read at each update.

        Args:
            service: Serves callers.
            runner: Sends requests to targets.
            prober: Sends health checks to targets.
            pool: Connections to targets.
            cluster: Cluster state.
            feeder: Sends changes to other VMs.
            store: Counts the calls to the store.
            replica: Copy of the keys of the store.
            writer: Writer of the log, or None if the log does not go to
                standard output.
            pipeline_use: What the pipelined requests use.
            request_durations: Durations of the answered requests.
            limiter: Limits requests to the quotas of client accounts.
        """
        self._service = service
        self._runner = runner
        self._prober = prober
        self._pool = pool
        self._cluster = cluster
        self._feeder = feeder
        self._store = store
        self._replica = replica
        self._writer = writer
        self._pipeline_use = pipeline_use
        self._limiter = limiter
        self._durations = request_durations

    def render(self, request: web.BaseRequest) -> web.Response:
        """Returns the metrics page.

        Args:
            request: Request for the page.
        """
        return metrics_page.render_metrics(request, self.update)

    def update(self) -> None:
        """Sets all metrics to their current values."""
        self._update_durations()
        for (outcome, reason), count in self._service.counts.items():
            REQUESTS.set({"outcome": outcome, "reason": reason}, count)
        account_counts = self._service.account_counter.counts
        for (name, outcome), count in account_counts.items():
            ACCOUNT_REQUESTS.set({"account": name, "outcome": outcome}, count)
        RUNNING.set({}, self._service.in_flight)
        self._update_retries()
        counts = self._prober.counts
        HEALTH_CHECKS.set({"result": "answered"}, counts.answered)
        HEALTH_CHECKS.set({"result": "failed"}, counts.sent - counts.answered)
        for stage, count in (
            ("request", self._service.error_count),
            ("attempt", self._runner.error_count),
            ("health_check", counts.errors),
        ):
            UNEXPECTED_ERRORS.set({"stage": stage}, count)
        COLD_ATTEMPTS.set({}, counts.cold_attempts)
        CONNECTIONS.set({}, self._pool.connect_attempts)
        MISMATCHED_RESPONSES.set(
            {}, self._runner.mismatched_responses + counts.mismatched
        )
        UNSOLICITED_RESPONSES.set({}, self._pool.unsolicited_responses)
        STORE_CALLS.set({}, self._store.calls)
        STORE_FAILURES.set({}, self._store.failures)
        UNREADABLE_ITEMS.set({}, self._replica.unreadable_items)
        STORE_ERA.set({}, self._replica.era)
        FOLLOWERS.set({}, len(self._feeder.subscribers))
        VMS.set({}, len(self._cluster.vms))
        EVACUATED_ZONES.set({}, len(self._cluster.evacuated))
        configuration = self._cluster.configuration
        VERSION.set({}, configuration.version if configuration else 0)
        for name in configuration.services if configuration else ():
            targets = list(self._cluster.list_targets(name))
            TARGETS.set({"service": name}, len(targets))
            cold = sum(self._prober.is_cold(row) for row in targets)
            COLD_TARGETS.set({"service": name}, cold)
            self._update_notices(name, [row.entry for row in targets])
        self._update_notice_counts()
        self._update_pipelines()
        self._update_quotas()
        if self._writer is not None:
            DROPPED_LOG_LINES.set({}, self._writer.dropped_lines)

    def _update_durations(self) -> None:
        """Sets the histogram of the durations, by service."""
        for service, observed in self._durations.services.items():
            total = histogram.Histogram(*durations.BUCKETS_SECONDS)
            cumulative = itertools.accumulate(observed.counts)
            for bound, count in zip(total.buckets, cumulative, strict=True):
                total.buckets[bound] = count
            total.observations = sum(observed.counts)
            total.sum = observed.total_seconds
            DURATIONS.set_value({"service": service}, total)

    def _update_retries(self) -> None:
        """Sets what was used of the retry budget, by service."""
        budget = self._runner.retry_budget
        now = asyncio.get_running_loop().time()
        for service, use in budget.uses.items():
            labels = {"service": service}
            BUDGETED_REQUESTS.set(labels, use.requests)
            for cause, count in use.extra_attempts.items():
                EXTRA_ATTEMPTS.set(labels | {"cause": cause.value}, count)
            DENIED_ATTEMPTS.set(labels, use.denied)
            RETRY_TOKENS.set(labels, budget.count_tokens(service, now))
        RETRIES_REFUSED.set({}, sum(u.denied for u in budget.uses.values()))

    def _update_notices(
        self, service: str, entries: list[fleet.TargetEntry]
    ) -> None:
        """Sets how many targets of a service leave or decline requests."""
        notices = self._prober.notices
        labels = {"service": service}
        leaving = sum(notices.is_leaving(entry) for entry in entries)
        seconds = [notices.find_declined_seconds(entry) for entry in entries]
        LEAVING_TARGETS.set(labels, leaving)
        DECLINING_TARGETS.set(labels, sum(left > 0 for left in seconds))
        DECLINE_SECONDS_LEFT.set(labels, max(seconds, default=0.0))

    def _update_pipelines(self) -> None:
        """Sets what the pipelined requests use."""
        use = self._pipeline_use
        PIPELINED_REQUESTS.set({"start": "ahead"}, use.started_ahead)
        PIPELINED_REQUESTS.set({"start": "in_turn"}, use.waited_in_turn)
        REQUESTS_AHEAD.set({}, use.ahead)
        HELD_BYTES.set({}, use.held_bytes)
        HELD_SECONDS.set({}, use.held_seconds)

    def _update_quotas(self) -> None:
        """Sets the requests to which quotas apply, and the datagrams."""
        limiter = self._limiter
        node = limiter.node
        if node is None:
            return
        for account, counts in node.list_counts().items():
            labels = {"account": account}
            for source, granted in counts.granted.items():
                QUOTA_GRANTED.set(labels | {"source": source.value}, granted)
            for cause, refused in counts.refused.items():
                QUOTA_REFUSED.set(labels | {"cause": cause.value}, refused)
        now = usage_limiter.read_clock()
        QUOTA_SHARES.set({}, node.coordinator.count_shares(now))
        for result, datagrams in (
            ("sent", node.sent),
            ("received", node.received),
            ("dropped", node.odd + limiter.unreadable),
        ):
            QUOTA_DATAGRAMS.set({"result": result}, datagrams)
        QUOTA_BYTES.set({"direction": "sent"}, limiter.sent_bytes)
        QUOTA_BYTES.set({"direction": "received"}, limiter.received_bytes)

    def _update_notice_counts(self) -> None:
        """Sets the counters of what targets stated about themselves."""
        counts = self._prober.notices.counts
        TARGET_NOTICES.set({"kind": "leaving"}, counts.leaving)
        TARGET_NOTICES.set({"kind": "declined"}, counts.declined)
        TARGET_NOTICES.set({"kind": "ignored"}, counts.ignored)
        WITHHELD_ATTEMPTS.set({}, counts.withheld)

"""The metrics of an agent, updated when they are read."""

from collections.abc import Iterable
from typing import Final

import aioprometheus

from wigeonspool.model import probe_messages

GENERATION: Final = aioprometheus.Gauge(
    "wigeonspool_agent_generation", "Generation of the tables in force."
)
STORE_CALLS: Final = aioprometheus.Counter(
    "wigeonspool_agent_store_calls_total", "Calls made to the store."
)
MEMBERS: Final = aioprometheus.Gauge(
    "wigeonspool_agent_members", "VMs that are believed live."
)
GATEWAYS: Final = aioprometheus.Gauge(
    "wigeonspool_agent_gateways", "Gateways of this VM that are connected."
)
SUBSCRIBERS: Final = aioprometheus.Gauge(
    "wigeonspool_agent_subscribers",
    "Gateways and other agents that follow this agent.",
)
EVENTS_DROPPED: Final = aioprometheus.Counter(
    "wigeonspool_agent_events_dropped_total",
    "Events that were forgotten to make room for newer ones.",
)
STREAMS_REJECTED: Final = aioprometheus.Counter(
    "wigeonspool_agent_streams_rejected_total",
    "Streams closed because the peer broke the protocol, by error code.",
)
LEASES: Final = aioprometheus.Gauge(
    "wigeonspool_agent_leases", "Measuring budgets that this agent may spend."
)
PROBES: Final = aioprometheus.Counter(
    "wigeonspool_agent_probes_total",
    "Probes sent on a pool's measuring budget.",
)
PROBE_BYTES: Final = aioprometheus.Counter(
    "wigeonspool_agent_probe_bytes_total",
    "Bytes of probes and of what was read of their answers, by pool.",
)
PROBE_BUDGET: Final = aioprometheus.Gauge(
    "wigeonspool_agent_probe_budget_per_second",
    "Budget of a pool that this agent held last, by unit.",
)
PROBE_MESSAGES_DROPPED: Final = aioprometheus.Counter(
    "wigeonspool_agent_measurements_dropped_total",
    "Wishes and results of probes that were too many to pass on.",
)
PEER_BYTES: Final = aioprometheus.Counter(
    "wigeonspool_agent_peer_bytes_total",
    "Bytes exchanged with other agents, by direction.",
)
STREAMS_DISCONNECTED: Final = aioprometheus.Counter(
    "wigeonspool_agent_cut_off_streams_total",
    "Streams closed because their reader was silent or too slow.",
)


def publish_budget_use(budget_use: Iterable[probe_messages.Spending]) -> None:
    """Updates the metrics of probes and their budgets.

    Args:
        budget_use: Use of the budget of each pool.
    """
    for row in budget_use:
        pool = {"pool": row.pool}
        PROBES.set(pool, row.requests)
        PROBE_BYTES.set(pool, row.bytes)
        requests = pool | {"unit": "requests"}
        PROBE_BUDGET.set(requests, row.requests_per_second)
        PROBE_BUDGET.set(pool | {"unit": "bytes"}, row.bytes_per_second)

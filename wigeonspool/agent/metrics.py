"""The metrics of an agent, brought up to date when they are read."""

from typing import Final

import aioprometheus

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
PEER_BYTES: Final = aioprometheus.Counter(
    "wigeonspool_agent_peer_bytes_total",
    "Bytes exchanged with other agents, by direction.",
)
CUT_OFF: Final = aioprometheus.Counter(
    "wigeonspool_agent_cut_off_streams_total",
    "Streams closed because their reader was silent or too slow.",
)

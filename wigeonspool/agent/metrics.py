"""The metrics that an agent exports."""

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

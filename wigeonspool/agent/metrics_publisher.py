"""Copies the counters of an agent's components to its metrics."""

from wigeonspool import eventlog
from wigeonspool.agent import feeder_role
from wigeonspool.agent import metrics
from wigeonspool.agent import stream_server


def publish_metrics(
    generation: int,
    server: stream_server.StreamServer,
    log: eventlog.EventLog,
    feeder: feeder_role.Feeder,
    member_count: int,
) -> None:
    """Updates the metrics of an agent's components.

    Args:
        generation: Generation of the active tables.
        server: Stream server of the agent.
        log: Event log of this process.
        feeder: Feeder role of the agent.
        member_count: Number of VMs that are considered live.
    """
    metrics.GENERATION.set({}, generation)
    metrics.GATEWAYS.set({}, len(server.list_reports()))
    metrics.SUBSCRIBERS.set({}, len(server.subscribers))
    metrics.EVENTS_DROPPED.set({}, log.ring.dropped)
    metrics.STORE_CALLS.set({}, feeder.client.calls)
    metrics.MEMBERS.set({}, member_count)
    metrics.STREAMS_DISCONNECTED.set({}, server.disconnect_count)
    metrics.LEASES.set({}, len(feeder.leases.list_held()))
    metrics.publish_budget_use(feeder.probe_scheduler.list_budget_use())

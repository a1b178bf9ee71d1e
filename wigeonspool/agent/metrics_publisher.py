"""Publishes what the parts of an agent count."""

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
    """Brings the metrics of the parts of an agent up to date.

    Args:
        generation: Generation of the tables in force.
        server: Streams to those that follow this agent.
        log: Events of this process.
        feeder: Does a feeder's work.
        member_count: VMs that are believed live.
    """
    metrics.GENERATION.set({}, generation)
    metrics.GATEWAYS.set({}, len(server.list_reports()))
    metrics.SUBSCRIBERS.set({}, len(server.subscribers))
    metrics.EVENTS_DROPPED.set({}, log.ring.dropped)
    metrics.STORE_CALLS.set({}, feeder.client.calls)
    metrics.MEMBERS.set({}, member_count)
    metrics.STREAMS_CUT_OFF.set({}, server.cut_off)
    metrics.LEASES.set({}, len(feeder.leases.list_held()))
    metrics.publish_spending(feeder.probe_scheduler.list_spending())

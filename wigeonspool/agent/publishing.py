"""Publishes what the parts of an agent count."""

from wigeonspool import eventlog
from wigeonspool.agent import feeding
from wigeonspool.agent import hub
from wigeonspool.agent import metrics


def publish(
    generation: int,
    served: hub.Hub,
    log: eventlog.EventLog,
    feeder: feeding.Feeder,
    members: int,
) -> None:
    """Brings the metrics of the parts of an agent up to date.

    Args:
        generation: Generation of the tables in force.
        served: Streams to those that follow this agent.
        log: Events of this process.
        feeder: Does a feeder's work.
        members: VMs that are believed live.
    """
    metrics.GENERATION.set({}, generation)
    metrics.GATEWAYS.set({}, len(served.list_reports()))
    metrics.SUBSCRIBERS.set({}, len(served.subscribers))
    metrics.EVENTS_DROPPED.set({}, log.ring.dropped)
    metrics.STORE_CALLS.set({}, feeder.client.calls)
    metrics.MEMBERS.set({}, members)
    metrics.CUT_OFF.set({}, served.cut_off)
    metrics.LEASES.set({}, len(feeder.leases.list_held()))
    metrics.publish_spending(feeder.prober.list_spending())

"""Queries of operators to the fleet, and the replies.

`messages.MESSAGE_TYPES` lists these messages with all others.
"""

import dataclasses

from wigeonspool.model import events
from wigeonspool.model import probe_messages


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequest:
    """Requests all VMs of the fleet; an agent replies with `Members`."""


@dataclasses.dataclass(frozen=True, slots=True)
class RegionRequest:
    """Requests the VMs that send their heartbeats to the agent itself.

    The agent replies with `Members`.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """State of a target in one gateway.

    Attributes:
        address: host:port.
        zone: Availability zone.
        state: "serving", "ejected", "draining" or another target state of the
            core.
        reason: Reason for the state, or "".
        in_flight: Attempts of the gateway that run on the target.
        slots: Requests that the target runs concurrently.
    """

    address: str
    zone: str
    state: str
    reason: str
    in_flight: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class PoolStatus:
    """State of a pool in one gateway.

    Attributes:
        name: Name of the pool.
        queued: Requests that wait for a slot.
        targets: Targets of the pool.
    """

    name: str
    queued: int
    targets: tuple[TargetStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayStatus:
    """State of a gateway.

    Attributes:
        name: Name of the gateway.
        running: Requests that have not ended.
        pools: Pools of the gateway.
    """

    name: str
    running: int
    pools: tuple[PoolStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VmStatusRequest:
    """Requests the state of a VM; its agent forwards this to the gateways.

    Attributes:
        pool: Name of the only pool to report, or "" for all pools.
    """

    pool: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class VmStatusReply:
    """State of the processes of a VM.

    Attributes:
        gateways: States of the gateways that replied in time.
        missing: Names of the gateways that did not reply in time.
        measured_pools: Pools for which the agent holds the lease on the probe
            budget.
        store_calls: Calls to the store since the agent's start.
        spent: Use of each probe budget by the agent.
    """

    gateways: tuple[GatewayStatus, ...]
    missing: tuple[str, ...] = ()
    measured_pools: tuple[str, ...] = ()
    store_calls: int = 0
    spent: tuple[probe_messages.Spending, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EventsRequest:
    """Requests the events of a VM; its agent forwards this to the gateways.

    Attributes:
        wanted: Selects the events to return.
    """

    wanted: events.Filter = events.MATCH_ALL


@dataclasses.dataclass(frozen=True, slots=True)
class EventsReply:
    """Stored events of the processes of a VM.

    Attributes:
        process: Name of the process that sends the reply.
        events: Events of all processes that replied in time.
        dropped: Number of events that each process dropped, by process name.
        missing: Names of the gateways that did not reply in time.
    """

    process: str
    events: tuple[events.Event, ...]
    dropped: dict[str, int] = dataclasses.field(default_factory=dict)
    missing: tuple[str, ...] = ()

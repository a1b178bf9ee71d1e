"""What operators ask of the fleet, and the answers.

These are messages too; `messages` lists them with all others.
"""

import dataclasses

from wigeonspool.model import events
from wigeonspool.model import probe_messages


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequest:
    """Asks an agent for the whole fleet; answered with members."""


@dataclasses.dataclass(frozen=True, slots=True)
class RegionRequest:
    """Asks an agent for the VMs that it hears directly."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """One target as one gateway sees it.

    Attributes:
        address: host:port.
        zone: Availability zone.
        state: "serving", "ejected", "draining" or another state of the core.
        reason: Why it is in that state, or "".
        in_flight: Attempts of the gateway that run there.
        slots: Requests that it runs at once.
    """

    address: str
    zone: str
    state: str
    reason: str
    in_flight: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class PoolStatus:
    """One pool as one gateway sees it.

    Attributes:
        name: Name of the pool.
        queued: Requests that wait for a slot.
        targets: Its targets.
    """

    name: str
    queued: int
    targets: tuple[TargetStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayStatus:
    """What a gateway does.

    Attributes:
        name: Name of the gateway.
        running: Requests that have not ended.
        pools: Its pools.
    """

    name: str
    running: int
    pools: tuple[PoolStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VmStatusRequest:
    """Asks an agent for its VM's gateways, or a gateway for itself.

    Attributes:
        pool: Only this pool, or "" for all.
    """

    pool: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class VmStatusReply:
    """What the processes of a VM do.

    Attributes:
        gateways: Gateways that answered in time.
        missing: Names of those that did not.
        measured_pools: Pools whose measuring budget the VM may spend.
        store_calls: Calls to the store since the agent started.
        spent: What the agent spent of measuring budgets.
    """

    gateways: tuple[GatewayStatus, ...]
    missing: tuple[str, ...] = ()
    measured_pools: tuple[str, ...] = ()
    store_calls: int = 0
    spent: tuple[probe_messages.Spending, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EventsRequest:
    """Asks an agent for the events of its VM, or a gateway for its own.

    Attributes:
        wanted: Which events to send.
    """

    wanted: events.Filter = events.MATCH_ALL


@dataclasses.dataclass(frozen=True, slots=True)
class EventsReply:
    """The events that the processes of a VM hold.

    Attributes:
        process: Name of the process that answers.
        events: Events of all processes that answered in time.
        dropped: Events that each process had to forget, by its name.
        missing: Names of the gateways that did not answer.
    """

    process: str
    events: tuple[events.Event, ...]
    dropped: dict[str, int] = dataclasses.field(default_factory=dict)
    missing: tuple[str, ...] = ()

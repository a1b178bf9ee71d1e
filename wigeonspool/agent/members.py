"""The entry VMs of the fleet and their gateways, as an agent sees them.

An agent sends heartbeats to the feeders of its region. A feeder sends its
subscribers the changes among the VMs that send it heartbeats directly, and
never relays members that another feeder reported. An agent merges the members
that its feeders report.
"""

from collections.abc import Iterable
import dataclasses
from typing import Final

from wigeonspool.core import rendezvous
from wigeonspool.model import entities
from wigeonspool.model import messages

# A change of demand is sent only above both limits: a fraction of the demand
# that was last sent, and a number of requests per second. This saves messages.
MIN_DEMAND_CHANGE_FRACTION: Final = 0.1
MIN_DEMAND_CHANGE_PER_SECOND: Final = 1.0
# Limit on the members that a message contains only because of their demand, so
# that bytes do not grow with the fleet. The largest changes are sent first.
MAX_DEMAND_UPDATES: Final = 4


@dataclasses.dataclass(slots=True)
class MemberRow:
    """The latest heartbeat of one VM.

    Attributes:
        heartbeat: Latest full heartbeat, with the sequence and generation of
            later heartbeats without changes.
        expires_at: Deadline for the next heartbeat, in seconds on this
            process's clock.
        last_sent: Heartbeat that was last sent to subscribers, if any.
    """

    heartbeat: messages.Heartbeat
    expires_at: float
    last_sent: messages.Heartbeat | None = None


class MemberTable:
    """Stores VMs that send heartbeats to this agent, and unsent changes."""

    def __init__(self, silence_seconds: float) -> None:
        """Creates an empty table.

        Args:
            silence_seconds: A member that sends nothing for longer is not
                live.
        """
        self._silence_seconds = silence_seconds
        self._rows: dict[str, MemberRow] = {}
        self._changed: set[str] = set()
        self._removed: set[str] = set()

    def apply_heartbeat(
        self, now: float, heartbeat: messages.Heartbeat
    ) -> bool:
        """Stores a heartbeat unless it is old.

        Returns:
            True if its VM was not live before.
        """
        stored = self._rows.get(heartbeat.vm)
        if stored is not None and not is_newer(heartbeat, stored.heartbeat):
            return False
        if stored is None or list_relayed_fields(
            stored.heartbeat
        ) != list_relayed_fields(heartbeat):
            self._changed.add(heartbeat.vm)
            self._removed.discard(heartbeat.vm)
        last_sent = None if stored is None else stored.last_sent
        self._rows[heartbeat.vm] = MemberRow(
            heartbeat, now + self._silence_seconds, last_sent
        )
        return stored is None

    def apply_beat(
        self, now: float, vm: str, incarnation: str, beat: messages.Beat
    ) -> bool:
        """Applies a heartbeat without changes and extends its VM's deadline.

        Returns:
            False if the VM must send a full heartbeat, because none of this
            incarnation is stored.
        """
        row = self._rows.get(vm)
        if row is None or row.heartbeat.incarnation != incarnation:
            return False
        row.heartbeat = dataclasses.replace(
            row.heartbeat, sequence=beat.sequence, generation=beat.generation
        )
        row.expires_at = now + self._silence_seconds
        return True

    def remove_unresponsive(self, now: float) -> list[str]:
        """Removes and returns the VMs whose heartbeat deadline has passed."""
        expired = [
            name for name, row in self._rows.items() if row.expires_at <= now
        ]
        for name in expired:
            del self._rows[name]
        self._removed.update(expired)
        self._changed.difference_update(expired)
        return expired

    def extend_deadlines(self, now: float) -> None:
        """Restarts all timeouts after a pause in which no message was read."""
        for row in self._rows.values():
            row.expires_at = now + self._silence_seconds

    def collect_changes(self) -> messages.MemberChanges | None:
        """Returns the changes to send since the last call, or None.

        Changes of demand beyond `MAX_DEMAND_UPDATES` are left for later calls.
        """
        self._changed.update(self._list_demand_changes())
        if not self._changed and not self._removed:
            return None
        changed = tuple(
            self._rows[name].heartbeat for name in sorted(self._changed)
        )
        for heartbeat in changed:
            self._rows[heartbeat.vm].last_sent = heartbeat
        removed = tuple(sorted(self._removed))
        self._changed.clear()
        self._removed.clear()
        return messages.MemberChanges(changed, removed)

    def _list_demand_changes(self) -> list[str]:
        """Returns the members whose demand changed most since last sent."""
        changes = {
            name: change
            for name, row in self._rows.items()
            if (change := measure_demand_change(row.last_sent, row.heartbeat))
        }
        ranked = sorted(changes, key=lambda name: changes[name], reverse=True)
        return ranked[:MAX_DEMAND_UPDATES]

    def list_heartbeats(self) -> tuple[messages.Heartbeat, ...]:
        """Returns the latest heartbeat of each live VM."""
        return tuple(row.heartbeat for row in self._rows.values())


class MemberReplica:
    """The members that one feeder reported.

    Attributes:
        heartbeats: Heartbeats by VM.
        forget_at: Always 0; nothing reads it. The rows of an unresponsive
            feeder are ignored by `Upstreams.list_fresh`.
    """

    __slots__ = ("forget_at", "heartbeats")

    def __init__(self) -> None:
        self.heartbeats: dict[str, messages.Heartbeat] = {}
        self.forget_at = 0.0

    def replace(self, heartbeats: Iterable[messages.Heartbeat]) -> None:
        """Replaces all members by those of a full report."""
        self.heartbeats = {heartbeat.vm: heartbeat for heartbeat in heartbeats}

    def update(self, changes: messages.MemberChanges) -> None:
        """Applies a report of changed and removed members."""
        for vm in changes.left:
            self.heartbeats.pop(vm, None)
        for heartbeat in changes.changed:
            self.heartbeats[heartbeat.vm] = heartbeat


def merge_members(
    sources: Iterable[Iterable[messages.Heartbeat]],
) -> dict[str, messages.Heartbeat]:
    """Returns the newest heartbeat of each VM that any source lists as live.

    Args:
        sources: Heartbeats of each source, the most trusted source last. If
            sources have different incarnations of a VM, which have no order,
            the last source wins.
    """
    merged: dict[str, messages.Heartbeat] = {}
    for source in sources:
        for heartbeat in source:
            stored = merged.get(heartbeat.vm)
            if stored is None or is_newer(heartbeat, stored):
                merged[heartbeat.vm] = heartbeat
    return merged


def diff_members(
    before: dict[str, messages.Heartbeat], after: dict[str, messages.Heartbeat]
) -> messages.MemberChanges | None:
    """Returns new VMs, VMs with changed gateways and removed VMs, or None."""
    changed = tuple(
        heartbeat
        for vm, heartbeat in after.items()
        if vm not in before or before[vm].gateways != heartbeat.gateways
    )
    removed = tuple(vm for vm in before if vm not in after)
    if not changed and not removed:
        return None
    return messages.MemberChanges(changed, removed)


def list_relayed_fields(heartbeat: messages.Heartbeat) -> tuple[object, ...]:
    """Returns the fields whose changes are always sent, unlike demand."""
    gateways = tuple(
        (g.name, g.incarnation, g.address, g.draining)
        for g in heartbeat.gateways
    )
    return (heartbeat.incarnation, heartbeat.address, gateways)


def measure_demand_change(
    last_sent: messages.Heartbeat | None, heartbeat: messages.Heartbeat
) -> float:
    """Returns the change of demand, or 0 if it is too small to send.

    Args:
        last_sent: Heartbeat that was last sent, or None.
        heartbeat: Latest heartbeat.

    Returns:
        Sum of the changes over gateways and pools, in requests per second.
    """
    before = _map_demand(last_sent) if last_sent is not None else {}
    after = _map_demand(heartbeat)
    change = sum(
        abs(after.get(key, 0.0) - before.get(key, 0.0))
        for key in before.keys() | after.keys()
    )
    threshold = max(
        MIN_DEMAND_CHANGE_PER_SECOND,
        MIN_DEMAND_CHANGE_FRACTION * sum(before.values()),
    )
    return change if change > threshold else 0.0


def _map_demand(heartbeat: messages.Heartbeat) -> dict[tuple[str, str], float]:
    """Returns the demand by gateway and pool, in requests per second."""
    return {
        (gateway.name, pool): demand
        for gateway in heartbeat.gateways
        for pool, demand in gateway.demand.items()
    }


def is_newer(heartbeat: messages.Heartbeat, stored: messages.Heartbeat) -> bool:
    """Returns True if a heartbeat replaces the stored one.

    A heartbeat of another incarnation always does; one of the same incarnation
    needs a higher sequence number.
    """
    if heartbeat.incarnation != stored.incarnation:
        return True
    return heartbeat.sequence > stored.sequence


def choose_feeders(
    vms: Iterable[entities.Vm], feeders_per_region: int
) -> list[entities.Vm]:
    """Returns the VMs whose agents are feeders.

    Args:
        vms: The VM list.
        feeders_per_region: Number of feeders in each region; they are in
            different zones if possible.
    """
    live = {
        vm.name: vm
        for vm in vms
        if vm.role == "entry" and vm.state is entities.VmState.LIVE
    }
    chosen: list[entities.Vm] = []
    for region in sorted({vm.region for vm in live.values()}):
        names = [vm.name for vm in live.values() if vm.region == region]
        ranked = rendezvous.rank_members(f"feeder/{region}", names)
        ordered = _order_by_zone([live[name] for name in ranked])
        chosen += ordered[:feeders_per_region]
    return chosen


def _order_by_zone(ranked: list[entities.Vm]) -> list[entities.Vm]:
    """Returns the VMs with the first VM of each zone before all others.

    So the loss of one zone leaves a feeder in another one.
    """
    zones: set[str] = set()
    first: list[entities.Vm] = []
    for vm in ranked:
        if vm.zone not in zones:
            zones.add(vm.zone)
            first.append(vm)
    return first + [vm for vm in ranked if vm not in first]


def list_draining(vms: Iterable[entities.Vm]) -> tuple[str, ...]:
    """Returns the addresses of targets that the VM list shows as draining."""
    return tuple(
        vm.address
        for vm in vms
        if vm.role == "target" and vm.state is entities.VmState.LEAVING
    )

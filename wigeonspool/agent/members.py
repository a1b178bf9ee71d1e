"""The tables of VMs that an agent hears of.

An agent tells the feeders of its region of itself. A feeder tells all that
follow it what changed among the VMs that it hears directly, and never relays
what another feeder told it. An agent joins what its feeders tell it.
"""

from collections.abc import Iterable
import dataclasses
from typing import Final

from wigeonspool.core import rendezvous
from wigeonspool.model import entities
from wigeonspool.model import messages

# Demand that moved by less than this, of what was told or in requests a second,
# is not worth a message.
MIN_DEMAND_CHANGE_FRACTION: Final = 0.1
MIN_DEMAND_CHANGE_PER_SECOND: Final = 1.0
# Most members whose demand alone is told at once, so that the bytes do not grow
# with the fleet; those that moved most go first.
MAX_DEMAND_UPDATES: Final = 4


@dataclasses.dataclass(slots=True)
class MemberRow:
    """The latest heartbeat of one VM.

    Attributes:
        heartbeat: What it told.
        silence_deadline: Deadline, on this process's clock, by which the next
            must have come.
        last_sent: What others were told last.
    """

    heartbeat: messages.Heartbeat
    silence_deadline: float
    last_sent: messages.Heartbeat | None = None


class MemberTable:
    """Keeps the members that are heard directly, and what changed."""

    def __init__(self, silence_seconds: float) -> None:
        """Prepares an empty table.

        Args:
            silence_seconds: A member that is silent for longer is not live.
        """
        self._silence_seconds = silence_seconds
        self._rows: dict[str, MemberRow] = {}
        self._changed: set[str] = set()
        self._left: set[str] = set()

    def update_heartbeat(
        self, now: float, heartbeat: messages.Heartbeat
    ) -> bool:
        """Takes a heartbeat; returns True if its VM was not live before."""
        known = self._rows.get(heartbeat.vm)
        if known is not None and not is_newer(heartbeat, known.heartbeat):
            return False
        if known is None or list_relayed_fields(
            known.heartbeat
        ) != list_relayed_fields(heartbeat):
            self._changed.add(heartbeat.vm)
            self._left.discard(heartbeat.vm)
        last_sent = None if known is None else known.last_sent
        self._rows[heartbeat.vm] = MemberRow(
            heartbeat, now + self._silence_seconds, last_sent
        )
        return known is None

    def update_beat(
        self, now: float, vm: str, incarnation: str, beat: messages.Beat
    ) -> bool:
        """Takes a beat; returns False if its VM must tell all of itself."""
        row = self._rows.get(vm)
        if row is None or row.heartbeat.incarnation != incarnation:
            return False
        row.heartbeat = dataclasses.replace(
            row.heartbeat, sequence=beat.sequence, generation=beat.generation
        )
        row.silence_deadline = now + self._silence_seconds
        return True

    def drop_silent(self, now: float) -> list[str]:
        """Removes and returns the VMs that have been silent for too long."""
        silent = [
            name
            for name, row in self._rows.items()
            if row.silence_deadline <= now
        ]
        for name in silent:
            del self._rows[name]
        self._left.update(silent)
        self._changed.difference_update(silent)
        return silent

    def extend_deadlines(self, now: float) -> None:
        """Gives all members time anew; this process did not listen."""
        for row in self._rows.values():
            row.silence_deadline = now + self._silence_seconds

    def collect_changes(self) -> messages.MemberChanges | None:
        """Returns what changed since the last call, or None."""
        self._changed.update(self._list_demand_changes())
        if not self._changed and not self._left:
            return None
        changed = tuple(
            self._rows[name].heartbeat for name in sorted(self._changed)
        )
        for heartbeat in changed:
            self._rows[heartbeat.vm].last_sent = heartbeat
        left = tuple(sorted(self._left))
        self._changed.clear()
        self._left.clear()
        return messages.MemberChanges(changed, left)

    def _list_demand_changes(self) -> list[str]:
        """Returns the members whose demand moved most since it was told."""
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
    """The members that one feeder told of.

    Attributes:
        heartbeats: Heartbeats by VM.
        forget_at: Deadline, on this process's clock, after which the rows are
            dropped unless the feeder is heard again.
    """

    __slots__ = ("forget_at", "heartbeats")

    def __init__(self) -> None:
        self.heartbeats: dict[str, messages.Heartbeat] = {}
        self.forget_at = 0.0

    def replace(self, heartbeats: Iterable[messages.Heartbeat]) -> None:
        """Takes all members that the feeder knows."""
        self.heartbeats = {heartbeat.vm: heartbeat for heartbeat in heartbeats}

    def update(self, changes: messages.MemberChanges) -> None:
        """Takes what changed."""
        for vm in changes.left:
            self.heartbeats.pop(vm, None)
        for heartbeat in changes.changed:
            self.heartbeats[heartbeat.vm] = heartbeat


def merge_members(
    sources: Iterable[Iterable[messages.Heartbeat]],
) -> dict[str, messages.Heartbeat]:
    """Returns the newest heartbeat of each VM that any source calls live.

    Sources come in rising order of trust for runs of one VM that differ.
    """
    merged: dict[str, messages.Heartbeat] = {}
    for source in sources:
        for heartbeat in source:
            known = merged.get(heartbeat.vm)
            if known is None or is_newer(heartbeat, known):
                merged[heartbeat.vm] = heartbeat
    return merged


def diff_members(
    before: dict[str, messages.Heartbeat], after: dict[str, messages.Heartbeat]
) -> messages.MemberChanges | None:
    """Returns what changed between two states, or None."""
    changed = tuple(
        heartbeat
        for vm, heartbeat in after.items()
        if vm not in before or before[vm].gateways != heartbeat.gateways
    )
    left = tuple(vm for vm in before if vm not in after)
    if not changed and not left:
        return None
    return messages.MemberChanges(changed, left)


def list_relayed_fields(heartbeat: messages.Heartbeat) -> tuple[object, ...]:
    """Returns what others must be told of when it changes."""
    gateways = tuple(
        (g.name, g.incarnation, g.address, g.draining)
        for g in heartbeat.gateways
    )
    return (heartbeat.incarnation, heartbeat.address, gateways)


def measure_demand_change(
    last_sent: messages.Heartbeat | None, heartbeat: messages.Heartbeat
) -> float:
    """Returns by how much demand moved, or 0 if that is not worth telling.

    Args:
        last_sent: What was told last, or None.
        heartbeat: What is known now.
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
    """Returns the demand by gateway and pool."""
    return {
        (gateway.name, pool): demand
        for gateway in heartbeat.gateways
        for pool, demand in gateway.demand.items()
    }


def is_newer(heartbeat: messages.Heartbeat, known: messages.Heartbeat) -> bool:
    """Returns True unless a heartbeat repeats or precedes a known one."""
    if heartbeat.incarnation != known.incarnation:
        return True
    return heartbeat.sequence > known.sequence


def choose_feeders(
    vms: Iterable[entities.Vm], feeders_per_region: int
) -> list[entities.Vm]:
    """Returns the VMs whose agents follow the store.

    Args:
        vms: The VM list.
        feeders_per_region: How many to choose in each region; they lie in
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
        spread = _spread_zones([live[name] for name in ranked])
        chosen += spread[:feeders_per_region]
    return chosen


def _spread_zones(ranked: list[entities.Vm]) -> list[entities.Vm]:
    """Returns VMs with the first of each zone before all others.

    The loss of one zone then leaves a feeder in another one.
    """
    zones: set[str] = set()
    first: list[entities.Vm] = []
    for vm in ranked:
        if vm.zone not in zones:
            zones.add(vm.zone)
            first.append(vm)
    return first + [vm for vm in ranked if vm not in first]


def list_leaving(vms: Iterable[entities.Vm]) -> tuple[str, ...]:
    """Returns the addresses of targets that the VM list calls leaving."""
    return tuple(
        vm.address
        for vm in vms
        if vm.role == "target" and vm.state is entities.VmState.LEAVING
    )

"""The table of VMs that an agent hears of."""

import dataclasses

from wigeonspool.core import assignments
from wigeonspool.model import entities
from wigeonspool.model import messages


@dataclasses.dataclass(slots=True)
class MemberRow:
    """The latest heartbeat of one VM.

    Attributes:
        heartbeat: What it told.
        silent_at: Deadline, on this process's clock, by which the next must
            have come.
    """

    heartbeat: messages.Heartbeat
    silent_at: float


class MemberTable:
    """Keeps the members that are live."""

    def __init__(self, silence_seconds: float) -> None:
        """Prepares an empty table.

        Args:
            silence_seconds: A member that is silent for longer is not live.
        """
        self._silence_seconds = silence_seconds
        self._rows: dict[str, MemberRow] = {}

    def take(self, now: float, heartbeat: messages.Heartbeat) -> bool:
        """Takes a heartbeat; returns True if its VM was not live before."""
        known = self._rows.get(heartbeat.vm)
        if known is not None and not _is_newer(heartbeat, known.heartbeat):
            return False
        self._rows[heartbeat.vm] = MemberRow(
            heartbeat, now + self._silence_seconds
        )
        return known is None

    def drop_silent(self, now: float) -> list[str]:
        """Removes and returns the VMs that have been silent for too long."""
        silent = [
            name for name, row in self._rows.items() if row.silent_at <= now
        ]
        for name in silent:
            del self._rows[name]
        return silent

    def list_heartbeats(self) -> tuple[messages.Heartbeat, ...]:
        """Returns the latest heartbeat of each live VM."""
        return tuple(row.heartbeat for row in self._rows.values())


def _is_newer(heartbeat: messages.Heartbeat, known: messages.Heartbeat) -> bool:
    """Returns True unless a heartbeat repeats or precedes a known one."""
    if heartbeat.incarnation != known.incarnation:
        return True
    return heartbeat.sequence > known.sequence


def choose_feeders(
    vms: list[entities.Vm], feeders_per_region: int
) -> list[entities.Vm]:
    """Returns the VMs whose agents follow the store.

    Args:
        vms: The VM list.
        feeders_per_region: How many to choose in each region.
    """
    live = {
        vm.name: vm
        for vm in vms
        if vm.role == "entry" and vm.state is entities.VmState.LIVE
    }
    chosen: list[entities.Vm] = []
    for region in sorted({vm.region for vm in live.values()}):
        names = [vm.name for vm in live.values() if vm.region == region]
        ranked = assignments.rank_members(f"feeder/{region}", names)
        chosen += [live[name] for name in ranked[:feeders_per_region]]
    return chosen

"""What an entry VM knows of the configuration, the targets and the other VMs.

Each change carries the store revision that wrote it. A change no newer than the
one already applied to its key is ignored, and a configuration is replaced only
by a newer version.

A store that was restored from a copy begins a new era: revisions start again,
and its first state may lack changes that were applied here. `begin_era` and
`end_restored_state` enclose that state; it brings no target back that was
draining or had left.
"""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Final

from wigeonspool.core import estimates
from wigeonspool.core import quarantine
from wigeonspool.core import suspect_reports
from wigeonspool.model import fleet

# Running targets whose registrations expired during a store outage register
# again within two seconds after the store recovered.
REREGISTRATION_GRACE_SECONDS: Final = 2.0
# A copy that the store is restored from is some seconds old.
DEPARTURE_SECONDS: Final = 60.0
# Bounds the memory for targets that were removed; a large deployment replaces
# fewer targets than this within `DEPARTURE_SECONDS`.
MAX_DEPARTURES: Final = 5_000
# A VM whose entry a restored copy lacks may count on its registration for the
# length of its lease, unless the store requires longer leases than this.
VM_GRACE_SECONDS: Final = 12.0
# Operators write an evacuation again that a restored copy lacks.
EVACUATION_GRACE_SECONDS: Final = 5.0


@dataclasses.dataclass(slots=True)
class TargetRow:
    """One target with its registration and its health.

    Attributes:
        entry: Entry that the target registered.
        revision: Store revision of the entry.
        health: Health observed by attempts of this VM.
        warming_until: Time until which it is slow after its start, on the
            core's clock.
        suspect_until: Time at which the target is removed unless it registers
            again, on the core's clock; 0 while its entry exists. Its entry
            expired during a store outage.
    """

    entry: fleet.TargetEntry
    revision: int
    health: estimates.TargetHealth
    warming_until: float = 0.0
    suspect_until: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Departure:
    """A target that was removed.

    Attributes:
        position: Position of its last entry; see `_find_position`.
        left_at: Time of its removal, on the core's clock.
    """

    position: tuple[int, int]
    left_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """Operators committed a configuration.

    Attributes:
        configuration: The committed configuration.
    """

    configuration: fleet.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChange:
    """The entry of a target was written, deleted or has expired.

    Attributes:
        identity: Identity of the target.
        entry: The new entry, or None if there is no valid one.
        problem: Why an entry that exists is invalid, or "".
    """

    identity: str
    entry: fleet.TargetEntry | None
    problem: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class VmChange:
    """The entry of an entry VM was written, deleted or has expired.

    Attributes:
        name: Name of the VM.
        entry: The new entry, or None if there is none.
        lease: Lease that holds the entry, or 0.
    """

    name: str
    entry: fleet.VmEntry | None
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectChange:
    """A report that a target crashed while it ran a request has changed.

    Attributes:
        fingerprint: Equal for resubmissions of the same request.
        target: Identity of the target.
        state: What the report states now; EXPIRED if its key was removed, which
            says nothing about the request.
    """

    fingerprint: int
    target: str
    state: suspect_reports.ReportState = suspect_reports.ReportState.CRASHED


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationChange:
    """Operators evacuated a zone, or ended that.

    Attributes:
        zone: Availability zone.
        active: True if targets of the zone must get no requests.
    """

    zone: str
    active: bool


Change = (
    ConfigurationChange
    | TargetChange
    | VmChange
    | SuspectChange
    | EvacuationChange
)


class ClusterState:
    """The tables of an entry VM.

    Attributes:
        configuration: Active configuration, or None before the first.
        vms: Entry VMs by name.
        vm_changes: Number of changes of `vms` so far.
        leases: Leases of the VM entries, by VM name.
        targets: Targets by identity.
        suspects: Requests that were running when a target crashed.
        evacuated: Zones whose targets must get no requests.
        store_recovered_at: Time at which the store became reachable again after
            its last outage, on the core's clock.
    """

    def __init__(self, vm_grace_seconds: float = VM_GRACE_SECONDS) -> None:
        """Creates an empty state.

        Args:
            vm_grace_seconds: How long a VM stays whose entry a restored store
                lacks; the length of the leases of VMs.
        """
        self._vm_grace_seconds = vm_grace_seconds
        self.configuration: fleet.Configuration | None = None
        self.vms: dict[str, fleet.VmEntry] = {}
        self.vm_changes = 0
        self.leases: dict[str, int] = {}
        self.targets: dict[str, TargetRow] = {}
        self.suspects = quarantine.QuarantineTable()
        self.evacuated: set[str] = set()
        self.store_recovered_at = float("-inf")
        self._services: dict[str, dict[str, TargetRow]] = {}
        self._revisions: dict[str, int] = {}
        # The oldest removal first.
        self._departures: collections.OrderedDict[str, _Departure] = (
            collections.OrderedDict()
        )
        self._is_restoring = False
        self._restored_revision = 0
        # VMs whose entries the restored state lacks, with the time until which
        # they stay.
        self._unconfirmed_vms: dict[str, float] = {}
        # Evacuated zones whose keys the restored state lacks, with the time at
        # which they are used again.
        self._pending_returns: dict[str, float] = {}

    def list_targets(self, service: str) -> Iterable[TargetRow]:
        """Returns the targets of a service, including draining ones."""
        return self._services.get(service, {}).values()

    def begin_era(self, now: float, revision: int) -> None:
        """Begins a new era of the store, whose state is applied next.

        Until `end_restored_state`, a key that is missing was not removed: the
        copy may lack it. An entry that is not newer than the revision may have
        been replaced or removed before the restore.

        Args:
            now: Time on the core's clock, in seconds.
            revision: Revision in the new era at which its state was read.
        """
        self._revisions.clear()
        # A further copy may lack what operators wrote since the last restore.
        for zone in self._pending_returns:
            self._pending_returns[zone] = now + EVACUATION_GRACE_SECONDS
        self._is_restoring = True
        self._restored_revision = revision

    def end_restored_state(self) -> None:
        """Treats further changes as writes of the new era."""
        self._is_restoring = False

    def apply(
        self, now: float, key: str, revision: int, change: Change
    ) -> bool:
        """Applies a change; returns True if it may have changed the state.

        Args:
            now: Time on the core's clock, in seconds.
            key: Store key that was changed.
            revision: Store revision of the change.
            change: New content of the key.
        """
        if revision <= self._revisions.get(key, -1):
            return False
        self._revisions[key] = revision
        if isinstance(change, ConfigurationChange):
            return self._apply_configuration(change.configuration)
        if isinstance(change, VmChange):
            return self._apply_vm(now, change)
        if isinstance(change, SuspectChange):
            return self._apply_suspect(now, change)
        if isinstance(change, EvacuationChange):
            return self._apply_evacuation(now, change)
        return self._apply_target(now, revision, change)

    def _apply_suspect(self, now: float, change: SuspectChange) -> bool:
        """Counts a crash against a request, or removes it."""
        if change.state is suspect_reports.ReportState.CRASHED:
            self.suspects.merge_report(now, change.fingerprint, change.target)
        elif change.state is suspect_reports.ReportState.ANSWERED:
            self.suspects.remove_crash(change.fingerprint, change.target)
        return True

    def _apply_evacuation(self, now: float, change: EvacuationChange) -> bool:
        """Evacuates a zone, or ends that; returns True if that is new."""
        was_pending = self._pending_returns.pop(change.zone, None) is not None
        if change.active == (change.zone in self.evacuated):
            # A zone that operators evacuated again after a restore.
            return was_pending and change.active
        if change.active:
            self.evacuated.add(change.zone)
        elif self._is_restoring:
            # Operators may have to write the evacuation again.
            self._pending_returns[change.zone] = now + EVACUATION_GRACE_SECONDS
            return False
        else:
            self.evacuated.discard(change.zone)
        return True

    def end_unconfirmed_evacuations(self, now: float) -> list[str]:
        """Ends evacuations that were not written again after a restore.

        Returns:
            The zones that are used again.
        """
        returned = [z for z, end in self._pending_returns.items() if end <= now]
        for zone in returned:
            del self._pending_returns[zone]
            self.evacuated.discard(zone)
        return returned

    def _apply_configuration(self, received: fleet.Configuration) -> bool:
        """Activates a configuration if it is newer than the active one."""
        active = self.configuration
        if active is not None and received.version <= active.version:
            return False
        self.configuration = received
        return True

    def _apply_vm(self, now: float, change: VmChange) -> bool:
        """Stores or removes the entry of a VM.

        A VM that the restored state lacks stays until its lease must have
        ended: until then it may use its share of a limit, so no other VM takes
        it.
        """
        self.vm_changes += 1
        self._unconfirmed_vms.pop(change.name, None)
        if change.entry is None:
            self.leases.pop(change.name, None)
            if self._is_restoring and change.name in self.vms:
                self._unconfirmed_vms[change.name] = (
                    now + self._vm_grace_seconds
                )
                return True
            return self.vms.pop(change.name, None) is not None
        self.leases[change.name] = change.lease
        changed = self.vms.get(change.name) != change.entry
        self.vms[change.name] = change.entry
        return changed

    def remove_unconfirmed_vms(self, now: float) -> list[str]:
        """Removes VMs that did not register again after a restore.

        Returns:
            Names of the removed VMs.
        """
        expired = [n for n, end in self._unconfirmed_vms.items() if end <= now]
        for name in expired:
            del self._unconfirmed_vms[name]
            self.vms.pop(name, None)
            self.vm_changes += 1
        return expired

    def _apply_target(
        self, now: float, revision: int, change: TargetChange
    ) -> bool:
        """Stores or removes the entry of a target.

        A new incarnation of a target starts with a fresh health record.
        """
        row = self.targets.get(change.identity)
        entry = change.entry
        if entry is None:
            if row is not None and change.problem and not self._is_restoring:
                # The entry was written and did not expire, so there is no
                # grace period.
                self._remove(now, row)
                return True
            return self._handle_missing_entry(now, row)
        if (
            self._is_restoring
            and revision <= self._restored_revision
            and self._is_outdated(entry)
        ):
            return False
        self._departures.pop(entry.identity, None)
        if row is not None and _is_same_incarnation(row.entry, entry):
            changed = row.entry != entry or row.suspect_until > 0
            self._remove_from_service(row)
            row.entry = entry
            row.revision = revision
            row.suspect_until = 0.0
            if not changed and self._is_restoring:
                # The entry was not written again, so the target did not start.
                self._services[entry.service][entry.identity] = row
                return False
        else:
            changed = True
            if row is not None:
                self._remove_from_service(row)
            row = TargetRow(entry, revision, estimates.TargetHealth())
        row.warming_until = now + entry.warmup_seconds
        self.targets[entry.identity] = row
        self._services.setdefault(entry.service, {})[entry.identity] = row
        return changed

    def _handle_missing_entry(self, now: float, row: TargetRow | None) -> bool:
        """Removes a target whose entry is missing, or marks it as suspect.

        It becomes suspect if its entry may have expired only because of a store
        outage, and stays usable for a grace period.
        """
        if row is None:
            return False
        grace_until = self.store_recovered_at + REREGISTRATION_GRACE_SECONDS
        if self._is_restoring:
            grace_until = now + REREGISTRATION_GRACE_SECONDS
        serving = row.entry.state is fleet.TargetState.SERVING
        if now < grace_until and serving:
            row.suspect_until = grace_until
        else:
            self._remove(now, row)
        return True

    def _is_outdated(self, entry: fleet.TargetEntry) -> bool:
        """Returns True if an entry of the restored state must not be used.

        That is the case if it is older than the known entry of its target, or
        if the target was draining or had left and it is not newer than that.
        """
        position = _find_position(entry)
        row = self.targets.get(entry.identity)
        if row is None:
            departure = self._departures.get(entry.identity)
            return departure is not None and position <= departure.position
        known_position = _find_position(row.entry)
        if position != known_position:
            return position < known_position
        return row.entry.state is fleet.TargetState.DRAINING

    def remove_expired_targets(self, now: float) -> list[str]:
        """Removes suspect targets that did not register again in time.

        Returns:
            Identities of the removed targets.
        """
        expired = [
            row
            for row in self.targets.values()
            if row.suspect_until and row.suspect_until <= now
        ]
        for row in expired:
            self._remove(now, row)
        return [row.entry.identity for row in expired]

    def _remove(self, now: float, row: TargetRow) -> None:
        """Removes a target from all tables, and stores that it left."""
        identity = row.entry.identity
        self._remove_from_service(row)
        del self.targets[identity]
        self._departures[identity] = _Departure(_find_position(row.entry), now)
        self._departures.move_to_end(identity)
        while len(self._departures) > MAX_DEPARTURES or (
            # While a restored state is applied, all of them are still needed:
            # the store may have been unavailable for long.
            not self._is_restoring
            and next(iter(self._departures.values())).left_at
            <= now - DEPARTURE_SECONDS
        ):
            self._departures.popitem(last=False)

    def _remove_from_service(self, row: TargetRow) -> None:
        """Removes a target from the list of its service."""
        service_targets = self._services.get(row.entry.service, {})
        service_targets.pop(row.entry.identity, None)


def _find_position(entry: fleet.TargetEntry) -> tuple[int, int]:
    """Returns the position of an entry among all entries of its target.

    A later start is newer regardless of the sequence number, which begins anew.
    """
    return entry.started_at_ms, entry.sequence


def _is_same_incarnation(
    current: fleet.TargetEntry, entry: fleet.TargetEntry
) -> bool:
    """Returns True if two entries describe one incarnation of a target."""
    return (current.address, current.started_at_ms, current.service) == (
        entry.address,
        entry.started_at_ms,
        entry.service,
    )

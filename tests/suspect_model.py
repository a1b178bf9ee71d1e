"""A model of many VMs that report suspects to each other and come and go.

Each VM has the real tables and the real reports. The store with its leases, the
feeds and the targets are modelled in virtual time.
"""

import dataclasses
import random

from wigeonspool.core import cluster_state
from wigeonspool.core import suspect_reports
from wigeonspool.vm import vm_registration

STEP_SECONDS = 0.05
MAX_LAG_SECONDS = 1.0
# Time from the start of a run to the crash or the response.
RUN_SECONDS = 0.2
MAX_BATCH = 32
FINGERPRINT = 7


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of a key.

    Attributes:
        at: Time of the change.
        subject: Request and target that the key stands for.
        state: What the key states, or None if it was removed.
        owner: VM under whose lease the key is.
    """

    at: float
    subject: suspect_reports.Subject
    state: suspect_reports.ReportState | None
    owner: str


class ModelStore:
    """The store, with the reports of VMs under leases.

    Attributes:
        is_away: True while it serves no calls.
        log: Its changes; the revision of a change is its index plus one.
        items: Latest change of each key that exists.
        writes: Number of calls that wrote reports.
    """

    def __init__(self) -> None:
        self.is_away = False
        self.log: list[Change] = []
        self.items: dict[suspect_reports.Subject, Change] = {}
        self.writes = 0
        self.lease_ends: dict[str, float] = {}

    def record(self, change: Change) -> None:
        """Applies a change."""
        self.log.append(change)
        if change.state is None:
            self.items.pop(change.subject, None)
        else:
            self.items[change.subject] = change

    def expire(self, now: float) -> None:
        """Removes the keys of VMs whose leases have ended."""
        for vm, end in list(self.lease_ends.items()):
            if end > now:
                continue
            del self.lease_ends[vm]
            for change in list(self.items.values()):
                if change.owner == vm:
                    self.record(Change(now, change.subject, None, vm))


class ModelVm:
    """An entry VM.

    Attributes:
        name: Its name.
        running: False while its process is stopped.
        has_read: True once the process has read the store.
        cluster: What it knows of suspects.
        runs: Times at which it sent the request to a target.
    """

    def __init__(self, name: str, rng: random.Random) -> None:
        self.name = name
        self.running = True
        self.runs: list[float] = []
        self._rng = rng
        self.lag_seconds = rng.uniform(0.0, MAX_LAG_SECONDS)
        self.start()

    def start(self) -> None:
        """Starts a process that knows nothing."""
        self.running = True
        self.has_read = False
        self.cluster = cluster_state.ClusterState()
        self.read_changes = 0
        self.items: dict[suspect_reports.Subject, tuple[int, Change]] = {}
        self.reports = suspect_reports.SuspectReports(
            self.cluster.suspects,
            self._rng.random,
            lambda: 12,
            self._find_stored,
        )

    def _find_stored(
        self, subject: suspect_reports.Subject
    ) -> suspect_reports.StoredReport | None:
        if subject not in self.items:
            return None
        revision, change = self.items[subject]
        assert change.state is not None
        return suspect_reports.StoredReport(
            change.state, revision, change.owner == self.name
        )

    def read(self, store: ModelStore, now: float) -> None:
        """Reads all keys at first, and then the changes known by now."""
        if not self.has_read:
            self.has_read = True
            self.read_changes = len(store.log)
            for change in store.items.values():
                self._apply(now, store.log.index(change) + 1, change)
                if change.owner == self.name:
                    self.reports.adopt(now, change.subject)
        while (
            self.read_changes < len(store.log)
            and store.log[self.read_changes].at <= now - self.lag_seconds
        ):
            change = store.log[self.read_changes]
            self.read_changes += 1
            self._apply(now, self.read_changes, change)

    def _apply(self, now: float, revision: int, change: Change) -> None:
        if change.state is None:
            self.items.pop(change.subject, None)
            self.reports.restore(now, change.subject)
            return
        self.items[change.subject] = revision, change
        self.cluster.apply(
            now,
            str(change.subject),
            revision,
            cluster_state.SuspectChange(*change.subject, change.state),
        )
        if change.state is suspect_reports.ReportState.CRASHED:
            self.reports.check_report(now, change.subject)

    def write(self, store: ModelStore, now: float) -> None:
        """Writes the reports that are due."""
        batch = self.reports.list_batch(now, MAX_BATCH)
        if not batch:
            return
        store.writes += 1
        for report in batch:
            state: suspect_reports.ReportState | None = report.state
            if state is suspect_reports.ReportState.EXPIRED:
                state = None
            store.record(Change(now, report.subject, state, self.name))
        self.reports.record_written(batch, len(store.log))


class Deployment:
    """VMs that serve one request again and again, and crashing targets.

    Attributes:
        now: Virtual time, in seconds.
        store: The store.
        vms: All VMs.
        crash_times: When the request crashed a target.
    """

    def __init__(self, vm_count: int, seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.store = ModelStore()
        self.vms = [ModelVm(f"vm-{n}", self.rng) for n in range(vm_count)]
        self.crash_times: list[float] = []
        self._targets = 0

    def run(self, seconds: float) -> None:
        """Lets time pass without requests."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            self.store.expire(self.now)
            if self.store.is_away:
                continue
            for vm in self.vms:
                if vm.running:
                    vm.read(self.store, self.now)
                    vm.write(self.store, self.now)
                    self.store.lease_ends[vm.name] = (
                        self.now + vm_registration.LEASE_SECONDS
                    )

    def restart(self, *vms: ModelVm) -> None:
        """Kills processes and starts them again a second later."""
        for vm in vms:
            vm.running = False
        self.run(1.0)
        for vm in vms:
            vm.start()

    def may_send(self, vm: ModelVm) -> bool:
        """Returns True if a VM sends the request to a target."""
        return (
            vm.running
            and vm.has_read
            and not vm.cluster.suspects.is_refused(self.now, FINGERPRINT)
        )

    def send(self, vm: ModelVm, crashes: bool) -> bool:
        """Sends the request to a VM; returns False if that refuses it.

        Args:
            vm: The VM.
            crashes: True if the target that runs it crashes, which is another
                one each time.
        """
        if not self.may_send(vm):
            return False
        started_at = self.now
        vm.runs.append(started_at)
        self.run(RUN_SECONDS)
        suspects = vm.cluster.suspects
        if not crashes:
            targets = suspects.record_answer(FINGERPRINT)
            vm.reports.add_answer(self.now, FINGERPRINT, targets)
            return True
        self._targets += 1
        self.crash_times.append(self.now)
        target = f"t-{self._targets}"
        suspects.record_crash(self.now, FINGERPRINT, target, started_at)
        if target in suspects.list_crashed_targets(FINGERPRINT):
            vm.reports.add_crash(self.now, FINGERPRINT, target)
        return True

    def list_refusing(self) -> list[str]:
        """Returns the VMs that refuse the request."""
        return [vm.name for vm in self.vms if not self.may_send(vm)]

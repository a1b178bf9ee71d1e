"""Collects what this VM reports to the other VMs about suspects.

A report is a key of the store, one for each request and target that crashed
while it ran the request. The key states the crash until a VM gets a response to
the request, then that the request was answered. The VM that wrote the key
removes it when the crash no longer counts. A key that expired before that, with
the lease of its VM, is written again.
"""

from collections.abc import Callable
import dataclasses
import enum
from typing import Final

from wigeonspool.core import quarantine

# The targets of one failure are found to have crashed at about the same time.
CRASH_BATCH_SECONDS: Final = 0.02
# Reports that are not urgent wait for others, to share a call to the store.
ANSWER_BATCH_SECONDS: Final = 0.5
# The VM that reported a crash usually gets a response itself, so other VMs wait
# for its report for this time.
OTHERS_ANSWER_SECONDS: Final = 2.0
# Other VMs spread their reports, on average by this time between two of them.
OTHERS_INTERVAL_SECONDS: Final = 0.05
MAX_OTHERS_SPREAD_SECONDS: Final = 10.0
# If the store is unavailable for long, the oldest reports are dropped.
MAX_PENDING_REPORTS: Final = 10_000

# Fingerprint of a request and identity of a target.
Subject = tuple[int, str]


class ReportState(enum.Enum):
    """What a report states."""

    CRASHED = "crashed"
    ANSWERED = "answered"
    # The key is removed.
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectReport:
    """A report that the store should hold.

    Attributes:
        subject: Fingerprint of the request and identity of the target.
        state: What the report states.
        due_at: Time from which it should be written, on the core's clock.
    """

    subject: Subject
    state: ReportState
    due_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoredReport:
    """A report that the store holds, as far as this VM knows.

    Attributes:
        state: What the report states.
        revision: Store revision that wrote it.
        is_own: True if it expires with the lease of this VM.
    """

    state: ReportState
    revision: int
    is_own: bool


@dataclasses.dataclass(slots=True)
class _OwnReport:
    """A report that this VM wrote.

    Attributes:
        revision: Store revision of the latest write, or 0 if unknown.
        expires_at: Time at which the crash no longer counts.
        must_rewrite: True if the store was restored since the latest write, so
            that the key is missing or held by a lease that has ended.
    """

    revision: int
    expires_at: float
    must_rewrite: bool = False


class SuspectReports:
    """Holds the reports of a VM that the store does not hold yet."""

    def __init__(
        self,
        suspects: quarantine.QuarantineTable,
        draw_fraction: Callable[[], float],
        count_vms: Callable[[], int],
        find_stored: Callable[[Subject], StoredReport | None],
    ) -> None:
        """Creates an object without reports.

        Args:
            suspects: Crashes that count on this VM.
            draw_fraction: Returns a random number from 0 up to 1.
            count_vms: Returns the number of VMs.
            find_stored: Returns the report that the store holds for a subject.
        """
        self._suspects = suspects
        self._draw_fraction = draw_fraction
        self._count_vms = count_vms
        self._find_stored = find_stored
        self._pending: dict[Subject, SuspectReport] = {}
        self._own: dict[Subject, _OwnReport] = {}

    def __len__(self) -> int:
        """Returns the number of reports to write."""
        return len(self._pending)

    def add_crash(self, now: float, fingerprint: int, target: str) -> None:
        """Reports that a target crashed while it ran a request."""
        due_at = now + CRASH_BATCH_SECONDS
        self._add((fingerprint, target), ReportState.CRASHED, due_at)

    def add_answer(
        self, now: float, fingerprint: int, targets: tuple[str, ...]
    ) -> None:
        """Reports that a suspect got a response, or that crashes do not count.

        Args:
            now: Time on the core's clock, in seconds.
            fingerprint: Fingerprint of the request.
            targets: Targets that had crashed while they ran it.
        """
        others_due_at: float | None = None
        for target in targets:
            subject = fingerprint, target
            pending = self._pending.get(subject)
            if subject in self._own:
                due_at = now + ANSWER_BATCH_SECONDS
            elif (
                pending is not None
                and pending.state is ReportState.CRASHED
                and not self._find_stored(subject)
            ):
                # The crash was not reported yet, so no VM needs to learn of it.
                del self._pending[subject]
                continue
            else:
                if others_due_at is None:
                    others_due_at = self._draw_others_due_at(now)
                due_at = others_due_at
            self._add(subject, ReportState.ANSWERED, due_at)

    def check_report(self, now: float, subject: Subject) -> None:
        """Reports a response if a crash that is reported does not count.

        This VM got a response that the VM which reported the crash does not
        know of.
        """
        if not self._suspects.is_counted(now, *subject):
            fingerprint, target = subject
            self.add_answer(now, fingerprint, (target,))

    def restore(self, now: float, subject: Subject) -> None:
        """Reports a crash again, since its key was removed.

        Does nothing if the crash no longer counts.
        """
        if not self._suspects.is_counted(now, *subject):
            return
        due_at = (
            now + ANSWER_BATCH_SECONDS
            if subject in self._own
            else self._draw_others_due_at(now)
        )
        self._add(subject, ReportState.CRASHED, due_at)

    def _draw_others_due_at(self, now: float) -> float:
        """Returns when to report what other VMs may report as well."""
        spread_seconds = min(
            MAX_OTHERS_SPREAD_SECONDS,
            OTHERS_INTERVAL_SECONDS * self._count_vms(),
        )
        delay_seconds = self._draw_fraction() * spread_seconds
        return now + OTHERS_ANSWER_SECONDS + delay_seconds

    def _add(self, subject: Subject, state: ReportState, due_at: float) -> None:
        """Stores a report, which replaces an earlier one for its subject."""
        pending = self._pending.pop(subject, None)
        if pending is not None and pending.state is state:
            due_at = min(due_at, pending.due_at)
        elif len(self._pending) >= MAX_PENDING_REPORTS:
            del self._pending[next(iter(self._pending))]
        self._pending[subject] = SuspectReport(subject, state, due_at)

    def adopt(self, now: float, subject: Subject) -> None:
        """Takes over a report that an earlier process of this VM wrote."""
        self._own[subject] = _OwnReport(0, now + quarantine.SUSPECT_TTL_SECONDS)

    def begin_era(self, now: float) -> None:
        """Reports again what this VM wrote, since the store is restored.

        Must be called before the restored reports are applied, which may state
        crashes that were answered since.
        """
        for subject, own in self._own.items():
            own.revision = 0
            own.must_rewrite = True
            if subject in self._pending:
                continue
            counts = self._suspects.is_counted(now, *subject)
            state = ReportState.CRASHED if counts else ReportState.ANSWERED
            self._add(subject, state, now + ANSWER_BATCH_SECONDS)

    def find_next_due_at(self) -> float | None:
        """Returns when the next report is due, or None if there is none."""
        due_at = [report.due_at for report in self._pending.values()]
        # The reports are in the order in which they expire.
        due_at += [own.expires_at for own in self._own.values()][:1]
        return min(due_at, default=None)

    def list_batch(self, now: float, limit: int) -> list[SuspectReport]:
        """Returns reports to write together, or none if none is due.

        Reports that are not due yet are added, to save calls. The caller must
        call `record_written` once the store holds them.

        Args:
            now: Time on the core's clock, in seconds.
            limit: Maximum number of reports.
        """
        self._expire(now)
        for report in list(self._pending.values()):
            if self._is_obsolete(now, report):
                del self._pending[report.subject]
        reports = sorted(self._pending.values(), key=lambda r: r.due_at)
        if not reports or reports[0].due_at > now:
            return []
        batch = [r for r in reports if r.due_at <= now or self._is_own(r)]
        for report in batch[:limit]:
            # A call without a reply may have taken effect.
            expires_at = now + quarantine.SUSPECT_TTL_SECONDS
            own = self._own.pop(report.subject, _OwnReport(0, expires_at))
            if report.state is not ReportState.EXPIRED:
                self._own[report.subject] = dataclasses.replace(
                    own, expires_at=expires_at
                )
        return batch[:limit]

    def _is_own(self, report: SuspectReport) -> bool:
        """Returns True if this VM wrote an earlier report of the subject."""
        return report.subject in self._own

    def _expire(self, now: float) -> None:
        """Adds the removal of reports of crashes that no longer count."""
        for subject, own in list(self._own.items()):
            if own.expires_at > now:
                return
            del self._own[subject]
            stored = self._find_stored(subject)
            if stored is not None and stored.is_own:
                self._add(subject, ReportState.EXPIRED, now)

    def _is_obsolete(self, now: float, report: SuspectReport) -> bool:
        """Returns True if a report need not be written any more.

        That is the case if its crash does not count, or if the store already
        holds the same report.
        """
        if report.state is ReportState.EXPIRED:
            return False
        if report.state is ReportState.CRASHED and (
            not self._suspects.is_counted(now, *report.subject)
        ):
            return True
        own = self._own.get(report.subject)
        if own is not None and own.must_rewrite:
            return False
        stored = self._find_stored(report.subject)
        if stored is None or stored.state is not report.state:
            return False
        # The replica may not show the latest write of this VM yet.
        return own is None or stored.revision >= own.revision

    def record_written(
        self, reports: list[SuspectReport], revision: int
    ) -> None:
        """Removes reports that the store holds now.

        Args:
            reports: The reports.
            revision: Store revision that wrote them.
        """
        for report in reports:
            # A newer report may have replaced it while it was written.
            if self._pending.get(report.subject) is report:
                del self._pending[report.subject]
            own = self._own.get(report.subject)
            if own is not None:
                own.revision = revision
                own.must_rewrite = False

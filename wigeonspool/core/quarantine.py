"""Finds requests that crash the targets that run them.

A request whose connection broke while it ran is a suspect. A suspect is run
again on a target where no other suspect runs, if there is one, so that a second
crash points to one request. A request that was running when two targets crashed
is refused; one that got a response is no longer a suspect.

A request that was answered before is not suspected for the first failure after
that, which may crash several targets: targets that crash for reasons of their
own interrupt such requests too.
"""

import collections
import dataclasses
import math
from typing import Final

CRASHES_TO_REFUSE: Final = 2
MAX_SUSPECTS: Final = 10_000
SUSPECT_TTL_SECONDS: Final = 600.0
# If this many targets crash within the window, no request is held responsible.
MASS_CRASH_TARGETS: Final = 3
MASS_CRASH_WINDOW_SECONDS: Final = 0.05
# Other gateways report the crashes of one failure within this time.
REPORT_SPREAD_SECONDS: Final = 1.0
# Answered requests that are stored; the oldest are dropped.
MAX_ANSWERED: Final = 4096


@dataclasses.dataclass(slots=True)
class SuspectRow:
    """One request that was running when a target crashed.

    Attributes:
        fingerprint: Equal for resubmissions of the same request.
        targets: Addresses of the targets that crashed while it ran there.
        expires_at: Time until which it is a suspect, on the core's clock.
    """

    fingerprint: int
    targets: set[str]
    expires_at: float


class QuarantineTable:
    """Holds the suspects of a gateway and those reported by other gateways."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._rows: dict[int, SuspectRow] = {}
        self._crash_times: dict[str, float] = {}
        # Crashes of attempts that started by this time do not count.
        self._excused_until: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of suspects."""
        return len(self._rows)

    def record_crash(
        self,
        now: float,
        fingerprint: int,
        target: str,
        started_at: float = math.inf,
    ) -> None:
        """Records that a connection broke while a request ran.

        Once MASS_CRASH_TARGETS targets have crashed within the window, their
        further crashes make no request a suspect.

        Args:
            now: Time on the core's clock, in seconds.
            fingerprint: Fingerprint of the request; 0 is never a suspect.
            target: Address of the target.
            started_at: Time at which the attempt was sent, on the core's clock.
        """
        if not fingerprint or self._is_mass_crash(now, target):
            return
        if self._is_excused(now, fingerprint, started_at):
            return
        row = self._rows.get(fingerprint)
        if row is None:
            if len(self._rows) >= MAX_SUSPECTS:
                self._rows.pop(next(iter(self._rows)))
            row = SuspectRow(fingerprint, set(), 0.0)
            self._rows[fingerprint] = row
        row.targets.add(target)
        row.expires_at = now + SUSPECT_TTL_SECONDS

    def _is_mass_crash(self, now: float, target: str) -> bool:
        """Returns True if several targets crashed at the same time."""
        self._crash_times[target] = now
        recent = {
            address: at
            for address, at in self._crash_times.items()
            if at > now - MASS_CRASH_WINDOW_SECONDS
        }
        self._crash_times = recent
        return len(recent) >= MASS_CRASH_TARGETS

    def _is_excused(
        self, now: float, fingerprint: int, started_at: float
    ) -> bool:
        """Returns True if a crash is no sign that the request caused it."""
        excused_until = self._excused_until.get(fingerprint)
        if excused_until is None:
            return False
        if excused_until == math.inf:
            # The first crash since the request was answered.
            self._excused_until[fingerprint] = now
            return True
        return started_at <= excused_until

    def merge_report(self, now: float, fingerprint: int, target: str) -> None:
        """Adds a crash that another VM reported, unless it does not count.

        Args:
            now: Time on the core's clock, in seconds.
            fingerprint: Fingerprint of the request.
            target: Identity of the target.
        """
        excused_until = self._excused_until.get(fingerprint, -math.inf)
        if excused_until == math.inf:
            self._excused_until[fingerprint] = now
        elif now > excused_until + REPORT_SPREAD_SECONDS:
            self.merge(now, fingerprint, (target,))

    def record_answer(self, fingerprint: int) -> tuple[str, ...]:
        """Records that a request got a response; it is no longer a suspect.

        Returns:
            Targets that had crashed while they ran it; empty if it was no
            suspect.
        """
        self._excused_until[fingerprint] = math.inf
        self._excused_until.move_to_end(fingerprint)
        if len(self._excused_until) > MAX_ANSWERED:
            self._excused_until.popitem(last=False)
        return self.remove_suspect(fingerprint)

    def remove_suspect(self, fingerprint: int) -> tuple[str, ...]:
        """Removes a request that got a response from the suspects.

        Returns:
            Targets that had crashed while they ran it; empty if it was no
            suspect.
        """
        row = self._rows.pop(fingerprint, None)
        return tuple(sorted(row.targets)) if row else ()

    def remove_crash(self, fingerprint: int, target: str) -> bool:
        """Removes a crash that no longer counts against a request.

        Returns:
            True if it counted until now.
        """
        row = self._rows.get(fingerprint)
        if row is None or target not in row.targets:
            return False
        row.targets.discard(target)
        if not row.targets:
            del self._rows[fingerprint]
        return True

    def is_counted(self, now: float, fingerprint: int, target: str) -> bool:
        """Returns True if a crash of a target counts against a request."""
        row = self._rows.get(fingerprint)
        return (
            row is not None and row.expires_at > now and target in row.targets
        )

    def is_suspect(self, fingerprint: int) -> bool:
        """Returns True if a request is a suspect."""
        return fingerprint in self._rows

    def is_refused(self, now: float, fingerprint: int) -> bool:
        """Returns True if a request must not run again."""
        row = self._rows.get(fingerprint)
        if row is None:
            return False
        if row.expires_at <= now:
            del self._rows[fingerprint]
            return False
        return len(row.targets) >= CRASHES_TO_REFUSE

    def list_crashed_targets(self, fingerprint: int) -> tuple[str, ...]:
        """Returns the targets that crashed while they ran a request."""
        row = self._rows.get(fingerprint)
        return tuple(sorted(row.targets)) if row else ()

    def list_suspects(self) -> list[tuple[int, tuple[str, ...]]]:
        """Returns the fingerprint and the crashed targets of each suspect."""
        return [
            (row.fingerprint, tuple(sorted(row.targets)))
            for row in self._rows.values()
        ]

    def merge(
        self, now: float, fingerprint: int, targets: tuple[str, ...]
    ) -> None:
        """Adds the crashes of a suspect that another gateway reported."""
        row = self._rows.get(fingerprint)
        if row is None:
            row = SuspectRow(fingerprint, set(), now + SUSPECT_TTL_SECONDS)
            self._rows[fingerprint] = row
        row.targets.update(targets)

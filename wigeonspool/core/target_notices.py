"""What targets state about themselves: that they leave, or want no requests.

A target that leaves gets nothing more until its next start. A target that
declines requests gets none until the end that it stated, and then an increasing
number of requests, so that the VMs do not return to it all at once.

A notice belongs to one start of a target. It is kept while the entry of that
start is rewritten, or is removed and comes back.
"""

from collections.abc import Iterable
import math
from typing import Final

import xxhash

from wigeonspool.model import fleet

# After the end of a decline, the requests that a VM has sent to the target may
# double in each interval of this length, beginning with one.
DOUBLING_SECONDS: Final = 0.1
# Time after which the number of requests to a returning target is not limited.
RETURN_SECONDS: Final = 1.0
# The VMs begin to return to a target at different moments within this time, or
# within the time for which it declined if that is shorter.
RETURN_SPREAD_SECONDS: Final = 0.25
# Callers that are refused because all targets decline are told to return within
# a time after the end that is at least and at most this long.
MIN_RETRY_SPREAD_SECONDS: Final = 0.25
MAX_RETRY_SPREAD_SECONDS: Final = 2.0
# If all targets of a service leave, others register within a few heartbeats.
REPLACEMENT_SECONDS: Final = 0.3
# Starts of targets whose notices are kept; the oldest notices are dropped
# first.
MAX_TARGETS: Final = 4096

# Start of a target: its time, and its address if the time is unknown.
Start = tuple[int, str]


class TargetNotices:
    """The notices of one start of a target.

    Attributes:
        leaving: True once the target stated that it leaves.
        declined_until: Time until which it wants no requests, on the core's
            clock.
        returns_at: Time of the first request after that, on the core's clock.
        problem: Last invalid value that it sent, or "".
    """

    __slots__ = (
        "_admitted",
        "_spread",
        "declined_until",
        "leaving",
        "problem",
        "returns_at",
    )

    def __init__(self, spread: float) -> None:
        """Creates the state of a target without notices.

        Args:
            spread: Position of this VM among those that return to the target,
                from 0 to 1.
        """
        self.leaving = False
        self.declined_until = -math.inf
        self.returns_at = -math.inf
        self.problem = ""
        self._spread = spread
        self._admitted = 0

    def record_leaving(self) -> bool:
        """Records that the target leaves; returns True if that is new."""
        is_new = not self.leaving
        self.leaving = True
        return is_new

    def record_declined(self, now: float, until: float) -> bool:
        """Records that the target wants no requests until a time.

        Args:
            now: Time on the core's clock, in seconds.
            until: End of that time, on the core's clock.

        Returns:
            True if the end moved; an earlier one does not replace a later one.
        """
        if until <= max(now, self.declined_until):
            return False
        self.declined_until = until
        self.returns_at = until + self._spread * min(
            RETURN_SPREAD_SECONDS, until - now
        )
        self._admitted = 0
        return True

    def may_send(self, now: float) -> bool:
        """Returns True unless the target leaves or declines requests."""
        return not self.leaving and now >= self.declined_until

    def admit(self, now: float) -> bool:
        """Counts a request, or returns False if the target must not get it.

        The number of requests is limited while the target declines and during
        the return after that.
        """
        if now < self.find_wanted_at():
            return False
        self._admitted += 1
        return True

    def may_admit(self, now: float) -> bool:
        """Returns True if a request may be admitted now."""
        return now >= self.find_wanted_at()

    def find_wanted_at(self) -> float:
        """Returns when the target may get another request, or infinity."""
        if self.leaving:
            return math.inf
        wait_seconds = DOUBLING_SECONDS * math.log2(self._admitted + 1)
        return self.returns_at + min(wait_seconds, RETURN_SECONDS)

    def is_over(self, now: float) -> bool:
        """Returns True if the notices have no effect any more."""
        return not self.leaving and now >= self.returns_at + RETURN_SECONDS


class NoticeTable:
    """The notices of all targets that sent any to this VM."""

    def __init__(self, vm: str) -> None:
        """Creates an empty table.

        Args:
            vm: Name of this VM, which determines when it returns to a target
                that declined.
        """
        self._vm = vm
        # By identity and start: a response to a request that was sent to an
        # earlier start may arrive after notices of a later one.
        self._starts: dict[tuple[str, Start], TargetNotices] = {}

    def __len__(self) -> int:
        """Returns the number of starts of targets with notices."""
        return len(self._starts)

    def find(self, entry: fleet.TargetEntry) -> TargetNotices | None:
        """Returns the notices of the start that an entry describes, if any."""
        return self._starts.get((entry.identity, find_start(entry)))

    def may_send(self, now: float, entry: fleet.TargetEntry) -> bool:
        """Returns True unless a target leaves or declines requests."""
        notices = self.find(entry)
        return notices is None or notices.may_send(now)

    def may_admit(self, now: float, entry: fleet.TargetEntry) -> bool:
        """Returns True if a request to a target may be admitted now."""
        notices = self.find(entry)
        return notices is None or notices.may_admit(now)

    def admit(self, now: float, entry: fleet.TargetEntry) -> bool:
        """Counts a request, or returns False if it must not be sent."""
        notices = self.find(entry)
        return notices is None or notices.admit(now)

    def is_leaving(self, entry: fleet.TargetEntry) -> bool:
        """Returns True if a target stated that it leaves."""
        notices = self.find(entry)
        return notices is not None and notices.leaving

    def find_declined_until(
        self, now: float, entry: fleet.TargetEntry
    ) -> float | None:
        """Returns until when a target declines requests, or None."""
        notices = self.find(entry)
        if notices is None or notices.declined_until <= now:
            return None
        return notices.declined_until

    def record_leaving(self, now: float, entry: fleet.TargetEntry) -> bool:
        """Records that a target leaves; returns True if that is new."""
        return self._open(now, entry).record_leaving()

    def record_declined(
        self, now: float, entry: fleet.TargetEntry, until: float
    ) -> bool:
        """Records until when a target declines; returns True if that is later.

        Args:
            now: Time on the core's clock, in seconds.
            entry: Entry of the target.
            until: End of the time, on the core's clock.
        """
        return self._open(now, entry).record_declined(now, until)

    def record_problem(
        self, now: float, entry: fleet.TargetEntry, problem: str
    ) -> bool:
        """Records an invalid value; returns True if it differs from the last.

        Args:
            now: Time on the core's clock, in seconds.
            entry: Entry of the target.
            problem: What is invalid.
        """
        notices = self._open(now, entry)
        is_new = notices.problem != problem
        notices.problem = problem
        return is_new

    def find_wanted_at(
        self, now: float, entries: Iterable[fleet.TargetEntry]
    ) -> float | None:
        """Returns when one of some targets will first want a request.

        Returns:
            The time, infinity if all of them leave, or None if one of them
            wants requests now or there are none.
        """
        earliest: float | None = None
        for entry in entries:
            notices = self.find(entry)
            if notices is None or notices.may_admit(now):
                return None
            wanted_at = notices.find_wanted_at()
            earliest = (
                wanted_at if earliest is None else min(earliest, wanted_at)
            )
        return earliest

    def _open(self, now: float, entry: fleet.TargetEntry) -> TargetNotices:
        """Returns the notices of a start, which are created if needed."""
        notices = self.find(entry)
        if notices is None:
            if len(self._starts) >= MAX_TARGETS:
                self._drop_oldest(now)
            notices = TargetNotices(find_spread(self._vm, entry.identity))
            self._starts[entry.identity, find_start(entry)] = notices
        return notices

    def _drop_oldest(self, now: float) -> None:
        """Drops notices without effect, or the oldest if all have one."""
        over = [
            start
            for start, notices in self._starts.items()
            if notices.is_over(now)
        ]
        for start in over or [next(iter(self._starts))]:
            del self._starts[start]


def find_start(entry: fleet.TargetEntry) -> Start:
    """Returns the start of a target that an entry describes.

    Starts at different addresses differ if the entry does not state the time.
    """
    if entry.started_at_ms:
        return entry.started_at_ms, ""
    return 0, entry.address


def find_spread(vm: str, identity: str) -> float:
    """Returns the position of a VM among those that return to a target.

    Positions are evenly spread from 0 to 1, and always the same for one VM and
    target.
    """
    return xxhash.xxh3_64_intdigest(f"{vm}/{identity}".encode()) / 2**64


def find_retry_at(now: float, wanted_at: float, fraction: float) -> float:
    """Returns when a refused caller should return.

    Callers that were refused at different times before the end return over a
    time of about that length, so that the first of them do not use the targets
    up again.

    Args:
        now: Time on the core's clock, in seconds.
        wanted_at: Time at which a target will want requests, or infinity if all
            targets leave.
        fraction: Random number from 0 to 1 that differs between requests.
    """
    if math.isinf(wanted_at):
        return now + REPLACEMENT_SECONDS * (1.0 + fraction)
    spread_seconds = min(
        MAX_RETRY_SPREAD_SECONDS, max(MIN_RETRY_SPREAD_SECONDS, wanted_at - now)
    )
    return max(now, wanted_at) + fraction * spread_seconds

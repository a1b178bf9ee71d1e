"""Which targets are cold, and how many requests this VM may send to each.

A cold target tolerates a limited number of requests in any second from all VMs
together. No VM sees the requests of the others, so the number is divided among
the VMs that hold a share. A VM holds a whole number of requests for each
target: fractions that several VMs carried over could be used in the same
second, which would exceed the limit of a target that gets about one request
from each VM. The remainder of the division goes to other VMs for each target,
so over many targets the shares are equal.
"""

from collections.abc import Collection, Iterable
import dataclasses
import math
from typing import Final, NamedTuple

import xxhash

from wigeonspool.core import vm_assignment
from wigeonspool.model import fleet

# Fraction of the limit that is used. The rest covers VMs that disagree for a
# moment on which of them hold a share.
USED_FRACTION: Final = 0.9
# Length of the window that the limit applies to.
WINDOW_SECONDS: Final = 1.0
# A VM spaces its requests so that as many as it may send in a window take this
# much longer than the window, since requests take different times to arrive.
SPACING_FACTOR: Final = 1.05
# A VM uses a share this long after it got it: the longest time after which the
# VM that held it before learns of that. Requests that an earlier process of
# this VM sent no longer count then either.
HANDOVER_SECONDS: Final = 3.0
# Difference between the clocks of a target and of this VM.
CLOCK_MARGIN_SECONDS: Final = 0.5
# A report counts for this time at most. After that the target is probed again
# even if this VM may send it no requests, and reports if it is still cold.
MAX_REPORTED_SECONDS: Final = 10.0
# A caller whose VM may send no cold target a request is told to return after
# this time, since another VM may serve it.
RETRY_SECONDS: Final = 1.0
# Targets whose state is kept; states without effect are dropped beyond it.
MAX_TARGETS: Final = 4096


class Share(NamedTuple):
    """The position of a VM among those that hold a share.

    Attributes:
        position: Position, from 0.
        holders: Number of positions, also of those that no VM holds.
    """

    position: int
    holders: int


@dataclasses.dataclass(slots=True)
class ColdState:
    """What is known of one target.

    Attributes:
        started_at_ms: Start of the target that `reported_until` belongs to.
        reported_until: Time until which it reported to be cold, on the core's
            clock.
        next_at: Earliest time of the next request to it, on the core's clock.
        sent_at: Time of the latest request, on the core's clock.
        previous_next_at: The value of `next_at` before that request.
    """

    started_at_ms: int
    reported_until: float = -math.inf
    next_at: float = -math.inf
    sent_at: float = -math.inf
    previous_next_at: float = -math.inf


class ColdTargets:
    """Limits the requests of this VM to cold targets."""

    __slots__ = (
        "_overrun",
        "_share",
        "_share_until",
        "_slack",
        "_states",
        "_usable_at",
    )

    def __init__(self) -> None:
        """Creates the limits of a VM that holds no share."""
        self._states: dict[str, ColdState] = {}
        self._share: Share | None = None
        self._usable_at = math.inf
        self._share_until = -math.inf
        self._overrun = 1.0
        self._slack = 0.0

    def set_limits(self, overrun: float, slack: float) -> None:
        """Sets how far all VMs together may exceed the rate of a service.

        Args:
            overrun: Factor of the rate.
            slack: Requests in addition to that in any second.
        """
        self._overrun = overrun
        self._slack = slack

    def set_share(self, share: Share | None, until: float, now: float) -> None:
        """Sets the share of this VM, or None if it holds none.

        A new share is used after `HANDOVER_SECONDS`.

        Args:
            share: Position among the VMs that hold a share.
            until: Time after which another VM may hold it, on the core's
                clock.
            now: Time on the core's clock, in seconds.
        """
        if share != self._share or now >= self._share_until:
            self._usable_at = now + HANDOVER_SECONDS
        self._share = share
        self._share_until = until

    def record_report(
        self, now: float, entry: fleet.TargetEntry, cold_seconds: float
    ) -> None:
        """Records for how long a target reported to be cold.

        Args:
            now: Time on the core's clock, in seconds.
            entry: Entry of the target.
            cold_seconds: Time for which it stays cold, or 0 if it is not cold.
        """
        state = self._states.get(entry.identity)
        if state is None and not cold_seconds:
            return
        if state is None or state.started_at_ms != entry.started_at_ms:
            state = self._open(now, entry)
        state.reported_until = now + min(cold_seconds, MAX_REPORTED_SECONDS)

    def find_reported_until(self, entry: fleet.TargetEntry) -> float:
        """Returns until when a target reported to be cold."""
        state = self._states.get(entry.identity)
        if state is None or state.started_at_ms != entry.started_at_ms:
            return -math.inf
        return state.reported_until

    def find_sendable_at(
        self, now: float, entry: fleet.TargetEntry, rate: float
    ) -> float:
        """Returns when this VM may send a cold target its next request.

        Args:
            now: Time on the core's clock, in seconds.
            entry: Entry of the target, which is cold.
            rate: Requests per second that it tolerates.

        Returns:
            The time on the core's clock, or infinity if this VM holds no
            requests for the target.
        """
        if now >= self._share_until or not self._count_held(
            entry.identity, rate
        ):
            return math.inf
        state = self._states.get(entry.identity)
        next_at = -math.inf if state is None else state.next_at
        return max(now, self._usable_at, next_at)

    def consume(
        self, now: float, entry: fleet.TargetEntry, rate: float
    ) -> bool:
        """Counts a request to a cold target; returns False if it has to wait.

        Args:
            now: Time on the core's clock, in seconds.
            entry: Entry of the target, which is cold.
            rate: Requests per second that it tolerates.
        """
        if self.find_sendable_at(now, entry, rate) > now:
            return False
        held = self._count_held(entry.identity, rate)
        state = self._states.get(entry.identity)
        if state is None:
            state = self._open(now, entry)
        state.sent_at = now
        state.previous_next_at = state.next_at
        state.next_at = now + WINDOW_SECONDS * SPACING_FACTOR / held
        return True

    def refund(self, entry: fleet.TargetEntry, sent_at: float) -> None:
        """Takes back a request to a target that does not count.

        Does nothing if another one was sent since, which used the time that
        this one had left free.

        Args:
            entry: Entry of the target.
            sent_at: Time at which the request was sent, on the core's clock.
        """
        state = self._states.get(entry.identity)
        if state is not None and state.sent_at == sent_at:
            state.next_at = state.previous_next_at
            state.sent_at = -math.inf

    def _count_held(self, identity: str, rate: float) -> int:
        """Returns how many requests this VM may send a target in any window.

        The sum over all positions is at most `USED_FRACTION` of the limit.
        """
        if self._share is None:
            return 0
        limit = rate * self._overrun + self._slack
        usable = max(int(limit * USED_FRACTION), min(int(limit), 1))
        position, holders = self._share
        first = xxhash.xxh3_64_intdigest(identity.encode()) % holders
        base, remainder = divmod(usable, holders)
        return base + ((position - first) % holders < remainder)

    def _open(self, now: float, entry: fleet.TargetEntry) -> ColdState:
        """Returns a new state of a target; requests sent to it still count."""
        old = self._states.pop(entry.identity, None)
        if len(self._states) >= MAX_TARGETS:
            self._drop_oldest(now)
        state = ColdState(entry.started_at_ms)
        if old is not None:
            state.next_at = state.previous_next_at = old.next_at
        self._states[entry.identity] = state
        return state

    def _drop_oldest(self, now: float) -> None:
        """Drops states without effect, or the oldest if all have one."""
        over = [
            identity
            for identity, state in self._states.items()
            if max(state.reported_until, state.next_at) <= now
        ]
        for identity in over or [next(iter(self._states))]:
            del self._states[identity]


def find_start_until(
    entry: fleet.TargetEntry,
    registered_at: float,
    clock_offset: float,
    cold_seconds: float,
) -> float:
    """Returns until when a target is cold because of its start.

    That is the longer one of the times that its entry and its service state,
    counted from its start. Without a stated start, only the time of the entry
    counts, from when the entry was read: a VM that starts must not take all
    targets for cold.

    Args:
        entry: Entry of the target.
        registered_at: Time at which the entry was read, on the core's clock.
        clock_offset: Time since the epoch, less the time on the core's clock.
        cold_seconds: Time after the start that the service states.
    """
    entry_seconds = entry.warmup_seconds
    if not entry.started_at_ms:
        return registered_at + entry_seconds if entry_seconds else -math.inf
    seconds = max(entry_seconds, cold_seconds)
    if not seconds:
        return -math.inf
    started_at = entry.started_at_ms / 1000 - clock_offset
    # A clock that is ahead must not keep a target cold for long.
    return min(started_at, registered_at) + seconds + CLOCK_MARGIN_SECONDS


def find_share(
    own: fleet.VmEntry, vms: Iterable[fleet.VmEntry], zones: Collection[str]
) -> Share | None:
    """Returns the share of a VM, or None if it holds none.

    The first VMs of each zone hold one, as with the slack of the retry budget
    (`shared_retry_budget.find_slack_share`).

    Args:
        own: Entry of the VM.
        vms: Entries of all registered VMs.
        zones: Availability zones of the deployment.
    """
    if own.zone not in zones:
        return None
    in_zone = [vm for vm in vms if vm.zone == own.zone]
    ranked = vm_assignment.rank_vms(own.zone, own.region, in_zone)
    per_zone = vm_assignment.MIN_ASSIGNED_VMS
    holders = ranked[:per_zone]
    if own not in holders:
        return None
    first = sorted(zones).index(own.zone) * per_zone
    return Share(first + holders.index(own), per_zone * len(zones))

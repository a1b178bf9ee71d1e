"""Quotas of client accounts: shares, delegations, buckets and tokens.

Each holder owns an equal share of every quota. It delegates its share to one
coordinator at a time; the coordinator grants tokens from buckets whose rate and
depth are scaled by the fraction of the shares delegated to it. A holder that
reaches no other VM is its own coordinator, with its share only.

All times are those of a clock that also counts while the machine is suspended.
Each VM compares only times of its own clock.
"""

from collections import deque
from collections.abc import Collection, Iterable, Mapping
import dataclasses
import enum
import math
from typing import Final

from wigeonspool.core import rendezvous
from wigeonspool.core import shared_retry_budget
from wigeonspool.core import vm_assignment
from wigeonspool.model import fleet

# A token expires this long after its receiver requested it.
TOKEN_SECONDS: Final = 0.5
# A delegation ends this long after the clock value that it echoes, and for the
# holder this long after it was sent, which is later.
DELEGATION_SECONDS: Final = 1.0
# Tokens for the expected requests of this time are requested at once.
BATCH_SECONDS: Final = 0.25
# Tokens are requested when the stock covers less than this time.
MIN_STOCK_SECONDS: Final = 0.1
# Tokens for expected requests are granted only while this fraction of the depth
# is left for requests that wait.
AHEAD_RESERVE_FRACTION: Final = 0.25
DEMAND_MEAN_SECONDS: Final = 1.0
# VMs disagree on who holds shares for up to 3 s, and a delegation counts for up
# to one more second. A VM that displaces another holder waits that long.
DISPLACEMENT_SECONDS: Final = 3.0 + DELEGATION_SECONDS
# The shares that a coordinator gets this soon after its first one bring the
# starting tokens of a start. Later ones come from VMs that started again one by
# one, while the buckets have a record of earlier grants.
COORDINATOR_START_SECONDS: Final = 3.0
# Longest time over which refused callers are spread.
MAX_SPREAD_SECONDS: Final = 5.0
# A share that was not renewed for this long is forgotten.
SHARE_MEMORY_SECONDS: Final = 60.0


class StartingTokens(enum.IntEnum):
    """Starting tokens that a share brings to a new coordinator.

    NONE: The holder brought some within the last window.
    HANDOVER: Its earlier coordinator may have granted tokens until now.
    START: Its process started, so that no tokens were granted to it for a
        while.
    """

    NONE = 0
    HANDOVER = 1
    START = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """The quota of an account, over all VMs together.

    Attributes:
        rate: Requests per second.
        burst: Requests beyond the rate that may be sent at once.
    """

    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """How far all VMs together may exceed a quota in a window.

    Attributes:
        window_seconds: Length of the window.
        overrun: Fraction of the quota.
        slack: Requests, in addition.
    """

    window_seconds: float
    overrun: float
    slack: float

    def find_margin(self, quota: Quota) -> float:
        """Returns the requests in a window beyond a quota."""
        in_window = quota.rate * self.window_seconds + quota.burst
        return in_window * self.overrun + self.slack

    def find_starting_tokens(self, quota: Quota, kind: StartingTokens) -> float:
        """Returns the starting tokens that all shares together bring.

        Without an interruption of the grants, tokens that were granted before a
        window and used in it need a part of the margin.
        """
        if kind is StartingTokens.NONE:
            return 0.0
        margin = self.find_margin(quota)
        if kind is StartingTokens.HANDOVER:
            margin -= TOKEN_SECONDS * quota.rate
        return max(0.0, margin / 2)


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Tokens of one account at a coordinator.

    Attributes:
        quota: Quota of the account.
        tokens: Tokens at the time of the last update.
        updated_at: Time of the last update.
        next_slot: Time at which the next refused caller should return.
    """

    quota: Quota
    tokens: float
    updated_at: float
    next_slot: float = -math.inf


@dataclasses.dataclass(slots=True)
class _Share:
    """A share that is or was delegated to a coordinator.

    Attributes:
        until: End of the delegation.
        term: Identifies the time of the holder with this coordinator.
        brought: True if its starting tokens were counted.
    """

    until: float
    term: float
    brought: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Tokens that a coordinator grants to a VM.

    Attributes:
        granted: Tokens, for requests that wait and expected ones.
        refused: Requests that wait and get no token.
        retry_seconds: Time after which the first refused one should return.
    """

    granted: int
    refused: int = 0
    retry_seconds: float = 0.0


class Coordinator:
    """The buckets of all accounts, scaled by the delegated shares."""

    def __init__(self, holder_count: int, bounds: Bounds) -> None:
        """Creates a coordinator without shares and accounts.

        Args:
            holder_count: Number of shares of each quota.
            bounds: How far quotas may be exceeded.
        """
        self._holder_count = holder_count
        self._bounds = bounds
        self._shares: dict[str, _Share] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._begun_at = -math.inf

    def set_bounds(self, bounds: Bounds) -> None:
        """Sets how far quotas may be exceeded."""
        self._bounds = bounds

    def set_quotas(self, quotas: Mapping[str, Quota], now: float) -> None:
        """Replaces the quotas; tokens above the new bursts are dropped."""
        self._refill_all(now)
        fraction = self.find_fraction(now)
        buckets = {}
        for name, quota in quotas.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                tokens = fraction * self._bounds.find_starting_tokens(
                    quota, StartingTokens.HANDOVER
                )
                bucket = _Bucket(quota, tokens, now)
            elif bucket.quota != quota:
                bucket.quota = quota
                bucket.next_slot = -math.inf
            buckets[name] = bucket
        self._buckets = buckets
        self._refill_all(now)

    def count_shares(self, now: float) -> int:
        """Returns the number of shares that are delegated now."""
        return sum(share.until > now for share in self._shares.values())

    def find_fraction(self, now: float) -> float:
        """Returns the fraction of all shares that are delegated now."""
        return self.scale_shares(self.count_shares(now))

    def scale_shares(self, shares: int) -> float:
        """Returns a number of shares as a fraction of all."""
        return min(1.0, shares / self._holder_count)

    def add_share(
        self,
        holder: str,
        term: float,
        until: float,
        starting: StartingTokens,
        now: float,
    ) -> None:
        """Counts a delegation.

        Args:
            holder: Address of the holder.
            term: Identifies the time of the holder with this coordinator.
            until: End of the delegation, on the clock of the coordinator.
            starting: Starting tokens that the share brings.
            now: Current time.
        """
        share = self._shares.get(holder)
        if until <= now:
            return
        if share is None or share.until <= now:
            # Until now the buckets were filled without this share.
            self._refill_all(now)
            if self.count_shares(now) == 0:
                self._begun_at = now
            self._forget_old_shares(now)
        if share is None or share.term != term:
            share = _Share(share.until if share else until, term)
            self._shares[holder] = share
        share.until = max(share.until, until)
        if starting is not StartingTokens.NONE and not share.brought:
            share.brought = True
            is_start = now < self._begun_at + COORDINATOR_START_SECONDS
            if is_start or starting is StartingTokens.HANDOVER:
                self._add_starting_tokens(starting, now)

    def _add_starting_tokens(
        self, starting: StartingTokens, now: float
    ) -> None:
        """Adds the starting tokens of one share to all buckets."""
        for bucket in self._buckets.values():
            tokens = self._bounds.find_starting_tokens(bucket.quota, starting)
            bucket.tokens += tokens / self._holder_count
        self._refill_all(now)

    def _forget_old_shares(self, now: float) -> None:
        """Removes shares that were not renewed for long."""
        oldest = now - SHARE_MEMORY_SECONDS
        for holder, share in list(self._shares.items()):
            if share.until < oldest:
                del self._shares[holder]

    def take(
        self, account: str, waiting: int, ahead: int, now: float
    ) -> Grant | None:
        """Takes tokens from the bucket of an account.

        Args:
            account: Name of the account.
            waiting: Tokens for requests that wait.
            ahead: Tokens for expected requests.
            now: Current time.

        Returns:
            The grant, or None if the account has no quota.
        """
        bucket = self._buckets.get(account)
        if bucket is None:
            return None
        fraction = self.find_fraction(now)
        self._refill(bucket, fraction, now)
        granted = min(waiting, int(bucket.tokens))
        refused = waiting - granted
        bucket.tokens -= granted
        reserve = AHEAD_RESERVE_FRACTION * find_depth(bucket.quota, fraction)
        extra = max(0, min(ahead, int(bucket.tokens - reserve)))
        bucket.tokens -= extra
        if not refused:
            return Grant(granted + extra)
        retry_seconds = _reserve_slots(bucket, fraction, refused, now)
        return Grant(granted + extra, refused, retry_seconds)

    def _refill_all(self, now: float) -> None:
        """Updates all buckets."""
        fraction = self.find_fraction(now)
        for bucket in self._buckets.values():
            self._refill(bucket, fraction, now)

    def _refill(self, bucket: _Bucket, fraction: float, now: float) -> None:
        """Updates a bucket.

        Since its last update shares may have ended but none was added, so that
        the current fraction is the smallest one since then.
        """
        elapsed_seconds = max(0.0, now - bucket.updated_at)
        bucket.updated_at = now
        bucket.tokens = min(
            find_depth(bucket.quota, fraction),
            bucket.tokens + elapsed_seconds * bucket.quota.rate * fraction,
        )


def _reserve_slots(
    bucket: _Bucket, fraction: float, refused: int, now: float
) -> float:
    """Returns after which time the first of some refused callers may return.

    Refused callers are spread at the rate of the bucket, one after the other.
    """
    rate = bucket.quota.rate * fraction
    interval = 1.0 / rate if rate > 0.0 else MAX_SPREAD_SECONDS
    earliest = now + max(0.0, 1.0 - bucket.tokens) * interval
    slot = max(earliest, bucket.next_slot)
    if slot > earliest + MAX_SPREAD_SECONDS:
        slot = earliest
    bucket.next_slot = slot + refused * interval
    return slot - now


def find_depth(quota: Quota, fraction: float) -> float:
    """Returns the depth of a bucket that has a fraction of the shares."""
    return max(quota.burst * fraction, 1.0) if fraction > 0.0 else 0.0


class Delegation:
    """To whom a holder delegates its share, and until when.

    Attributes:
        coordinator: Address of the coordinator, or "" before the first one.
        incarnation: Identity of the process of the coordinator.
        term: Time at which the holder began to delegate to it.
        ends_at: Time from which it may delegate to another coordinator.
        starting: Starting tokens that the share brings to the coordinator.
    """

    def __init__(self, window_seconds: float) -> None:
        """Creates the delegation of a holder that has not delegated yet.

        Args:
            window_seconds: Window in which starting tokens are brought once.
        """
        self.coordinator = ""
        self.incarnation = 0
        self.term = 0.0
        self.ends_at = -math.inf
        self.starting = StartingTokens.NONE
        self._window_seconds = window_seconds
        self._brought_at = -math.inf

    def begin(self, coordinator: str, incarnation: int, now: float) -> bool:
        """Returns True if the share may be delegated to a coordinator now."""
        if (self.coordinator, self.incarnation) == (coordinator, incarnation):
            return True
        if now < self.ends_at:
            return False
        self.coordinator = coordinator
        self.incarnation = incarnation
        self.term = now
        self.starting = StartingTokens.NONE
        return True

    def bring_tokens(self, is_start: bool, now: float) -> None:
        """Lets the share bring starting tokens, once in a window.

        Args:
            is_start: True if the process of the holder started a short time
                ago.
            now: Current time.
        """
        if (
            self.starting is not StartingTokens.NONE
            or now < self._brought_at + self._window_seconds
            or now >= self.term + COORDINATOR_START_SECONDS
        ):
            return
        is_first = self._brought_at == -math.inf
        self.starting = (
            StartingTokens.START
            if is_start and is_first
            else StartingTokens.HANDOVER
        )
        self._brought_at = now

    def renew(self, seconds: float, now: float) -> None:
        """Extends the delegation that is sent now."""
        self.ends_at = max(self.ends_at, now + seconds)


class HolderRole:
    """Whether a VM holds a share, by its copy of the list of VMs.

    Attributes:
        held_from: Time from which it holds a share; infinity if it does not.
    """

    def __init__(self) -> None:
        """Creates the role of a VM that holds no share."""
        self.held_from = math.inf
        self._names: frozenset[str] | None = None

    def clear(self) -> None:
        """Ends the role, since the registration of the VM has ended."""
        self.held_from = math.inf
        self._names = None

    def update(
        self,
        own: fleet.VmEntry,
        vms: Collection[fleet.VmEntry],
        zones: Collection[str],
        revisions: Mapping[str, int],
        is_known: bool,
        now: float,
    ) -> None:
        """Updates the role after a change of the list of VMs.

        A VM that displaces another holder waits until that one knows it. It
        displaces none if fewer VMs than holders registered before it in its
        zone, or if it replaces a VM that is gone. VMs that registered later
        have known it from their start.

        Args:
            own: Entry of the VM.
            vms: Entries of all registered VMs.
            zones: Availability zones of the deployment.
            revisions: Store revision of each registration, by name.
            is_known: True if all VMs know this one from before its start.
            now: Current time.
        """
        names = frozenset(vm.name for vm in vms if vm.zone == own.zone)
        previous, self._names = self._names, names
        if not shared_retry_budget.find_slack_share(own, vms, zones):
            self.held_from = math.inf
            return
        if self.held_from < math.inf:
            return
        own_revision = revisions.get(own.name, 0)
        older = [n for n in names if revisions.get(n, 0) < own_revision]
        displaces_none = (
            len(older) < vm_assignment.MIN_ASSIGNED_VMS
            or (previous is None and is_known)
            or (previous is not None and names < previous)
        )
        self.held_from = now if displaces_none else now + DISPLACEMENT_SECONDS


def rank_coordinators(
    vms: Iterable[fleet.VmEntry], zones: Mapping[str, str]
) -> list[fleet.VmEntry]:
    """Returns the holders in the order in which they become coordinator.

    Large VMs come first, since the coordinator has most of the messages.

    Args:
        vms: Entries of all registered VMs.
        zones: Region by availability zone.
    """
    in_zones: dict[str, list[fleet.VmEntry]] = {zone: [] for zone in zones}
    for vm in vms:
        if vm.zone in in_zones:
            in_zones[vm.zone].append(vm)
    holders = {}
    for zone, in_zone in in_zones.items():
        ranked = vm_assignment.rank_vms(zone, zones[zone], in_zone)
        for vm in ranked[: vm_assignment.MIN_ASSIGNED_VMS]:
            holders[vm.name] = vm
    order = rendezvous.rank_members("quotas", holders)
    return sorted(
        (holders[name] for name in order), key=lambda vm: -vm.capacity
    )


class TokenStock:
    """Tokens of one account that a VM was granted and has not used."""

    def __init__(self) -> None:
        """Creates an empty stock."""
        self._batches: deque[list[float]] = deque()

    def add(self, count: int, expires_at: float) -> None:
        """Adds tokens."""
        if count > 0:
            self._batches.append([expires_at, count])

    def count(self, now: float) -> int:
        """Returns the number of tokens that have not expired."""
        return sum(
            int(n) for expires_at, n in self._batches if expires_at > now
        )

    def take(self, now: float) -> float | None:
        """Takes a token; returns when it expires, or None if there is none."""
        while self._batches:
            expires_at, count = self._batches[0]
            if expires_at > now and count > 0:
                self._batches[0][1] -= 1
                return expires_at
            self._batches.popleft()
        return None


class Demand:
    """Estimate of the requests of one account at a VM."""

    def __init__(self) -> None:
        """Creates the estimate of an account without requests."""
        self._rate = 0.0
        self._updated_at = -math.inf

    def add_request(self, now: float) -> None:
        """Counts a request."""
        self._rate = self.find_rate(now) + 1.0 / DEMAND_MEAN_SECONDS
        self._updated_at = now

    def find_rate(self, now: float) -> float:
        """Returns the requests per second."""
        elapsed_seconds = max(0.0, now - self._updated_at)
        return self._rate * math.exp(-elapsed_seconds / DEMAND_MEAN_SECONDS)

    def find_missing(self, stock: int, now: float) -> int:
        """Returns how many tokens to request for the expected requests.

        Args:
            stock: Tokens that the VM has.
            now: Current time.
        """
        rate = self.find_rate(now)
        if stock > rate * MIN_STOCK_SECONDS:
            return 0
        return max(0, int(rate * BATCH_SECONDS) - stock)

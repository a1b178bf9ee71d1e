"""The part of one VM in the quotas of client accounts, without network or loop.

It holds the tokens and the waiting requests of this VM, chooses a coordinator,
delegates the share of this VM if it holds one, and is the coordinator for VMs
that choose it. Messages are passed in, and returned by a function.
"""

from collections import deque
from collections.abc import Callable, Collection, Mapping
import dataclasses
import enum
import math
from typing import Final

from wigeonspool.core import coordinator_choice
from wigeonspool.core import usage_limits
from wigeonspool.core import vm_assignment
from wigeonspool.model import addresses
from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.vm import usage_messages

# A request waits this long for its token.
WAIT_SECONDS: Final = 0.25
# Bounds the time in a reply, which a tiny rate would make too long to encode.
MAX_REPORTED_RETRY_SECONDS: Final = 1e5
# A reply that arrives later than this is dropped.
REPLY_MEMORY_SECONDS: Final = 2.0
TICK_SECONDS: Final = 0.05
# A longer gap between ticks means that this process was paused.
MAX_TICK_GAP_SECONDS: Final = 0.2
RENEW_SECONDS: Final = 0.25
# Delegations are short after a start, since the coordinator may change often.
START_DELEGATION_SECONDS: Final = 0.3
START_RENEW_SECONDS: Final = 0.1
# Requests that arrive earlier after a start wait up to this time for a token.
START_WAIT_SECONDS: Final = 1.0
# A VM that starts waits this long for the preferred coordinator, before its
# share brings starting tokens to another one.
START_PATIENCE_SECONDS: Final = 1.0
# A VM whose share brings starting tokens this soon after its start brings
# those of a start.
START_TOKENS_SECONDS: Final = 10.0
RESEND_SECONDS: Final = 0.06
# Refused callers return within this time if no coordinator tells when.
MIN_RETRY_SECONDS: Final = 0.3
MAX_RETRY_SECONDS: Final = 1.0


class Source(enum.Enum):
    """Who granted a token.

    COORDINATOR: A VM to which other VMs delegated their shares.
    BASE: This VM, with its own share only.
    """

    COORDINATOR = "coordinator"
    BASE = "base"


class Cause(enum.Enum):
    """Why a request gets no token.

    QUOTA: The coordinator reported that the bucket is empty.
    NO_SHARES: The coordinator that replied has no shares yet.
    NO_REPLY: No coordinator replied in time.
    """

    QUOTA = "quota"
    NO_SHARES = "no_shares"
    NO_REPLY = "no_reply"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What a request for a token led to.

    Attributes:
        expires_at: Time at which the token expires, or None without a token.
        retry_seconds: Without a token: time after which to return.
        cause: Without a token: why.
    """

    expires_at: float | None
    retry_seconds: float = 0.0
    cause: Cause = Cause.QUOTA


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a token.

    Attributes:
        account: Name of its account.
        settle: Called with the decision.
        waits_until: Time until which it waits.
        asked_at: Time of the message that requested its token, or minus
            infinity.
    """

    account: str
    settle: Callable[[Decision], None]
    waits_until: float = math.inf
    asked_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class AccountCounts:
    """Requests of an account at this VM, since the start.

    Attributes:
        granted: Requests that got a token, by who granted it.
        refused: Requests that got none, by cause.
    """

    granted: dict[Source, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(Source, 0)
    )
    refused: dict[Cause, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(Cause, 0)
    )


@dataclasses.dataclass(slots=True)
class _AccountUse:
    """State of one account at this VM.

    Attributes:
        stock: Tokens.
        demand: Estimate of its requests.
        waiters: Requests that wait, in arrival order.
        counts: Requests by result.
        batched_until: Time until which only ticks request tokens, since the
            bucket was empty.
        ahead_until: Time until which tokens for expected requests are not
            requested again.
    """

    stock: usage_limits.TokenStock = dataclasses.field(
        default_factory=usage_limits.TokenStock
    )
    demand: usage_limits.Demand = dataclasses.field(
        default_factory=usage_limits.Demand
    )
    waiters: deque[Waiter] = dataclasses.field(default_factory=deque)
    counts: AccountCounts = dataclasses.field(default_factory=AccountCounts)
    batched_until: float = -math.inf
    ahead_until: float = -math.inf


class UsageNode:
    """The state of one VM.

    Attributes:
        coordinator: The buckets for which this VM is the coordinator.
        choice: The VMs that may be the coordinator of this one.
        delegation: To whom the share of this VM is delegated.
        role: Whether this VM holds a share.
        is_leaving: True if this VM stops soon, so that others need another
            coordinator.
        sent: Messages sent to other VMs.
        received: Messages received from other VMs.
        odd: Messages that were dropped, since they cannot be valid.
    """

    def __init__(
        self,
        own: fleet.VmEntry,
        incarnation: int,
        zones: Mapping[str, str],
        bounds: usage_limits.Bounds,
        now: float,
        send: Callable[[str, usage_messages.Message], None],
        draw_fraction: Callable[[], float],
    ) -> None:
        """Creates the state of a process that starts.

        Args:
            own: Entry of this VM.
            incarnation: Identity of this process, positive.
            zones: Region by availability zone, for all zones.
            bounds: How far quotas may be exceeded.
            now: Current time.
            send: Sends a message to an address.
            draw_fraction: Returns a random number from 0 to 1.
        """
        address = find_address(own)
        assert address is not None
        self.coordinator = usage_limits.Coordinator(
            vm_assignment.MIN_ASSIGNED_VMS * len(zones), bounds
        )
        self.choice = coordinator_choice.CoordinatorChoice(address, now)
        # Requests without a reply so far, the oldest first.
        self._outstanding: dict[tuple[float, str], None] = {}
        self.delegation = usage_limits.Delegation(bounds.window_seconds)
        self.role = usage_limits.HolderRole()
        self.sent = 0
        self.received = 0
        self.odd = 0
        self._own = own
        self._zones = zones
        self._address = address
        self._registered_until = -math.inf
        self._incarnation = incarnation
        self._started_at = now
        self._send = send
        self._draw_fraction = draw_fraction
        self._uses: dict[str, _AccountUse] = {}
        self._pending: set[str] = set()
        self._quotas: Mapping[str, usage_limits.Quota] = {}
        self._is_configured = False
        self._sent_at = now
        self._renew_at = -math.inf
        self._ticked_at = now
        self._reply_fraction = -1.0

    def set_quotas(
        self, quotas: Mapping[str, usage_limits.Quota], now: float
    ) -> None:
        """Sets the quotas of all accounts that have one."""
        self.coordinator.set_quotas(quotas, now)
        self._quotas = quotas
        self._is_configured = True
        for name in list(self._uses):
            if name not in quotas:
                for waiter in self._uses.pop(name).waiters:
                    waiter.settle(Decision(now + usage_limits.TOKEN_SECONDS))

    def set_members(
        self,
        vms: Collection[fleet.VmEntry],
        revisions: Mapping[str, int],
        is_known: bool,
        now: float,
    ) -> None:
        """Applies a change of the list of VMs.

        Args:
            vms: Entries of all registered VMs.
            revisions: Store revision of each registration, by name.
            is_known: True if all VMs know this one from before its start.
            now: Current time.
        """
        self.role.update(self._own, vms, self._zones, revisions, is_known, now)
        ranked = usage_limits.rank_coordinators(vms, self._zones)
        known = [find_address(vm) for vm in ranked]
        self.choice.set_ranking([a for a in known if a is not None], now)

    def set_registered_until(self, until: float, now: float) -> None:
        """Sets when the share of this VM ends with its registration.

        Args:
            until: End of the registration.
            now: Current time.
        """
        self._registered_until = until
        if until <= now:
            self.role.clear()

    @property
    def is_leaving(self) -> bool:
        """True once this VM stops, so that another one should coordinate."""
        return self.choice.is_leaving

    @is_leaving.setter
    def is_leaving(self, value: bool) -> None:
        self.choice.is_leaving = value

    def list_counts(self) -> dict[str, AccountCounts]:
        """Returns the requests by result, for each account."""
        return {name: use.counts for name, use in self._uses.items()}

    def acquire(self, waiter: Waiter, now: float) -> float | None:
        """Requests a token for a request.

        Args:
            waiter: The request.
            now: Current time.

        Returns:
            The time at which the token expires. If it is None, the decision is
            passed to the waiter later, and `flush` must be called soon.
        """
        use = self._uses.setdefault(waiter.account, _AccountUse())
        use.demand.add_request(now)
        self._pending.add(waiter.account)
        if not use.waiters:
            expires_at = use.stock.take(now)
            if expires_at is not None:
                self._count_granted(use, now)
                return expires_at
        waiter.waits_until = max(
            now + WAIT_SECONDS, self._started_at + START_WAIT_SECONDS
        )
        use.waiters.append(waiter)
        return None

    def _count_granted(self, use: _AccountUse, now: float) -> None:
        """Counts a request that got a token."""
        source = (
            Source.BASE if self.uses_base_share(now) else (Source.COORDINATOR)
        )
        use.counts.granted[source] += 1

    def uses_base_share(self, now: float) -> bool:
        """Returns True if this VM uses its own share only."""
        return (
            self.find_coordinator(now) == self._address
            and self.coordinator.count_shares(now) <= 1
        )

    def cancel(self, waiter: Waiter) -> None:
        """Removes a waiter whose request has ended."""
        use = self._uses.get(waiter.account)
        if use is not None and waiter in use.waiters:
            use.waiters.remove(waiter)

    def give_back(self, account: str, expires_at: float, now: float) -> None:
        """Returns the token of a request that did not run."""
        use = self._uses.get(account)
        if use is not None and expires_at > now:
            use.stock.add(1, expires_at)
            self._serve_waiters(use, now)

    def find_coordinator(self, now: float) -> str | None:
        """Returns the VM that is asked for tokens, or None if there is none.

        It is the one to which the share of this VM is delegated for as long as
        it replies.
        """
        chosen = self.choice.choose(now)
        current = self.delegation.coordinator
        if chosen == current or now >= self.delegation.ends_at:
            return chosen
        if current == self._address:
            return current
        peer = self.choice.peers.get(current)
        return current if peer and not peer.has_failed else chosen

    def flush(self, now: float) -> None:
        """Requests tokens for new requests, and for expected ones."""
        self._request_tokens(now, is_tick=False)

    def tick(self, now: float) -> None:
        """Runs the periodic work; called every `TICK_SECONDS`."""
        if now > self._ticked_at + MAX_TICK_GAP_SECONDS:
            self.choice.reset_waits(now)
        self._ticked_at = now
        has_demand = any(use.waiters for use in self._uses.values())
        if self.choice.detect_failures(now):
            self._ask_all(now)
        for sent_at, address in list(self._outstanding):
            if sent_at > now - REPLY_MEMORY_SECONDS:
                break
            del self._outstanding[sent_at, address]
        self._refuse_expired(now)
        self._renew_delegation(now)
        self._request_tokens(now, is_tick=True)
        if has_demand or self._holds_share(now):
            for address in self.choice.list_due_probes(now):
                self._send_request(address, now)

    def _ask_all(self, now: float) -> None:
        """Asks all VMs that may be the next coordinator for a reply."""
        for address in list(self.choice.peers):
            self._send_request(address, now)

    def _holds_share(self, now: float) -> bool:
        """Returns True if this VM holds a share."""
        return self.role.held_from <= now < self._registered_until

    def _refuse_expired(self, now: float) -> None:
        """Refuses requests that have waited for their token long enough."""
        for use in self._uses.values():
            while use.waiters and (
                use.waiters[0].waits_until <= now + TICK_SECONDS / 2
            ):
                cause = Cause.NO_REPLY
                if self._reply_fraction == 0.0:
                    cause = Cause.NO_SHARES
                spread = MAX_RETRY_SECONDS - MIN_RETRY_SECONDS
                seconds = MIN_RETRY_SECONDS + spread * self._draw_fraction()
                self._refuse(use, use.waiters.popleft(), seconds, cause)

    def _refuse(
        self, use: _AccountUse, waiter: Waiter, seconds: float, cause: Cause
    ) -> None:
        """Refuses a request."""
        use.counts.refused[cause] += 1
        waiter.settle(Decision(None, seconds, cause))

    def _renew_delegation(self, now: float) -> None:
        """Delegates the share of this VM if that is due."""
        if not self._holds_share(now):
            return
        chosen = self.choice.choose(now)
        is_changing = chosen != self.delegation.coordinator
        if chosen is None or not (
            self._is_renewal_due(now)
            or (is_changing and now >= self.delegation.ends_at)
        ):
            return
        # Until the delegation begins, the VM is only asked for its clock.
        self._renew_at = now + START_RENEW_SECONDS
        self._send_request(chosen, now)

    def _request_tokens(self, now: float, is_tick: bool) -> None:
        """Sends the requests for tokens that are due."""
        if is_tick:
            self._pending.update(n for n, u in self._uses.items() if u.waiters)
        if not self._pending:
            return
        address = self.find_coordinator(now)
        if address is None:
            return
        wants = []
        for name in self._pending:
            use = self._uses.get(name)
            if use is None or (now < use.batched_until and not is_tick):
                continue
            want = self._build_want(name, use, now)
            if want is not None:
                wants.append(want)
        self._pending.clear()
        for group in usage_messages.split_wants(wants):
            self._send_request(address, now, group)

    def _build_want(
        self, name: str, use: _AccountUse, now: float
    ) -> usage_messages.Want | None:
        """Returns the tokens to request for an account, or None."""
        waiting = len(_list_unasked(use, now))
        ahead = 0
        if now >= use.ahead_until:
            ahead = use.demand.find_missing(use.stock.count(now), now)
        if not waiting and not ahead:
            return None
        if ahead:
            use.ahead_until = now + RESEND_SECONDS
        return usage_messages.Want(name, waiting, ahead)

    def _find_sent_time(self, now: float) -> float:
        """Returns the time of a new message, later than that of all others."""
        self._sent_at = max(now, math.nextafter(self._sent_at, math.inf))
        return self._sent_at

    def _send_request(
        self,
        address: str,
        now: float,
        wants: tuple[usage_messages.Want, ...] = (),
    ) -> None:
        """Sends a message to a VM that is or may be the coordinator.

        If it is the chosen one, the message delegates the share of this VM.
        """
        sent_at = self._find_sent_time(now)
        for want in wants:
            for waiter in _list_unasked(self._uses[want.account], now):
                waiter.asked_at = sent_at
        request: usage_messages.Request
        if address == self._address:
            request = self._build_delegation(
                address, self._incarnation, sent_at, sent_at, wants
            )
            reply = self._answer(address, request, sent_at)
            self._apply_reply(address, reply, sent_at)
            return
        peer = self.choice.peers.get(address)
        if peer is None:
            return
        if wants and not self._is_renewal_due(now):
            request = usage_messages.TokenRequest(sent_at, wants)
        else:
            request = self._build_delegation(
                address, peer.incarnation, peer.clock, sent_at, wants
            )
        self.choice.record_sent(address, now)
        self._outstanding[sent_at, address] = None
        self.sent += 1
        self._send(address, request)

    def _is_renewal_due(self, now: float) -> bool:
        """Returns True if the delegation should be renewed."""
        return now >= self._renew_at and self._holds_share(now)

    def _build_delegation(
        self,
        address: str,
        incarnation: int,
        clock: float,
        sent_at: float,
        wants: tuple[usage_messages.Want, ...],
    ) -> usage_messages.Delegation:
        """Returns a message; it delegates the share of this VM if it may.

        Args:
            address: Address of the receiver.
            incarnation: Process of the receiver; 0 if it has not replied yet.
            clock: Clock value of its latest reply.
            sent_at: Time of the message.
            wants: Tokens that are requested.
        """
        delegation = self.delegation
        is_starting = self.choice.is_starting(sent_at)
        seconds = START_DELEGATION_SECONDS
        renew_seconds = START_RENEW_SECONDS
        if not is_starting:
            seconds = usage_limits.DELEGATION_SECONDS
            renew_seconds = RENEW_SECONDS
        seconds = min(seconds, self._registered_until - sent_at)
        if (
            not incarnation
            or seconds <= 0.0
            or not self._holds_share(sent_at)
            or address != self.choice.choose(sent_at)
            or not delegation.begin(address, incarnation, sent_at)
        ):
            return usage_messages.Delegation(sent_at, wants)
        if (
            address == self.choice.ranking[0]
            or sent_at >= self._started_at + START_PATIENCE_SECONDS
        ):
            delegation.bring_tokens(
                sent_at < self._started_at + START_TOKENS_SECONDS, sent_at
            )
        delegation.renew(seconds, sent_at)
        self._renew_at = sent_at + renew_seconds
        return usage_messages.Delegation(
            sent_at,
            wants,
            incarnation,
            clock,
            seconds,
            delegation.term,
            delegation.starting.value,
        )

    def receive(
        self, address: str, message: usage_messages.Message, now: float
    ) -> None:
        """Handles a message of another VM.

        Args:
            address: Address of its sender.
            message: The message.
            now: Current time.
        """
        self.received += 1
        if isinstance(message, usage_messages.Request):
            reply = self._answer(address, message, now)
            self.sent += 1
            self._send(address, reply)
            return
        if (message.sent_at, address) not in self._outstanding:
            # A datagram may arrive twice, but its tokens count once.
            self.odd += 1
            return
        del self._outstanding[message.sent_at, address]
        if message.sent_at > now or not self.choice.record_reply(address, now):
            self.odd += 1
            return
        if isinstance(
            message, usage_messages.DelegationReply
        ) and self.choice.record_clock(
            address,
            message.incarnation,
            message.clock,
            message.is_leaving,
            now,
        ):
            self._ask_all(now)
        self._apply_reply(address, message, now)

    def _answer(
        self, address: str, request: usage_messages.Request, now: float
    ) -> usage_messages.Reply:
        """Counts a delegation and grants tokens, as the coordinator."""
        coordinator = self.coordinator
        is_delegation = isinstance(request, usage_messages.Delegation)
        if (
            isinstance(request, usage_messages.Delegation)
            and request.seconds > 0.0
            and request.incarnation == self._incarnation
            and request.clock <= now
        ):
            coordinator.add_share(
                address,
                request.term,
                request.clock + request.seconds,
                usage_limits.StartingTokens(request.starting),
                now,
            )
        grants: tuple[usage_messages.Granted, ...] = ()
        shares = 0
        if self._is_configured:
            grants = tuple(self._grant(want, now) for want in request.wants)
            shares = coordinator.count_shares(now)
        if is_delegation:
            return usage_messages.DelegationReply(
                request.sent_at,
                shares,
                grants,
                self._incarnation,
                now,
                self.is_leaving,
            )
        return usage_messages.TokenReply(request.sent_at, shares, grants)

    def _grant(
        self, want: usage_messages.Want, now: float
    ) -> usage_messages.Granted:
        """Returns the tokens for an account, as the coordinator."""
        grant = self.coordinator.take(
            want.account, want.waiting, want.ahead, now
        )
        if grant is None:
            # By the configuration of this VM the account has no quota.
            return usage_messages.Granted(want.account, want.waiting)
        return usage_messages.Granted(
            want.account,
            grant.granted,
            grant.refused,
            math.ceil(
                min(grant.retry_seconds, MAX_REPORTED_RETRY_SECONDS) * 1000
            ),
        )

    def _apply_reply(
        self, address: str, reply: usage_messages.Reply, now: float
    ) -> None:
        """Uses the tokens of a reply, and refuses requests that got none."""
        fraction = self.coordinator.scale_shares(reply.shares)
        if address == self.find_coordinator(now):
            self.choice.fraction = self._reply_fraction = fraction
        expires_at = reply.sent_at + usage_limits.TOKEN_SECONDS
        for grant in reply.grants:
            use = self._uses.get(grant.account)
            if use is None:
                continue
            use.ahead_until = -math.inf
            use.stock.add(grant.granted, expires_at)
            self._serve_waiters(use, now)
            if grant.refused:
                use.batched_until = now + TICK_SECONDS
                if fraction > 0.0 and not self._is_starting(fraction, now):
                    self._refuse_asked(use, grant, reply.sent_at, fraction)
        if isinstance(reply, usage_messages.DelegationReply):
            self._begin_delegation(address, reply.incarnation, now)

    def _is_starting(self, fraction: float, now: float) -> bool:
        """Returns True if the coordinator is expected to get more shares.

        After a start of all VMs, the holders register and delegate their shares
        one after the other, and the buckets fill meanwhile.
        """
        return fraction < 1.0 and now < self._started_at + START_WAIT_SECONDS

    def _begin_delegation(
        self, address: str, incarnation: int, now: float
    ) -> None:
        """Delegates the share of this VM to a coordinator that replied."""
        delegation = self.delegation
        is_delegated = (
            delegation.coordinator == address
            and delegation.incarnation == incarnation
        )
        if (
            not is_delegated
            and now >= delegation.ends_at
            and self._holds_share(now)
            and address == self.choice.choose(now)
        ):
            self._send_request(address, now)

    def _serve_waiters(self, use: _AccountUse, now: float) -> None:
        """Passes tokens to requests that wait, in arrival order."""
        while use.waiters:
            expires_at = use.stock.take(now)
            if expires_at is None:
                return
            self._count_granted(use, now)
            use.waiters.popleft().settle(Decision(expires_at))

    def _refuse_asked(
        self,
        use: _AccountUse,
        grant: usage_messages.Granted,
        asked_at: float,
        fraction: float,
    ) -> None:
        """Refuses the requests for which a reply has no token."""
        quota = self._quotas.get(grant.account)
        interval = 0.0
        if quota is not None and quota.rate > 0.0:
            interval = 1.0 / (quota.rate * fraction)
        asked = [w for w in use.waiters if w.asked_at == asked_at]
        for i, waiter in enumerate(asked[-grant.refused :]):
            use.waiters.remove(waiter)
            seconds = grant.retry_ms / 1000 + i * interval
            self._refuse(use, waiter, seconds, Cause.QUOTA)


def _list_unasked(use: _AccountUse, now: float) -> list[Waiter]:
    """Returns the waiting requests for which a message is due."""
    return [w for w in use.waiters if w.asked_at <= now - RESEND_SECONDS]


def find_address(vm: fleet.VmEntry) -> str | None:
    """Returns the address of a VM for messages, or None if it has none."""
    try:
        host, port = addresses.split_address(vm.peer_address)
    except errors.AddressInvalidError:
        return None
    return f"{host}:{port + 1}" if port < addresses.MAX_PORT else None

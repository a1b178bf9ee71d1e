"""Chooses the coordinator of quotas: the first holder that replies.

All VMs compute the same ranking of the holders, and skip those that do not
reply to them. Two coordinators at the same time are harmless, since each one
uses only the shares that are delegated to it.
"""

from collections.abc import Sequence
import dataclasses
import math
from typing import Final

# A VM that leaves two messages unanswered for this long is skipped.
REPLY_SECONDS: Final = 0.12
RESEND_SECONDS: Final = 0.06
# A skipped VM is asked again this often.
RETRY_SECONDS: Final = 1.0
START_RETRY_SECONDS: Final = 0.1
# A VM that replies again becomes coordinator after it has replied for this
# long, unless the current one has few shares. The buckets of a new coordinator
# have no record, so a change costs tokens.
SETTLE_SECONDS: Final = 5.0
FEW_SHARES_FRACTION: Final = 0.5
# VMs that are asked when the coordinator fails reply within this time.
CHOICE_SECONDS: Final = 0.1
# A new coordinator gets the shares within this time.
GATHERING_SECONDS: Final = 2.0
# After a start all VMs look for each other, so changes need no delay.
START_SECONDS: Final = 3.0
# While some VMs do not reply, those are preferred that replied this recently.
CONFIRMED_SECONDS: Final = 2.0


@dataclasses.dataclass(slots=True)
class Peer:
    """What is known of a VM that may be the coordinator.

    Attributes:
        asked_at: When the first unanswered message was sent; infinity if all
            were answered.
        unanswered: Messages sent since the last reply.
        replied_at: When it last replied.
        incarnation: Identity of its process.
        clock: Clock value of its latest reply.
        has_failed: True while it is skipped.
        is_leaving: True if it stops soon.
        retry_at: When it is asked again while it is skipped or settling.
        settled_at: From when it may be chosen again.
    """

    asked_at: float = math.inf
    unanswered: int = 0
    replied_at: float = -math.inf
    incarnation: int = 0
    clock: float = -math.inf
    has_failed: bool = False
    is_leaving: bool = False
    retry_at: float = -math.inf
    settled_at: float = -math.inf


class CoordinatorChoice:
    """The state of the VMs that may be the coordinator.

    Attributes:
        peers: State by address, without this VM.
        ranking: Addresses, the preferred one first.
        fraction: Fraction of the shares that the current coordinator reported.
    """

    def __init__(self, own: str, now: float) -> None:
        """Creates the choice of a VM that starts.

        Args:
            own: Address of the VM.
            now: Current time.
        """
        self.peers: dict[str, Peer] = {}
        self.ranking: list[str] = []
        self.fraction = 0.0
        self.is_leaving = False
        self._own = own
        self._chosen: str | None = None
        self._chosen_at = -math.inf
        self._started_at = now

    def is_starting(self, now: float) -> bool:
        """Returns True for some time after the start of the VM."""
        return now < self._started_at + START_SECONDS

    def set_ranking(self, ranking: Sequence[str], now: float) -> None:
        """Sets the ranking; a VM that is new to it must reply first."""
        is_first = not self.peers
        self.ranking = list(ranking)
        known = self.peers
        self.peers = {}
        for address in ranking:
            if address == self._own:
                continue
            peer = known.get(address)
            if peer is None:
                peer = Peer(has_failed=not is_first, retry_at=now)
            self.peers[address] = peer

    def record_sent(self, address: str, now: float) -> None:
        """Records that a message was sent to a VM."""
        peer = self.peers.get(address)
        if peer is None:
            return
        peer.unanswered += 1
        peer.asked_at = min(peer.asked_at, now)

    def record_clock(
        self,
        address: str,
        incarnation: int,
        clock: float,
        is_leaving: bool,
        now: float,
    ) -> bool:
        """Records the clock of a VM that replied; returns True if it leaves.

        It does so once, when the VM states it for the first time.

        Args:
            address: Address of the VM.
            incarnation: Identity of its process.
            clock: Its clock when it replied.
            is_leaving: True if it stops soon.
            now: Current time.
        """
        peer = self.peers[address]
        if peer.incarnation != incarnation:
            peer.incarnation = incarnation
            peer.clock = clock
        peer.clock = max(peer.clock, clock)
        if peer.is_leaving and not is_leaving:
            peer.settled_at = now + SETTLE_SECONDS
        was_leaving, peer.is_leaving = peer.is_leaving, is_leaving
        return is_leaving and not was_leaving

    def record_reply(self, address: str, now: float) -> bool:
        """Records a reply; returns False if its VM is not in the ranking."""
        peer = self.peers.get(address)
        if peer is None:
            return False
        peer.replied_at = now
        peer.asked_at = math.inf
        peer.unanswered = 0
        if peer.has_failed:
            peer.has_failed = False
            peer.settled_at = now + SETTLE_SECONDS
            peer.retry_at = now + RETRY_SECONDS
        return True

    def reset_waits(self, now: float) -> None:
        """Restarts the waits for replies, after this process was paused."""
        for peer in self.peers.values():
            if peer.unanswered:
                peer.asked_at = now

    def detect_failures(self, now: float) -> bool:
        """Marks VMs that do not reply; returns True if there are new ones."""
        has_new = False
        for peer in self.peers.values():
            if peer.unanswered < 2 or now < peer.asked_at + REPLY_SECONDS:
                continue
            if not peer.has_failed:
                peer.has_failed = has_new = True
                peer.retry_at = now + self._find_retry_seconds(now)
        return has_new

    def _find_retry_seconds(self, now: float) -> float:
        """Returns after which time a skipped VM is asked again."""
        if self.is_starting(now):
            return START_RETRY_SECONDS
        return RETRY_SECONDS

    def choose(self, now: float) -> str | None:
        """Returns the address of the coordinator, or None if none replies.

        The one that was chosen last stays until it fails, or until a preferred
        one has settled.
        """
        chosen = self._find_preferred(now)
        if chosen != self._chosen:
            self._chosen = chosen
            self._chosen_at = now
        return chosen

    def _find_preferred(self, now: float) -> str | None:
        """Returns the address that `choose` returns."""
        has_failures = any(
            p.has_failed or p.is_leaving for p in self.peers.values()
        )
        has_current = self._is_usable(self._chosen)
        unconfirmed: str | None = None
        for address in self.ranking:
            if has_current and address == self._chosen:
                return address
            if not self._is_usable(address):
                continue
            peer = self.peers.get(address)
            if peer is None:
                return address
            if has_current and not self._is_settled(peer, now):
                continue
            if not has_failures or (peer.replied_at > now - CONFIRMED_SECONDS):
                return address
            unconfirmed = unconfirmed or address
        if unconfirmed is None and self._own in self.ranking:
            return self._own
        return unconfirmed

    def _is_usable(self, address: str | None) -> bool:
        """Returns True if a VM is in the ranking and is not skipped."""
        if address == self._own:
            return address in self.ranking and not self.is_leaving
        peer = self.peers.get(address or "")
        return peer is not None and not (peer.has_failed or peer.is_leaving)

    def _is_settled(self, peer: Peer, now: float) -> bool:
        """Returns True if a VM may replace the current coordinator."""
        return (
            now >= peer.settled_at
            or now < self._chosen_at + CHOICE_SECONDS
            or self.is_starting(now)
            or (
                self.fraction < FEW_SHARES_FRACTION
                and now >= self._chosen_at + GATHERING_SECONDS
            )
        )

    def list_due_probes(self, now: float) -> list[str]:
        """Returns the VMs to which an empty message is due.

        These are VMs preferred to the current coordinator that are skipped or
        settling, and VMs that left one message unanswered for a while.
        """
        due = []
        current = self.choose(now)
        is_preferred = True
        for address in self.ranking:
            is_preferred = is_preferred and address != current
            peer = self.peers.get(address)
            if peer is None:
                continue
            if peer.has_failed or peer.is_leaving or peer.settled_at > now:
                if is_preferred and now >= peer.retry_at:
                    peer.retry_at = now + self._find_retry_seconds(now)
                    due.append(address)
            elif peer.unanswered == 1 and now >= (
                peer.asked_at + RESEND_SECONDS
            ):
                due.append(address)
        return due

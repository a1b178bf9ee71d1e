"""Limits the requests of client accounts to their quotas, over all VMs.

The decisions are those of `usage_node`. This module passes its datagrams, lets
requests wait, and logs. The port is opened once an account has a quota.
"""

import asyncio
from collections.abc import Callable
import contextlib
import random
import time
from typing import Any, Final

from wigeonspool.core import cluster_state
from wigeonspool.core import usage_limits
from wigeonspool.model import addresses
from wigeonspool.model import fleet
from wigeonspool.model import outcomes
from wigeonspool.model import vm_settings
from wigeonspool.vm import structured_log
from wigeonspool.vm import usage_messages
from wigeonspool.vm import usage_node

OPEN_RETRY_SECONDS: Final = 1.0
# The use of quotas is logged this often, a line for each account.
LOG_SECONDS: Final = 2.0

log = structured_log.get_logger("quotas")


def read_clock() -> float:
    """Returns a time in seconds that counts on while the machine is suspended.

    The clock of the event loop stands still then.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _Protocol(asyncio.DatagramProtocol):
    """Passes datagrams to a limiter."""

    def __init__(self, handle: Callable[[bytes, str], None]) -> None:
        """Creates the protocol.

        Args:
            handle: Called with each datagram and the address of its sender.
        """
        self._handle = handle

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Passes a datagram on."""
        self._handle(data, f"{addr[0]}:{addr[1]}")


class UsageToken:
    """The token of a request.

    Attributes:
        expires_at: Time from which the request needs another token.
    """

    def __init__(
        self,
        limiter: "UsageLimiter",
        account: fleet.ClientAccount,
        expires_at: float,
    ) -> None:
        """Creates the token of a request that was not sent yet."""
        self.expires_at = expires_at
        self._limiter = limiter
        self._account = account

    async def refresh(self) -> outcomes.Failure | None:
        """Replaces an expired token, before its request is sent.

        Requests that waited for a target would otherwise be sent in a later
        window than the one in which their tokens count.

        Returns:
            Why there is no other token, or None.
        """
        if self.expires_at > read_clock():
            return None
        acquired = await self._limiter.acquire(self._account)
        if isinstance(acquired, outcomes.Failure):
            return acquired
        self.expires_at = acquired
        return None

    def give_back(self) -> None:
        """Returns the token, since the request provably did not run."""
        self._limiter.give_back(self._account.name, self.expires_at)


class UsageLimiter:
    """Grants and requests tokens for the requests of accounts with a quota.

    Attributes:
        node: State of this VM; None until an account has a quota.
        unreadable: Datagrams that could not be decoded.
        received_bytes: Size of all datagrams that arrived.
        sent_bytes: Size of all datagrams that were sent.
    """

    def __init__(
        self,
        settings: vm_settings.VmSettings,
        entry: fleet.VmEntry,
        cluster: cluster_state.ClusterState,
        find_registered_until: Callable[[], float],
        find_lease: Callable[[], int],
        find_revision: Callable[[fleet.VmEntry], int],
    ) -> None:
        """Creates a limiter that has no port yet.

        Args:
            settings: Settings of the VM.
            entry: Entry of the VM.
            cluster: Cluster state, with the accounts and the registered VMs.
            find_registered_until: Returns the time until which the store keeps
                the entry of the VM, loop clock.
            find_lease: Returns the lease of the VM, or 0.
            find_revision: Returns the store revision of a registration.
        """
        self.node: usage_node.UsageNode | None = None
        self.unreadable = 0
        self.received_bytes = 0
        self.sent_bytes = 0
        self._zones = settings.regions
        self._bounds = build_bounds(settings.bounds)
        self._entry = entry
        self._cluster = cluster
        self._find_registered_until = find_registered_until
        self._find_lease = find_lease
        self._find_revision = find_revision
        self._first_lease = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._configuration: fleet.Configuration | None = None
        self._quotas: dict[str, usage_limits.Quota] = {}
        self._vm_changes = -1
        self._was_registered = False
        # Until when all VMs know the share held last. A VM that registers again
        # before that displaces no other holder.
        self._held_until = float("-inf")
        self._is_flushing = False
        self._open_at = float("-inf")
        self._loop = asyncio.get_running_loop()
        self._logged_at = self._loop.time()
        self._logged: dict[str, tuple[int, ...]] = {}
        self._logged_coordinator = ""
        self._logged_base = False

    def set_first_lease(self, lease: int) -> None:
        """Sets the lease of the entry of this VM that its start found, or 0."""
        self._first_lease = lease

    def apply_bounds(self, bounds: vm_settings.DeploymentLimits) -> None:
        """Sets how far quotas may be exceeded."""
        self._bounds = build_bounds(bounds)
        if self.node is not None:
            self.node.coordinator.set_bounds(self._bounds)

    async def acquire(
        self, account: fleet.ClientAccount
    ) -> float | outcomes.Failure:
        """Returns when the token of a request expires, or why it gets none.

        Args:
            account: Account of the request, with a quota.
        """
        self._apply_configuration()
        node = self.node
        if node is None:
            return self._build_refusal(usage_node.MIN_RETRY_SECONDS)
        while True:
            if account.name not in self._quotas:
                return read_clock() + usage_limits.TOKEN_SECONDS
            future: asyncio.Future[usage_node.Decision] = (
                self._loop.create_future()
            )
            waiter = usage_node.Waiter(account.name, _build_settle(future))
            expires_at = node.acquire(waiter, read_clock())
            self._flush_soon()
            if expires_at is not None:
                return expires_at
            try:
                decision = await future
            except asyncio.CancelledError:
                self._cancel(node, waiter, future)
                raise
            if decision.expires_at is None:
                return self._build_refusal(decision.retry_seconds)
            if decision.expires_at > read_clock():
                return decision.expires_at
            # This process was paused until the token had expired.

    def _build_refusal(self, retry_seconds: float) -> outcomes.Failure:
        """Returns the failure of a request without a token."""
        return outcomes.Failure(
            outcomes.Outcome.NOT_RUN,
            outcomes.Reason.QUOTA_EXCEEDED,
            self._loop.time() + retry_seconds,
        )

    def _cancel(
        self,
        node: usage_node.UsageNode,
        waiter: usage_node.Waiter,
        future: asyncio.Future[usage_node.Decision],
    ) -> None:
        """Ends the wait of a request; its token is used for another one."""
        if future.done() and not future.cancelled():
            expires_at = future.result().expires_at
            if expires_at is not None:
                node.give_back(waiter.account, expires_at, read_clock())
            return
        node.cancel(waiter)

    def give_back(self, account: str, expires_at: float) -> None:
        """Returns the token of a request that provably did not run."""
        if self.node is not None:
            self.node.give_back(account, expires_at, read_clock())

    def _flush_soon(self) -> None:
        """Requests tokens after the requests that arrive together."""
        if not self._is_flushing:
            self._is_flushing = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        """Requests tokens for requests that wait."""
        self._is_flushing = False
        if self.node is not None:
            self.node.flush(read_clock())

    async def run_step(self) -> None:
        """Runs the periodic work once; waits until it is due again."""
        self._apply_configuration()
        node = self.node
        if node is None or not self._quotas:
            await asyncio.sleep(usage_node.TICK_SECONDS * 2)
            return
        if self._transport is None and self._loop.time() >= self._open_at:
            self._open_at = self._loop.time() + OPEN_RETRY_SECONDS
            await self._open()
        self._apply_members(node)
        node.tick(read_clock())
        self._log_use(node)
        await asyncio.sleep(usage_node.TICK_SECONDS)

    def _apply_configuration(self) -> None:
        """Applies the quotas of a new configuration."""
        configuration = self._cluster.configuration
        if configuration is None or configuration is self._configuration:
            return
        self._configuration = configuration
        self._quotas = {
            account.name: usage_limits.Quota(account.rate, account.burst)
            for account in configuration.accounts.values()
            if account.rate > 0.0
        }
        if self.node is None and self._quotas:
            self.node = usage_node.UsageNode(
                self._entry,
                random.SystemRandom().randrange(1, 2**32),
                self._zones,
                self._bounds,
                read_clock(),
                self._send,
                random.random,
            )
        if self.node is not None:
            self.node.set_quotas(self._quotas, read_clock())

    async def _open(self) -> None:
        """Opens the port; without it, this VM reaches no other one."""
        address = usage_node.find_address(self._entry)
        assert address is not None
        try:
            transport, _ = await self._loop.create_datagram_endpoint(
                lambda: _Protocol(self._receive),
                local_addr=addresses.split_address(address),
            )
        except OSError as error:
            log.error("port cannot be opened", port=address, reason=str(error))
            return
        self._transport = transport

    def begin_drain(self) -> None:
        """Lets other VMs choose another coordinator, since this one stops."""
        if self.node is not None:
            self.node.is_leaving = True

    def close(self) -> None:
        """Closes the port."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def _apply_members(self, node: usage_node.UsageNode) -> None:
        """Applies changes of the registration and of the list of VMs.

        This VM holds no share until its list shows the entry under its current
        lease: an older entry may be one that another VM has replaced.
        """
        now = read_clock()
        left_seconds = self._find_registered_until() - self._loop.time()
        node.set_registered_until(now + left_seconds, now)
        if node.role.held_from <= now and left_seconds > 0.0:
            self._held_until = now + left_seconds
        lease = self._find_lease()
        is_registered = left_seconds > 0.0 and (
            self._cluster.leases.get(self._entry.name, 0) == lease != 0
        )
        changes = self._cluster.vm_changes
        if (changes, is_registered) == (self._vm_changes, self._was_registered):
            return
        self._vm_changes, self._was_registered = changes, is_registered
        is_known = lease == self._first_lease or now < self._held_until
        vms = list(self._cluster.vms.values())
        revisions = {
            vm.name: self._find_revision(vm)
            for vm in vms
            if vm.zone == self._entry.zone
        }
        node.set_members(vms, revisions, is_known, now)
        if not is_registered:
            node.role.clear()

    def _send(self, address: str, message: usage_messages.Message) -> None:
        """Sends a message; one that cannot be sent counts as lost."""
        if self._transport is None or self._transport.is_closing():
            return
        data = usage_messages.encode(message)
        self.sent_bytes += len(data)
        with contextlib.suppress(OSError):
            self._transport.sendto(data, addresses.split_address(address))

    def _receive(self, data: bytes, address: str) -> None:
        """Handles a datagram."""
        self.received_bytes += len(data)
        message = usage_messages.decode(data)
        if message is None or self.node is None:
            self.unreadable += 1
            return
        self.node.receive(address, message, read_clock())

    def _log_use(self, node: usage_node.UsageNode) -> None:
        """Logs at intervals who decides, and the refused requests."""
        if self._loop.time() < self._logged_at + LOG_SECONDS:
            return
        self._logged_at = self._loop.time()
        now = read_clock()
        coordinator = node.find_coordinator(now) or ""
        if coordinator != self._logged_coordinator:
            self._logged_coordinator = coordinator
            log.info(
                "coordinator changed",
                coordinator=coordinator,
                fraction=round(node.choice.fraction, 3),
            )
        uses_base = node.uses_base_share(now)
        if uses_base != self._logged_base:
            self._logged_base = uses_base
            log.info("base shares used", active=uses_base)
        for name, counts in node.list_counts().items():
            refused = counts.refused
            granted = sum(counts.granted.values())
            current = (granted, *refused.values())
            logged = self._logged.get(name, (0,) * len(current))
            self._logged[name] = current
            new = [n - m for n, m in zip(current, logged, strict=True)]
            if any(new[1:]) and name in self._quotas:
                log.info(
                    "requests refused by a quota",
                    account=name,
                    rate=self._quotas[name].rate,
                    coordinator=coordinator,
                    granted=new[0],
                    exceeded=new[1],
                    no_shares=new[2],
                    no_reply=new[3],
                )


def _build_settle(
    future: "asyncio.Future[usage_node.Decision]",
) -> Callable[[usage_node.Decision], None]:
    """Returns a function that sets the result of a future."""

    def settle(decision: usage_node.Decision) -> None:
        if not future.done():
            future.set_result(decision)

    return settle


def build_bounds(limits: vm_settings.DeploymentLimits) -> usage_limits.Bounds:
    """Returns how far quotas may be exceeded."""
    return usage_limits.Bounds(
        limits.usage_window_seconds, limits.usage_overrun, limits.usage_slack
    )

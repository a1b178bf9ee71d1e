"""Collects the states of all VMs from their agents and merges them."""

import asyncio
import collections
import dataclasses
from typing import Any, Final

from wigeonspool.model import errors
from wigeonspool.model import messages
from wigeonspool.model import probe_messages
from wigeonspool.model import status_messages
from wigeonspool.operator import sessions

SERVING: Final = "serving"


@dataclasses.dataclass(frozen=True, slots=True)
class VmState:
    """State of one VM of the fleet.

    Attributes:
        heartbeat: Last heartbeat of its agent.
        gateways: Status of those of its gateways that replied in time.
        missing: Names of the processes of the VM that did not reply.
        measured_pools: Pools whose probe budget the VM may use.
        store_calls: Calls to the store since its agent started.
        spent: Use of probe budgets since its agent started.
    """

    heartbeat: messages.Heartbeat
    gateways: tuple[status_messages.GatewayStatus, ...]
    missing: tuple[str, ...]
    measured_pools: tuple[str, ...] = ()
    store_calls: int = 0
    spent: tuple[probe_messages.Spending, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TargetState:
    """State of one target, merged from all gateways.

    Attributes:
        address: host:port.
        zone: Availability zone.
        slots: Requests that the target runs concurrently.
        in_flight: Attempts that all gateways have in flight at the target.
        states: Number of gateways by the state in which they see the target.
        reasons: Distinct reasons that gateways give for these states.
    """

    address: str
    zone: str
    slots: int
    in_flight: int
    states: dict[str, int]
    reasons: tuple[str, ...]

    @property
    def state(self) -> str:
        """The state in which most gateways see the target.

        Of two states with as many gateways it is the first in the alphabet.
        """
        return max(sorted(self.states), key=lambda name: self.states[name])


@dataclasses.dataclass(frozen=True, slots=True)
class PoolState:
    """State of one pool, merged from all gateways.

    Attributes:
        name: Name of the pool.
        queued: Queued requests at all gateways.
        targets: Targets of the pool.
        measured_by: VMs that may use the probe budget of the pool.
        spent: Use of the probe budget by each VM since its agent started.
    """

    name: str
    queued: int
    targets: tuple[TargetState, ...]
    measured_by: tuple[str, ...]
    spent: dict[str, probe_messages.Spending]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetState:
    """State of the fleet.

    Attributes:
        generation: Newest generation that is active on any VM.
        vms: All VMs.
        pools: All pools, or only the requested one.
    """

    generation: int
    vms: tuple[VmState, ...]
    pools: tuple[PoolState, ...]

    def count_active_vms(self) -> int:
        """Returns the number of VMs on which the generation is active."""
        return sum(
            vm.heartbeat.generation >= self.generation for vm in self.vms
        )


async def read_heartbeats(agent: str) -> tuple[messages.Heartbeat, ...]:
    """Returns the last heartbeat of each VM as one agent has it, sorted by VM.

    Args:
        agent: host:port of the agent.

    Raises:
        AgentUnavailableError: If the agent did not reply, or not with the
            members of the fleet.
    """
    reply = await sessions.query_agent(agent, status_messages.StatusRequest())
    if not isinstance(reply, messages.Members):
        raise errors.AgentUnavailableError(agent, type(reply).__name__)
    return tuple(sorted(reply.heartbeats, key=lambda h: h.vm))


async def _read_vm(heartbeat: messages.Heartbeat, pool: str) -> VmState:
    """Returns the state of one VM.

    If its agent does not reply, the state lists the agent as missing.
    """
    request = status_messages.VmStatusRequest(pool)
    try:
        reply = await sessions.query_agent(heartbeat.address, request)
    except errors.AgentUnavailableError:
        return VmState(heartbeat, (), (f"{heartbeat.vm}-agent",))
    if not isinstance(reply, status_messages.VmStatusReply):
        return VmState(heartbeat, (), (f"{heartbeat.vm}-agent",))
    return VmState(
        heartbeat,
        reply.gateways,
        reply.missing,
        reply.measured_pools,
        reply.store_calls,
        reply.spent,
    )


async def read_fleet(agent: str, pool: str = "") -> FleetState:
    """Returns the state of the fleet; it names processes that did not reply.

    Args:
        agent: host:port of any agent.
        pool: Only this pool, or "" for all.

    Raises:
        AgentUnavailableError: If the agent at this address did not reply.
    """
    heartbeats = await read_heartbeats(agent)
    vms = await asyncio.gather(*(_read_vm(h, pool) for h in heartbeats))
    generation = max((h.generation for h in heartbeats), default=0)
    return FleetState(generation, tuple(vms), merge_pools(vms))


def merge_pools(vms: list[VmState]) -> tuple[PoolState, ...]:
    """Returns the pools, each merged from its states at all gateways."""
    statuses_by_pool: dict[str, list[status_messages.PoolStatus]] = (
        collections.defaultdict(list)
    )
    for vm in vms:
        for gateway in vm.gateways:
            for pool in gateway.pools:
                statuses_by_pool[pool.name].append(pool)
    return tuple(
        _merge_pool(name, statuses_by_pool[name], vms)
        for name in sorted(statuses_by_pool)
    )


def _merge_pool(
    name: str,
    pool_statuses: list[status_messages.PoolStatus],
    vms: list[VmState],
) -> PoolState:
    """Merges the states of one pool and adds the use of its probe budget."""
    statuses_by_target: dict[str, list[status_messages.TargetStatus]]
    statuses_by_target = collections.defaultdict(list)
    for pool_status in pool_statuses:
        for target in pool_status.targets:
            statuses_by_target[target.address].append(target)
    return PoolState(
        name,
        sum(pool_status.queued for pool_status in pool_statuses),
        tuple(
            _merge_target(statuses_by_target[address])
            for address in sorted(statuses_by_target)
        ),
        tuple(vm.heartbeat.vm for vm in vms if name in vm.measured_pools),
        {
            vm.heartbeat.vm: use
            for vm in vms
            for use in vm.spent
            if use.pool == name
        },
    )


def _merge_target(
    target_statuses: list[status_messages.TargetStatus],
) -> TargetState:
    """Merges the states of one target at all gateways."""
    states = collections.Counter(status.state for status in target_statuses)
    reasons = dict.fromkeys(
        status.reason for status in target_statuses if status.reason
    )
    return TargetState(
        target_statuses[0].address,
        target_statuses[0].zone,
        target_statuses[0].slots,
        sum(status.in_flight for status in target_statuses),
        dict(states),
        tuple(reasons),
    )


def describe_fleet(fleet: FleetState) -> dict[str, Any]:
    """Returns the state of the fleet as a document for JSON."""
    return dataclasses.asdict(fleet) | {
        "in_force": fleet.count_active_vms(),
        "of": len(fleet.vms),
    }


def format_fleet(fleet: FleetState, show_all: bool = False) -> list[str]:
    """Returns the state of the fleet as lines of text.

    Args:
        fleet: State of the fleet.
        show_all: True to list also the targets that serve at all gateways.
    """
    lines = [
        f"generation {fleet.generation} in force on {fleet.count_active_vms()}"
        f" of {len(fleet.vms)} VMs;"
        f" {sum(vm.store_calls for vm in fleet.vms)} calls to the store"
    ]
    for vm in fleet.vms:
        lines += _format_vm(vm)
    for pool in fleet.pools:
        lines += _format_pool(pool, show_all)
    return lines


def _format_vm(vm: VmState) -> list[str]:
    """Returns the state of a VM as lines of text."""
    running_requests = {
        gateway.name: gateway.running for gateway in vm.gateways
    }
    heartbeat = vm.heartbeat
    lines = [
        f"VM {heartbeat.vm}  region {heartbeat.region}"
        f"  agent {heartbeat.address}  generation {heartbeat.generation}"
    ]
    for gateway in heartbeat.gateways:
        state = "draining" if gateway.draining else SERVING
        lines.append(
            f"  gateway {gateway.name}  {gateway.address}  {state}"
            f"  running {running_requests.get(gateway.name, '?')}"
        )
    lines += [f"  {name} did not answer" for name in vm.missing]
    return lines


def _format_pool(pool: PoolState, show_all: bool) -> list[str]:
    """Returns the state of a pool as lines of text."""
    counts = collections.Counter(target.state for target in pool.targets)
    states = ", ".join(f"{counts[name]} {name}" for name in sorted(counts))
    in_flight = sum(target.in_flight for target in pool.targets)
    slots = sum(target.slots for target in pool.targets)
    lines = [
        f"pool {pool.name}  targets: {states or 'none'}"
        f"  in flight {in_flight} of {slots} slots  queued {pool.queued}"
    ]
    if pool.measured_by:
        lines.append(
            f"  measuring budget is held by {', '.join(pool.measured_by)}"
        )
    lines += [
        f"  measured by {vm} since its start: {use.requests} requests,"
        f" {use.bytes} bytes; budget {use.requests_per_second:g}"
        f" requests/s, {use.bytes_per_second:g} bytes/s"
        for vm, use in sorted(pool.spent.items())
    ]
    for target in pool.targets:
        if show_all or set(target.states) != {SERVING}:
            lines.append(_format_target(target))
    return lines


def _format_target(target: TargetState) -> str:
    """Returns the state of a target as a line of text."""
    states = ", ".join(
        f"{name} at {target.states[name]}" for name in sorted(target.states)
    )
    reasons = "; ".join(target.reasons)
    line = (
        f"  target {target.address}  {target.zone}  {states} gateways"
        f"  in flight {target.in_flight} of {target.slots}"
    )
    return f"{line}  ({reasons})" if reasons else line

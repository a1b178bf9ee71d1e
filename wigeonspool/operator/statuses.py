"""The state of the fleet, collected from all agents and put together."""

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
    """One VM of the fleet.

    Attributes:
        heartbeat: What its agent told last.
        gateways: What its gateways told, or () if they did not.
        missing: Processes of the VM that did not answer.
        measured_pools: Pools whose measuring budget it may spend.
        store_calls: Calls to the store since its agent started.
        spent: What it spent of measuring budgets.
    """

    heartbeat: messages.Heartbeat
    gateways: tuple[status_messages.GatewayStatus, ...]
    missing: tuple[str, ...]
    measured_pools: tuple[str, ...] = ()
    store_calls: int = 0
    spent: tuple[probe_messages.Spending, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TargetState:
    """One target as the whole fleet sees it.

    Attributes:
        address: host:port.
        zone: Availability zone.
        slots: Requests that it runs at once.
        in_flight: Attempts of all gateways that run there.
        states: Number of gateways by state.
        reasons: Distinct reasons of the states.
    """

    address: str
    zone: str
    slots: int
    in_flight: int
    states: dict[str, int]
    reasons: tuple[str, ...]

    @property
    def state(self) -> str:
        """The state that most gateways see it in."""
        return max(sorted(self.states), key=lambda name: self.states[name])


@dataclasses.dataclass(frozen=True, slots=True)
class PoolState:
    """One pool as the whole fleet sees it.

    Attributes:
        name: Name of the pool.
        queued: Requests that wait at all gateways.
        targets: Its targets.
        measured_by: VMs that may spend its measuring budget.
        spent: What each VM spent of it since its agent started.
    """

    name: str
    queued: int
    targets: tuple[TargetState, ...]
    measured_by: tuple[str, ...]
    spent: dict[str, probe_messages.Spending]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetState:
    """The whole fleet.

    Attributes:
        generation: Newest generation that any VM has in force.
        vms: Its VMs.
        pools: Its pools.
    """

    generation: int
    vms: tuple[VmState, ...]
    pools: tuple[PoolState, ...]

    def count_holders(self) -> int:
        """Returns the number of VMs that have the generation in force."""
        return sum(
            vm.heartbeat.generation >= self.generation for vm in self.vms
        )


async def read_heartbeats(agent: str) -> tuple[messages.Heartbeat, ...]:
    """Returns the fleet as one agent knows it, by VM.

    Args:
        agent: host:port of the agent.

    Raises:
        AgentUnavailableError: If it did not answer with the members.
    """
    answer = await sessions.ask_agent(agent, status_messages.StatusRequest())
    if not isinstance(answer, messages.Members):
        raise errors.AgentUnavailableError(agent, type(answer).__name__)
    return tuple(sorted(answer.heartbeats, key=lambda h: h.vm))


async def _read_vm(heartbeat: messages.Heartbeat, pool: str) -> VmState:
    """Returns the state of one VM; an agent that is silent is missing."""
    question = status_messages.VmStatusRequest(pool)
    try:
        answer = await sessions.ask_agent(heartbeat.address, question)
    except errors.AgentUnavailableError:
        return VmState(heartbeat, (), (f"{heartbeat.vm}-agent",))
    if not isinstance(answer, status_messages.VmStatusReply):
        return VmState(heartbeat, (), (f"{heartbeat.vm}-agent",))
    return VmState(
        heartbeat,
        answer.gateways,
        answer.missing,
        answer.measured_pools,
        answer.store_calls,
        answer.spent,
    )


async def read_fleet(agent: str, pool: str = "") -> FleetState:
    """Returns the state of the fleet; VMs that do not answer are marked.

    Args:
        agent: host:port of any agent.
        pool: Only this pool, or "" for all.

    Raises:
        AgentUnavailableError: If that agent did not answer.
    """
    heartbeats = await read_heartbeats(agent)
    vms = await asyncio.gather(*(_read_vm(h, pool) for h in heartbeats))
    generation = max((h.generation for h in heartbeats), default=0)
    return FleetState(generation, tuple(vms), merge_pools(vms))


def merge_pools(vms: list[VmState]) -> tuple[PoolState, ...]:
    """Returns the pools as all gateways together see them."""
    views: dict[str, list[status_messages.PoolStatus]] = (
        collections.defaultdict(list)
    )
    for vm in vms:
        for gateway in vm.gateways:
            for pool in gateway.pools:
                views[pool.name].append(pool)
    return tuple(_merge_pool(name, views[name], vms) for name in sorted(views))


def _merge_pool(
    name: str, views: list[status_messages.PoolStatus], vms: list[VmState]
) -> PoolState:
    """Returns one pool as some gateways see it, and what it cost VMs."""
    targets: dict[str, list[status_messages.TargetStatus]]
    targets = collections.defaultdict(list)
    for view in views:
        for target in view.targets:
            targets[target.address].append(target)
    return PoolState(
        name,
        sum(view.queued for view in views),
        tuple(_merge_target(targets[address]) for address in sorted(targets)),
        tuple(vm.heartbeat.vm for vm in vms if name in vm.measured_pools),
        {
            vm.heartbeat.vm: spending
            for vm in vms
            for spending in vm.spent
            if spending.pool == name
        },
    )


def _merge_target(views: list[status_messages.TargetStatus]) -> TargetState:
    """Returns one target as some gateways see it."""
    states = collections.Counter(view.state for view in views)
    reasons = dict.fromkeys(view.reason for view in views if view.reason)
    return TargetState(
        views[0].address,
        views[0].zone,
        views[0].slots,
        sum(view.in_flight for view in views),
        dict(states),
        tuple(reasons),
    )


def describe_fleet(fleet: FleetState) -> dict[str, Any]:
    """Returns the state of the fleet as a plain document."""
    return dataclasses.asdict(fleet) | {
        "in_force": fleet.count_holders(),
        "of": len(fleet.vms),
    }


def format_fleet(fleet: FleetState, show_all: bool = False) -> list[str]:
    """Returns the lines that show a fleet to an operator.

    Args:
        fleet: The fleet.
        show_all: True to list targets that serve everywhere too.
    """
    lines = [
        f"generation {fleet.generation} in force on {fleet.count_holders()}"
        f" of {len(fleet.vms)} VMs;"
        f" {sum(vm.store_calls for vm in fleet.vms)} calls to the store"
    ]
    for vm in fleet.vms:
        lines += _format_vm(vm)
    for pool in fleet.pools:
        lines += _format_pool(pool, show_all)
    return lines


def _format_vm(vm: VmState) -> list[str]:
    """Returns the lines that show a VM."""
    running = {gateway.name: gateway.running for gateway in vm.gateways}
    heartbeat = vm.heartbeat
    lines = [
        f"VM {heartbeat.vm}  region {heartbeat.region}"
        f"  agent {heartbeat.address}  generation {heartbeat.generation}"
    ]
    for gateway in heartbeat.gateways:
        state = "draining" if gateway.draining else SERVING
        lines.append(
            f"  gateway {gateway.name}  {gateway.address}  {state}"
            f"  running {running.get(gateway.name, '?')}"
        )
    lines += [f"  {name} did not answer" for name in vm.missing]
    return lines


def _format_pool(pool: PoolState, show_all: bool) -> list[str]:
    """Returns the lines that show a pool."""
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
        f"  measured by {vm} since its start: {spent.requests} requests,"
        f" {spent.bytes} bytes; budget {spent.requests_per_second:g}"
        f" requests/s, {spent.bytes_per_second:g} bytes/s"
        for vm, spent in sorted(pool.spent.items())
    ]
    for target in pool.targets:
        if show_all or set(target.states) != {SERVING}:
            lines.append(_format_target(target))
    return lines


def _format_target(target: TargetState) -> str:
    """Returns the line that shows a target."""
    states = ", ".join(
        f"{name} at {target.states[name]}" for name in sorted(target.states)
    )
    reasons = "; ".join(target.reasons)
    line = (
        f"  target {target.address}  {target.zone}  {states} gateways"
        f"  in flight {target.in_flight} of {target.slots}"
    )
    return f"{line}  ({reasons})" if reasons else line

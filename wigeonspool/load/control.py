"""Measures the cost of the control plane per node, by size of the fleet.

The agents run on one event loop, each with a loopback address of its own; the
store and the VM list are stand-ins that are already running. The processor time
of the event loop divided by the number of agents is the cost of one node.
"""

import asyncio
import dataclasses
import os
import statistics
import time
from typing import Any, Final
import uuid

import aiohttp

from wigeonspool.agent import service as agents
from wigeonspool.load import process_memory
from wigeonspool.load import tables
from wigeonspool.model import changes
from wigeonspool.model import entities
from wigeonspool.model import options
from wigeonspool.store import change_log
from wigeonspool.store import store

AGENT_PORT: Final = 7000
METRICS_PORT: Final = 7001
ZONES_PER_REGION: Final = 3
SETTLE_SECONDS: Final = 6.0
ACTIVATION_TIMEOUT_SECONDS: Final = 30.0
POLL_SECONDS: Final = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class BenchOptions:
    """Addresses of the stand-ins, and the size of the fleet and its tables.

    Attributes:
        store_url: Base URL of the store.
        vm_list_url: Base URL of the VM list.
        regions: Number of regions.
        services: Pools in the tables.
        targets: Targets of all pools together.
    """

    store_url: str
    vm_list_url: str
    regions: int
    services: int
    targets: int


@dataclasses.dataclass(frozen=True, slots=True)
class CounterSnapshot:
    """Counters of a fleet at one time.

    Attributes:
        at: Monotonic time, in seconds.
        processor_seconds: Processor time of this process.
        sent: Bytes sent by each agent.
        received: Bytes received by each agent.
        store_calls: Calls to the store by all agents.
        vm_list_calls: Reads of the VM list by all agents.
    """

    at: float
    processor_seconds: float
    sent: list[int]
    received: list[int]
    store_calls: int
    vm_list_calls: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Cost of the control plane between two snapshots, per second.

    Attributes:
        agents: Size of the fleet.
        processor_percent: Processor time per node, in percent of one core.
        received_median: Bytes a second received by the median node.
        sent_median: Bytes a second sent by the median node.
        bytes_max: Bytes a second received and sent by the busiest node,
            which is a feeder.
        store_calls: Store calls a second by the whole fleet.
        vm_list_calls: VM list reads a second by the whole fleet.
    """

    agents: int
    processor_percent: float
    received_median: float
    sent_median: float
    bytes_max: float
    store_calls: float
    vm_list_calls: float


@dataclasses.dataclass(frozen=True, slots=True)
class SizeResult:
    """The result for one size of the fleet.

    Attributes:
        idle: Cost while nothing changes.
        changing: Cost while changes are applied.
        changes_per_second: Rate of these changes.
        activation_seconds: For each change, seconds from its application until
            the last node had activated it.
        memory_mib: MiB of private memory that each agent adds to this process.
    """

    idle: Cost
    changing: Cost
    changes_per_second: float
    activation_seconds: list[float]
    memory_mib: float


class Fleet:
    """Agents on this event loop that use stand-ins which are running."""

    def __init__(
        self, session: aiohttp.ClientSession, bench: BenchOptions, size: int
    ) -> None:
        """Creates a fleet whose agents are not started.

        Args:
            session: HTTP client for the stand-ins.
            bench: Addresses of the stand-ins and size of the fleet.
            size: Number of agents.
        """
        self._session = session
        self._bench = bench
        self._prefix = f"/control-{size}-{uuid.uuid4().hex[:6]}/"
        self.agents: list[agents.AgentService] = []
        self._vms = [self._build_vm_entry(number) for number in range(size)]
        client = store.StoreClient(session, bench.store_url, 5.0)
        self.log = change_log.ChangeLog(client, self._prefix)

    def _build_vm_entry(self, number: int) -> dict[str, Any]:
        """Returns the entry of a VM in the VM list."""
        region = number % self._bench.regions
        zone = number // self._bench.regions % ZONES_PER_REGION
        host = f"127.1.{number >> 8}.{number & 255}"
        return {
            "name": f"vm-{number}",
            "zone": f"zone-{region}-{zone}",
            "region": f"region-{region}",
            "address": f"{host}:{AGENT_PORT}",
            "role": "entry",
            "state": "live",
        }

    def _build_options(self, vm: dict[str, Any]) -> options.Options:
        """Returns the settings of a VM."""
        host = vm["address"].partition(":")[0]
        return options.Options.model_validate(
            {
                "vm": vm["name"],
                "zone": vm["zone"],
                "region": vm["region"],
                "token_keys": ["key-of-the-bench"],
                "store": {
                    "url": self._bench.store_url,
                    "prefix": self._prefix,
                },
                "vm_list": {"url": f"{self._bench.vm_list_url}/v1/vms"},
                "agent": {
                    "listen": vm["address"],
                    "metrics": f"{host}:{METRICS_PORT}",
                },
            }
        )

    async def _set_vm_states(self, state: str) -> None:
        """Sets the state of all VMs in the VM list, such as "gone"."""
        url = f"{self._bench.vm_list_url}/vms"
        for vm in self._vms:
            async with self._session.post(url, json=vm | {"state": state}):
                pass

    async def start(self) -> None:
        """Adds all VMs to the VM list and starts their agents."""
        await self._set_vm_states("live")
        for vm in self._vms:
            agent = agents.AgentService(self._build_options(vm))
            self.agents.append(agent)
            await agent.start()

    async def stop(self) -> None:
        """Stops all agents and removes their VMs from the VM list."""
        for agent in self.agents:
            await agent.stop()
        await self._set_vm_states("gone")

    async def wait_until_active(self, generation: int) -> float:
        """Waits until all agents have activated a generation or a newer one.

        Returns:
            The monotonic time at which they have, in seconds.

        Raises:
            TimeoutError: If that takes `ACTIVATION_TIMEOUT_SECONDS`.
        """
        async with asyncio.timeout(ACTIVATION_TIMEOUT_SECONDS):
            while any(a.generation < generation for a in self.agents):
                await asyncio.sleep(POLL_SECONDS)
        return time.monotonic()

    def read_counters(self) -> CounterSnapshot:
        """Returns the current counters."""
        byte_counts = [agent.count_bytes() for agent in self.agents]
        calls = [agent.count_platform_calls() for agent in self.agents]
        return CounterSnapshot(
            time.monotonic(),
            time.process_time(),
            [sent for sent, _ in byte_counts],
            [received for _, received in byte_counts],
            sum(to_store for to_store, _ in calls),
            sum(to_list for _, to_list in calls),
        )


def compute_cost(before: CounterSnapshot, after: CounterSnapshot) -> Cost:
    """Returns the cost between two snapshots."""
    elapsed = after.at - before.at
    size = len(after.sent)
    sent = [b - a for a, b in zip(before.sent, after.sent, strict=True)]
    received = [
        b - a for a, b in zip(before.received, after.received, strict=True)
    ]
    total = [a + b for a, b in zip(sent, received, strict=True)]
    processor = after.processor_seconds - before.processor_seconds
    return Cost(
        size,
        100 * processor / elapsed / size,
        statistics.median(received) / elapsed,
        statistics.median(sent) / elapsed,
        max(total) / elapsed,
        (after.store_calls - before.store_calls) / elapsed,
        (after.vm_list_calls - before.vm_list_calls) / elapsed,
    )


async def measure_fleet_size(
    bench: BenchOptions, size: int, seconds: float, rate: float
) -> SizeResult:
    """Measures the cost of the control plane for one size of the fleet.

    The first measurement is without changes, the second one with changes.

    Args:
        bench: Addresses of the stand-ins and size of the tables.
        size: Number of agents.
        seconds: Length of each of the two measurements.
        rate: Changes a second in the second measurement.
    """
    async with aiohttp.ClientSession() as session:
        fleet = Fleet(session, bench, size)
        private_mib = process_memory.read_process_memory(os.getpid()).private
        try:
            await fleet.start()
            desired = tables.build_tables(bench.services, bench.targets)
            generation = await tables.apply_tables(fleet.log, desired)
            await fleet.wait_until_active(generation)
            await asyncio.sleep(SETTLE_SECONDS)
            before = fleet.read_counters()
            await asyncio.sleep(seconds)
            idle = compute_cost(before, fleet.read_counters())
            before = fleet.read_counters()
            delays = await _apply_changes(fleet, desired, seconds, rate)
            changing = compute_cost(before, fleet.read_counters())
            private_mib = (
                process_memory.read_process_memory(os.getpid()).private
                - private_mib
            )
        finally:
            await fleet.stop()
    rate = len(delays) / seconds
    return SizeResult(idle, changing, rate, delays, private_mib / size)


async def _apply_changes(
    fleet: Fleet, tables: entities.Tables, seconds: float, rate: float
) -> list[float]:
    """Applies small changes at a given rate.

    Returns:
        For each change, the seconds until all agents had activated it.
    """
    current = await fleet.log.read_tables()
    names = list(current.pools)
    delays: list[float] = []
    start = time.monotonic()
    for number in range(round(seconds * rate)):
        await asyncio.sleep(max(0.0, start + number / rate - time.monotonic()))
        name = names[number % len(names)]
        pool = dataclasses.replace(current.pools[name], slots=5 + number)
        desired = dataclasses.replace(
            current, pools={**current.pools, name: pool}
        )
        change = changes.diff_tables(
            current, desired, uuid.uuid4().hex, "load", time.time()
        )
        started = time.monotonic()
        await fleet.log.propose(change)
        delays.append(
            await fleet.wait_until_active(change.generation) - started
        )
        current = changes.apply_change(current, change)
    await asyncio.sleep(max(0.0, start + seconds - time.monotonic()))
    return delays


def print_results(results: list[SizeResult]) -> None:
    """Prints a table by size of the fleet, then the growth between sizes."""
    print(
        f"{'agents':>7}{'cpu %':>8}{'in B/s':>9}{'out B/s':>9}{'most B/s':>10}"
        f"{'store/s':>9}{'list/s':>8}{'B/change':>10}{'ms/change':>11}"
        f"{'apply p50 s':>13}{'max s':>8}{'MiB':>7}"
    )
    for result in results:
        idle = result.idle
        changing = result.changing
        received = changing.received_median - idle.received_median
        processor = changing.processor_percent - idle.processor_percent
        rate = result.changes_per_second
        # One percent of a core is 10 ms of processor time a second.
        print(
            f"{idle.agents:>7}{idle.processor_percent:>8.3f}"
            f"{idle.received_median:>9.0f}{idle.sent_median:>9.0f}"
            f"{idle.bytes_max:>10.0f}{idle.store_calls:>9.2f}"
            f"{idle.vm_list_calls:>8.2f}{received / rate:>10.0f}"
            f"{10 * processor / rate:>11.3f}"
            f"{statistics.median(result.activation_seconds):>13.3f}"
            f"{max(result.activation_seconds):>8.3f}{result.memory_mib:>7.2f}"
        )
    _print_growth(results)


def _print_growth(results: list[SizeResult]) -> None:
    """Prints how each cost grows from one size of the fleet to the next."""
    for smaller, larger in zip(results, results[1:], strict=False):
        a = smaller.idle
        b = larger.idle
        print(
            f"{a.agents} to {b.agents} agents:"
            f" cpu x {b.processor_percent / a.processor_percent:.2f},"
            f" in x {b.received_median / a.received_median:.2f},"
            f" out x {b.sent_median / a.sent_median:.2f},"
            f" most x {b.bytes_max / a.bytes_max:.2f},"
            f" store calls x {b.store_calls / a.store_calls:.2f},"
            f" list reads x {b.vm_list_calls / a.vm_list_calls:.2f}"
        )


async def measure_memory(
    bench: BenchOptions, prefix: str, pid: int
) -> list[tuple[str, process_memory.ProcessMemory]]:
    """Returns the memory of a running agent before and after it gets tables.

    Args:
        bench: Address of the store, and the size of the tables to apply.
        prefix: Key prefix that the agent follows in the store.
        pid: Process id of the agent.
    """
    measured = [("no tables", process_memory.read_process_memory(pid))]
    async with aiohttp.ClientSession() as session:
        client = store.StoreClient(session, bench.store_url, 5.0)
        log = change_log.ChangeLog(client, prefix)
        desired = tables.build_tables(bench.services, bench.targets)
        await tables.apply_tables(log, desired)
        await asyncio.sleep(SETTLE_SECONDS)
        name = f"{bench.services} services, {bench.targets} targets"
        measured.append((name, process_memory.read_process_memory(pid)))
    return measured

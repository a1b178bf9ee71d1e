"""Measures what control costs a node, at several sizes of the fleet.

The agents run on one event loop, each with a loopback address of its own; the
store and the VM list are stand-ins that somebody else started. The processor
time of the loop over the number of agents is the share of one node.
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
IN_FORCE_SECONDS: Final = 30.0
POLL_SECONDS: Final = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Where the stand-ins are, and the shape of the fleet.

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
class Reading:
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
    """What control cost between two readings, per node and second.

    Attributes:
        agents: Size of the fleet.
        processor_percent: Percent of one core per node.
        received_median: Bytes a second into the median node.
        sent_median: Bytes a second out of the median node.
        bytes_most: Bytes a second in and out of the busiest node, a feeder.
        store_calls: Calls a second by the whole fleet.
        vm_list_calls: Reads a second by the whole fleet.
    """

    agents: int
    processor_percent: float
    received_median: float
    sent_median: float
    bytes_most: float
    store_calls: float
    vm_list_calls: float


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """The result at one size of the fleet.

    Attributes:
        idle: Cost while nothing changes.
        changing: Cost while changes are applied.
        changes_per_second: Rate of these changes.
        in_force: Seconds from each apply to in force on the last node.
        memory: MiB of private memory that each agent adds to this process.
    """

    idle: Cost
    changing: Cost
    changes_per_second: float
    in_force: list[float]
    memory: float


class Fleet:
    """Agents on this event loop, over a platform that others started."""

    def __init__(
        self, session: aiohttp.ClientSession, platform: Platform, size: int
    ) -> None:
        """Prepares a fleet.

        Args:
            session: HTTP client for the platform.
            platform: Where it is.
            size: Number of agents.
        """
        self._session = session
        self._platform = platform
        self._prefix = f"/control-{size}-{uuid.uuid4().hex[:6]}/"
        self.agents: list[agents.AgentService] = []
        self._vms = [self._describe(number) for number in range(size)]
        client = store.StoreClient(session, platform.store_url, 5.0)
        self.log = change_log.ChangeLog(client, self._prefix)

    def _describe(self, number: int) -> dict[str, Any]:
        """Returns the entry of a VM in the VM list."""
        region = number % self._platform.regions
        zone = number // self._platform.regions % ZONES_PER_REGION
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
                    "url": self._platform.store_url,
                    "prefix": self._prefix,
                },
                "vm_list": {"url": f"{self._platform.vm_list_url}/v1/vms"},
                "agent": {
                    "listen": vm["address"],
                    "metrics": f"{host}:{METRICS_PORT}",
                },
            }
        )

    async def _list(self, state: str) -> None:
        """Puts all VMs on the VM list, or takes them off."""
        url = f"{self._platform.vm_list_url}/vms"
        for vm in self._vms:
            async with self._session.post(url, json=vm | {"state": state}):
                pass

    async def start(self) -> None:
        """Starts all agents."""
        await self._list("live")
        for vm in self._vms:
            agent = agents.AgentService(self._build_options(vm))
            self.agents.append(agent)
            await agent.start()

    async def stop(self) -> None:
        """Stops all agents."""
        for agent in self.agents:
            await agent.stop()
        await self._list("gone")

    async def wait_in_force(self, generation: int) -> float:
        """Returns the time at which the last agent has a generation in force.

        Raises:
            TimeoutError: If it takes far too long.
        """
        async with asyncio.timeout(IN_FORCE_SECONDS):
            while any(a.generation < generation for a in self.agents):
                await asyncio.sleep(POLL_SECONDS)
        return time.monotonic()

    def read(self) -> Reading:
        """Returns the counters of now."""
        counted = [agent.count_bytes() for agent in self.agents]
        calls = [agent.count_calls() for agent in self.agents]
        return Reading(
            time.monotonic(),
            time.process_time(),
            [sent for sent, _ in counted],
            [received for _, received in counted],
            sum(to_store for to_store, _ in calls),
            sum(to_list for _, to_list in calls),
        )


def compare_readings(before: Reading, after: Reading) -> Cost:
    """Returns the cost between two readings."""
    spent = after.at - before.at
    size = len(after.sent)
    sent = [b - a for a, b in zip(before.sent, after.sent, strict=True)]
    received = [
        b - a for a, b in zip(before.received, after.received, strict=True)
    ]
    both = [a + b for a, b in zip(sent, received, strict=True)]
    processor = after.processor_seconds - before.processor_seconds
    return Cost(
        size,
        100 * processor / spent / size,
        statistics.median(received) / spent,
        statistics.median(sent) / spent,
        max(both) / spent,
        (after.store_calls - before.store_calls) / spent,
        (after.vm_list_calls - before.vm_list_calls) / spent,
    )


async def measure_size(
    platform: Platform, size: int, seconds: float, rate: float
) -> Row:
    """Returns what control costs at one size of the fleet.

    Args:
        platform: Where the stand-ins are.
        size: Number of agents.
        seconds: Length of each of the two measurements.
        rate: Changes a second in the second one.
    """
    async with aiohttp.ClientSession() as session:
        fleet = Fleet(session, platform, size)
        private = process_memory.read_footprint(os.getpid()).private
        try:
            await fleet.start()
            wanted = tables.build_tables(platform.services, platform.targets)
            generation = await tables.apply_tables(fleet.log, wanted)
            await fleet.wait_in_force(generation)
            await asyncio.sleep(SETTLE_SECONDS)
            before = fleet.read()
            await asyncio.sleep(seconds)
            idle = compare_readings(before, fleet.read())
            before = fleet.read()
            in_force = await _apply_often(fleet, wanted, seconds, rate)
            changing = compare_readings(before, fleet.read())
            private = (
                process_memory.read_footprint(os.getpid()).private - private
            )
        finally:
            await fleet.stop()
    rate = len(in_force) / seconds
    return Row(idle, changing, rate, in_force, private / size)


async def _apply_often(
    fleet: Fleet, tables: entities.Tables, seconds: float, rate: float
) -> list[float]:
    """Applies small changes; returns how long each took to be in force."""
    held = await fleet.log.read_tables()
    names = list(held.pools)
    spent: list[float] = []
    start = time.monotonic()
    for number in range(round(seconds * rate)):
        await asyncio.sleep(max(0.0, start + number / rate - time.monotonic()))
        name = names[number % len(names)]
        pool = dataclasses.replace(held.pools[name], slots=5 + number)
        wanted = dataclasses.replace(held, pools={**held.pools, name: pool})
        change = changes.diff_tables(
            held, wanted, uuid.uuid4().hex, "load", time.time()
        )
        began = time.monotonic()
        await fleet.log.propose(change)
        spent.append(await fleet.wait_in_force(change.generation) - began)
        held = changes.apply_change(held, change)
    await asyncio.sleep(max(0.0, start + seconds - time.monotonic()))
    return spent


def print_rows(rows: list[Row]) -> None:
    """Prints a table by size of the fleet, then the slopes."""
    print(
        f"{'agents':>7}{'cpu %':>8}{'in B/s':>9}{'out B/s':>9}{'most B/s':>10}"
        f"{'store/s':>9}{'list/s':>8}{'B/change':>10}{'ms/change':>11}"
        f"{'apply p50 s':>13}{'max s':>8}{'MiB':>7}"
    )
    for row in rows:
        idle = row.idle
        more = row.changing
        received = more.received_median - idle.received_median
        processor = more.processor_percent - idle.processor_percent
        rate = row.changes_per_second
        print(
            f"{idle.agents:>7}{idle.processor_percent:>8.3f}"
            f"{idle.received_median:>9.0f}{idle.sent_median:>9.0f}"
            f"{idle.bytes_most:>10.0f}{idle.store_calls:>9.2f}"
            f"{idle.vm_list_calls:>8.2f}{received / rate:>10.0f}"
            f"{10 * processor / rate:>11.3f}"
            f"{statistics.median(row.in_force):>13.3f}"
            f"{max(row.in_force):>8.3f}{row.memory:>7.2f}"
        )
    _print_slopes(rows)


def _print_slopes(rows: list[Row]) -> None:
    """Prints the growth of each figure from one size to the next."""
    for smaller, larger in zip(rows, rows[1:], strict=False):
        a = smaller.idle
        b = larger.idle
        print(
            f"{a.agents} to {b.agents} agents:"
            f" cpu x {b.processor_percent / a.processor_percent:.2f},"
            f" in x {b.received_median / a.received_median:.2f},"
            f" out x {b.sent_median / a.sent_median:.2f},"
            f" most x {b.bytes_most / a.bytes_most:.2f},"
            f" store calls x {b.store_calls / a.store_calls:.2f},"
            f" list reads x {b.vm_list_calls / a.vm_list_calls:.2f}"
        )


async def measure_memory(
    platform: Platform, prefix: str, pid: int
) -> list[tuple[str, process_memory.Footprint]]:
    """Returns the memory of an agent that somebody started, by state.

    Args:
        platform: Where its store is, and the tables to give it.
        prefix: Key prefix that it follows.
        pid: Its process id.
    """
    found = [("no tables", process_memory.read_footprint(pid))]
    async with aiohttp.ClientSession() as session:
        client = store.StoreClient(session, platform.store_url, 5.0)
        log = change_log.ChangeLog(client, prefix)
        wanted = tables.build_tables(platform.services, platform.targets)
        await tables.apply_tables(log, wanted)
        await asyncio.sleep(SETTLE_SECONDS)
        name = f"{platform.services} services, {platform.targets} targets"
        found.append((name, process_memory.read_footprint(pid)))
    return found

"""A small fleet on one event loop, with stand-ins for platform and targets."""

import asyncio
import contextlib
import itertools
import os
import socket
import time
from typing import Any
import uuid

import aiohttp
from aiohttp import web

from wigeonspool import process
from wigeonspool.agent import service as agents
from wigeonspool.gateway import service as gateways
from wigeonspool.model import changes
from wigeonspool.model import declarations
from wigeonspool.model import entities
from wigeonspool.model import options
from wigeonspool.standin import store as stores
from wigeonspool.standin import target as targets
from wigeonspool.standin import vms
from wigeonspool.store import change_log
from wigeonspool.store import store as store_client

PREFIX = "/wigeonspool/"


# All ports are below the range that the system uses for outgoing connections,
# because such a connection could take a port between its reservation and use.
# Each parallel test worker has its own range.
PORTS_PER_WORKER = 2_000
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
FIRST_PORT = 10_000 + WORKER * PORTS_PER_WORKER
_offsets = itertools.count(os.getpid() * 97)


def reserve_port() -> int:
    """Returns a port that is free now and was not returned recently."""
    while True:
        port = FIRST_PORT + next(_offsets) % PORTS_PER_WORKER
        with socket.socket() as test_socket:
            try:
                test_socket.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def reserve_address() -> str:
    return f"127.0.0.1:{reserve_port()}"


async def wait_for(check: Any, seconds: float = 10.0) -> None:
    """Waits until a check returns True.

    The limit only detects a hang; it is not a performance requirement.
    """
    give_up_at = time.monotonic() + seconds
    while not check():
        assert time.monotonic() < give_up_at, "waited for too long"
        await asyncio.sleep(0.01)


class Fleet:
    """Agents, gateways and stand-ins that tests start and stop."""

    def __init__(self, **gateway_settings: Any) -> None:
        self.store = stores.StoreStandin()
        self.vms = vms.VmListStandin([])
        self.targets: dict[str, targets.TargetStandin] = {}
        self.agents: dict[str, agents.AgentService] = {}
        self.gateways: dict[str, gateways.GatewayService] = {}
        self.addresses: dict[str, str] = {}
        self.settings: dict[str, options.Options] = {}
        self._gateway_settings = {
            "answer_seconds": 0.2,
            "drain_seconds": 5.0,
        } | gateway_settings
        self._stack = contextlib.AsyncExitStack()
        self.session: aiohttp.ClientSession

    async def start(self, vm_count: int = 2) -> None:
        """Starts the platform and some entry VMs with one gateway each."""
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession()
        )
        self.store_url = await self._serve(self.store.build_app())
        self.vms_url = await self._serve(self.vms.build_app())
        for index in range(vm_count):
            await self.start_vm(f"vm-{index}", f"zone-{index % 2}")

    async def _serve(self, app: web.Application) -> str:
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        address = reserve_address()
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()
        self._stack.push_async_callback(runner.cleanup)
        return f"http://{address}"

    def build_settings(
        self, vm: str, zone: str, region: str = "region"
    ) -> options.Options:
        peers = [s.agent.listen for s in self.settings.values()]
        return options.Options.model_validate(
            {
                "vm": vm,
                "zone": zone,
                "region": region,
                "token_keys": ["test-key"],
                "store": {"url": self.store_url, "timeout_seconds": 0.5},
                "vm_list": {
                    "url": f"{self.vms_url}/v1/vms",
                    "poll_seconds": 0.1,
                },
                "agent": {
                    "listen": reserve_address(),
                    "metrics": reserve_address(),
                    "peers": peers,
                    "heartbeat_seconds": 0.1,
                    "silence_seconds": 1.0,
                },
                "gateway": {
                    "addresses": [reserve_address()],
                    "metrics": [reserve_address()],
                    **self._gateway_settings,
                },
            }
        )

    async def start_vm(
        self, vm: str, zone: str, region: str = "region"
    ) -> None:
        """Lists an entry VM and starts its agent and gateway."""
        settings = self.build_settings(vm, zone, region)
        self.settings[vm] = settings
        self.add_to_vm_list(
            vm, zone, settings.agent.listen, "entry", region=region
        )
        self.agents[vm] = agents.AgentService(settings)
        await self.agents[vm].start()
        await self.start_gateway(vm)

    async def start_gateway(self, vm: str) -> None:
        gateway = gateways.GatewayService(self.settings[vm], 0)
        self.gateways[vm] = gateway
        self.addresses[vm] = self.settings[vm].gateway.addresses[0]
        await gateway.start()

    def get_agent_address(self, vm: str) -> str:
        return self.settings[vm].agent.listen

    def list_feeders(self) -> list[str]:
        """Returns the VMs whose agents are feeders."""
        return [
            vm for vm, a in self.agents.items() if a._role_manager.is_feeder
        ]

    async def wait_for_feeders(self) -> str:
        """Waits until all agents agree on the feeders; returns one of them."""

        def is_settled() -> bool:
            directories = [
                a._role_manager.directory.current for a in self.agents.values()
            ]
            chosen = [
                sorted(v.name for v in d.feeders) for d in directories if d
            ]
            feeders = sorted(self.list_feeders())
            return chosen == [feeders] * len(self.agents)

        await wait_for(is_settled)
        return self.list_feeders()[0]

    def every_gateway_lists(self, count: int) -> bool:
        """Returns True if each gateway lists this number of gateways."""
        views = [gateway._view for gateway in self.gateways.values()]
        return all(len(view.gateways) == count for view in views)

    def add_to_vm_list(
        self,
        name: str,
        zone: str,
        address: str,
        role: str,
        state: str = "live",
        region: str = "region",
    ) -> None:
        """Adds a VM to the VM list and publishes the list without delay."""
        entry = {
            "name": name,
            "zone": zone,
            "region": region,
            "address": address,
            "role": role,
            "state": state,
        }
        self.vms._vms[name] = entry
        self.vms._publish(dict(self.vms._vms))

    async def start_target(
        self, slots: int = 4, service_ms: float = 2.0
    ) -> targets.TargetStandin:
        """Starts a target that is in no pool yet."""
        address = reserve_address()
        service_times = [targets.PathServiceTime("/", service_ms)]
        target = targets.TargetStandin(address, slots, service_times, seed=1)
        server = web.Server(target.serve, handler_cancellation=True)
        runner = await process.serve_http(address, server)
        self._stack.push_async_callback(runner.cleanup)
        self.targets[address] = target
        return target

    def build_document(self, slots: int = 4) -> dict[str, Any]:
        """Returns a document of tables: one pool of all targets, two routes."""
        listed = [{"address": a, "zone": "zone-0"} for a in self.targets]
        return {
            "pools": [{"name": "queue", "slots": slots, "targets": listed}],
            "routes": [
                {
                    "name": "read",
                    "method": "GET",
                    "path_prefix": "/queue",
                    "pool": "queue",
                    "idempotent": True,
                },
                {
                    "name": "write",
                    "method": "POST",
                    "path_prefix": "/queue",
                    "pool": "queue",
                    "idempotent": False,
                },
            ],
        }

    async def apply(self, document: dict[str, Any]) -> int:
        """Writes tables to the store; waits until all gateways have them.

        Returns:
            The generation of the tables.
        """
        tables = declarations.parse_tables("test", document)
        client = store_client.StoreClient(self.session, self.store_url, 1.0)
        log = change_log.ChangeLog(client, PREFIX)
        current = await log.read_tables()
        change = changes.diff_tables(
            current, tables, uuid.uuid4().hex, "test", time.time()
        )
        await log.propose(change)
        await wait_for(lambda: self.is_active(change.generation))
        return change.generation

    def is_active(self, generation: int) -> bool:
        """Returns True if all gateways have this generation or a newer one."""
        tables: list[entities.Tables] = [
            gateway._view.tables for gateway in self.gateways.values()
        ]
        return all(t.generation >= generation for t in tables)

    async def stop_gateway(self, vm: str) -> None:
        """Drains and stops a gateway, as SIGTERM does."""
        gateway = self.gateways.pop(vm)
        await gateway.drain()
        await gateway.stop()

    async def kill_gateway(self, vm: str) -> None:
        """Stops a gateway without draining and closes its connections."""
        gateway = self.gateways.pop(vm)
        # The HTTP library treats 0 as no limit.
        gateway._caller_server._shutdown_timeout = 0.001
        await gateway.stop()

    async def stop(self) -> None:
        """Stops everything."""
        for vm in list(self.gateways):
            await self.kill_gateway(vm)
        for agent in self.agents.values():
            await agent.stop()
        await self._stack.aclose()

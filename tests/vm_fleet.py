"""Runs entry VMs, targets and the platform's store on one event loop."""

import asyncio
import contextlib
import itertools
import json
from typing import Any

import aiohttp
from aiohttp import web

from tests import fleet
from tests import pipes
from wigeonspool.model import vm_settings
from wigeonspool.platform.standin import main as standins
from wigeonspool.platform.standin import store as stores
from wigeonspool.platform.standin import target as targets
from wigeonspool.vm import service

HOST = "shop.example"
ZONES = {"zone-a": "north", "zone-b": "north", "zone-c": "south"}
REMAINING_MS = "1500"
# Extra attempts that a test may cause at once.
READY_TOKENS = 5.0
# Time within which the platform guarantees that a configuration is active.
APPLY_SECONDS = 2.0


def build_settings(
    vm: str, zone: str, store: str, **bounds: float
) -> vm_settings.VmSettings:
    """Returns the settings of a VM on the loopback address."""
    default_bounds: dict[str, float] = {
        "retry_fraction": 0.2,
        "retry_slack": 6000.0,
        "retry_window_seconds": 10.0,
        "grace_seconds": 2.0,
        "max_address_ttl_seconds": 5.0,
    }
    return vm_settings.VmSettings(
        vm=vm,
        ip="127.0.0.1",
        zone=zone,
        region=ZONES[zone],
        capacity=1.0,
        callers=fleet.reserve_address(),
        readiness=fleet.reserve_address(),
        directory=fleet.reserve_address(),
        control="",
        first_free_port=fleet.reserve_port(),
        seeds=(),
        regions=ZONES,
        store=store,
        min_lease_seconds=1.0,
        bounds=vm_settings.DeploymentLimits(**(default_bounds | bounds)),
    )


def build_rule(name: str, prefix: str, kind: str, **action: Any) -> Any:
    """Returns a rule in the form of the configuration document.

    Args:
        name: Name of the rule.
        prefix: Prefix of the paths that it matches.
        kind: "safe" if requests may run more than once, else "unsafe".
        action: Fields of the action that differ from the defaults.
    """
    action_fields = {"Timeout": "1500ms", "MaxAttempts": 2} | action
    return {
        "Name": name,
        "Kind": kind,
        "Slo": "400ms",
        "Priority": 1,
        "Match": {"Prefix": prefix},
        "Action": action_fields,
    }


def build_tenant(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    """Returns a client account in the form of the configuration document.

    Args:
        name: Name of the account.
        keys: Its keys.
        fields: Further fields, for example `Priority`.
    """
    return {"Name": name, "ApiKeys": list(keys), **fields}


def build_configuration(
    version: int,
    rules: list[Any],
    host: str = HOST,
    header_timeout: str = "3000ms",
    max_connections: int = 100,
    tenants: list[Any] | None = None,
    **upstream: Any,
) -> dict[str, Any]:
    """Returns a configuration document with three upstreams.

    Args:
        version: Version of the configuration.
        rules: Rules of the host.
        host: The only host.
        header_timeout: Longest time to receive a request head.
        max_connections: Connections that each target accepts.
        tenants: Client accounts, if any.
        **upstream: Other fields of each upstream.
    """
    document: dict[str, Any] = {
        "ConfigVersion": version,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1_000_000,
            "HeaderTimeout": header_timeout,
            "IdleTimeout": "15000ms",
        },
        "Listeners": [{"Host": host, "Policy": rules}],
        "Upstreams": [
            {"Name": n, "HealthPath": "/health", "MaxConns": max_connections}
            | upstream
            for n in ("other", "reads", "writes")
        ],
    }
    if tenants is not None:
        document["Tenants"] = tenants
    return document


class VmFleet:
    """A small deployment with a store, targets and entry VMs.

    Each VM connects to the store through a pipe of its own, so that a test can
    cut its connection.
    """

    def __init__(self) -> None:
        self.store = stores.PlatformStore()
        self.targets: dict[str, targets.PlatformTarget] = {}
        self.vms: dict[str, service.VmService] = {}
        self.settings: dict[str, vm_settings.VmSettings] = {}
        self.store_pipes: dict[str, pipes.Pipe] = {}
        self.version = 0
        self.session: aiohttp.ClientSession
        self._registrations: dict[str, tuple[str, str, str]] = {}
        self._started_at_ms: dict[str, int] = {}
        self._sequences: dict[str, int] = {}
        self._attempts = itertools.count(1)
        self._stack = contextlib.AsyncExitStack()

    async def start(self) -> None:
        """Starts the store and four targets, and writes a configuration."""
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession()
        )
        self.store_address = fleet.reserve_address()
        host, _, port = self.store_address.rpartition(":")
        runner = web.AppRunner(self.store.build_app(), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, host, int(port)).start()
        self._stack.push_async_callback(runner.cleanup)
        expiry_task = asyncio.create_task(self.store.expire_leases())
        self._stack.callback(expiry_task.cancel)
        await self.start_target("t-1", "reads", "zone-a")
        await self.start_target("t-2", "reads", "zone-a")
        await self.start_target("t-3", "writes", "zone-a")
        await self.start_target("t-4", "writes", "zone-a")
        await self.configure(self.build_default_rules())

    async def stop(self) -> None:
        """Stops all VMs, targets and the store."""
        for vm in list(self.vms):
            await self.kill_vm(vm)
        for target in self.targets.values():
            await target.stop()
        await self._stack.aclose()

    def build_default_rules(self) -> list[Any]:
        """Returns the default rules, one for each service with targets."""
        return [
            build_rule("read", "/read/", "safe", Service="reads"),
            build_rule("write", "/write/", "unsafe", Service="writes"),
        ]

    async def configure(
        self, rules: list[Any], host: str = HOST, **options: Any
    ) -> int:
        """Writes a configuration; returns its version."""
        self.version += 3
        document = build_configuration(self.version, rules, host, **options)
        await self.store.put("op/config", json.dumps(document).encode())
        return self.version

    async def start_target(
        self, identity: str, service_name: str, zone: str, slots: int = 4
    ) -> targets.PlatformTarget:
        """Starts a target and registers it."""
        target = targets.PlatformTarget(identity, slots)
        address = fleet.reserve_address()
        await target.start(address)
        self.targets[identity] = target
        self._registrations[identity] = (service_name, zone, address)
        await self.register(identity)
        return target

    async def restart_target(self, identity: str) -> None:
        """Starts a crashed target again, at its address and without faults."""
        target = self.targets[identity]
        target.faults = targets.TargetFaults()
        await target.start(self._registrations[identity][2])

    async def replace_target(self, identity: str) -> targets.PlatformTarget:
        """Crashes a target and starts a new one under its identity.

        The new target has the address of the old one and a later start.
        """
        await self.targets[identity].stop()
        target = targets.PlatformTarget(identity)
        await target.start(self._registrations[identity][2])
        self.targets[identity] = target
        started_at_ms = self._started_at_ms.get(
            identity, standins.FIRST_START_MS
        )
        self._started_at_ms[identity] = started_at_ms + 1
        self._sequences[identity] = 0
        await self.register(identity)
        return target

    async def register(self, identity: str, state: str = "ready") -> None:
        """Writes the entry of a target to the store."""
        service_name, zone, address = self._registrations[identity]
        started_at_ms = self._started_at_ms.get(
            identity, standins.FIRST_START_MS
        )
        sequence = self._sequences.get(identity, 0) + 1
        self._sequences[identity] = sequence
        entry = standins.build_entry(
            address, service_name, zone, state, started_at_ms, sequence
        )
        key = f"servers/{identity}"
        await self.store.put(key, json.dumps(entry).encode())

    async def start_vm(
        self, vm: str, zone: str = "zone-a", wait: bool = True, **bounds: float
    ) -> service.VmService:
        """Starts a VM; waits until it is ready, if `wait` is set.

        A VM that was started before keeps its settings and its pipe.
        """
        settings = self.settings.get(vm)
        if settings is None:
            pipe = pipes.Pipe(self.store_address)
            await pipe.start()
            self._stack.push_async_callback(pipe.stop)
            self.store_pipes[vm] = pipe
            settings = build_settings(vm, zone, pipe.address, **bounds)
            self.settings[vm] = settings
        vm_service = service.VmService(settings)
        self.vms[vm] = vm_service
        await vm_service.start()
        if wait:
            await self.wait_ready(vm)
            await self.wait_for_retries(vm)
        return vm_service

    async def wait_ready(self, vm: str) -> None:
        """Waits until a VM has the latest configuration and all targets."""
        cluster = self.vms[vm]._cluster
        await fleet.wait_for(
            lambda: (
                cluster.configuration is not None
                and cluster.configuration.version >= self.version
                and len(cluster.targets) >= len(self.targets)
            )
        )

    async def wait_for_retries(self, vm: str) -> None:
        """Waits until a VM may retry requests, if it holds retry slack.

        Without this, no test would see a retry that must not happen.
        """
        started = self.vms[vm]
        budget = started._request_runner.retry_budget
        share = started._slack_share
        loop = asyncio.get_running_loop()
        await fleet.wait_for(
            lambda: vm in started._cluster.vms or self.store.faults.down
        )
        share.update()
        if share.share:
            await fleet.wait_for(
                lambda: (
                    budget.count_tokens("reads", loop.time()) >= READY_TOKENS
                )
            )

    async def wait_until_listed(
        self, vm: service.VmService, names: set[str]
    ) -> None:
        """Waits until a VM knows the entries of exactly these VMs."""
        await fleet.wait_for(lambda: set(vm._cluster.vms) == names)

    async def kill_vm(self, vm: str) -> None:
        """Stops a VM without draining it."""
        await self.vms.pop(vm).stop()

    async def send(
        self,
        vm: str,
        path: str,
        method: str = "GET",
        host: str = HOST,
        attempt: str = "",
        **options: Any,
    ) -> tuple[int, bytes, Any]:
        """Sends a request; returns the status, body and header fields.

        Args:
            vm: Name of the VM.
            path: Path of the request.
            method: HTTP method.
            host: Host that the request names.
            attempt: Identity of the attempt; a new one if empty.
            options: `remaining`, the time limit in milliseconds; `key`, that of
                a client account; and those of the HTTP library.
        """
        attempt = attempt or f"a-{next(self._attempts)}"
        fields = {
            "Host": host,
            "X-Attempt-Id": attempt,
            "X-Timeout-Remaining": options.pop("remaining", REMAINING_MS),
        }
        key = options.pop("key", "")
        if key:
            fields["Authorization"] = f"Bearer {key}"
        url = f"http://{self.settings[vm].callers}{path}"
        async with self.session.request(
            method, url, headers=fields, **options
        ) as response:
            return response.status, await response.read(), response.headers

    async def resolve(self, vm: str, zone: str) -> list[str]:
        """Looks up the addresses for callers of a zone at a VM."""
        url = f"http://{self.settings[vm].directory}/v1/resolve"
        query = {"Name": HOST, "Region": ZONES[zone], "Zone": zone}
        async with self.session.get(url, params=query) as response:
            assert response.status == 200
            addresses: list[str] = (await response.json())["Addrs"]
            return addresses

    def find_targets_that_ran(self, attempt: str) -> list[str]:
        """Returns the targets that ran an attempt."""
        return [
            identity
            for identity, target in self.targets.items()
            for run in target.runs
            if run.attempt == attempt
        ]

    def set_faults(self, *identities: str, **faults: Any) -> None:
        """Sets faults of some targets, or of all if none is given."""
        for identity in identities or tuple(self.targets):
            for name, value in faults.items():
                setattr(self.targets[identity].faults, name, value)

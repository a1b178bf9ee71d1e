"""A small deployment: a store, instances and entry VMs; and a client."""

import asyncio
import contextlib
import itertools
import pathlib
import random
import tempfile
import time

from review.harness_2 import http1
from review.harness_2 import store as stores
from review.harness_2 import target as targets
from review.harness_2 import vms

HOST = "jepu9.example"
LOOPBACK = "127.0.0.1"


def build_rule(name, prefix, kind, timeout_ms=1500, slo_ms=500, **action):
    """Returns a rule of a configuration."""
    return {
        "Name": name,
        "Kind": kind,
        "Slo": f"{slo_ms}ms",
        "Priority": 1,
        "Match": {"Prefix": prefix},
        "Action": {"Timeout": f"{timeout_ms}ms", "MaxAttempts": 2} | action,
    }


def build_configuration(version, rules, services, tenants=None, **limits):
    """Returns a configuration."""
    document = {
        "ConfigVersion": version,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms",
        }
        | limits,
        "Listeners": [{"Host": HOST, "Policy": rules}],
        "Upstreams": [
            {
                "Name": service,
                "HealthPath": "/health",
                "MaxConns": 260,
                "Protocol": "h1",
                "Tls": False,
            }
            for service in services
        ],
    }
    if tenants is not None:
        document["Tenants"] = tenants
    return document


class Deployment:
    """The parts of a test and the record of what they saw."""

    def __init__(self) -> None:
        self.store = stores.Store()
        self.targets: dict[str, targets.Target] = {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.vms: vms.Vms
        self.lines: list[str] = []
        self.started_at = time.monotonic()
        self._ids = itertools.count(1)
        self._salt = random.randrange(16**8)
        self._tasks: list[asyncio.Task] = []

    def log(self, text: str) -> None:
        """Adds a line to the record."""
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f} {text}")

    async def start(
        self,
        zones: list[str],
        services: dict[str, int],
        window_bytes: int = 0,
    ) -> None:
        """Starts the store, the instances and the VMs.

        Args:
            zones: Zone of each VM.
            services: Number of instances of each service.
            window_bytes: Receive buffer of an instance's connection, or 0.
        """
        (store_port,) = vms.find_ports(1)
        await self.store.start(LOOPBACK, store_port)
        for service, count in services.items():
            for index in range(count):
                zone = zones[index % len(zones)]
                await self.add_target(
                    f"i-{service}-{index}", service, zone, window_bytes
                )
        self.vms = vms.Vms(self.folder, f"{LOOPBACK}:{store_port}", zones)
        await self.vms.start()

    async def add_target(self, identity, service, zone, window_bytes=0):
        """Starts an instance and registers it."""
        (port,) = vms.find_ports(1)
        target = targets.Target(identity, service, zone, LOOPBACK, port)
        target.window_bytes = window_bytes
        await target.start()
        self.targets[identity] = target
        self.register(target)
        return target

    def register(self, target: targets.Target, state: str = "ready") -> None:
        """Writes the entry of an instance."""
        self.store.put(f"servers/{target.identity}", target.build_entry(state))

    async def stop(self) -> None:
        """Ends all processes and connections."""
        with contextlib.suppress(AttributeError):
            await self.vms.stop()
        for task in self._tasks:
            task.cancel()
        for target in self.targets.values():
            await target.stop()

    def next_id(self) -> str:
        """Returns the id of a client attempt."""
        return f"{self._salt:08x}{next(self._ids):08x}"

    def build_request(
        self, path, method="GET", body=None, limit_ms=1500, attempt="", extra=()
    ) -> bytes:
        """Returns the bytes of a request of a client."""
        fields = [
            ("Host", HOST),
            ("X-Attempt-Id", attempt or self.next_id()),
            ("X-Timeout-Remaining", str(limit_ms)),
            *extra,
        ]
        return http1.build(f"{method} {path} HTTP/1.1", fields, body)

    async def send(
        self, vm, path, method="GET", body=None, limit_ms=1500, attempt="",
        extra=(), seconds=None,
    ):  # fmt: skip
        """Sends a request on a new connection.

        Returns:
            The answer, or the error as a string.
        """
        data = self.build_request(path, method, body, limit_ms, attempt, extra)
        writer = None
        try:
            async with asyncio.timeout(seconds or limit_ms / 1000 + 1.0):
                reader, writer = await asyncio.open_connection(vm.ip, vm.edge)
                writer.write(data)
                answer = await http1.read_message(reader, until_end=True)
                return answer if answer is not None else "closed"
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            return repr(error)
        finally:
            if writer is not None:
                writer.transport.abort()

    def list_runs(self) -> list[targets.Run]:
        """Returns all runs in order."""
        runs = [run for t in self.targets.values() for run in t.runs]
        return sorted(runs, key=lambda run: run.at)

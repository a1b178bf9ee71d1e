"""The processes of a soak, and the disturbances that are injected into them."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import json
import pathlib
import random
import signal
from typing import Any, Final

from tests import pipes
from tests import test_vm_process
from tests import vm_fleet
from tests.soak import callers
from tests.soak import history as histories
from wigeonspool.platform.standin import main as standins
from wigeonspool.platform.standin import target as targets

GRACE_SECONDS: Final = 4.0
# Shorter than some requests take.
HEADER_TIMEOUT: Final = "600ms"
ZONES: Final = ("zone-a", "zone-b", "zone-c")
CALLERS_PER_VM: Final = 6
# Disturbances that run at the same time.
OPERATORS: Final = 3
MAX_PAUSE_SECONDS: Final = 1.5
MAX_FAULT_SECONDS: Final = 2.5
MIN_SERVICE_MS: Final = 20
MAX_SERVICE_MS: Final = 250
# Targets are given this long after a report before they end.
DRAIN_SECONDS: Final = 2.0
RELOAD_SECONDS: Final = 2.0
REFUSAL_STATUSES: Final = frozenset({421, 503})
# Shortest and longest time for which a target asks for no requests.
DECLINED_SECONDS: Final = (0.2, 3.0)
# Ages of the states with which the store replies to stale reads.
STALE_SECONDS: Final = (0.2, 3.0)
# Ages of the copies from which the store is restored.
COPY_SECONDS: Final = (0.5, 5.0)
# Targets and the operator write their lost values again within this time.
REWRITE_SECONDS: Final = 2.0
# Keys of VMs, which write them again themselves.
VM_KEYS: Final = (b"vms/", b"suspects/")
SETTLE_SECONDS: Final = 4.0
CALM_SECONDS: Final = 2.0
TARGET_FAULTS: Final[tuple[dict[str, Any], ...]] = (
    {"pace": 500},
    {"full": True},
    {"failing": True},
    {"lost": True},
    {"truncated": True},
    {"extra": True},
    {"unproven": True},
    {"ill": True},
)
# Deeper than recursive decoders can follow.
NESTED_VALUE: Final = "[" * 5000 + "]" * 5000
# Fields of entries of targets that only a faulty writer would write.
ODD_FIELDS: Final[tuple[dict[str, Any], ...]] = (
    {"Address": "127.0.0.1:99999"},
    {"Address": "a..b:80"},
    {"Address": None},
    {"Status": "ready"},
    {"born": 10**30},
    {"Unknown": "nested"},
)


class SoakFleet:
    """VM processes with callers, targets and a store in this process.

    Attributes:
        history: What happened so far.
    """

    def __init__(self, folder: pathlib.Path, seed: int, vm_count: int) -> None:
        """Creates a fleet that does not run yet.

        Args:
            folder: Folder for the settings files.
            seed: Seed of all choices.
            vm_count: Number of VM processes.
        """
        self.history = histories.History(GRACE_SECONDS)
        self._folder = folder
        self._seed = seed
        self._names = [f"vm-{number}" for number in range(1, vm_count + 1)]
        self._random = random.Random(seed)
        self._world = vm_fleet.VmFleet()
        self._pipes: dict[str, pipes.Pipe] = {}
        self._processes: dict[str, test_vm_process.VmProcess] = {}
        self._busy: set[str] = set()
        self._loop = asyncio.get_running_loop()
        self._kinds: tuple[Callable[[], Awaitable[None]], ...] = (
            self._term,
            self._term,
            self._hup,
            self._kill,
            self._pause,
            self._stop_store,
            self._lose_replies,
            self._compact_store,
            self._cut_store,
            self._restore_store,
            self._crash_target,
            self._drain_target,
            self._harm_target,
            self._leave_target,
            self._decline_requests,
            self._configure,
            self._write_odd_entry,
        )

    async def run(self, seconds: float) -> list[str]:
        """Runs the fleet; returns the processes' log lines about errors.

        Args:
            seconds: How long disturbances are injected.
        """
        await self._start()
        stopped = asyncio.Event()
        addresses = {vm: self._world.settings[vm].callers for vm in self._names}
        load = asyncio.create_task(
            callers.run_callers(
                self.history,
                addresses,
                CALLERS_PER_VM * len(self._names),
                self._seed,
                stopped,
            )
        )
        until = self._loop.time() + seconds
        await asyncio.gather(*(self._disturb(until) for _ in range(OPERATORS)))
        await asyncio.sleep(SETTLE_SECONDS)
        self.history.calm_from = self._loop.time()
        await asyncio.sleep(CALM_SECONDS)
        self.history.unregistered = self._list_unregistered()
        stopped.set()
        await load
        return await self._stop()

    async def _start(self) -> None:
        """Starts the store, eight targets and the VM processes."""
        await self._world.start()
        self._world.store.faults.stale_seconds = STALE_SECONDS
        await self._configure()
        for number in range(5, 9):
            service = "reads" if number % 2 else "writes"
            zone = ZONES[number % len(ZONES)]
            await self._world.start_target(f"t-{number}", service, zone)
        for target in self._world.targets.values():
            target.service_ms = self._random.uniform(
                MIN_SERVICE_MS, MAX_SERVICE_MS
            )
        for number, vm in enumerate(self._names):
            pipe = pipes.Pipe(self._world.store_address)
            await pipe.start()
            self._pipes[vm] = pipe
            self._world.settings[vm] = vm_fleet.build_settings(
                vm, ZONES[number % len(ZONES)], pipe.address
            )
            await self._start_vm(vm)
        for vm in self._names:
            await self._processes[vm].wait_ready(vm)

    async def _start_vm(self, vm: str) -> None:
        """Starts the process of a VM."""
        path = self._folder / f"{vm}.toml"
        self._write_settings(vm)
        self._processes[vm] = test_vm_process.VmProcess(self._world, path)
        await self._processes[vm].start()

    def _write_settings(self, vm: str) -> None:
        """Writes the settings file of a VM."""
        test_vm_process.write_settings(
            self._folder / f"{vm}.toml",
            self._world.settings[vm],
            f"{GRACE_SECONDS}s",
        )

    async def _stop(self) -> list[str]:
        """Ends all processes and collects what they and the targets saw."""
        errors = []
        for vm, process in self._processes.items():
            code = process.process.returncode
            if code is not None:
                self.history.self_ended.append((vm, code))
            await process.stop()
            errors += [
                f"{vm} {line}"
                for line in process.lines
                if line.get("level") in ("ERROR", "CRITICAL")
            ]
        for target in self._world.targets.values():
            self._collect(target)
        for pipe in self._pipes.values():
            await pipe.stop()
        await self._world.stop()
        return errors

    def _collect(self, target: targets.PlatformTarget) -> None:
        """Records what reached one start of a target."""
        for run in target.runs:
            self.history.runs.setdefault(run.attempt, []).append(
                histories.Run(target.identity, run.method, run.path, run.body)
            )
        self.history.arrivals += [
            histories.Arrival(
                target.identity, a.at, a.attempt, a.status in REFUSAL_STATUSES
            )
            for a in target.arrivals
            if a.attempt in self.history.attempts
        ]

    async def _disturb(self, until: float) -> None:
        """Injects one disturbance after the other."""
        while self._loop.time() < until:
            await asyncio.sleep(self._random.uniform(0.0, 0.5))
            await self._random.choice(self._kinds)()

    def _record(
        self, kind: str, subject: str, planned: bool = False
    ) -> histories.Disturbance:
        """Records the start of a disturbance; returns it."""
        disturbance = histories.Disturbance(
            kind, subject, planned, self._loop.time()
        )
        self.history.disturbances.append(disturbance)
        return disturbance

    @contextlib.contextmanager
    def _reserve(self, names: list[str]) -> Any:
        """Yields a subject that no other disturbance restarts, or None."""
        free = [name for name in names if name not in self._busy]
        if not free:
            yield None
            return
        name = self._random.choice(free)
        self._busy.add(name)
        try:
            yield name
        finally:
            self._busy.discard(name)

    def _is_running(self, vm: str) -> bool:
        """Returns True if the process of a VM runs; records if it ended."""
        code = self._processes[vm].process.returncode
        if code is not None and vm not in self._busy:
            self.history.self_ended.append((vm, code))
        return code is None

    async def _restart(self, vm: str) -> None:
        """Starts a VM again after a pause, and waits until it is ready."""
        await self._processes[vm].stop()
        await asyncio.sleep(self._random.uniform(0.0, 0.5))
        start = self._record("start", vm)
        await self._start_vm(vm)
        try:
            await self._processes[vm].wait_ready(vm)
        except TimeoutError:
            code = self._processes[vm].process.returncode
            if code is not None:
                self.history.self_ended.append((vm, code))
        start.ended_at = self._loop.time()

    async def _term(self) -> None:
        """Stops a VM as planned, with SIGHUP or a second SIGTERM meanwhile."""
        with self._reserve(self._names) as vm:
            if vm is None or not self._is_running(vm):
                return
            process = self._processes[vm].process
            work = self._record("term", vm, planned=True)
            process.send_signal(signal.SIGTERM)
            extra = self._random.choice((None, signal.SIGHUP, signal.SIGTERM))
            if extra is not None:
                await asyncio.sleep(self._random.uniform(0.0, 1.0))
                if process.returncode is None:
                    process.send_signal(extra)
            deadline = work.started_at + GRACE_SECONDS
            try:
                async with asyncio.timeout(deadline - self._loop.time()):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()
            work.ended_at = self._loop.time()
            await self._restart(vm)

    async def _kill(self) -> None:
        """Kills a VM and starts it again."""
        with self._reserve(self._names) as vm:
            if vm is None or not self._is_running(vm):
                return
            fault = self._record("kill", vm)
            self._processes[vm].process.kill()
            await self._processes[vm].process.wait()
            await self._restart(vm)
            fault.ended_at = self._loop.time()

    async def _pause(self) -> None:
        """Stops and continues the process of a VM."""
        with self._reserve(self._names) as vm:
            if vm is None or not self._is_running(vm):
                return
            fault = self._record("pause", vm)
            process = self._processes[vm].process
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._random.uniform(0.1, MAX_PAUSE_SECONDS))
            process.send_signal(signal.SIGCONT)
            fault.ended_at = self._loop.time()

    async def _hup(self) -> None:
        """Writes the settings of a VM again and sends SIGHUP, some times."""
        vm = self._random.choice(self._names)
        process = self._processes[vm].process
        if vm in self._busy or not self._is_running(vm):
            return
        work = self._record("hup", vm, planned=True)
        for _ in range(self._random.randint(1, 3)):
            self._write_settings(vm)
            if process.returncode is None:
                process.send_signal(signal.SIGHUP)
            await asyncio.sleep(self._random.uniform(0.0, 0.3))
        work.ended_at = self._loop.time() + RELOAD_SECONDS

    async def _stop_store(self) -> None:
        """Makes the store refuse all calls, or reply slowly."""
        fault = self._record("store-fault", "store")
        faults = self._world.store.faults
        if self._random.random() < 0.5:
            faults.down = True
        else:
            faults.delay_ms = 250
        await asyncio.sleep(self._random.uniform(0.3, MAX_FAULT_SECONDS))
        faults.down = False
        faults.delay_ms = 0
        fault.ended_at = self._loop.time()

    async def _lose_replies(self) -> None:
        """Makes the store execute some calls without replying."""
        self._world.store.faults.lose_replies = self._random.randint(1, 5)

    async def _compact_store(self) -> None:
        """Makes the store forget its history."""
        await self._world.store.compact()

    async def _cut_store(self) -> None:
        """Cuts one VM off the store, with or without notice."""
        vm = self._random.choice(self._names)
        pipe = self._pipes[vm]
        fault = self._record("store-cut", "store")
        if self._random.random() < 0.5:
            pipe.refusing = True
            pipe.cut()
        else:
            pipe.discard_traffic()
        await asyncio.sleep(self._random.uniform(0.3, MAX_FAULT_SECONDS))
        pipe.refusing = False
        pipe.cut()
        fault.ended_at = self._loop.time()

    async def _restore_store(self) -> None:
        """Restores the store; targets and the operator write again."""
        store = self._world.store
        fault = self._record("store-restore", "store")
        before = dict(store.records)
        await store.restore(self._random.uniform(*COPY_SECONDS))
        restored = dict(store.records)
        lost = sorted(
            key
            for key in before.keys() | restored.keys()
            if before.get(key) != restored.get(key)
            and not key.startswith(VM_KEYS)
        )
        self._random.shuffle(lost)
        for key in lost:
            await asyncio.sleep(
                self._random.uniform(0.0, REWRITE_SECONDS / len(lost))
            )
            # Unless another writer has changed it since.
            if store.records.get(key) is restored.get(key):
                record = before.get(key)
                value = None if record is None else record.value
                if value is not None or key in store.records:
                    await store.put(key.decode(), value)
        fault.ended_at = self._loop.time()

    def _list_unregistered(self) -> list[str]:
        """Returns the VMs without an entry under a lease of their own."""
        records = self._world.store.records
        leases = [
            records[key].lease if key in records else 0
            for key in (f"vms/{vm}".encode() for vm in self._names)
        ]
        return [
            vm
            for vm, lease in zip(self._names, leases, strict=True)
            if lease not in self._world.store.leases or leases.count(lease) > 1
        ]

    async def _crash_target(self) -> None:
        """Crashes a target and starts it again."""
        with self._reserve(sorted(self._world.targets)) as identity:
            if identity is None:
                return
            fault = self._record("crash", identity)
            self._world.targets[identity].crash()
            await asyncio.sleep(self._random.uniform(0.1, MAX_FAULT_SECONDS))
            await self._world.restart_target(identity)
            await self._world.register(identity)
            fault.ended_at = self._loop.time()

    async def _drain_target(self) -> None:
        """Drains a target, ends it and starts it again."""
        with self._reserve(sorted(self._world.targets)) as identity:
            if identity is None:
                return
            await self._world.register(identity, "draining")
            await asyncio.sleep(DRAIN_SECONDS)
            fault = self._record("end", identity)
            self._world.targets[identity].crash()
            await asyncio.sleep(self._random.uniform(0.1, 1.0))
            await self._world.restart_target(identity)
            await self._world.register(identity)
            fault.ended_at = self._loop.time()

    async def _harm_target(self) -> None:
        """Injects a fault into the answers of a target."""
        with self._reserve(sorted(self._world.targets)) as identity:
            if identity is None:
                return
            faults = self._random.choice(TARGET_FAULTS)
            fault = self._record(next(iter(faults)), identity)
            self._world.set_faults(identity, **faults)
            await asyncio.sleep(self._random.uniform(0.3, MAX_FAULT_SECONDS))
            self._world.targets[identity].faults = targets.TargetFaults()
            fault.ended_at = self._loop.time()

    async def _leave_target(self) -> None:
        """Lets a target state that it leaves, and starts it again later."""
        with self._reserve(sorted(self._world.targets)) as identity:
            if identity is None:
                return
            target = self._world.targets[identity]
            started_at = self._loop.time()
            target.faults.leaving = True
            await asyncio.sleep(self._random.uniform(1.0, 2.0) * DRAIN_SECONDS)
            self.history.notices.append(
                histories.Notice(identity, started_at, self._loop.time(), None)
            )
            fault = self._record("end", identity)
            successor = await self._world.replace_target(identity)
            successor.service_ms = target.service_ms
            self._collect(target)
            fault.ended_at = self._loop.time()

    async def _decline_requests(self) -> None:
        """Lets a target decline requests for a while."""
        with self._reserve(sorted(self._world.targets)) as identity:
            if identity is None:
                return
            seconds = self._random.uniform(*DECLINED_SECONDS)
            started_at = self._loop.time()
            self._world.set_faults(identity, declining_seconds=seconds)
            await asyncio.sleep(self._random.uniform(0.3, MAX_FAULT_SECONDS))
            self._world.set_faults(identity, declining_seconds=None)
            self.history.notices.append(
                histories.Notice(
                    identity, started_at, self._loop.time(), seconds
                )
            )

    async def _configure(self) -> None:
        """Writes a new configuration with the same rules."""
        self._world.version += 3
        document = vm_fleet.build_configuration(
            self._world.version,
            self._world.build_default_rules(),
            header_timeout=HEADER_TIMEOUT,
        )
        await self._world.store.put("op/config", json.dumps(document).encode())

    async def _write_odd_entry(self) -> None:
        """Writes an entry of a target that nobody can read."""
        service = self._random.choice(("reads", "writes"))
        entry = standins.build_entry("127.0.0.1:9", service, "zone-a")
        entry |= self._random.choice(ODD_FIELDS)
        value = json.dumps(entry).replace('"nested"', NESTED_VALUE)
        await self._world.store.put("servers/t-odd", value.encode())

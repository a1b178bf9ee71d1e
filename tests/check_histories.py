"""Checks histories of a small fleet in one process: `make check-histories`."""

import argparse
import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
import random
import sys
import time
import uuid

import loguru

from tests import fleet as fleets
from tests import pipes
from wigeonspool.agent import service as agents
from wigeonspool.gateway import service as gateways
from wigeonspool.load import check_histories
from wigeonspool.load import history as histories
from wigeonspool.model import changes
from wigeonspool.model import declarations
from wigeonspool.model import errors
from wigeonspool.standin import target as targets
from wigeonspool.store import change_log
from wigeonspool.store import store as store_client

VMS = 3
TARGETS = 4
SLOTS = 3
# So small that probes beyond it are soon seen.
MEASURING = {"requests_per_second": 2.0, "bytes_per_second": 10_000.0}
OBSERVE_SECONDS = 0.01
MAX_PAUSE_SECONDS = 0.8


class FleetBench(fleets.Fleet):
    """A fleet whose connections go through pipes and which records itself."""

    def __init__(self, doors_piped: bool = True) -> None:
        super().__init__(once_capacity=400, once_answer_bytes=2_000_000)
        self._doors_piped = doors_piped
        self.history = histories.History()
        self.history.budgets.append(histories.Budget("queue", **MEASURING))
        self.doors: dict[str, str] = {}
        self.faults = {
            "gateway-kill": self.strike_gateway_kill,
            "agent-restart": self.strike_agent_restart,
            "pause": self.strike_pause,
            "partition": self.strike_partition,
            "held-callers": self.strike_held_callers,
            "crash": self.strike_crash,
            "silence": self.strike_silence,
            "lost-reply": self.strike_lost_reply,
            "shed": self.strike_shed,
            "store-outage": self.strike_store_outage,
            "lost-store-replies": self.strike_lost_store_replies,
        }
        self.plans = {
            "planned-stop": self.plan_stop,
            "drain": self.plan_drain,
            "own-drain": self.plan_own_drain,
            "leave": self.plan_leave,
            "racing-operators": self.plan_racing_operators,
        }
        self._agent_pipes: dict[str, pipes.Pipe] = {}
        self._door_pipes: dict[str, pipes.Pipe] = {}
        self._target_pipes: dict[str, pipes.Pipe] = {}
        self._drained: set[str] = set()
        self._busy: set[str] = set()
        self._lives: dict[str, histories.Life] = {}
        self._observer: asyncio.Task[None] | None = None

    async def start(self, vm_count: int = VMS) -> None:
        await super().start(vm_count)
        for _ in range(TARGETS):
            await self._start_piped_target()
        generation = await self.apply(self.declare_piped())
        self._accept(generation)
        await fleets.wait_for(
            lambda: all(
                len(g._view.gateways) == vm_count
                for g in self.gateways.values()
            )
        )
        loop = asyncio.get_running_loop()
        self._observer = loop.create_task(self._observe())

    async def stop(self) -> None:
        assert self._observer is not None
        self._observer.cancel()
        for target in self.targets.values():
            documents = [dataclasses.asdict(run) for run in target.runs]
            self.history.add_runs(documents)
            self.history.probes += [
                histories.Probe("queue", probe.at, probe.size_bytes)
                for probe in target.probes
            ]
        self.history.lives += self._lives.values()
        await super().stop()
        for pipe in [
            *self._agent_pipes.values(),
            *self._door_pipes.values(),
            *self._target_pipes.values(),
        ]:
            await pipe.stop()

    async def _start_piped_target(self) -> None:
        target = await self.start_target(SLOTS, service_ms=8.0)
        pipe = pipes.Pipe(target.address)
        await pipe.start()
        self.targets[pipe.address] = self.targets.pop(target.address)
        target.address = pipe.address
        self._target_pipes[pipe.address] = pipe

    async def start_gateway(self, vm: str) -> None:
        settings = self.settings[vm]
        if vm not in self._agent_pipes:
            self._agent_pipes[vm] = pipes.Pipe(settings.agent.listen)
            await self._agent_pipes[vm].start()
            self._door_pipes[vm] = pipes.Pipe(settings.gateway.addresses[0])
            await self._door_pipes[vm].start()
        agent = settings.agent.model_copy(
            update={"listen": self._agent_pipes[vm].address}
        )
        piped = settings.model_copy(update={"agent": agent})
        gateway = gateways.GatewayService(piped, 0)
        await gateway.start()
        self.gateways[vm] = gateway
        self.addresses[vm] = settings.gateway.addresses[0]
        door = self._door_pipes[vm].address
        address = self.addresses[vm]
        self.doors[address] = door if self._doors_piped else address
        self._lives[vm] = histories.Life(
            vm, vm, gateway._gateway.incarnation, time.time()
        )

    def _end_life(self, vm: str) -> None:
        life = dataclasses.replace(self._lives.pop(vm), ended_at=time.time())
        self.history.lives.append(life)

    async def _observe(self) -> None:
        """Writes down the generation that each gateway has in force."""
        held: dict[str, tuple[str, int]] = {}
        while True:
            for vm, gateway in self.gateways.items():
                now = (
                    gateway._gateway.incarnation,
                    gateway._view.tables.generation,
                )
                if held.get(vm) != now:
                    held[vm] = now
                    event = histories.InForce(vm, *now, time.time())
                    self.history.in_force.append(event)
            await asyncio.sleep(OBSERVE_SECONDS)

    def declare_piped(self) -> dict[str, object]:
        document = self.declare(SLOTS)
        document["pools"][0]["measuring"] = MEASURING
        for target in document["pools"][0]["targets"]:
            target["drained"] = target["address"] in self._drained
        return document

    def _accept(self, generation: int) -> None:
        accepted = histories.Accepted(generation, time.time())
        self.history.accepted.append(accepted)

    async def _propose(self, author: str, note: float) -> bool:
        """Returns True once an operator's change is known to hold."""
        client = store_client.StoreClient(self.session, self.store_url, 0.5)
        log = change_log.ChangeLog(client, fleets.PREFIX)
        document = self.declare_piped()
        document["routes"][0]["time_limit_seconds"] = note  # type: ignore
        wanted = declarations.parse_tables("test", document)
        try:
            held = await log.read_tables()
            change = changes.diff_tables(
                held, wanted, uuid.uuid4().hex, author, time.time()
            )
            await log.propose(change)
        except (errors.ChangeConflictError, errors.StoreError):
            return False
        except errors.ChangeUnknownError:
            return False
        self._accept(change.generation)
        return True

    @contextlib.contextmanager
    def _fault(self, kind: str, subject: str) -> Iterator[None]:
        """Writes down a fault that lasts as long as the block."""
        started_at = time.time()
        index = len(self.history.faults)
        self.history.faults.append(histories.Fault(kind, subject, started_at))
        try:
            yield
        finally:
            self.history.faults[index] = dataclasses.replace(
                self.history.faults[index], ended_at=time.time()
            )

    @contextlib.contextmanager
    def _claim(self, names: list[str], rng: random.Random) -> Iterator[str]:
        """Chooses a subject that no other fault of the pair works on."""
        free = [name for name in names if name not in self._busy]
        subject = rng.choice(free)
        self._busy.add(subject)
        try:
            yield subject
        finally:
            self._busy.discard(subject)

    async def _last(self, rng: random.Random) -> None:
        await asyncio.sleep(rng.uniform(*check_histories.STRIKE_SECONDS))

    async def strike_gateway_kill(self, rng: random.Random) -> None:
        with self._claim(list(self.settings), rng) as vm:
            with self._fault("gateway-kill", self.addresses[vm]):
                self._end_life(vm)
                self._door_pipes[vm].cut()
                await self.kill_gateway(vm)
                await self._last(rng)
            await self.start_gateway(vm)

    async def strike_agent_restart(self, rng: random.Random) -> None:
        with (
            self._claim(list(self.settings), rng) as vm,
            self._fault("partition", vm),
        ):
            await self.agents[vm].stop()
            await self._last(rng)
            self.agents[vm] = agents.AgentService(self.settings[vm])
            await self.agents[vm].start()

    async def strike_pause(self, rng: random.Random) -> None:
        """All processes stand still, as far as this one event loop goes."""
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        with self._fault("pause", ""):
            time.sleep(rng.uniform(0.1, MAX_PAUSE_SECONDS))

    async def strike_partition(self, rng: random.Random) -> None:
        with (
            self._claim(list(self.settings), rng) as vm,
            self._fault("partition", vm),
        ):
            pipe = self._agent_pipes[vm]
            pipe.refusing = True
            pipe.cut()
            await self._last(rng)
            pipe.refusing = False

    async def strike_held_callers(self, rng: random.Random) -> None:
        """What callers send to a gateway arrives late."""
        with self._claim(list(self.settings), rng) as vm:
            pipe = self._door_pipes[vm]
            pipe.open.clear()
            await self._last(rng)
            pipe.open.set()

    async def strike_crash(self, rng: random.Random) -> None:
        with (
            self._claim(list(self.targets), rng) as address,
            self._fault("crash", address),
        ):
            pipe = self._target_pipes[address]
            pipe.refusing = True
            pipe.cut()
            await self._last(rng)
            pipe.refusing = False

    async def strike_silence(self, rng: random.Random) -> None:
        with (
            self._claim(list(self.targets), rng) as address,
            self._fault("silence", address),
        ):
            self._target_pipes[address].silence()
            await self._last(rng)

    async def strike_lost_reply(self, rng: random.Random) -> None:
        with (
            self._claim(list(self.targets), rng) as address,
            self._fault("lost-reply", address),
        ):
            self._target_pipes[address].replies_to_lose += rng.randint(1, 5)
            await self._last(rng)
            self._target_pipes[address].replies_to_lose = 0

    async def strike_shed(self, rng: random.Random) -> None:
        with self._claim(list(self.targets), rng) as address:
            target = self.targets[address]
            target.faults = targets.Faults(shedding=True)
            await self._last(rng)
            target.faults = targets.Faults()

    async def strike_store_outage(self, rng: random.Random) -> None:
        with self._claim(["store"], rng), self._fault("store-outage", ""):
            self.store.faults.down = True
            await self._last(rng)
            self.store.faults.down = False

    async def strike_lost_store_replies(self, rng: random.Random) -> None:
        self.store.faults.lose_replies = 3
        await self._propose("operator", rng.uniform(1.0, 30.0))

    async def plan_stop(self, rng: random.Random) -> None:
        with self._claim(list(self.settings), rng) as vm:
            gateway = self.gateways[vm]
            self._end_life(vm)
            # A pipe cannot refuse a connection as a closed port does.
            self.doors.pop(self.addresses[vm])
            await self.stop_gateway(vm)
            assert gateway._gateway.address == self.addresses[vm]
            await self.start_gateway(vm)

    async def replace_vm(self, vm: str) -> None:
        """Stops a VM as the platform would: SIGTERM to all its processes."""
        agent = self.agents.pop(vm)
        self.list_vm(
            vm, "zone-0", agent._settings.agent.listen, "entry", "leaving"
        )
        self._end_life(vm)
        address = self.addresses.pop(vm)

        async def stop_agent() -> None:
            await agent.drain()
            await agent.stop()

        await asyncio.gather(stop_agent(), self.stop_gateway(vm))
        self.doors.pop(address)
        self.settings.pop(vm)
        self.vms._vms.pop(vm)
        self.vms._publish(dict(self.vms._vms))

    async def plan_drain(self, rng: random.Random) -> None:
        """An operator drains a target and takes that back later."""
        with self._claim(list(self.targets), rng) as address:
            self._drained.add(address)
            if await self._propose("drainer", rng.uniform(1.0, 30.0)):
                leaving = histories.Leaving(address, time.time())
                self.history.leavings.append(leaving)
            # Longer than the bound, so that late work would be seen.
            await asyncio.sleep(2.5)
            self._close_leaving(address)
            self._drained.discard(address)
            await self._propose("drainer", rng.uniform(1.0, 30.0))

    async def plan_own_drain(self, rng: random.Random) -> None:
        """A target says on its answers that it drains, and is back later."""
        with self._claim(list(self.targets), rng) as address:
            target = self.targets[address]
            target.set_faults(draining=True)
            await asyncio.sleep(2.5)
            target.set_faults(draining=False)

    async def plan_leave(self, rng: random.Random) -> None:
        """The VM list shows a target as leaving; it still takes work."""
        with self._claim(list(self.targets), rng) as address:
            self.list_vm(address, "zone-0", address, "target", "leaving")
            leaving = histories.Leaving(address, time.time())
            self.history.leavings.append(leaving)
            await asyncio.sleep(2.5)
            self._close_leaving(address)
            self.list_vm(address, "zone-0", address, "target", "live")

    def _close_leaving(self, address: str) -> None:
        self.history.leavings = [
            dataclasses.replace(leaving, ended_at=time.time())
            if leaving.target == address and leaving.ended_at == float("inf")
            else leaving
            for leaving in self.history.leavings
        ]

    async def plan_racing_operators(self, rng: random.Random) -> None:
        notes = [rng.uniform(1.0, 30.0) for _ in range(3)]
        await asyncio.gather(
            *(self._propose(f"op-{i}", note) for i, note in enumerate(notes))
        )


def read_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


def main() -> None:
    arguments = read_arguments()
    loguru.logger.remove()
    tally = asyncio.run(
        check_histories.check_histories(
            FleetBench, arguments.seconds, arguments.seed
        )
    )
    tally.print_line(arguments.seed)
    sys.exit(1 if tally.violations else 0)


if __name__ == "__main__":
    main()

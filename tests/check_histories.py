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
# So small that probes beyond it show within one history.
PROBE_BUDGET = {"requests_per_second": 2.0, "bytes_per_second": 10_000.0}
ACTIVATION_POLL_SECONDS = 0.01
MAX_PAUSE_SECONDS = 0.8


class FleetBench(fleets.Fleet):
    """A fleet behind pipes that can cut connections; it records its history.

    `inject_` methods inject one unplanned fault, `plan_` methods perform one
    planned stop or change.
    """

    def __init__(self, proxy_gateways: bool = True) -> None:
        super().__init__(once_capacity=400, once_answer_bytes=2_000_000)
        self._proxy_gateways = proxy_gateways
        self.history = histories.History()
        self.history.budgets.append(
            histories.ProbeBudget("queue", **PROBE_BUDGET)
        )
        self.connect_addresses: dict[str, str] = {}
        self.faults = {
            "gateway-kill": self.inject_gateway_kill,
            "agent-restart": self.inject_agent_restart,
            "pause": self.inject_pause,
            "partition": self.inject_partition,
            "held-callers": self.inject_delayed_callers,
            "crash": self.inject_crash,
            "silence": self.inject_silence,
            "lost-reply": self.inject_lost_reply,
            "shed": self.inject_shed,
            "store-outage": self.inject_store_outage,
            "lost-store-replies": self.inject_lost_store_replies,
        }
        self.plans = {
            "planned-stop": self.plan_stop,
            "drain": self.plan_drain,
            "own-drain": self.plan_own_drain,
            "leave": self.plan_leaving,
            "racing-operators": self.plan_racing_operators,
        }
        self._agent_pipes: dict[str, pipes.Pipe] = {}
        self._gateway_pipes: dict[str, pipes.Pipe] = {}
        self._target_pipes: dict[str, pipes.Pipe] = {}
        self._drained: set[str] = set()
        self._reserved: set[str] = set()
        self._lifetimes: dict[str, histories.ProcessLifetime] = {}
        self._activation_task: asyncio.Task[None] | None = None

    async def start(self, vm_count: int = VMS) -> None:
        await super().start(vm_count)
        for _ in range(TARGETS):
            await self._start_piped_target()
        generation = await self.apply(self.build_piped_document())
        self._record_accepted(generation)
        await fleets.wait_for(
            lambda: all(
                len(g._view.gateways) == vm_count
                for g in self.gateways.values()
            )
        )
        loop = asyncio.get_running_loop()
        self._activation_task = loop.create_task(self._record_activations())

    async def stop(self) -> None:
        assert self._activation_task is not None
        self._activation_task.cancel()
        for target in self.targets.values():
            documents = [dataclasses.asdict(run) for run in target.runs]
            self.history.add_runs(documents)
            self.history.probes += [
                histories.Probe("queue", probe.at, probe.size_bytes)
                for probe in target.probes
            ]
        self.history.lifetimes += self._lifetimes.values()
        await super().stop()
        for pipe in [
            *self._agent_pipes.values(),
            *self._gateway_pipes.values(),
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
            self._gateway_pipes[vm] = pipes.Pipe(settings.gateway.addresses[0])
            await self._gateway_pipes[vm].start()
        agent = settings.agent.model_copy(
            update={"listen": self._agent_pipes[vm].address}
        )
        piped = settings.model_copy(update={"agent": agent})
        gateway = gateways.GatewayService(piped, 0)
        await gateway.start()
        self.gateways[vm] = gateway
        self.addresses[vm] = settings.gateway.addresses[0]
        piped_address = self._gateway_pipes[vm].address
        address = self.addresses[vm]
        self.connect_addresses[address] = (
            piped_address if self._proxy_gateways else address
        )
        self._lifetimes[vm] = histories.ProcessLifetime(
            vm, vm, gateway._gateway.incarnation, time.time()
        )

    def _end_lifetime(self, vm: str) -> None:
        lifetime = dataclasses.replace(
            self._lifetimes.pop(vm), ended_at=time.time()
        )
        self.history.lifetimes.append(lifetime)

    async def _record_activations(self) -> None:
        """Records each activation of a generation by a gateway."""
        recorded: dict[str, tuple[str, int]] = {}
        while True:
            for vm, gateway in self.gateways.items():
                active = (
                    gateway._gateway.incarnation,
                    gateway._view.tables.generation,
                )
                if recorded.get(vm) != active:
                    recorded[vm] = active
                    event = histories.Activation(vm, *active, time.time())
                    self.history.activations.append(event)
            await asyncio.sleep(ACTIVATION_POLL_SECONDS)

    def build_piped_document(self) -> dict[str, object]:
        document = self.build_document(SLOTS)
        document["pools"][0]["measuring"] = PROBE_BUDGET
        for target in document["pools"][0]["targets"]:
            target["drained"] = target["address"] in self._drained
        return document

    def _record_accepted(self, generation: int) -> None:
        accepted = histories.AcceptedGeneration(generation, time.time())
        self.history.accepted.append(accepted)

    async def _propose(self, author: str, time_limit: float) -> bool:
        """Proposes a change of the route's time limit and of drained targets.

        Args:
            author: Name of the operator.
            time_limit: New time limit, in seconds.

        Returns:
            True if the change was committed; False if it was not, or if its
            outcome is unknown.
        """
        client = store_client.StoreClient(self.session, self.store_url, 0.5)
        log = change_log.ChangeLog(client, fleets.PREFIX)
        document = self.build_piped_document()
        document["routes"][0]["time_limit_seconds"] = time_limit  # type: ignore
        desired = declarations.parse_tables("test", document)
        try:
            current = await log.read_tables()
            change = changes.diff_tables(
                current, desired, uuid.uuid4().hex, author, time.time()
            )
            await log.propose(change)
        except (errors.ChangeConflictError, errors.StoreError):
            return False
        except errors.ChangeOutcomeUnknownError:
            return False
        self._record_accepted(change.generation)
        return True

    @contextlib.contextmanager
    def _record_fault(self, kind: str, subject: str) -> Iterator[None]:
        """Records a fault that lasts as long as the block."""
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
    def _reserve_subject(
        self, names: list[str], rng: random.Random
    ) -> Iterator[str]:
        """Yields a random subject that no other fault of the pair affects."""
        free = [name for name in names if name not in self._reserved]
        subject = rng.choice(free)
        self._reserved.add(subject)
        try:
            yield subject
        finally:
            self._reserved.discard(subject)

    async def _wait_fault_duration(self, rng: random.Random) -> None:
        await asyncio.sleep(rng.uniform(*check_histories.FAULT_SECONDS))

    async def inject_gateway_kill(self, rng: random.Random) -> None:
        with self._reserve_subject(list(self.settings), rng) as vm:
            with self._record_fault("gateway-kill", self.addresses[vm]):
                self._end_lifetime(vm)
                self._gateway_pipes[vm].cut()
                await self.kill_gateway(vm)
                await self._wait_fault_duration(rng)
            await self.start_gateway(vm)

    async def inject_agent_restart(self, rng: random.Random) -> None:
        with (
            self._reserve_subject(list(self.settings), rng) as vm,
            self._record_fault("partition", vm),
        ):
            await self.agents[vm].stop()
            await self._wait_fault_duration(rng)
            self.agents[vm] = agents.AgentService(self.settings[vm])
            await self.agents[vm].start()

    async def inject_pause(self, rng: random.Random) -> None:
        """Blocks the event loop on which all components of the fleet run."""
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        with self._record_fault("pause", ""):
            time.sleep(rng.uniform(0.1, MAX_PAUSE_SECONDS))

    async def inject_partition(self, rng: random.Random) -> None:
        with (
            self._reserve_subject(list(self.settings), rng) as vm,
            self._record_fault("partition", vm),
        ):
            pipe = self._agent_pipes[vm]
            pipe.refusing = True
            pipe.cut()
            await self._wait_fault_duration(rng)
            pipe.refusing = False

    async def inject_delayed_callers(self, rng: random.Random) -> None:
        """Delays what callers send to a gateway."""
        with self._reserve_subject(list(self.settings), rng) as vm:
            pipe = self._gateway_pipes[vm]
            pipe.forwarding.clear()
            await self._wait_fault_duration(rng)
            pipe.forwarding.set()

    async def inject_crash(self, rng: random.Random) -> None:
        with (
            self._reserve_subject(list(self.targets), rng) as address,
            self._record_fault("crash", address),
        ):
            pipe = self._target_pipes[address]
            pipe.refusing = True
            pipe.cut()
            await self._wait_fault_duration(rng)
            pipe.refusing = False

    async def inject_silence(self, rng: random.Random) -> None:
        with (
            self._reserve_subject(list(self.targets), rng) as address,
            self._record_fault("silence", address),
        ):
            self._target_pipes[address].discard_traffic()
            await self._wait_fault_duration(rng)

    async def inject_lost_reply(self, rng: random.Random) -> None:
        with (
            self._reserve_subject(list(self.targets), rng) as address,
            self._record_fault("lost-reply", address),
        ):
            self._target_pipes[address].replies_to_lose += rng.randint(1, 5)
            await self._wait_fault_duration(rng)
            self._target_pipes[address].replies_to_lose = 0

    async def inject_shed(self, rng: random.Random) -> None:
        with self._reserve_subject(list(self.targets), rng) as address:
            target = self.targets[address]
            target.faults = targets.Faults(shedding=True)
            await self._wait_fault_duration(rng)
            target.faults = targets.Faults()

    async def inject_store_outage(self, rng: random.Random) -> None:
        with (
            self._reserve_subject(["store"], rng),
            self._record_fault("store-outage", ""),
        ):
            self.store.faults.down = True
            await self._wait_fault_duration(rng)
            self.store.faults.down = False

    async def inject_lost_store_replies(self, rng: random.Random) -> None:
        self.store.faults.lose_replies = 3
        await self._propose("operator", rng.uniform(1.0, 30.0))

    async def plan_stop(self, rng: random.Random) -> None:
        with self._reserve_subject(list(self.settings), rng) as vm:
            gateway = self.gateways[vm]
            self._end_lifetime(vm)
            # Callers connect to the gateway without a pipe, since a pipe cannot
            # refuse a connection as a closed port does.
            self.connect_addresses.pop(self.addresses[vm])
            await self.stop_gateway(vm)
            assert gateway._gateway.address == self.addresses[vm]
            await self.start_gateway(vm)

    async def replace_vm(self, vm: str) -> None:
        """Stops a VM as the platform does: SIGTERM to all its processes."""
        agent = self.agents.pop(vm)
        self.add_to_vm_list(
            vm, "zone-0", agent._settings.agent.listen, "entry", "leaving"
        )
        self._end_lifetime(vm)
        address = self.addresses.pop(vm)

        async def stop_agent() -> None:
            await agent.drain()
            await agent.stop()

        await asyncio.gather(stop_agent(), self.stop_gateway(vm))
        self.connect_addresses.pop(address)
        self.settings.pop(vm)
        self.vms._vms.pop(vm)
        self.vms._publish(dict(self.vms._vms))

    async def plan_drain(self, rng: random.Random) -> None:
        """Drains a target as an operator does, and ends the draining later."""
        with self._reserve_subject(list(self.targets), rng) as address:
            self._drained.add(address)
            if await self._propose("drainer", rng.uniform(1.0, 30.0)):
                period = histories.DrainingPeriod(address, time.time())
                self.history.draining_periods.append(period)
            # Longer than invariants.DRAINING_BOUND_SECONDS, so that requests
            # that the target must not receive any more would be recorded.
            await asyncio.sleep(2.5)
            self._end_draining_period(address)
            self._drained.discard(address)
            await self._propose("drainer", rng.uniform(1.0, 30.0))

    async def plan_own_drain(self, rng: random.Random) -> None:
        """Lets a target report draining on its responses for 2.5 s."""
        with self._reserve_subject(list(self.targets), rng) as address:
            target = self.targets[address]
            target.set_faults(draining=True)
            await asyncio.sleep(2.5)
            target.set_faults(draining=False)

    async def plan_leaving(self, rng: random.Random) -> None:
        """Lists a target that accepts requests as leaving in the VM list."""
        with self._reserve_subject(list(self.targets), rng) as address:
            self.add_to_vm_list(address, "zone-0", address, "target", "leaving")
            period = histories.DrainingPeriod(address, time.time())
            self.history.draining_periods.append(period)
            await asyncio.sleep(2.5)
            self._end_draining_period(address)
            self.add_to_vm_list(address, "zone-0", address, "target", "live")

    def _end_draining_period(self, address: str) -> None:
        self.history.draining_periods = [
            dataclasses.replace(period, ended_at=time.time())
            if period.target == address and period.ended_at == float("inf")
            else period
            for period in self.history.draining_periods
        ]

    async def plan_racing_operators(self, rng: random.Random) -> None:
        time_limits = [rng.uniform(1.0, 30.0) for _ in range(3)]
        await asyncio.gather(
            *(
                self._propose(f"op-{i}", limit)
                for i, limit in enumerate(time_limits)
            )
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

"""Requests that are suspected of crashing targets, on real entry VMs."""

import asyncio

import pytest

from tests import fleet
from tests import suspect_model
from tests import vm_fleet
from wigeonspool.core import suspect_reports
from wigeonspool.vm import service
from wigeonspool.vm import vm_registration

# Longer than a crash check, and shorter than a report to the other VMs takes.
CRASH_SECONDS = 0.3
# Time within which all VMs learn of a change, also of one that another VM made.
REPORT_SECONDS = 5.0
# In the model, a VM that got no report itself waits for others first.
MAX_REPORT_SECONDS = (
    suspect_reports.OTHERS_ANSWER_SECONDS
    + 12 * suspect_reports.OTHERS_INTERVAL_SECONDS
    + suspect_model.MAX_LAG_SECONDS
    + 1.0
)
# The platform allows this many runs later than `Stable` after the third crash.
MAX_CRASHES = 3
MAX_LATE_RUNS = 3
STABLE_SECONDS = 3.0


async def crash_target(
    vms: vm_fleet.VmFleet, vm: str, identity: str, body: bytes = b"x"
) -> None:
    """Sends a request until a target runs it; that target crashes.

    The target is started again. The request may be answered by others before.
    """
    target = vms.targets[identity]
    runs = len(target.runs)
    target.faults.crashing = True
    while len(target.runs) == runs:
        await vms.send(vm, "/write/list", "POST", data=body)
    await asyncio.sleep(CRASH_SECONDS)
    await vms.restart_target(identity)


async def restart_all(vms: vm_fleet.VmFleet) -> None:
    """Kills all VMs and starts them again."""
    names = list(vms.vms)
    for name in names:
        await vms.kill_vm(name)
    for name in names:
        await vms.start_vm(name)


def list_suspected_targets(vm: service.VmService) -> list[tuple[str, ...]]:
    """Returns the crashed targets of each suspect of a VM."""
    return [targets for _, targets in vm._cluster.suspects.list_suspects()]


async def start_registered(vms: vm_fleet.VmFleet, *names: str) -> None:
    """Starts VMs and waits until their entries are in the store."""
    for name in names:
        await vms.start_vm(name)
        key = f"vms/{name}".encode()
        await fleet.wait_for(lambda key=key: key in vms.store.records)


class TestSoundRequests:
    """Targets crash for reasons of their own while they run a request."""

    # Guards against a request that all VMs refuse after a restart, since the
    # store still held crashes from before its last response.
    async def test_request_answered_between_crashes_is_served_after_restart(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await start_registered(vms, "vm-1", "vm-2")
        for identity in ("t-3", "t-4"):
            await crash_target(vms, "vm-1", identity)
            for _ in range(4):
                reply = await vms.send("vm-1", "/write/list", "POST", data=b"x")
                assert reply[0] == 200
            await asyncio.sleep(1.0)
        await restart_all(vms)
        for name in ("vm-1", "vm-2"):
            reply = await vms.send(name, "/write/list", "POST", data=b"x")
            assert reply[0] == 200

    # Guards against a VM that refuses a request for minutes, since nobody told
    # it of the responses between the crashes.
    async def test_vm_that_got_no_response_learns_of_it(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await start_registered(vms, "vm-1", "vm-2", "vm-3")
        for name, identity in (("vm-1", "t-3"), ("vm-2", "t-4")):
            await crash_target(vms, name, identity)
            await vms.send(name, "/write/list", "POST", data=b"x")
            await asyncio.sleep(REPORT_SECONDS / 2)
        reply = await vms.send("vm-3", "/write/list", "POST", data=b"x")
        assert reply[0] == 200

    # Guards against a request that two targets interrupt at the same time, and
    # that all VMs refuse from then on.
    async def test_request_answered_before_is_served_after_a_double_crash(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await start_registered(vms, "vm-1")
        for identity in ("t-3", "t-4"):
            vms.targets[identity].service_ms = 150.0
        while not all(vms.targets[i].runs for i in ("t-3", "t-4")):
            await vms.send("vm-1", "/write/list", "POST", data=b"x")
        vms.set_faults("t-3", "t-4", crashing=True)
        sends = [
            vms.send("vm-1", "/write/list", "POST", data=b"x") for _ in range(6)
        ]
        await asyncio.gather(*sends)
        await asyncio.sleep(CRASH_SECONDS)
        for identity in ("t-3", "t-4"):
            await vms.restart_target(identity)
        reply = await vms.send("vm-1", "/write/list", "POST", data=b"x")
        assert reply[0] == 200


class TestCrashingRequests:
    """A request crashes each target that runs it, and its caller resends it."""

    async def refuse(self, vms: vm_fleet.VmFleet) -> None:
        """Sends the request until it is refused; starts its targets again."""
        vms.set_faults("t-3", "t-4", crashing=True)
        for _ in range(2):
            await vms.send("vm-1", "/write/list", "POST", data=b"bad")
            await asyncio.sleep(CRASH_SECONDS)
        for identity in ("t-3", "t-4"):
            assert len(vms.targets[identity].runs) == 1
            await vms.restart_target(identity)
        await asyncio.sleep(REPORT_SECONDS / 2)

    async def is_refused(self, vms: vm_fleet.VmFleet, vm: str) -> bool:
        reply = await vms.send(vm, "/write/list", "POST", data=b"bad")
        return reply[0] == 503 and reply[1] == b"quarantined"

    # Guards against a fix that forgets a crash with the process that saw it.
    async def test_request_stays_refused_after_restarts(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await start_registered(vms, "vm-1", "vm-2")
        await self.refuse(vms)
        await vms.kill_vm("vm-1")
        await vms.start_vm("vm-1")
        assert await self.is_refused(vms, "vm-1")
        await restart_all(vms)
        assert await self.is_refused(vms, "vm-1")
        assert await self.is_refused(vms, "vm-2")

    # Guards against a crash that nobody learns of, since the store was away
    # when its VM reported it.
    async def test_crash_is_reported_once_the_store_is_back(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await start_registered(vms, "vm-1", "vm-2")
        vms.store.faults.down = True
        await vms.store._notify()
        await self.refuse(vms)
        assert await self.is_refused(vms, "vm-1")
        vms.store.faults.down = False
        await fleet.wait_for(
            lambda: any(
                len(targets) == 2
                for targets in list_suspected_targets(vms.vms["vm-2"])
            )
        )
        assert await self.is_refused(vms, "vm-2")


def count_late_runs(deployment: suspect_model.Deployment) -> int:
    """Returns how often a request ran long after its third crash."""
    known_at = deployment.crash_times[MAX_CRASHES - 1] + STABLE_SECONDS
    return sum(at > known_at for vm in deployment.vms for at in vm.runs)


class TestManyVms:
    """Both sides of the promise, with many VMs in virtual time."""

    # Guards against a sound request that is refused for longer than the reports
    # of its responses take, on any VM, before or after a restart.
    @pytest.mark.parametrize("seed", range(25))
    def test_answered_request_is_refused_nowhere(self, seed: int) -> None:
        deployment = suspect_model.Deployment(12, seed)
        rng = deployment.rng
        deployment.run(2.0)
        for _ in range(6):
            vm = rng.choice(deployment.vms)
            if deployment.send(vm, crashes=True):
                other = rng.choice([vm, *deployment.vms])
                assert deployment.send(other, crashes=False)
            fault = rng.choice(("none", "away", "one", "all"))
            if fault == "away":
                deployment.store.is_away = True
                deployment.run(rng.uniform(0.0, 5.0))
                deployment.store.is_away = False
            deployment.run(MAX_REPORT_SECONDS)
            if fault == "one":
                deployment.restart(rng.choice(deployment.vms))
            if fault == "all":
                deployment.restart(*deployment.vms)
            deployment.run(2.0)
            assert not deployment.list_refusing()
        assert deployment.store.writes <= 2 * len(deployment.crash_times) + 6

    # Guards against a crashing request that runs again on many targets, since
    # VMs forgot its crashes.
    @pytest.mark.parametrize("seed", range(25))
    def test_crashing_request_stays_refused(self, seed: int) -> None:
        deployment = suspect_model.Deployment(12, seed)
        rng = deployment.rng
        deployment.run(2.0)
        for _ in range(40):
            for vm in rng.sample(deployment.vms, 3):
                deployment.send(vm, crashes=True)
            fault = rng.choice(("none", "none", "away", "one", "all"))
            if len(deployment.crash_times) < MAX_CRASHES:
                fault = "none"
            if fault == "one":
                deployment.restart(rng.choice(deployment.vms))
            elif fault == "all":
                deployment.restart(*deployment.vms)
            elif fault == "away":
                deployment.store.is_away = True
                for vm in rng.sample(deployment.vms, 3):
                    deployment.send(vm, crashes=True)
                deployment.run(rng.uniform(0.0, 5.0))
                deployment.store.is_away = False
            deployment.run(rng.uniform(0.0, 3.0))
        assert count_late_runs(deployment) <= MAX_LATE_RUNS

    # Guards against crashes that are forgotten with the lease of the VM that
    # reported them.
    @pytest.mark.parametrize("away", [True, False])
    def test_reports_outlive_the_lease_of_their_vm(self, away: bool) -> None:
        deployment = suspect_model.Deployment(12, 1)
        deployment.run(2.0)
        first, *others = deployment.vms
        while deployment.send(first, crashes=True):
            pass
        deployment.run(2.0)
        first.running = away
        deployment.store.is_away = away
        deployment.run(vm_registration.LEASE_SECONDS + 1.0)
        deployment.store.is_away = False
        deployment.run(MAX_REPORT_SECONDS)
        deployment.restart(*others)
        deployment.run(2.0)
        assert len(deployment.list_refusing()) == len(deployment.vms)

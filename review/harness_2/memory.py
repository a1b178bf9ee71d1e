"""Ends processes that exceed their memory, as the platform does."""

import asyncio
import pathlib
import time

from review.harness_2 import deployment
from review.harness_2 import vms

MEMORY_MB = 300
CHECK_SECONDS = 0.1
RESTART_SECONDS = 0.3
# "On a tenth of the machines in use (two at least) processes end by themselves
# three times in the day."
MIN_MACHINES = 2
MIN_ENDS = 3


def read_mb(vm: vms.Vm) -> float:
    """Returns the resident memory of a process, or 0 once it has ended."""
    assert vm.process is not None
    try:
        status = pathlib.Path(f"/proc/{vm.process.pid}/status").read_text()
    except OSError:
        return 0.0
    for line in status.splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


class MemoryLimit:
    """Kills and restarts the processes that exceed `MEMORY_MB`.

    Attributes:
        ends: Number of processes that ended so, by VM.
    """

    def __init__(self, parts: deployment.Deployment) -> None:
        self.ends: dict[str, int] = {}
        self._parts = parts
        self._started_at = time.monotonic()

    async def watch(self) -> None:
        """Checks all processes until it is cancelled."""
        await asyncio.gather(*(self._watch(vm) for vm in self._parts.vms.list))

    async def _watch(self, vm: vms.Vm) -> None:
        logged_at = 0.0
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            used_mb = read_mb(vm)
            now = time.monotonic()
            if now > logged_at + 5.0:
                logged_at = now
                self._parts.log(f"{vm.name} uses {used_mb:.0f} MB")
            if used_mb <= MEMORY_MB:
                continue
            self.ends[vm.name] = self.ends.get(vm.name, 0) + 1
            self._parts.log(
                f"sum: {vm.name} uses {used_mb:.0f} MB of {MEMORY_MB} MB and is"
                f" killed, for the {self.ends[vm.name]}. time"
            )
            await vm.kill()
            await asyncio.sleep(RESTART_SECONDS)
            await vm.start()
            await vm.wait_ready()

    def is_fault(self) -> bool:
        """Returns True if enough processes ended by themselves."""
        often = [n for n in self.ends.values() if n >= MIN_ENDS]
        return len(often) >= MIN_MACHINES

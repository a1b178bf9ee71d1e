"""Waits until a generation of the tables is active on all VMs."""

import asyncio
import time
from typing import Final

from wigeonspool.model import errors
from wigeonspool.operator import statuses

POLL_SECONDS: Final = 0.05


async def wait_until_active(
    generation: int, agent: str, wait_seconds: float
) -> tuple[int, float]:
    """Polls an agent until a generation is active on all VMs.

    Args:
        generation: Generation to wait for.
        agent: host:port of any agent.
        wait_seconds: Longest time to wait, in seconds.

    Returns:
        The number of VMs, and the time until the generation was active, in
        seconds.

    Raises:
        GenerationNotActiveError: If the generation was not active on all VMs in
            time.
    """
    started_at = time.monotonic()
    deadline = started_at + wait_seconds
    active_vms = vm_count = 0
    while True:
        try:
            heartbeats = await statuses.read_heartbeats(agent)
            vm_count = len(heartbeats)
            active_vms = sum(h.generation >= generation for h in heartbeats)
        except errors.AgentUnavailableError:
            # The change is accepted even if the agent is unavailable, so the
            # agent is queried again until the time is over.
            active_vms = 0
        if active_vms == vm_count and active_vms:
            return active_vms, time.monotonic() - started_at
        if time.monotonic() >= deadline:
            raise errors.GenerationNotActiveError(
                generation, active_vms, vm_count
            )
        await asyncio.sleep(POLL_SECONDS)

"""Waits until a generation is in force on all VMs."""

import asyncio
import time
from typing import Final

from wigeonspool.model import errors
from wigeonspool.operator import statuses

POLL_SECONDS: Final = 0.05


async def wait_in_force(
    generation: int, agent: str, wait_seconds: float
) -> tuple[int, float]:
    """Waits until a generation is in force on all VMs.

    Args:
        generation: Generation to wait for.
        agent: host:port of any agent.
        wait_seconds: Longest time to wait.

    Returns:
        How many VMs those are, and how long it took in seconds.

    Raises:
        NotInForceError: If the time ran out.
    """
    started_at = time.monotonic()
    give_up_at = started_at + wait_seconds
    holders = known = 0
    while True:
        try:
            heartbeats = await statuses.read_heartbeats(agent)
            known = len(heartbeats)
            holders = sum(h.generation >= generation for h in heartbeats)
        except errors.AgentUnavailableError:
            # The change is accepted, whatever an agent answers or not.
            holders = 0
        if holders == known and holders:
            return holders, time.monotonic() - started_at
        if time.monotonic() >= give_up_at:
            raise errors.NotInForceError(generation, holders, known)
        await asyncio.sleep(POLL_SECONDS)

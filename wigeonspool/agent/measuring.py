"""Sends probes for as long as this agent is a feeder."""

import asyncio
from typing import Final

import aiohttp

from wigeonspool.agent import health
from wigeonspool.agent import probing
from wigeonspool.core import measuring

STEP_SECONDS: Final = 0.05


async def keep_measuring(prober: probing.Prober) -> None:
    """Sends what is due until it is cancelled; then nothing more is sent."""
    async with health.build_session() as session, asyncio.TaskGroup() as tasks:
        while True:
            await prober.wanted.wait()
            for probe in prober.begin():
                tasks.create_task(_measure(session, prober, probe))
            await asyncio.sleep(STEP_SECONDS)


async def _measure(
    session: aiohttp.ClientSession,
    prober: probing.Prober,
    probe: probing.Probe,
) -> None:
    """Sends one probe and takes its end, also if it is cancelled."""
    answer = health.HealthAnswer(None, measuring.MAX_PROBE_BYTES)
    try:
        answer = await health.ask_health(
            session, probe.target, lambda: prober.may_send(probe)
        )
    finally:
        prober.finish(probe, answer.state, answer.size)

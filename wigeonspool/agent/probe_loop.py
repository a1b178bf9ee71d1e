"""Sends the due probes while this agent is a feeder."""

import asyncio
from typing import Final

import aiohttp

from wigeonspool.agent import health
from wigeonspool.agent import probe_scheduler
from wigeonspool.core import probe_budget

POLL_INTERVAL_SECONDS: Final = 0.05


async def run_probes(scheduler: probe_scheduler.ProbeScheduler) -> None:
    """Sends due probes until cancelled; running probes are cancelled too."""
    async with health.build_session() as session, asyncio.TaskGroup() as tasks:
        while True:
            await scheduler.has_requests.wait()
            for probe in scheduler.start_due_probes():
                tasks.create_task(_run_probe(session, scheduler, probe))
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def _run_probe(
    session: aiohttp.ClientSession,
    scheduler: probe_scheduler.ProbeScheduler,
    probe: probe_scheduler.Probe,
) -> None:
    """Sends one probe and settles its charge.

    If it is cancelled, the maximum stays charged.
    """
    response = health.HealthResponse(None, probe_budget.MAX_PROBE_BYTES)
    try:
        response = await health.probe_health(
            session, probe.target, lambda: scheduler.may_send(probe)
        )
    finally:
        scheduler.finish(probe, response.state, response.size_bytes)

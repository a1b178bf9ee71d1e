"""The load of the demo, and its verdict over what was seen."""

import asyncio
import dataclasses
import json
import random
from typing import Any, Final

import aiohttp

from wigeonspool.load import callers
from wigeonspool.load import checker
from wigeonspool.load import history as histories

WORKS: Final = (
    callers.Work("queue", "GET", "/queue", 150.0, True, 2.0),
    callers.Work("decision", "POST", "/decision", 40.0, False, 2.0),
    callers.Work("archive", "GET", "/archive?bytes=500000", 2.0, True, 10.0),
    callers.Work("balance", "GET", "/balance", 150.0, True, 0.25),
    callers.Work("refund", "POST", "/refund", 40.0, False, 2.0),
    callers.Work("settlement", "GET", "/settlement", 2.0, True, 10.0),
)


async def run_demo(
    seeds: list[str],
    controls: list[str],
    zones: list[str],
    seconds: float,
    drained: str,
    seed: int,
) -> tuple[histories.History, checker.Verdict]:
    """Sends mixed load and drains a target halfway.

    Args:
        seeds: Gateways that callers may ask first.
        controls: Control ports of the target stand-ins.
        zones: Availability zones of the callers.
        seconds: Length of the load.
        drained: Address of the target to drain, on the first control port.
        seed: Seed of all choices.
    """
    history = histories.History()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        loads = []
        for index, work in enumerate(WORKS):
            rng = random.Random(seed * 1000 + index)
            zone = zones[index % len(zones)]
            caller = callers.Caller(
                session, f"{work.pool}-desk", zone, seeds, history, rng
            )
            loads.append(callers.send_load(caller, work, seconds, rng))
        drain = _drain_target(session, controls[0], drained, seconds / 2)
        await asyncio.gather(*loads, drain)
        for control in controls:
            async with session.get(f"http://{control}/runs") as response:
                document: dict[str, Any] = await response.json()
                history.add_runs(document["runs"])
    return history, checker.check_history(history)


async def _drain_target(
    session: aiohttp.ClientSession, control: str, target: str, after: float
) -> None:
    """Makes a target leave after some seconds."""
    await asyncio.sleep(after)
    body = {"targets": [target], "draining": True}
    async with session.post(f"http://{control}/faults", json=body):
        pass


def print_report(history: histories.History, verdict: checker.Verdict) -> None:
    """Prints a table by pool, then the verdict as one line of JSON."""
    print(f"{'pool':<12}{'sent':>7}{'answered':>10}{'p50 ms':>9}{'p99 ms':>9}")
    for pool in dict.fromkeys(i.pool for i in history.invocations):
        mine = [i for i in history.invocations if i.pool == pool]
        took = sorted(
            (i.ended_at - i.started_at) * 1000
            for i in mine
            if i.outcome == "answered"
        )
        p50 = took[len(took) // 2] if took else float("nan")
        p99 = took[int(len(took) * 0.99)] if took else float("nan")
        print(f"{pool:<12}{len(mine):>7}{len(took):>10}{p50:>9.1f}{p99:>9.1f}")
    for invocation in history.invocations:
        if invocation.outcome != "answered":
            print(
                f"{invocation.request}: {invocation.outcome}"
                f" ({invocation.reason})"
            )
    print(json.dumps(dataclasses.asdict(verdict)))

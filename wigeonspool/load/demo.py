"""Sends the load of the demo and checks the recorded history."""

import asyncio
import dataclasses
import json
import random
from typing import Any, Final

import aiohttp

from wigeonspool.load import callers
from wigeonspool.load import checker
from wigeonspool.load import history as histories

REQUEST_KINDS: Final = (
    callers.RequestKind("queue", "GET", "/queue", 150.0, True, 2.0),
    callers.RequestKind("decision", "POST", "/decision", 40.0, False, 2.0),
    callers.RequestKind(
        "archive", "GET", "/archive?bytes=500000", 2.0, True, 10.0
    ),
    callers.RequestKind("balance", "GET", "/balance", 150.0, True, 0.25),
    callers.RequestKind("refund", "POST", "/refund", 40.0, False, 2.0),
    callers.RequestKind("settlement", "GET", "/settlement", 2.0, True, 10.0),
)


async def run_demo(
    seeds: list[str],
    controls: list[str],
    zones: list[str],
    seconds: float,
    drained: str,
    seed: int,
) -> tuple[histories.History, checker.Verdict]:
    """Sends mixed load, drains a target halfway and checks the history.

    Args:
        seeds: Gateways that callers may query first.
        controls: Control ports of the target stand-ins.
        zones: Availability zones of the callers.
        seconds: Length of the load.
        drained: Address of the target to drain, on the first control port.
        seed: Seed of all random choices.
    """
    history = histories.History()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        loads = []
        for index, kind in enumerate(REQUEST_KINDS):
            rng = random.Random(seed * 1000 + index)
            zone = zones[index % len(zones)]
            caller = callers.Caller(
                session, f"{kind.pool}-desk", zone, seeds, history, rng
            )
            loads.append(callers.send_load(caller, kind, seconds, rng))
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
    """Drains a target.

    Args:
        session: HTTP client to use.
        control: Control port of the target stand-ins.
        target: Address of the target.
        after: Time to wait before, in seconds.
    """
    await asyncio.sleep(after)
    body = {"targets": [target], "draining": True}
    async with session.post(f"http://{control}/faults", json=body):
        pass


def print_report(history: histories.History, verdict: checker.Verdict) -> None:
    """Prints a table by pool, then the verdict as one line of JSON."""
    print(f"{'pool':<12}{'sent':>7}{'answered':>10}{'p50 ms':>9}{'p99 ms':>9}")
    for pool in dict.fromkeys(i.pool for i in history.invocations):
        invocations = [i for i in history.invocations if i.pool == pool]
        latencies = sorted(
            (i.ended_at - i.started_at) * 1000
            for i in invocations
            if i.outcome == "answered"
        )
        p50 = latencies[len(latencies) // 2] if latencies else float("nan")
        p99 = (
            latencies[int(len(latencies) * 0.99)] if latencies else float("nan")
        )
        print(
            f"{pool:<12}{len(invocations):>7}{len(latencies):>10}"
            f"{p50:>9.1f}{p99:>9.1f}"
        )
    for invocation in history.invocations:
        if invocation.outcome != "answered":
            print(
                f"{invocation.request}: {invocation.outcome}"
                f" ({invocation.reason})"
            )
    print(json.dumps(dataclasses.asdict(verdict)))

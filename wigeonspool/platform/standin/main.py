"""Command line of the platform's stand-ins, which the tests run."""

import asyncio
import base64
import json
import signal
from typing import Any, Final

import aiohttp
from aiohttp import web
import cyclopts

from wigeonspool.platform.standin import store as stores
from wigeonspool.platform.standin import target as targets

# A start of a target that names no other time, in Unix milliseconds.
FIRST_START_MS: Final = 1_700_000_000_000

app = cyclopts.App(
    name="wigeonspool-platform-standin",
    help="Small stand-ins for a platform and its targets. Not for use.",
)


async def _wait_for_signal() -> None:
    """Waits for SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


@app.command
def store(address: str) -> None:
    """Runs the store; faults are set by POST /faults.

    Args:
        address: host:port to listen on.
    """

    async def run() -> None:
        standin = stores.PlatformStore()
        expiry_task = asyncio.create_task(standin.expire_leases())
        runner = web.AppRunner(standin.build_app(), shutdown_timeout=0.1)
        await runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()
        await _wait_for_signal()
        expiry_task.cancel()
        await runner.cleanup()

    asyncio.run(run())


@app.command
def target(
    address: str,
    identity: str,
    service: str,
    zone: str,
    store_address: str,
    *,
    started_at_ms: int = FIRST_START_MS,
    cold_ms: int = 0,
) -> None:
    """Runs a target that registers itself.

    POST /faults sets its faults, GET /arrivals returns the requests that
    reached it.

    Args:
        address: host:port to listen on.
        identity: Identity of the target.
        service: Service that it belongs to.
        zone: Availability zone.
        store_address: host:port of the store.
        started_at_ms: Start that its entry states, in Unix milliseconds; a new
            start under the same identity has a later one.
        cold_ms: How long it is cold, as its entry and its health checks state.
    """

    async def run() -> None:
        standin = targets.PlatformTarget(identity)
        standin.faults.cold_seconds = cold_ms / 1000
        await standin.start(address)
        entry = build_entry(
            address,
            service,
            zone,
            started_at_ms=started_at_ms,
            cold_ms=cold_ms,
        )
        await write_key(store_address, f"servers/{identity}", entry)
        await _wait_for_signal()

    asyncio.run(run())


def build_entry(
    address: str,
    service: str,
    zone: str,
    state: str = "ready",
    started_at_ms: int = FIRST_START_MS,
    sequence: int = 1,
    cold_ms: int = 0,
) -> dict[str, Any]:
    """Returns the entry with which a target registers itself.

    Args:
        address: host:port of the target.
        service: Service that the target belongs to.
        zone: Availability zone.
        state: State that the target reports: "ready" or "draining".
        started_at_ms: Start of the target, in Unix milliseconds.
        sequence: Number of the entry among those of this start.
        cold_ms: How long the target is cold after its start.
    """
    return {
        "Address": address,
        "Info": {
            "Service": service,
            "ConfigVersion": "v1",
            "Zone": zone,
            "Slots": 4,
        },
        "Status": {
            "State": state,
            "Seq": sequence,
            "Cold_time": f"{cold_ms}ms",
        },
        "born": started_at_ms,
    }


async def write_key(address: str, key: str, value: dict[str, Any]) -> None:
    """Writes a JSON document to a key of the store.

    Args:
        address: host:port of the store.
        key: Key to write.
        value: The document.

    Raises:
        ClientResponseError: If the store refused the write.
    """
    encoded = base64.b64encode(json.dumps(value).encode()).decode()
    row = {"Key": key, "Value": encoded, "LeaseId": 0}
    document = {"Expected": [], "Writes": [row], "Deletes": []}
    url = f"http://{address}/v1/kv-txn"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, json=document) as response,
    ):
        response.raise_for_status()


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    main()

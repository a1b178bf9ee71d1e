"""Command line of the stand-ins, for tests and the demo."""

import asyncio
from collections.abc import Coroutine
import pathlib
import signal
from typing import Annotated, Any, Final

from aiohttp import web
import cyclopts

from wigeonspool.standin import groups
from wigeonspool.standin import store as stores
from wigeonspool.standin import target as targets
from wigeonspool.standin import vms

LOOPBACK: Final = "127.0.0.1"

app = cyclopts.App(
    name="wigeonspool-standin",
    help="Stand-ins for the platform and for targets. Not for production.",
)


async def _serve(
    application: web.Application,
    port: int,
    *background: Coroutine[Any, Any, None],
) -> None:
    """Serves an application and runs tasks until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    tasks = [loop.create_task(coroutine) for coroutine in background]
    runner = web.AppRunner(application, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, port).start()
    await stop_requested.wait()
    for task in tasks:
        task.cancel()
    await runner.cleanup()


@app.command
def store(port: int = 2379) -> None:
    """Runs the store stand-in.

    Args:
        port: Port on the loopback address.
    """

    async def run() -> None:
        standin = stores.StoreStandin()
        await _serve(standin.build_app(), port, standin.expire_leases())

    asyncio.run(run())


@app.command(name="vm-list")
def vm_list(file: pathlib.Path, port: int = 2378) -> None:
    """Runs the VM list stand-in.

    Args:
        file: YAML file with the initial list.
        port: Port on the loopback address.
    """

    async def run() -> None:
        standin = vms.VmListStandin(vms.read_list(file))
        await _serve(standin.build_app(), port)

    asyncio.run(run())


@app.command
def target(
    count: int,
    first_port: int,
    control_port: int,
    slots: int = 4,
    seed: int = 1,
    work: Annotated[list[str] | None, cyclopts.Parameter()] = None,
    connect_ms: float = 1.0,
) -> None:
    """Runs target stand-ins in one process.

    Args:
        count: Number of targets.
        first_port: Port of the first target; the others use the next ports.
        control_port: Port for setting faults and showing runs.
        slots: Requests that each target runs concurrently.
        seed: Seed of the service times.
        work: Mean service time of a path prefix, as /prefix=milliseconds; may
            be given more than once.
        connect_ms: Delay of the first response on a new connection, in
            milliseconds.
    """
    service_times: list[targets.PathServiceTime] = []
    for entry in work or []:
        prefix, _, service_ms = entry.rpartition("=")
        service_times.append(targets.PathServiceTime(prefix, float(service_ms)))

    async def run() -> None:
        standins = [
            targets.TargetStandin(
                f"{LOOPBACK}:{first_port + i}", slots, service_times, seed + i
            )
            for i in range(count)
        ]
        for standin in standins:
            standin.set_faults(connect_ms=connect_ms)
        group = groups.TargetGroup(standins)
        await group.start()
        await _serve(
            group.build_app(), control_port, group.close_crashed_targets()
        )

    asyncio.run(run())


def main() -> None:
    """Runs the command; entry point of `wigeonspool-standin`."""
    app()

"""Runs the target stand-ins of one process and serves their control port."""

import asyncio
import dataclasses
from typing import Any

from aiohttp import web

from wigeonspool.standin import target as targets


class TargetGroup:
    """The target stand-ins of one process, each with an HTTP server."""

    def __init__(self, members: list[targets.TargetStandin]) -> None:
        self._targets = {target.address: target for target in members}
        self._runners: dict[str, web.ServerRunner] = {}

    async def start(self) -> None:
        """Opens the port of each target."""
        for target in self._targets.values():
            await self._open_port(target)

    async def _open_port(self, target: targets.TargetStandin) -> None:
        """Opens the port of one target."""
        host, _, port = target.address.rpartition(":")
        server = web.Server(target.serve, handler_cancellation=True)
        runner = web.ServerRunner(server)
        await runner.setup()
        await web.TCPSite(runner, host, int(port), backlog=512).start()
        self._runners[target.address] = runner

    async def close_crashed_targets(self) -> None:
        """Closes the ports of targets as they crash, until cancelled."""
        while True:
            await asyncio.sleep(0.01)
            for address, target in self._targets.items():
                if target.crashed and address in self._runners:
                    await self._runners.pop(address).cleanup()

    def build_app(self) -> web.Application:
        """Returns the application of the control port."""
        app = web.Application()
        app.router.add_post("/faults", self._set_faults)
        app.router.add_post("/restart", self._restart)
        app.router.add_get("/runs", self._show_runs)
        app.router.add_get("/probes", self._show_probes)
        return app

    async def _set_faults(self, request: web.Request) -> web.Response:
        """Changes the faults of the listed targets, or of all of them."""
        body: dict[str, Any] = await request.json()
        addresses = body.pop("targets", list(self._targets))
        for address in addresses:
            self._targets[address].set_faults(**body)
        return web.json_response({"targets": len(addresses)})

    async def _restart(self, request: web.Request) -> web.Response:
        """Opens the ports of the listed targets again if they crashed."""
        for address in (await request.json())["targets"]:
            target = self._targets[address]
            target.crashed = False
            if address not in self._runners:
                await self._open_port(target)
        return web.json_response({})

    async def _show_runs(self, _: web.Request) -> web.Response:
        """Returns all runs of all targets."""
        runs = [
            dataclasses.asdict(run)
            for target in self._targets.values()
            for run in target.runs
        ]
        return web.json_response({"runs": runs})

    async def _show_probes(self, _: web.Request) -> web.Response:
        """Returns all requests to the health endpoints of all targets."""
        probes = [
            dataclasses.asdict(probe)
            for target in self._targets.values()
            for probe in target.probes
        ]
        return web.json_response({"probes": probes})

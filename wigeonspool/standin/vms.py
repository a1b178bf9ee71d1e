"""Stand-in of the platform's VM list, with a lag that can be set."""

import asyncio
import hashlib
import json
import pathlib
from typing import Any

from aiohttp import web
import yaml


class VmListStandin:
    """Serves the list as it was `lag_seconds` ago.

    Attributes:
        calls: Reads of the list.
        bytes_sent: Bytes of the lists that were sent.
    """

    def __init__(self, vms: list[dict[str, Any]]) -> None:
        """Prepares the list.

        Args:
            vms: Its first entries.
        """
        self._vms = {vm["name"]: vm for vm in vms}
        self._shown = dict(self._vms)
        self._lag_seconds = 0.0
        self._down = False
        self.calls = 0
        self.bytes_sent = 0

    def build_app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application()
        app.router.add_get("/v1/vms", self._show)
        app.router.add_post("/vms", self._put)
        app.router.add_post("/faults", self._set_faults)
        return app

    async def _show(self, request: web.Request) -> web.Response:
        """Shows the list, unless its reader has it already."""
        self.calls += 1
        if self._down:
            return web.Response(status=503)
        body = json.dumps({"vms": list(self._shown.values())}).encode()
        tag = f'"{hashlib.blake2b(body, digest_size=16).hexdigest()}"'
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers={"ETag": tag})
        self.bytes_sent += len(body)
        return web.Response(
            body=body, content_type="application/json", headers={"ETag": tag}
        )

    async def _put(self, request: web.Request) -> web.Response:
        """Adds, changes or (with state "gone") removes a VM."""
        vm = await request.json()
        known = self._vms.get(vm["name"], {})
        self._vms[vm["name"]] = known | vm
        if vm.get("state") == "gone":
            del self._vms[vm["name"]]
        loop = asyncio.get_running_loop()
        loop.call_later(self._lag_seconds, self._publish, dict(self._vms))
        return web.json_response({})

    def _publish(self, vms: dict[str, dict[str, Any]]) -> None:
        """Makes a state of the list visible."""
        self._shown = vms

    async def _set_faults(self, request: web.Request) -> web.Response:
        """Takes the lag in seconds and whether the list is down."""
        body = await request.json()
        self._lag_seconds = float(body.get("lag_seconds", self._lag_seconds))
        self._down = bool(body.get("down", self._down))
        return web.json_response({})


def read_list(path: pathlib.Path) -> list[dict[str, Any]]:
    """Returns the VMs in a YAML file."""
    document = yaml.safe_load(path.read_text(encoding="utf-8"))
    vms: list[dict[str, Any]] = document["vms"]
    return vms

"""Stand-in of the platform's VM list, with an adjustable lag."""

import asyncio
import hashlib
import json
import pathlib
from typing import Any

from aiohttp import web
import yaml


class VmListStandin:
    """Serves the VM list; changes become visible after a lag.

    Attributes:
        calls: Number of requests for the list.
        bytes_sent: Total bytes of the lists that were sent.
    """

    def __init__(self, vms: list[dict[str, Any]]) -> None:
        """Publishes the initial list, without a lag.

        Args:
            vms: Initial entries of the list.
        """
        self._vms = {vm["name"]: vm for vm in vms}
        self._published = dict(self._vms)
        self._lag_seconds = 0.0
        self._down = False
        self.calls = 0
        self.bytes_sent = 0

    def build_app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application()
        app.router.add_get("/v1/vms", self._serve_list)
        app.router.add_post("/vms", self._update_vm)
        app.router.add_post("/faults", self._set_faults)
        return app

    async def _serve_list(self, request: web.Request) -> web.Response:
        """Returns the list, or 304 if the entity tag shows no change."""
        self.calls += 1
        if self._down:
            return web.Response(status=503)
        body = json.dumps({"vms": list(self._published.values())}).encode()
        etag = f'"{hashlib.blake2b(body, digest_size=16).hexdigest()}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        self.bytes_sent += len(body)
        return web.Response(
            body=body, content_type="application/json", headers={"ETag": etag}
        )

    async def _update_vm(self, request: web.Request) -> web.Response:
        """Adds or changes a VM, or removes it if its state is "gone"."""
        vm = await request.json()
        old_entry = self._vms.get(vm["name"], {})
        self._vms[vm["name"]] = old_entry | vm
        if vm.get("state") == "gone":
            del self._vms[vm["name"]]
        loop = asyncio.get_running_loop()
        loop.call_later(self._lag_seconds, self._publish, dict(self._vms))
        return web.json_response({})

    def _publish(self, vms: dict[str, dict[str, Any]]) -> None:
        """Makes a version of the list visible to readers."""
        self._published = vms

    async def _set_faults(self, request: web.Request) -> web.Response:
        """Sets the lag in seconds and whether requests fail with 503."""
        body = await request.json()
        self._lag_seconds = float(body.get("lag_seconds", self._lag_seconds))
        self._down = bool(body.get("down", self._down))
        return web.json_response({})


def read_list(path: pathlib.Path) -> list[dict[str, Any]]:
    """Returns the entries of the VMs in a YAML file."""
    document = yaml.safe_load(path.read_text(encoding="utf-8"))
    vms: list[dict[str, Any]] = document["vms"]
    return vms

"""Stand-in of the platform's metadata store, over the store stand-in."""

import asyncio
import base64
import contextlib
import dataclasses
from typing import Any, Final
import urllib.parse

from aiohttp import web

from wigeonspool.platform import duration_text
from wigeonspool.standin import store

MAX_PAGE_ITEMS: Final = 50
WATCH_CHECK_SECONDS: Final = 0.25


@dataclasses.dataclass(slots=True)
class PlatformFaults(store.Faults):
    """What goes wrong on purpose, besides what any store stand-in does.

    Attributes:
        refused_hosts: Callers that are turned away.
        stale_seconds: How old an answer to a stale read is.
    """

    refused_hosts: tuple[str, ...] = ()
    stale_seconds: float = 0.0


class PlatformStore(store.StoreStandin):
    """Speaks the platform's protocol.

    Attributes:
        compacted_revision: Revision up to which the history is gone.
    """

    def __init__(self) -> None:
        super().__init__()
        self.faults: PlatformFaults = PlatformFaults()
        self.compacted_revision = 0

    def build_app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=4 * 1024 * 1024)
        routes = app.router
        routes.add_get("/v1/kv-key", self._apply_faults(self._serve_key))
        routes.add_get("/v1/kv-range", self._apply_faults(self._serve_range))
        routes.add_get("/v1/kv-watch", self._apply_faults(self._serve_watch))
        routes.add_post("/v1/kv-txn", self._apply_faults(self._serve_txn))
        routes.add_post("/v1/kv-lease", self._apply_faults(self._serve_lease))
        routes.add_post(
            "/v1/kv-keep/{id}", self._apply_faults(self._serve_keep)
        )
        routes.add_delete(
            "/v1/kv-lease-end/{id}", self._apply_faults(self._serve_lease_end)
        )
        routes.add_post("/faults", self._set_faults)
        routes.add_get("/calls", self._show_calls)
        return app

    async def put(self, key: str, value: bytes | None) -> int:
        """Writes or removes a key as the operator or a target does."""
        name = key.encode()
        if value is None:
            self._remove(name)
        else:
            self._write(name, value, 0)
        await self._notify()
        return self.revision

    async def compact(self) -> None:
        """Drops the history and cuts the watches that wait."""
        self.compacted_revision = self.revision
        self.history.clear()
        await self._notify()

    def _apply_faults(self, serve: Any) -> Any:
        """Returns a handler that counts the call and applies the faults."""

        async def handle(request: web.Request) -> web.StreamResponse:
            name = request.path.split("/")[2]
            self.calls[name] = self.calls.get(name, 0) + 1
            if self.faults.delay_ms:
                await asyncio.sleep(self.faults.delay_ms / 1000)
            if self._refuses(request):
                return web.Response(status=503)
            revision = self.revision
            response: web.StreamResponse = await serve(request)
            if self.revision != revision and request.method != "GET":
                await self._notify()
                if self.faults.lose_replies > 0:
                    self.faults.lose_replies -= 1
                    assert request.transport is not None
                    request.transport.abort()
            return response

        return handle

    def _refuses(self, request: web.Request) -> bool:
        """Returns True if a caller is turned away."""
        return self.faults.down or request.remote in self.faults.refused_hosts

    def _show_item(self, key: bytes, record: store.Record) -> dict[str, Any]:
        """Returns the platform's form of a key."""
        return {
            "Key": key.decode(),
            "Value": base64.b64encode(record.value).decode(),
            "Revision": record.mod_revision,
            "Created": record.create_revision,
            "LeaseId": record.lease,
        }

    async def _serve_key(self, request: web.Request) -> web.Response:
        """Serves a read of one key."""
        key = request.query["Key"].encode()
        record = self.records.get(key)
        if record is None:
            return web.json_response({"AtRev": self.revision}, status=404)
        shown = self._show_item(key, record)
        return web.json_response(shown | {"AtRev": self.revision})

    async def _serve_range(self, request: web.Request) -> web.Response:
        """Serves a read of a page of keys."""
        prefix = request.query.get("Prefix", "").encode()
        after = request.query.get("after", "").encode()
        keys = sorted(
            key
            for key in self.records
            if key.startswith(prefix) and (not after or key > after)
        )
        shown = [
            self._show_item(k, self.records[k]) for k in keys[:MAX_PAGE_ITEMS]
        ]
        return web.json_response(
            {
                "items": shown,
                "HasMore": len(keys) > MAX_PAGE_ITEMS,
                "AtRev": self.revision,
            }
        )

    async def _serve_watch(self, request: web.Request) -> web.Response:
        """Serves a watch."""
        prefix = request.query.get("Prefix", "").encode()
        after = int(request.query["after"])
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + int(request.query["WaitMs"]) / 1000
        while True:
            if self._refuses(request):
                return web.Response(status=503)
            if after < self.compacted_revision:
                return web.Response(status=410)
            found = self._list_since(after, prefix, prefix + b"\xff")
            if found and not self.faults.silent_watches:
                break
            left = give_up_at - loop.time()
            if left <= 0:
                break
            await self._await_change(min(left, WATCH_CHECK_SECONDS))
        shown = [
            self._show_item(key, record)
            if record is not None
            else {"Key": key.decode(), "Revision": revision, "Deleted": True}
            for revision, _, key, record in found
        ]
        return web.json_response({"events": shown, "AtRev": self.revision})

    async def _await_change(self, seconds: float) -> None:
        """Waits for a change, for a limited time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds), self.changed:
                await self.changed.wait()

    async def _serve_txn(self, request: web.Request) -> web.Response:
        """Serves a change under a condition."""
        body = await request.json()
        for row in body.get("Expected", []):
            record = self.records.get(row["Key"].encode())
            held = 0 if record is None else record.mod_revision
            if held != row["Revision"]:
                return web.json_response({"items": []}, status=412)
        writes = body.get("Writes", [])
        leases = {row.get("LeaseId", 0) for row in writes} - {0}
        if leases - self.leases.keys():
            return web.Response(status=404)
        for row in writes:
            value = base64.b64decode(row["Value"], validate=True)
            self._write(row["Key"].encode(), value, row.get("LeaseId", 0))
        for key in body.get("Deletes", []):
            if key.encode() in self.records:
                self._remove(key.encode())
        return web.json_response({"Revision": self.revision})

    async def _serve_lease(self, request: web.Request) -> web.Response:
        """Serves a new lease."""
        seconds = duration_text.parse_seconds(
            (await request.json())["Ttl_time"]
        )
        granted = self._grant({"TTL": seconds})
        return web.json_response(
            {
                "LeaseId": int(granted["ID"]),
                "Ttl_time": duration_text.format_seconds(seconds),
            }
        )

    async def _serve_keep(self, request: web.Request) -> web.Response:
        """Serves a renewal."""
        lease = request.match_info["id"]
        if int(lease) not in self.leases:
            return web.Response(status=404)
        self._renew({"ID": lease})
        return web.json_response({"Ttl_time": "0ms"})

    async def _serve_lease_end(self, request: web.Request) -> web.Response:
        """Serves the end of a lease."""
        lease = urllib.parse.unquote(request.match_info["id"])
        if int(lease) not in self.leases:
            return web.Response(status=404)
        self._revoke({"ID": lease})
        return web.json_response({})

"""Stand-in of the platform's metadata store.

It adds the platform's protocol and faults to the etcd stand-in, which keeps the
keys, leases and history in memory.
"""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import time
from typing import Any, Final
import urllib.parse

from aiohttp import web

from wigeonspool.platform import duration_text
from wigeonspool.standin import store

MAX_PAGE_ITEMS: Final = 50
# A waiting watch checks at this interval whether a fault refuses it.
WATCH_CHECK_SECONDS: Final = 0.25
# Greatest age of the data of a replica.
MAX_STALE_SECONDS: Final = 30.0


@dataclasses.dataclass(slots=True)
class PlatformFaults(store.Faults):
    """Injected faults, in addition to those of the etcd stand-in.

    Attributes:
        refused_hosts: IP addresses of clients whose calls get status 503.
        stale_seconds: Age of the data of each of its replicas, in seconds;
            they serve stale reads in turn.
    """

    refused_hosts: tuple[str, ...] = ()
    stale_seconds: tuple[float, ...] = (0.0,)


class PlatformStore(store.StoreStandin):
    """Serves the platform's store protocol over HTTP.

    Attributes:
        compacted_revision: Revision up to which the history was dropped.
    """

    def __init__(self) -> None:
        super().__init__()
        self.faults: PlatformFaults = PlatformFaults()
        self.compacted_revision = 0
        self._stale_reads = 0
        # State at the end of `MAX_STALE_SECONDS`, and the changes since then.
        self._old_records: dict[bytes, store.Record] = {}
        self._old_revision = self.revision
        self._changes: collections.deque[
            tuple[float, int, bytes, store.Record | None]
        ] = collections.deque()

    def build_app(self) -> web.Application:
        """Returns the HTTP application, including /faults and /calls."""
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

    def _write(self, key: bytes, value: bytes, lease: int) -> None:
        """Writes one key at a new revision, and keeps the change for replicas.

        Raises:
            ValueError: If the value is too large or the lease has ended.
        """
        super()._write(key, value, lease)
        self._record_change(key, self.records[key])

    def _remove(self, key: bytes) -> None:
        """Removes one key at a new revision, and keeps that for replicas."""
        super()._remove(key)
        self._record_change(key, None)

    def _record_change(self, key: bytes, record: store.Record | None) -> None:
        """Stores a change, and drops those that no replica lacks any more."""
        now = time.monotonic()
        self._changes.append((now, self.revision, key, record))
        while self._changes[0][0] < now - MAX_STALE_SECONDS:
            _, self._old_revision, old_key, old = self._changes.popleft()
            _apply_change(self._old_records, old_key, old)

    def _read_replica(self) -> tuple[dict[bytes, store.Record], int]:
        """Returns the keys and the revision of the next replica."""
        ages = self.faults.stale_seconds
        age_seconds = ages[self._stale_reads % len(ages)]
        self._stale_reads += 1
        if not age_seconds:
            return self.records, self.revision
        records, revision = dict(self._old_records), self._old_revision
        until = time.monotonic() - age_seconds
        for changed_at, changed_revision, key, record in self._changes:
            if changed_at > until:
                break
            revision = changed_revision
            _apply_change(records, key, record)
        return records, revision

    async def put(self, key: str, value: bytes | None) -> int:
        """Writes a key, or removes it; returns the revision.

        Tests use this to act as the operator or a target. No fault applies.
        """
        encoded_key = key.encode()
        if value is None:
            self._remove(encoded_key)
        else:
            self._write(encoded_key, value, 0)
        await self._notify()
        return self.revision

    async def compact(self) -> None:
        """Drops the history; a watch of dropped changes gets status 410."""
        self.compacted_revision = self.revision
        self.history.clear()
        await self._notify()

    def _apply_faults(self, serve: Any) -> Any:
        """Returns a handler that counts the calls and applies the faults."""

        async def handle(request: web.Request) -> web.StreamResponse:
            call = request.path.split("/")[2]
            self.calls[call] = self.calls.get(call, 0) + 1
            if self.faults.delay_ms:
                await asyncio.sleep(self.faults.delay_ms / 1000)
            if self._is_refused(request):
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

    def _is_refused(self, request: web.Request) -> bool:
        """Returns True if a fault refuses a request."""
        return self.faults.down or request.remote in self.faults.refused_hosts

    def _encode_item(self, key: bytes, record: store.Record) -> dict[str, Any]:
        """Returns the JSON form of a key."""
        return {
            "Key": key.decode(),
            "Value": base64.b64encode(record.value).decode(),
            "Revision": record.mod_revision,
            "Created": record.create_revision,
            "LeaseId": record.lease,
        }

    async def _serve_key(self, request: web.Request) -> web.Response:
        """Handles a read of one key."""
        key = request.query["Key"].encode()
        record = self.records.get(key)
        if record is None:
            return web.json_response({"AtRev": self.revision}, status=404)
        item = self._encode_item(key, record)
        return web.json_response(item | {"AtRev": self.revision})

    async def _serve_range(self, request: web.Request) -> web.Response:
        """Handles a read of a page of the keys with a prefix."""
        prefix = request.query.get("Prefix", "").encode()
        after = request.query.get("after", "").encode()
        records, revision = self.records, self.revision
        if request.query.get("AllowStale") == "1":
            records, revision = self._read_replica()
        keys = sorted(
            key
            for key in records
            if key.startswith(prefix) and (not after or key > after)
        )
        items = [
            self._encode_item(key, records[key])
            for key in keys[:MAX_PAGE_ITEMS]
        ]
        return web.json_response(
            {
                "items": items,
                "HasMore": len(keys) > MAX_PAGE_ITEMS,
                "AtRev": revision,
            }
        )

    async def _serve_watch(self, request: web.Request) -> web.Response:
        """Handles a watch: replies at a change or after the waiting time."""
        prefix = request.query.get("Prefix", "").encode()
        after = int(request.query["after"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(request.query["WaitMs"]) / 1000
        while True:
            if self._is_refused(request):
                return web.Response(status=503)
            if after < self.compacted_revision:
                return web.Response(status=410)
            changes = self._list_since(after, prefix, prefix + b"\xff")
            if changes and not self.faults.silent_watches:
                break
            remaining_seconds = deadline - loop.time()
            if remaining_seconds <= 0:
                break
            await self._await_change(
                min(remaining_seconds, WATCH_CHECK_SECONDS)
            )
        events = [
            self._encode_item(key, record)
            if record is not None
            else {"Key": key.decode(), "Revision": revision, "Deleted": True}
            for revision, _, key, record in changes
        ]
        return web.json_response({"events": events, "AtRev": self.revision})

    async def _await_change(self, seconds: float) -> None:
        """Waits until any key changes, but no longer than some seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds), self.changed:
                await self.changed.wait()

    async def _serve_txn(self, request: web.Request) -> web.Response:
        """Handles a transaction: writes and removals under conditions."""
        body = await request.json()
        for condition in body.get("Expected", []):
            record = self.records.get(condition["Key"].encode())
            revision = 0 if record is None else record.mod_revision
            if revision != condition["Revision"]:
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
        """Handles the creation of a lease."""
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
        """Handles the renewal of a lease."""
        lease = request.match_info["id"]
        if int(lease) not in self.leases:
            return web.Response(status=404)
        self._renew({"ID": lease})
        return web.json_response({"Ttl_time": "0ms"})

    async def _serve_lease_end(self, request: web.Request) -> web.Response:
        """Handles the end of a lease, which removes its keys."""
        lease = urllib.parse.unquote(request.match_info["id"])
        if int(lease) not in self.leases:
            return web.Response(status=404)
        self._revoke({"ID": lease})
        return web.json_response({})


def _apply_change(
    records: dict[bytes, store.Record], key: bytes, record: store.Record | None
) -> None:
    """Writes a key to some records, or removes it if there is no record."""
    if record is None:
        records.pop(key, None)
    else:
        records[key] = record

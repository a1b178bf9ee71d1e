"""Stand-in of the configuration store: etcd v3 HTTP/JSON, in memory.

Faults can be set over HTTP while it runs: unavailable, slow, replies that are
lost after the change took effect, and watches that report nothing. Tests can
take a backup of the keys and restore it.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import time
from typing import Any, Final

from aiohttp import web

MAX_VALUE_BYTES: Final = 1024 * 1024
WATCH_CHECK_SECONDS: Final = 0.5


@dataclasses.dataclass(slots=True)
class Record:
    """The value of one key, with its revisions and lease."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


@dataclasses.dataclass(slots=True)
class Lease:
    """One lease; `deadline` is on the monotonic clock, in seconds."""

    ttl_seconds: float
    deadline: float


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that the store injects.

    Attributes:
        down: All calls fail with 503 and watches are disconnected.
        delay_ms: Delay added to each call, in milliseconds; not to watches.
        lose_replies: Number of further writes that take effect but whose
            connection is reset instead of a reply.
        silent_watches: Watches stay open and report nothing.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_replies: int = 0
    silent_watches: bool = False


class StoreStandin:
    """Stores keys and leases, and notifies watches of changes.

    Attributes:
        calls: Number of calls by path; a watch counts as one call.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.records: dict[bytes, Record] = {}
        self.leases: dict[int, Lease] = {}
        self.history: list[tuple[int, str, bytes, Record | None]] = []
        self.changed = asyncio.Condition()
        self.faults = Faults()
        self.calls: dict[str, int] = {}

    def build_app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=4 * 1024 * 1024)
        app.router.add_post("/v3/kv/range", self._build_handler(self._range))
        app.router.add_post("/v3/kv/put", self._build_handler(self._put))
        app.router.add_post(
            "/v3/kv/deleterange", self._build_handler(self._delete)
        )
        app.router.add_post("/v3/kv/txn", self._build_handler(self._txn))
        app.router.add_post("/v3/lease/grant", self._build_handler(self._grant))
        app.router.add_post(
            "/v3/lease/keepalive", self._build_handler(self._renew)
        )
        app.router.add_post(
            "/v3/lease/revoke", self._build_handler(self._revoke)
        )
        app.router.add_post("/v3/watch", self._watch)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/calls", self._show_calls)
        return app

    def copy_records(self) -> dict[bytes, Record]:
        """Returns a copy of all keys, as a backup."""
        return {
            key: dataclasses.replace(record)
            for key, record in self.records.items()
        }

    async def restore_records(self, backup: dict[bytes, Record]) -> None:
        """Replaces all keys with a backup; watches report no events of this."""
        self.records = {k: dataclasses.replace(r) for k, r in backup.items()}
        self.revision += 1
        self.history.clear()
        await self._notify()

    async def expire_leases(self) -> None:
        """Ends leases whose deadline has passed, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease_id, lease in list(self.leases.items()):
                if lease.deadline <= now:
                    await self._end_lease(lease_id)

    async def _end_lease(self, lease_id: int) -> None:
        """Ends a lease and removes its keys."""
        self.leases.pop(lease_id, None)
        keys = [k for k, r in self.records.items() if r.lease == lease_id]
        for key in keys:
            self._remove(key)
        await self._notify()

    async def _notify(self) -> None:
        """Wakes all watches."""
        async with self.changed:
            self.changed.notify_all()

    def _build_handler(self, serve: Any) -> Any:
        """Returns an HTTP handler of one call.

        The handler counts the calls, applies the faults and wakes the watches
        after a write.

        Args:
            serve: Returns the reply to the body of a call.
        """

        async def handle(request: web.Request) -> web.StreamResponse:
            self.calls[request.path] = self.calls.get(request.path, 0) + 1
            body = await request.json()
            if self.faults.delay_ms:
                await asyncio.sleep(self.faults.delay_ms / 1000)
            if self.faults.down:
                return web.Response(status=503)
            revision = self.revision
            try:
                reply = serve(body)
            except ValueError as error:
                return web.json_response({"message": str(error)}, status=400)
            if self.revision != revision:
                await self._notify()
                if self.faults.lose_replies > 0:
                    self.faults.lose_replies -= 1
                    assert request.transport is not None
                    request.transport.abort()
            reply["header"] = {"revision": str(self.revision)}
            return web.json_response(reply)

        return handle

    def _select(self, body: dict[str, Any]) -> list[bytes]:
        """Returns the stored keys in the range of a request, sorted."""
        start = base64.b64decode(body["key"])
        if not body.get("range_end"):
            return [start] if start in self.records else []
        end = base64.b64decode(body["range_end"])
        return sorted(
            k for k in self.records if k >= start and (end == b"\0" or k < end)
        )

    def _build_item(self, key: bytes, record: Record) -> dict[str, Any]:
        """Returns the JSON form of a key."""
        return {
            "key": base64.b64encode(key).decode(),
            "value": base64.b64encode(record.value).decode(),
            "create_revision": str(record.create_revision),
            "mod_revision": str(record.mod_revision),
            "version": str(record.version),
            "lease": str(record.lease),
        }

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Returns the keys of a range, up to the limit."""
        keys = self._select(body)
        if body.get("sort_order") == "DESCEND":
            keys.reverse()
        count = len(keys)
        limit = int(body.get("limit", 0))
        if limit:
            keys = keys[:limit]
        kvs = [self._build_item(k, self.records[k]) for k in keys]
        return {"kvs": kvs, "count": str(count), "more": len(keys) < count}

    def _write(self, key: bytes, value: bytes, lease: int) -> None:
        """Writes one key at a new revision.

        Raises:
            ValueError: If the value is too large or the lease has ended.
        """
        if lease and lease not in self.leases:
            raise ValueError("lease not found")
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError("value is too large")
        self.revision += 1
        old = self.records.get(key)
        record = Record(
            value,
            old.create_revision if old else self.revision,
            self.revision,
            old.version + 1 if old else 1,
            lease,
        )
        self.records[key] = record
        self.history.append((self.revision, "PUT", key, record))

    def _remove(self, key: bytes) -> None:
        """Removes one key at a new revision."""
        self.revision += 1
        del self.records[key]
        self.history.append((self.revision, "DELETE", key, None))

    def _put(self, body: dict[str, Any]) -> dict[str, Any]:
        """Writes one key.

        Raises:
            ValueError: If the value is too large or the lease has ended.
        """
        lease = int(body.get("lease", 0))
        self._write(
            base64.b64decode(body["key"]),
            base64.b64decode(body.get("value", "")),
            lease,
        )
        return {}

    def _delete(self, body: dict[str, Any]) -> dict[str, Any]:
        """Removes the keys of a range."""
        keys = self._select(body)
        for key in keys:
            self._remove(key)
        return {"deleted": str(len(keys))}

    def _compare(self, condition: dict[str, Any]) -> bool:
        """Returns True if a condition of a transaction holds."""
        record = self.records.get(base64.b64decode(condition["key"]))
        fields = {
            "CREATE": ("create_revision", record.create_revision)
            if record
            else ("create_revision", 0),
            "MOD": ("mod_revision", record.mod_revision)
            if record
            else ("mod_revision", 0),
            "VERSION": ("version", record.version)
            if record
            else ("version", 0),
            "LEASE": ("lease", record.lease) if record else ("lease", 0),
        }
        if condition["target"] == "VALUE":
            expected = base64.b64decode(condition.get("value", ""))
            return record is not None and record.value == expected
        name, actual = fields[condition["target"]]
        return actual == int(condition.get(name, 0))

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        """Evaluates the conditions of a transaction and runs one branch.

        Raises:
            ValueError: If a value is too large or a lease has ended.
        """
        succeeded = all(map(self._compare, body.get("compare", [])))
        branch = "success" if succeeded else "failure"
        responses: list[dict[str, Any]] = []
        for operation in body.get(branch, []):
            for name, serve in (
                ("put", self._put),
                ("range", self._range),
                ("delete_range", self._delete),
            ):
                if f"request_{name}" in operation:
                    reply = serve(operation[f"request_{name}"])
                    responses.append({f"response_{name}": reply})
        return {"succeeded": succeeded, "responses": responses}

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        """Creates a lease with the ID of the request, or the next free one."""
        lease_id = int(body.get("ID", 0)) or len(self.leases) + self.revision
        while lease_id in self.leases:
            lease_id += 1
        ttl = float(body["TTL"])
        self.leases[lease_id] = Lease(ttl, time.monotonic() + ttl)
        self.revision += 1
        return {"ID": str(lease_id), "TTL": str(body["TTL"])}

    def _renew(self, body: dict[str, Any]) -> dict[str, Any]:
        """Renews a lease; replies with a TTL of 0 if it has ended."""
        lease = self.leases.get(int(body["ID"]))
        if lease is None:
            return {"result": {"ID": body["ID"], "TTL": "0"}}
        lease.deadline = time.monotonic() + lease.ttl_seconds
        ttl = str(int(lease.ttl_seconds))
        return {"result": {"ID": str(body["ID"]), "TTL": ttl}}

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        """Ends a lease and removes its keys."""
        lease_id = int(body["ID"])
        self.leases.pop(lease_id, None)
        for key in [k for k, r in self.records.items() if r.lease == lease_id]:
            self._remove(key)
        return {}

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        """Serves a watch until the client disconnects or `down` is set."""
        self.calls["/v3/watch"] = self.calls.get("/v3/watch", 0) + 1
        if self.faults.down:
            return web.Response(status=503)
        create = (await request.json())["create_request"]
        start = base64.b64decode(create["key"])
        end = base64.b64decode(create.get("range_end", ""))
        last_revision = int(create.get("start_revision", 0)) - 1
        if last_revision < 0:
            last_revision = self.revision
        response = web.StreamResponse()
        await response.prepare(request)
        created = {"result": {"created": True, "events": []}}
        await response.write(json.dumps(created).encode() + b"\n")
        while not self.faults.down and not _is_disconnected(request):
            batch = self._list_since(last_revision, start, end or start + b"\0")
            last_revision = self.revision
            if batch and not self.faults.silent_watches:
                line = json.dumps(self._build_watch_reply(batch)).encode()
                await response.write(line + b"\n")
            await self._wait_for_change(last_revision)
        if request.transport is not None:
            request.transport.abort()
        return response

    async def _wait_for_change(self, revision: int) -> None:
        """Waits until the revision differs from the given one.

        Returns after `WATCH_CHECK_SECONDS` at the latest, so that the watch
        notices a disconnected client.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WATCH_CHECK_SECONDS), self.changed:
                if self.revision == revision:
                    await self.changed.wait()

    def _list_since(
        self, after: int, start: bytes, end: bytes
    ) -> list[tuple[int, str, bytes, Record | None]]:
        """Returns the writes to a key range after a revision, oldest first."""
        writes: list[tuple[int, str, bytes, Record | None]] = []
        for entry in reversed(self.history):
            if entry[0] <= after:
                break
            if start <= entry[2] < end:
                writes.append(entry)
        writes.reverse()
        return writes

    def _build_watch_reply(
        self, batch: list[tuple[int, str, bytes, Record | None]]
    ) -> dict[str, Any]:
        """Returns the JSON form of a batch of events for a watch."""
        events: list[dict[str, Any]] = []
        for _, kind, key, record in batch:
            kv = (
                self._build_item(key, record)
                if record
                else {"key": base64.b64encode(key).decode()}
            )
            events.append({"type": kind, "kv": kv})
        return {"result": {"events": events}}

    async def _set_faults(self, request: web.Request) -> web.Response:
        """Changes faults; fields that are not given stay as they are."""
        body = await request.json()
        self.faults = dataclasses.replace(self.faults, **body)
        await self._notify()
        return web.json_response(dataclasses.asdict(self.faults))

    async def _show_calls(self, _: web.Request) -> web.Response:
        """Returns the number of calls by path."""
        return web.json_response(self.calls)


def _is_disconnected(request: web.Request) -> bool:
    """Returns True if the client of a watch closed its connection."""
    return request.transport is None or request.transport.is_closing()

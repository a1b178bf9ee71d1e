"""Stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
from collections.abc import Callable
import contextlib
import json
import time
from typing import Any
import urllib.parse

from review.lib import wire

# PROTOCOL.md: "at most about 500 items or 1 MB".
PAGE_ITEMS = 500


class Store:
    """Keys, leases and history in memory, served over HTTP/1.1.

    Attributes:
        answer_s: Time until each answer.
        find_stale_s: Returns the age of the data in the answer to a read with
            `AllowStale`.
        page_items: Most items of a page.
        revision: Revision of the last change.
    """

    def __init__(
        self,
        find_stale_s: Callable[[], float] = lambda: 0.0,
        answer_s: float = 0.004,
        page_items: int = PAGE_ITEMS,
    ) -> None:
        self.answer_s = answer_s
        self.find_stale_s = find_stale_s
        self.page_items = page_items
        self.revision = 10
        # (time, revision, key, item or None) of each change.
        self.log: list[tuple[float, int, str, dict[str, Any] | None]] = []
        self.items: dict[str, dict[str, Any]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.reads: list[tuple[float, bool, int]] = []
        self._next_lease = 100
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Starts to serve."""
        self._server = await asyncio.start_server(self._serve, host, port)
        task = asyncio.create_task(self._expire())
        self._tasks.add(task)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key; returns the revision."""
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "Created": created,
            "LeaseId": lease,
        }
        self.items[key] = item
        self._record(key, item)
        return self.revision

    def delete(self, key: str) -> None:
        """Removes a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record(key, None)

    def _record(self, key: str, item: dict[str, Any] | None) -> None:
        """Adds a change to the history and wakes the watches."""
        self.log.append((time.monotonic(), self.revision, key, item))
        self._changed.set()
        self._changed = asyncio.Event()

    def _read_past(self, at: float) -> tuple[dict[str, dict[str, Any]], int]:
        """Returns the items and the revision as they were at a time."""
        items: dict[str, dict[str, Any]] = {}
        revision = 10
        for changed_at, changed_revision, key, item in self.log:
            if changed_at > at:
                break
            revision = changed_revision
            if item is None:
                items.pop(key, None)
            else:
                items[key] = item
        return items, revision

    async def _expire(self) -> None:
        """Ends leases that were not renewed, and removes their keys."""
        while True:
            await asyncio.sleep(0.2)
            now = time.monotonic()
            for lease, (end, _) in list(self.leases.items()):
                if end <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        """Ends a lease."""
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["LeaseId"] == lease:
                self.delete(key)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the calls of one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                call = await wire.read_message(reader)
                await asyncio.sleep(self.answer_s)
                writer.write(await self._answer(call))
                await writer.drain()
        writer.close()

    async def _answer(self, call: wire.Message) -> bytes:
        """Returns the answer to a call."""
        method, target, _ = call.start.split(" ")
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        body = json.loads(call.body) if call.body else {}
        name, _, rest = parts.path.removeprefix("/v1/").partition("/")
        if (method, name) == ("GET", "kv-key"):
            item = self.items.get(query["Key"])
            extra = {"AtRev": self.revision}
            status = 200 if item else 404
            return wire.build_json(status, (item or {}) | extra)
        if (method, name) == ("GET", "kv-range"):
            return self._answer_range(query)
        if (method, name) == ("GET", "kv-watch"):
            return await self._answer_watch(query)
        if (method, name) == ("POST", "kv-txn"):
            return self._answer_txn(body)
        if (method, name) == ("POST", "kv-lease"):
            text = body["Ttl_time"]
            ttl_s = float(text[:-2]) / 1000 if text.endswith("ms") else 0.0
            ttl_s = ttl_s or float(text[:-1])
            self._next_lease += 1
            lease = self._next_lease
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return wire.build_json(200, {"LeaseId": lease, "Ttl_time": text})
        lease = int(rest)
        if lease not in self.leases:
            return wire.build_json(404, {})
        if (method, name) == ("POST", "kv-keep"):
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            ttl = f"{round(ttl_s * 1000)}ms"
            return wire.build_json(200, {"Ttl_time": ttl})
        self._end_lease(lease)
        return wire.build_json(200, {})

    def _answer_range(self, query: dict[str, str]) -> bytes:
        """Returns a page of keys; a stale read gets a state of the past."""
        items, revision = self.items, self.revision
        now = time.monotonic()
        stale = query.get("AllowStale") == "1"
        if stale:
            items, revision = self._read_past(now - self.find_stale_s())
        self.reads.append((now, stale, revision))
        prefix, after = query.get("Prefix", ""), query.get("after", "")
        keys = sorted(k for k in items if k.startswith(prefix) and k > after)
        page = [items[key] for key in keys[: self.page_items]]
        more = len(keys) > self.page_items
        document = {"items": page, "HasMore": more, "AtRev": revision}
        return wire.build_json(200, document)

    async def _answer_watch(self, query: dict[str, str]) -> bytes:
        """Waits for changes after a revision and returns them."""
        after, prefix = int(query["after"]), query.get("Prefix", "")
        until = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            changed = self._changed
            rows = [
                row
                for row in self.log
                if row[1] > after and row[2].startswith(prefix)
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()
        events = [
            item or {"Key": key, "Revision": revision, "Deleted": True}
            for _, revision, key, item in rows
        ]
        return wire.build_json(200, {"events": events, "AtRev": self.revision})

    def _answer_txn(self, body: dict[str, Any]) -> bytes:
        """Makes a change under conditions."""
        for row in body.get("Expected", []):
            item = self.items.get(row["Key"], {"Revision": 0})
            if item["Revision"] != row["Revision"]:
                return wire.build_json(412, {"items": []})
        writes = body.get("Writes", [])
        if any(
            r.get("LeaseId") and r["LeaseId"] not in self.leases for r in writes
        ):
            return wire.build_json(404, {})
        for row in writes:
            value = base64.b64decode(row["Value"])
            self.put(row["Key"], value, row.get("LeaseId", 0))
        for key in body.get("Deletes", []):
            self.delete(key)
        return wire.build_json(200, {"Revision": self.revision})

"""A stand-in of the platform's metadata store, with faults and restores."""

import asyncio
import base64
import contextlib
import copy
import json
import time

from review.harness_2 import http1

MAX_PAGE_ITEMS = 500
HISTORY_SECONDS = 20.0


def parse_seconds(text: str) -> float:
    """Parses a time such as `1500ms` or `2.5s`."""
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text[:-1])


class Store:
    """Serves the calls of PROTOCOL.md, "The platform's metadata store".

    Attributes:
        items: Current items by key.
        down: True while no call is answered.
        max_watch_bytes: Values that one answer to a watch may hold, or None
            for all events.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.revision = 100
        self.era = 0
        self.leases: dict[int, list[float]] = {}
        self.next_lease = 7000
        self.history: list[tuple[float, dict]] = []
        self.dropped_revision = 100
        self.down = False
        self.max_watch_bytes: int | None = None
        self._changed = asyncio.Event()
        self._copies: list[tuple[float, tuple]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task | None = None

    async def start(self, host: str, port: int) -> None:
        """Opens the port."""
        self._server = await http1.start_server(self._serve, host, port)
        self._task = asyncio.create_task(self._expire())

    def set_down(self, down: bool, cut: bool = True) -> None:
        """Stops or resumes all answers; cuts the open connections."""
        self.down = down
        if down and cut:
            for writer in list(self._writers):
                writer.transport.abort()

    def put(self, key: str, value: bytes | dict, lease: int = 0) -> int:
        """Writes a key; returns its revision."""
        if isinstance(value, dict):
            value = json.dumps(value).encode()
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
        self._record(item)
        return self.revision

    def delete(self, key: str) -> None:
        """Removes a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record(
                {"Key": key, "Revision": self.revision, "Deleted": True}
            )

    def value(self, key: str) -> bytes | None:
        """Returns the value of a key."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["Value"])

    def copy(self) -> tuple:
        """Returns a copy of the state, for `restore`."""
        return copy.deepcopy(
            (self.items, self.revision, self.leases, self.next_lease)
        )

    def restore(self, state: tuple) -> None:
        """Goes back to a copy; the era rises by one."""
        state = copy.deepcopy(state)
        self.items, self.revision, self.leases, self.next_lease = state
        now = time.monotonic()
        for lease in self.leases.values():
            lease[1] = now + lease[0]
        self.era += 1
        self.history.clear()
        self.dropped_revision = self.revision
        for writer in list(self._writers):
            writer.transport.abort()
        self._changed.set()
        self._changed = asyncio.Event()

    def compact(self) -> None:
        """Drops the history."""
        self.history.clear()
        self.dropped_revision = self.revision

    def _record(self, event: dict) -> None:
        self.history.append((time.monotonic(), event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if self.down:
                continue
            now = time.monotonic()
            while self.history and self.history[0][0] < now - HISTORY_SECONDS:
                _, dropped = self.history.pop(0)
                self.dropped_revision = dropped["Revision"]
            for lease in [i for i, v in self.leases.items() if v[1] <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["LeaseId"] == lease]:
            self.delete(key)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (request := await http1.read_message(reader)) is not None:
                while self.down:
                    await asyncio.sleep(0.02)
                status, body = await self._answer(request)
                writer.write(
                    http1.build(
                        f"HTTP/1.1 {status} X",
                        [
                            ("Content-Type", "application/json"),
                            ("Store-Era", str(self.era)),
                        ],
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        finally:
            self._writers.discard(writer)

    async def _answer(self, request: http1.Message) -> tuple[int, dict]:
        path, query = request.path, request.query
        document = json.loads(request.body) if request.body else {}
        if path == "/v1/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {"AtRev": self.revision}
            return 200, {**item, "AtRev": self.revision}
        if path == "/v1/kv-range":
            return 200, self._read_range(query)
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return self._write(document)
        if path == "/v1/kv-lease":
            seconds = min(max(1.0, parse_seconds(document["Ttl_time"])), 600.0)
            self.next_lease += 1
            self.leases[self.next_lease] = [
                seconds,
                time.monotonic() + seconds,
            ]
            return 200, {
                "LeaseId": self.next_lease,
                "Ttl_time": f"{seconds * 1000:.0f}ms",
            }
        lease_id = int(path.rpartition("/")[2])
        if lease_id not in self.leases:
            return 404, {}
        if path.startswith("/v1/kv-keep/"):
            lease = self.leases[lease_id]
            lease[1] = time.monotonic() + lease[0]
            return 200, {"LeaseId": lease_id}
        self._end_lease(lease_id)
        return 200, {}

    def _read_range(self, query: dict[str, str]) -> dict:
        prefix, after = query.get("Prefix", ""), query.get("after", "")
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        page = keys[:MAX_PAGE_ITEMS]
        return {
            "items": [self.items[key] for key in page],
            "HasMore": len(keys) > len(page),
            "AtRev": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query.get("Prefix", ""), int(query["after"])
        deadline = time.monotonic() + int(query["WaitMs"]) / 1000
        era = self.era
        while True:
            if era != self.era or after > self.revision:
                return 410, {"AtRev": self.revision}
            if after < self.dropped_revision:
                return 410, {"AtRev": self.revision}
            events = [
                event
                for _, event in self.history
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                part = self._limit_events(events)
                at = self.revision if part == events else part[-1]["Revision"]
                return 200, {"events": part, "AtRev": at}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), remaining)

    def _limit_events(self, events: list[dict]) -> list[dict]:
        """Returns the first events, up to `max_watch_bytes`."""
        if self.max_watch_bytes is None:
            return events
        size = 0
        for count, event in enumerate(events):
            size += len(event.get("Value", ""))
            if size > self.max_watch_bytes and count:
                return events[:count]
        return events

    def _write(self, document: dict) -> tuple[int, dict]:
        expected = document.get("Expected") or []
        for row in expected:
            item = self.items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                current = [
                    self.items[r["Key"]]
                    for r in expected
                    if r["Key"] in self.items
                ]
                return 412, {"items": current, "AtRev": self.revision}
        writes = document.get("Writes") or []
        for row in writes:
            if row.get("LeaseId") and row["LeaseId"] not in self.leases:
                return 404, {}
        # One revision for each key keeps the watch simple.
        for row in writes:
            self.put(
                row["Key"],
                base64.b64decode(row.get("Value", "")),
                row.get("LeaseId", 0),
            )
        for key in document.get("Deletes") or []:
            self.delete(key)
        return 200, {"Revision": self.revision}

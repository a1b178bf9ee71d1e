"""Stand-in of the platform's metadata store.

It adds the platform's protocol and faults to the etcd stand-in, which keeps the
keys, leases and history in memory.
"""

import asyncio
import base64
import collections
from collections.abc import Mapping
import contextlib
import dataclasses
import time
from typing import Any, Final
import urllib.parse

from aiohttp import web

from wigeonspool.platform import duration_text
from wigeonspool.platform import metadata_store
from wigeonspool.standin import store

MAX_PAGE_ITEMS: Final = 50
# A waiting watch checks at this interval whether a fault refuses it.
WATCH_CHECK_SECONDS: Final = 0.25
# Greatest age of the data of a replica, and of a copy that is restored.
MAX_STALE_SECONDS: Final = 30.0
FIRST_ERA: Final = 1


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


@dataclasses.dataclass(slots=True)
class _State:
    """All that the store holds at one time.

    Attributes:
        era: Number of restores so far, plus `FIRST_ERA`.
        revision: Revision of the latest change.
        records: Keys with their values.
        ttl_seconds: Length of each lease, by ID.
    """

    era: int
    revision: int
    records: dict[bytes, store.Record]
    ttl_seconds: dict[int, float]


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """A change of the state of the store.

    Attributes:
        changed_at: Time of the change, monotonic clock.
        era: Era after the change.
        revision: Revision after the change.
        records: Keys that were written, or None for those that were removed.
        ttl_seconds: Length of each lease that was granted, or None for those
            that ended.
        is_whole: True if all other keys and leases were removed.
    """

    changed_at: float
    era: int
    revision: int
    records: Mapping[bytes, store.Record | None]
    ttl_seconds: Mapping[int, float | None]
    is_whole: bool = False

    def apply(self, state: _State) -> None:
        """Applies the change to a state."""
        state.era = self.era
        state.revision = self.revision
        if self.is_whole:
            state.records.clear()
            state.ttl_seconds.clear()
        for key, record in self.records.items():
            if record is None:
                state.records.pop(key, None)
            else:
                state.records[key] = record
        for lease, seconds in self.ttl_seconds.items():
            if seconds is None:
                state.ttl_seconds.pop(lease, None)
            else:
                state.ttl_seconds[lease] = seconds


class PlatformStore(store.StoreStandin):
    """Serves the platform's store protocol over HTTP.

    Attributes:
        era: Number of restores so far, plus `FIRST_ERA`.
        sends_era: False to send no header with the era.
        compacted_revision: Revision up to which the history was dropped.
    """

    def __init__(self) -> None:
        super().__init__()
        self.faults: PlatformFaults = PlatformFaults()
        self.compacted_revision = 0
        self.era = FIRST_ERA
        self.sends_era = True
        self._stale_reads = 0
        # State at the end of `MAX_STALE_SECONDS`, and the changes since then.
        self._old_state = _State(self.era, self.revision, {}, {})
        self._changes: collections.deque[_Change] = collections.deque()

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
        routes.add_post("/restore", self._serve_restore)
        routes.add_get("/calls", self._show_calls)
        return app

    def _write(self, key: bytes, value: bytes, lease: int) -> None:
        """Writes one key at a new revision, and stores the change.

        Raises:
            ValueError: If the value is too large or the lease has ended.
        """
        super()._write(key, value, lease)
        self._record_change({key: self.records[key]}, {})

    def _remove(self, key: bytes) -> None:
        """Removes one key at a new revision, and stores the change."""
        super()._remove(key)
        self._record_change({key: None}, {})

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        """Creates a lease, and stores the change."""
        granted = super()._grant(body)
        lease = int(granted["ID"])
        self._record_change({}, {lease: self.leases[lease].ttl_seconds})
        return granted

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        """Ends a lease and removes its keys, and stores the change."""
        reply = super()._revoke(body)
        self._record_change({}, {int(body["ID"]): None})
        return reply

    async def _end_lease(self, lease_id: int) -> None:
        """Ends a lease that has expired, and stores the change."""
        self._record_change({}, {lease_id: None})
        await super()._end_lease(lease_id)

    def _record_change(
        self,
        records: Mapping[bytes, store.Record | None],
        ttl_seconds: Mapping[int, float | None],
        is_whole: bool = False,
    ) -> None:
        """Stores a change, and drops those that no copy lacks any more.

        Args:
            records: As in `_Change`.
            ttl_seconds: As in `_Change`.
            is_whole: As in `_Change`.
        """
        now = time.monotonic()
        self._changes.append(
            _Change(
                now, self.era, self.revision, records, ttl_seconds, is_whole
            )
        )
        while self._changes[0].changed_at < now - MAX_STALE_SECONDS:
            self._changes.popleft().apply(self._old_state)

    def _find_state(self, at: float) -> _State:
        """Returns a copy of the state at a time, monotonic clock."""
        state = dataclasses.replace(
            self._old_state,
            records=dict(self._old_state.records),
            ttl_seconds=dict(self._old_state.ttl_seconds),
        )
        for change in self._changes:
            if change.changed_at > at:
                break
            change.apply(state)
        return state

    def _read_replica(self) -> _State:
        """Returns the state of the next replica."""
        ages = self.faults.stale_seconds
        age_seconds = ages[self._stale_reads % len(ages)]
        self._stale_reads += 1
        if not age_seconds:
            return _State(self.era, self.revision, self.records, {})
        return self._find_state(time.monotonic() - age_seconds)

    async def restore(self, seconds_ago: float) -> None:
        """Goes back to an earlier state, which begins a new era.

        Revisions and lease IDs of later changes are assigned again. Leases of
        the copy begin anew. Waiting watches are cut.

        Args:
            seconds_ago: Age of the state; at most `MAX_STALE_SECONDS`.
        """
        now = time.monotonic()
        state = self._find_state(now - seconds_ago)
        self.era += 1
        self.revision = state.revision
        self.records = state.records
        self.leases = {
            lease: store.Lease(seconds, now + seconds)
            for lease, seconds in state.ttl_seconds.items()
        }
        self.history = [
            change for change in self.history if change[0] <= self.revision
        ]
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self._record_change(
            dict(self.records), dict(state.ttl_seconds), is_whole=True
        )
        await self._notify()

    async def _serve_restore(self, request: web.Request) -> web.Response:
        """Handles a restore; the body has the age of the state."""
        await self.restore(float((await request.json())["seconds_ago"]))
        return web.json_response({"era": self.era})

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
                return self._add_era(web.Response(status=503))
            revision, era = self.revision, self.era
            response: web.StreamResponse = self._add_era(await serve(request))
            changed = self.revision != revision or self.era != era
            if changed and request.method != "GET":
                await self._notify()
                if self.faults.lose_replies > 0:
                    self.faults.lose_replies -= 1
                    assert request.transport is not None
                    request.transport.abort()
            return response

        return handle

    def _add_era(self, response: web.StreamResponse) -> web.StreamResponse:
        """Adds the current era to a response that does not state one."""
        if self.sends_era:
            response.headers.setdefault(
                metadata_store.ERA_HEADER, str(self.era)
            )
        return response

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
        state = _State(self.era, self.revision, self.records, {})
        if request.query.get("AllowStale") == "1":
            state = self._read_replica()
        records = state.records
        keys = sorted(
            key
            for key in records
            if key.startswith(prefix) and (not after or key > after)
        )
        items = [
            self._encode_item(key, records[key])
            for key in keys[:MAX_PAGE_ITEMS]
        ]
        response = web.json_response(
            {
                "items": items,
                "HasMore": len(keys) > MAX_PAGE_ITEMS,
                "AtRev": state.revision,
            }
        )
        if self.sends_era:
            response.headers[metadata_store.ERA_HEADER] = str(state.era)
        return response

    async def _serve_watch(self, request: web.Request) -> web.Response:
        """Handles a watch: replies at a change or after the waiting time."""
        prefix = request.query.get("Prefix", "").encode()
        after = int(request.query["after"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(request.query["WaitMs"]) / 1000
        era = self.era
        while True:
            if self._is_refused(request):
                return web.Response(status=503)
            if self.era != era:
                if request.transport is not None:
                    request.transport.abort()
                return web.Response(status=503)
            if not self.compacted_revision <= after <= self.revision:
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

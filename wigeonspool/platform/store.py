"""Client of the configuration store, over the etcd v3 HTTP/JSON interface.

Only this module knows the store's protocol. A lost reply leaves a write in
doubt; callers resolve that by reading.
"""

import asyncio
import base64
from collections.abc import AsyncIterator
import dataclasses
import json
from typing import Any, Final

import aiohttp

from wigeonspool.model import errors

MAX_VALUE_BYTES: Final = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One key of the store.

    Attributes:
        key: Its name.
        value: Its bytes.
        revision: Store revision of its last write.
        lease: Lease that it is bound to, 0 for none.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """The result of a read of many keys.

    Attributes:
        entries: Entries in the order asked for.
        revision: Store revision that the read saw.
    """

    entries: list[Entry]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """What must hold for a transaction to write.

    Attributes:
        key: Key to compare.
        value: Bytes that it must hold, or None if it must be absent.
    """

    key: str
    value: bytes | None = None


def _build_compare(condition: Condition) -> dict[str, Any]:
    """Returns a condition in the form of the protocol."""
    key = _encode(condition.key.encode())
    if condition.value is None:
        return {
            "key": key,
            "target": "CREATE",
            "result": "EQUAL",
            "create_revision": 0,
        }
    return {
        "key": key,
        "target": "VALUE",
        "result": "EQUAL",
        "value": _encode(condition.value),
    }


def _encode(data: bytes) -> str:
    """Returns base64 text, as the JSON interface carries bytes."""
    return base64.b64encode(data).decode("ascii")


def _end_of_prefix(prefix: str) -> bytes:
    """Returns the first key after all keys with a prefix."""
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def _parse_entry(document: dict[str, Any]) -> Entry:
    """Returns the entry in a key-value document."""
    return Entry(
        key=base64.b64decode(document["key"]).decode(),
        value=base64.b64decode(document.get("value", "")),
        revision=int(document.get("mod_revision", 0)),
        lease=int(document.get("lease", 0)),
    )


class StoreClient:
    """Calls the store; each method is one call of its interface.

    Attributes:
        calls: Calls made so far, for the call budget.
    """

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_seconds: float
    ) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        self.calls = 0

    async def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Makes one call and returns its answer.

        Raises:
            StoreUnavailableError: If no whole answer came in time.
            StoreAnswerError: If the answer is not JSON of the protocol.
        """
        self.calls += 1
        try:
            async with self._session.post(
                f"{self._url}{path}", json=body, timeout=self._timeout
            ) as response:
                text = await response.text()
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise errors.StoreUnavailableError(path, repr(error)) from error
        if status != 200:
            raise errors.StoreUnavailableError(path, f"status {status}")
        try:
            answer = json.loads(text)
        except ValueError as error:
            raise errors.StoreAnswerError(path, "not JSON") from error
        if not isinstance(answer, dict):
            raise errors.StoreAnswerError(path, "not a map")
        return answer

    async def read_prefix(
        self, prefix: str, after: str = "", limit: int = 0, newest: bool = False
    ) -> list[Entry]:
        """Returns the entries with a prefix, in the order of their keys.

        Args:
            prefix: Common prefix of the keys.
            after: Only keys greater than this one, if given.
            limit: Most entries to return, 0 for all.
            newest: True to order by descending key.

        Raises:
            StoreError: If the store could not serve the call.
        """
        page = await self.read_page(prefix, after, limit, newest)
        return page.entries

    async def read_page(
        self, prefix: str, after: str = "", limit: int = 0, newest: bool = False
    ) -> Page:
        """Returns entries as `read_prefix` does, and the revision read.

        Raises:
            StoreError: If the store could not serve the call.
        """
        start = after.encode() + b"\0" if after else prefix.encode()
        body: dict[str, Any] = {
            "key": _encode(start),
            "range_end": _encode(_end_of_prefix(prefix)),
            "limit": limit,
        }
        if newest:
            body |= {"sort_order": "DESCEND", "sort_target": "KEY"}
        answer = await self._call("/v3/kv/range", body)
        revision = int(answer.get("header", {}).get("revision", 0))
        return Page(
            [_parse_entry(kv) for kv in answer.get("kvs", [])], revision
        )

    async def read(self, key: str) -> Entry | None:
        """Returns the entry of a key, or None if it is absent.

        Raises:
            StoreError: If the store could not serve the call.
        """
        answer = await self._call(
            "/v3/kv/range", {"key": _encode(key.encode())}
        )
        kvs = answer.get("kvs", [])
        return _parse_entry(kvs[0]) if kvs else None

    async def create(self, key: str, value: bytes, lease: int = 0) -> bool:
        """Writes a key if it is absent.

        Args:
            key: Key to create.
            value: Its bytes.
            lease: Lease to bind it to, 0 for none.

        Returns:
            True if this call wrote it, False if the key was there.

        Raises:
            StoreUnavailableError: If it is unknown whether the write happened.
            StoreAnswerError: If the answer is not of the protocol.
        """
        return await self.commit([Condition(key)], {key: value}, lease)

    async def commit(
        self,
        conditions: list[Condition],
        writes: dict[str, bytes],
        lease: int = 0,
    ) -> bool:
        """Writes some keys at once if all conditions hold.

        Args:
            conditions: What must hold.
            writes: Bytes by key.
            lease: Lease to bind the keys to, 0 for none.

        Returns:
            True if this call wrote them, False if a condition did not hold.

        Raises:
            StoreUnavailableError: If it is unknown whether the write happened.
            StoreAnswerError: If the answer is not of the protocol.
        """
        puts = [
            {
                "key": _encode(key.encode()),
                "value": _encode(value),
                "lease": lease,
            }
            for key, value in writes.items()
        ]
        body = {
            "compare": [_build_compare(condition) for condition in conditions],
            "success": [{"request_put": put} for put in puts],
        }
        answer = await self._call("/v3/kv/txn", body)
        return bool(answer.get("succeeded", False))

    async def remove_range(self, start: str, end: str) -> None:
        """Removes the keys from `start` up to and without `end`.

        Raises:
            StoreError: If the store could not serve the call.
        """
        body = {
            "key": _encode(start.encode()),
            "range_end": _encode(end.encode()),
        }
        await self._call("/v3/kv/deleterange", body)

    async def remove_if(self, key: str, value: bytes) -> bool:
        """Removes a key if it holds some bytes; returns True if it did.

        Raises:
            StoreError: If the store could not serve the call.
        """
        name = _encode(key.encode())
        body = {
            "compare": [_build_compare(Condition(key, value))],
            "success": [{"request_delete_range": {"key": name}}],
        }
        answer = await self._call("/v3/kv/txn", body)
        return bool(answer.get("succeeded", False))

    async def grant_lease(self, ttl_seconds: int) -> int:
        """Returns a new lease.

        Raises:
            StoreError: If the store could not serve the call.
        """
        answer = await self._call("/v3/lease/grant", {"TTL": ttl_seconds})
        return int(answer["ID"])

    async def renew_lease(self, lease: int) -> bool:
        """Renews a lease; returns False if it has lapsed.

        Raises:
            StoreError: If the store could not serve the call.
        """
        answer = await self._call("/v3/lease/keepalive", {"ID": lease})
        return int(answer.get("result", {}).get("TTL", 0)) > 0

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys.

        Raises:
            StoreError: If the store could not serve the call.
        """
        await self._call("/v3/lease/revoke", {"ID": lease})

    async def watch_prefix(
        self, prefix: str, revision: int, idle_seconds: float
    ) -> AsyncIterator[Entry]:
        """Yields entries as they are written.

        Args:
            prefix: Common prefix of the keys.
            revision: First store revision to report, 0 for the next.
            idle_seconds: The watch ends if nothing came for this long.

        Raises:
            StoreUnavailableError: If the watch could not start or broke.
        """
        self.calls += 1
        body = {
            "create_request": {
                "key": _encode(prefix.encode()),
                "range_end": _encode(_end_of_prefix(prefix)),
                "start_revision": revision,
            }
        }
        timeout = aiohttp.ClientTimeout(total=None, sock_read=idle_seconds)
        try:
            async with self._session.post(
                f"{self._url}/v3/watch", json=body, timeout=timeout
            ) as response:
                if response.status != 200:
                    raise errors.StoreUnavailableError(
                        "/v3/watch", f"status {response.status}"
                    )
                async for line in response.content:
                    for entry in _parse_watch_line(line):
                        yield entry
        except TimeoutError:
            return
        except (aiohttp.ClientError, OSError) as error:
            raise errors.StoreUnavailableError(
                "/v3/watch", repr(error)
            ) from error
        except asyncio.IncompleteReadError as error:
            raise errors.StoreUnavailableError("/v3/watch", "cut") from error


def _parse_watch_line(line: bytes) -> list[Entry]:
    """Returns the written entries in one line of a watch.

    Raises:
        StoreAnswerError: If the line is not of the protocol.
    """
    try:
        result = json.loads(line).get("result", {})
        events = result.get("events", [])
        return [
            _parse_entry(event["kv"])
            for event in events
            if event.get("type", "PUT") == "PUT"
        ]
    except (ValueError, KeyError, AttributeError) as error:
        raise errors.StoreAnswerError("/v3/watch", "bad line") from error

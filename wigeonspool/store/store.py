"""Client of the configuration store, over the etcd v3 HTTP/JSON interface.

Only this module and `records` know the store's protocol. A lost reply leaves a
write in doubt; callers resolve that by reading.
"""

import asyncio
from collections.abc import AsyncIterator
import json
from typing import Any, Final

import aiohttp

from wigeonspool.model import errors
from wigeonspool.store import records

MAX_VALUE_BYTES: Final = 1024 * 1024


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
    ) -> list[records.Entry]:
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
    ) -> records.Page:
        """Returns entries as `read_prefix` does, and the revision read.

        Raises:
            StoreError: If the store could not serve the call.
        """
        start = after.encode() + b"\0" if after else prefix.encode()
        body: dict[str, Any] = {
            "key": records.encode_bytes(start),
            "range_end": records.encode_bytes(
                records.compute_range_end(prefix)
            ),
            "limit": limit,
        }
        if newest:
            body |= {"sort_order": "DESCEND", "sort_target": "KEY"}
        answer = await self._call("/v3/kv/range", body)
        revision = int(answer.get("header", {}).get("revision", 0))
        return records.Page(
            [records.parse_entry(kv) for kv in answer.get("kvs", [])], revision
        )

    async def read(self, key: str) -> records.Entry | None:
        """Returns the entry of a key, or None if it is absent.

        Raises:
            StoreError: If the store could not serve the call.
        """
        answer = await self._call(
            "/v3/kv/range", {"key": records.encode_bytes(key.encode())}
        )
        kvs = answer.get("kvs", [])
        return records.parse_entry(kvs[0]) if kvs else None

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
        return await self.commit([records.Condition(key)], {key: value}, lease)

    async def commit(
        self,
        conditions: list[records.Condition],
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
                "key": records.encode_bytes(key.encode()),
                "value": records.encode_bytes(value),
                "lease": lease,
            }
            for key, value in writes.items()
        ]
        body = {
            "compare": [
                records.build_compare(condition) for condition in conditions
            ],
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
            "key": records.encode_bytes(start.encode()),
            "range_end": records.encode_bytes(end.encode()),
        }
        await self._call("/v3/kv/deleterange", body)

    async def remove_if(self, key: str, value: bytes) -> bool:
        """Removes a key if it holds some bytes; returns True if it did.

        Raises:
            StoreError: If the store could not serve the call.
        """
        name = records.encode_bytes(key.encode())
        body = {
            "compare": [records.build_compare(records.Condition(key, value))],
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
    ) -> AsyncIterator[records.Entry]:
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
                "key": records.encode_bytes(prefix.encode()),
                "range_end": records.encode_bytes(
                    records.compute_range_end(prefix)
                ),
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
                    for entry in records.parse_watch_line(line):
                        yield entry
        except TimeoutError:
            return
        except (aiohttp.ClientError, OSError) as error:
            raise errors.StoreUnavailableError(
                "/v3/watch", repr(error)
            ) from error
        except asyncio.IncompleteReadError as error:
            raise errors.StoreUnavailableError("/v3/watch", "cut") from error

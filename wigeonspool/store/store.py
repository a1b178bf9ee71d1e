"""Client of the configuration store, over the etcd v3 HTTP/JSON interface.

Only this module and `records` contain the protocol of the store. If a reply is
lost, it is unknown whether a write took effect; users of this client find out
by a read.
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
    """Client of the store; each method makes one HTTP request.

    Attributes:
        calls: Calls so far, for the limit on calls to the store.
    """

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_seconds: float
    ) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        self.calls = 0

    async def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Makes one call and returns the reply.

        Raises:
            StoreUnavailableError: If no complete reply with status 200 arrived
                in time.
            StoreReplyError: If the reply is not a JSON object.
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
            reply = json.loads(text)
        except ValueError as error:
            raise errors.StoreReplyError(path, "not JSON") from error
        if not isinstance(reply, dict):
            raise errors.StoreReplyError(path, "not a map")
        return reply

    async def read_prefix(
        self, prefix: str, after: str = "", limit: int = 0, newest: bool = False
    ) -> list[records.Entry]:
        """Returns the entries with a prefix, in the order of their keys.

        Args:
            prefix: Common prefix of the keys.
            after: If not "", only keys greater than this one are returned.
            limit: Maximum number of entries, or 0 for all.
            newest: True to order the entries by descending key.

        Raises:
            StoreError: If the call failed.
        """
        page = await self.read_page(prefix, after, limit, newest)
        return page.entries

    async def read_page(
        self, prefix: str, after: str = "", limit: int = 0, newest: bool = False
    ) -> records.Page:
        """Returns entries like `read_prefix`, and the store revision.

        Raises:
            StoreError: If the call failed.
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
        reply = await self._call("/v3/kv/range", body)
        revision = int(reply.get("header", {}).get("revision", 0))
        return records.Page(
            [records.parse_entry(kv) for kv in reply.get("kvs", [])], revision
        )

    async def read(self, key: str) -> records.Entry | None:
        """Returns the entry of a key, or None if it is absent.

        Raises:
            StoreError: If the call failed.
        """
        reply = await self._call(
            "/v3/kv/range", {"key": records.encode_bytes(key.encode())}
        )
        kvs = reply.get("kvs", [])
        return records.parse_entry(kvs[0]) if kvs else None

    async def create(self, key: str, value: bytes, lease: int = 0) -> bool:
        """Writes a key if it is absent.

        Args:
            key: Key to create.
            value: Value of the key.
            lease: Lease to bind the key to, or 0.

        Returns:
            True if this call wrote the key, False if the key existed.

        Raises:
            StoreUnavailableError: If it is unknown whether the write took
                effect.
            StoreReplyError: If the reply does not have the expected form.
        """
        return await self.commit([records.Condition(key)], {key: value}, lease)

    async def commit(
        self,
        conditions: list[records.Condition],
        writes: dict[str, bytes],
        lease: int = 0,
    ) -> bool:
        """Writes keys in one transaction if all conditions are true.

        Args:
            conditions: Conditions of the transaction.
            writes: Values by key.
            lease: Lease to bind the keys to, or 0.

        Returns:
            True if this call wrote the keys, False if a condition was false.

        Raises:
            StoreUnavailableError: If it is unknown whether the write took
                effect.
            StoreReplyError: If the reply does not have the expected form.
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
        reply = await self._call("/v3/kv/txn", body)
        return bool(reply.get("succeeded", False))

    async def remove_range(self, start: str, end: str) -> None:
        """Removes the keys from `start` (included) to `end` (excluded).

        Raises:
            StoreError: If the call failed.
        """
        body = {
            "key": records.encode_bytes(start.encode()),
            "range_end": records.encode_bytes(end.encode()),
        }
        await self._call("/v3/kv/deleterange", body)

    async def remove_if(self, key: str, value: bytes) -> bool:
        """Removes a key if it has a given value; returns True if removed.

        Raises:
            StoreError: If the call failed.
        """
        encoded_key = records.encode_bytes(key.encode())
        body = {
            "compare": [records.build_compare(records.Condition(key, value))],
            "success": [{"request_delete_range": {"key": encoded_key}}],
        }
        reply = await self._call("/v3/kv/txn", body)
        return bool(reply.get("succeeded", False))

    async def grant_lease(self, ttl_seconds: int) -> int:
        """Creates a lease and returns its ID.

        Raises:
            StoreError: If the call failed.
        """
        reply = await self._call("/v3/lease/grant", {"TTL": ttl_seconds})
        return int(reply["ID"])

    async def renew_lease(self, lease: int) -> bool:
        """Renews a lease; returns False if it has expired.

        Raises:
            StoreError: If the call failed.
        """
        reply = await self._call("/v3/lease/keepalive", {"ID": lease})
        return int(reply.get("result", {}).get("TTL", 0)) > 0

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys.

        Raises:
            StoreError: If the call failed.
        """
        await self._call("/v3/lease/revoke", {"ID": lease})

    async def watch_prefix(
        self, prefix: str, revision: int, idle_seconds: float
    ) -> AsyncIterator[records.Entry]:
        """Yields entries when they are written.

        Args:
            prefix: Common prefix of the keys.
            revision: First store revision to report, or 0 for the next one.
            idle_seconds: The watch ends if no data arrives for this long.

        Raises:
            StoreUnavailableError: If the watch could not start or was
                interrupted.
            StoreReplyError: If a line does not have the expected form.
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
            raise errors.StoreUnavailableError(
                "/v3/watch", "connection closed"
            ) from error

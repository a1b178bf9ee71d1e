"""Client of the platform's metadata store.

Each method is one call, and each call has a price. A call that gets no answer
may take effect later; only its keys tell.
"""

import base64
from collections.abc import Mapping
from typing import Any, Final

import aiohttp
import msgspec

from wigeonspool.gateway import connections
from wigeonspool.model import errors
from wigeonspool.model import key_values
from wigeonspool.platform import duration_text

STATUS_OK: Final = 200
STATUS_NOT_FOUND: Final = 404
STATUS_GONE: Final = 410
STATUS_PRECONDITION_FAILED: Final = 412
# A healthy store answers in milliseconds; a slow one takes a few hundred.
CALL_TIMEOUT_SECONDS: Final = 2.0
# A watch may answer this much after the time that it was asked to wait.
WATCH_SLACK_SECONDS: Final = 1.0


class _Item(msgspec.Struct, rename="pascal"):
    key: str
    revision: int
    value: str = ""
    lease_id: int = 0
    deleted: bool = False


class _Range(msgspec.Struct, rename="pascal"):
    items: tuple[_Item, ...] = msgspec.field(name="items", default=())
    has_more: bool = False
    at_rev: int = 0


class _Events(msgspec.Struct, rename="pascal"):
    events: tuple[_Item, ...] = msgspec.field(name="events", default=())
    at_rev: int = 0


class _Lease(msgspec.Struct, rename="pascal"):
    lease_id: int = 0
    ttl_time: str = msgspec.field(name="Ttl_time", default="0ms")


class _Written(msgspec.Struct, rename="pascal"):
    revision: int = 0


class MetadataStore:
    """Calls the store.

    Attributes:
        calls: Calls made so far, those that failed too.
        failures: Calls that failed.
    """

    def __init__(self, address: str) -> None:
        """Prepares a client.

        Args:
            address: host:port of the store.
        """
        self.calls = 0
        self.failures = 0
        self._url = f"http://{address}"
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                ttl_dns_cache=None,
                keepalive_timeout=5.0,
                socket_factory=connections.open_socket,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    def set_address(self, address: str) -> None:
        """Calls the store at another host:port from now on."""
        self._url = f"http://{address}"

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def read_range(
        self, prefix: str, after: str = "", stale: bool = False
    ) -> key_values.Page:
        """Returns a page of the keys with a prefix.

        Args:
            prefix: Common prefix of the keys.
            after: Only keys behind this one, if given.
            stale: True if the answer may be seconds old; such a call is cheap.

        Raises:
            StoreUnavailableError: If no whole answer came in time.
            StoreAnswerError: If the answer has another form.
        """
        query = {"Prefix": prefix}
        if after:
            query["after"] = after
        if stale:
            query["AllowStale"] = "1"
        _, body = await self._call("GET", "/v1/kv-range", query)
        found = _decode(body, _Range)
        return key_values.Page(
            tuple(map(_build_item, found.items)), found.at_rev, found.has_more
        )

    async def watch(
        self, prefix: str, after: int, wait_seconds: float
    ) -> key_values.Page:
        """Returns the changes after a revision as soon as there is one.

        Args:
            prefix: Common prefix of the keys.
            after: Revision that is known.
            wait_seconds: Longest time to wait for a change.

        Raises:
            HistoryGoneError: If the store forgot what followed the revision.
            StoreUnavailableError: If no whole answer came in time.
            StoreAnswerError: If the answer has another form.
        """
        query = {
            "Prefix": prefix,
            "after": str(after),
            "WaitMs": str(round(wait_seconds * 1000)),
        }
        status, body = await self._call(
            "GET",
            "/v1/kv-watch",
            query,
            seconds=wait_seconds + WATCH_SLACK_SECONDS,
            expected=(STATUS_OK, STATUS_GONE),
        )
        if status == STATUS_GONE:
            raise errors.HistoryGoneError(after)
        found = _decode(body, _Events)
        return key_values.Page(
            tuple(map(_build_item, found.events)), found.at_rev
        )

    async def grant(self, seconds: float) -> int:
        """Returns a new lease that lasts for some seconds.

        Raises:
            StoreUnavailableError: If no whole answer came in time.
            StoreAnswerError: If the answer has another form.
        """
        document = {"Ttl_time": duration_text.format_seconds(seconds)}
        _, body = await self._call("POST", "/v1/kv-lease", document=document)
        found: _Lease = _decode(body, _Lease)
        return found.lease_id

    async def renew(
        self, lease: int, seconds: float = CALL_TIMEOUT_SECONDS
    ) -> None:
        """Renews a lease.

        Args:
            lease: The lease.
            seconds: Longest time to wait for the answer.

        Raises:
            LeaseEndedError: If it has ended.
            StoreUnavailableError: If no whole answer came in time.
        """
        status, _ = await self._call(
            "POST",
            f"/v1/kv-keep/{lease}",
            seconds=seconds,
            expected=(STATUS_OK, STATUS_NOT_FOUND),
        )
        if status == STATUS_NOT_FOUND:
            raise errors.LeaseEndedError(lease)

    async def revoke(self, lease: int) -> None:
        """Ends a lease; its keys are removed.

        Raises:
            StoreUnavailableError: If no whole answer came in time.
        """
        await self._call(
            "DELETE",
            f"/v1/kv-lease-end/{lease}",
            expected=(STATUS_OK, STATUS_NOT_FOUND),
        )

    async def write(
        self,
        key: str,
        value: bytes,
        lease: int = 0,
        expected: Mapping[str, int] | None = None,
    ) -> int:
        """Writes a key; returns its revision.

        Args:
            key: Key to write.
            value: Its new value.
            lease: Lease that holds it, or 0.
            expected: Revisions that keys must still have; 0 for none such.

        Raises:
            ConditionFailedError: If a key has another revision.
            LeaseEndedError: If the lease has ended.
            StoreUnavailableError: If no whole answer came in time.
            StoreAnswerError: If the answer has another form.
        """
        known = expected or {}
        document = {
            "Expected": [
                {"Key": name, "Revision": revision}
                for name, revision in known.items()
            ],
            "Writes": [
                {
                    "Key": key,
                    "Value": base64.b64encode(value).decode(),
                    "LeaseId": lease,
                }
            ],
            "Deletes": [],
        }
        status, body = await self._call(
            "POST",
            "/v1/kv-txn",
            document=document,
            expected=(STATUS_OK, STATUS_NOT_FOUND, STATUS_PRECONDITION_FAILED),
        )
        if status == STATUS_NOT_FOUND:
            raise errors.LeaseEndedError(lease)
        if status == STATUS_PRECONDITION_FAILED:
            raise errors.ConditionFailedError(tuple(known))
        written: _Written = _decode(body, _Written)
        return written.revision

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None = None,
        document: Mapping[str, Any] | None = None,
        seconds: float = CALL_TIMEOUT_SECONDS,
        expected: tuple[int, ...] = (STATUS_OK,),
    ) -> tuple[int, bytes]:
        """Makes one call; returns status and body of its answer.

        Raises:
            StoreUnavailableError: If no answer with an expected status came.
        """
        self.calls += 1
        body = None if document is None else msgspec.json.encode(document)
        fields = {"Content-Type": "application/json"} if body else None
        timeout = aiohttp.ClientTimeout(total=seconds, sock_connect=1.0)
        try:
            async with self._session.request(
                method,
                self._url + path,
                params=query,
                data=body,
                headers=fields,
                timeout=timeout,
            ) as response:
                response_body = await response.read()
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self.failures += 1
            raise errors.StoreUnavailableError(path, repr(error)) from error
        if status not in expected:
            self.failures += 1
            raise errors.StoreUnavailableError(path, f"status {status}")
        return status, response_body


def _decode(body: bytes, kind: Any) -> Any:
    """Returns the answer in a body.

    Raises:
        StoreAnswerError: If the body has another form.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.StoreAnswerError(kind.__name__, str(error)) from error


def _build_item(item: _Item) -> key_values.KeyValue:
    """Returns the product's form of a key."""
    if item.deleted:
        return key_values.KeyValue(item.key, None, item.revision)
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        # A foreign writer may store anything; nobody can decode this value.
        value = b""
    return key_values.KeyValue(item.key, value, item.revision, item.lease_id)

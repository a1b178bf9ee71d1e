"""Client of the platform's metadata store.

Each method makes one call, and every call has a cost. A call without a reply
may still take effect later; only reading the keys shows whether it did.
"""

import base64
from collections.abc import Callable, Mapping, Sequence
from typing import Annotated, Any, Final, NamedTuple

import aiohttp
import msgspec

from wigeonspool.gateway import exchanges
from wigeonspool.gateway import http_client
from wigeonspool.model import errors
from wigeonspool.model import key_values
from wigeonspool.platform import duration_text

# Number of times that the store was restored from a copy; in each reply.
ERA_HEADER: Final = "Store-Era"
# An era with fewer digits has at most 63 bits.
MAX_ERA_DIGITS: Final = 19
STATUS_OK: Final = 200
STATUS_NOT_FOUND: Final = 404
STATUS_GONE: Final = 410
STATUS_PRECONDITION_FAILED: Final = 412
# A healthy store replies within milliseconds, a slow one within a few hundred.
CALL_TIMEOUT_SECONDS: Final = 2.0
# A page has at most about 1 MB.
MAX_REPLY_BYTES: Final = 16 * 1024 * 1024
# Entries that one transaction accepts.
MAX_WRITTEN_KEYS: Final = 32
# How much later than the end of its waiting time a watch may reply.
WATCH_SLACK_SECONDS: Final = 1.0


# Revisions, eras and lease IDs have 64 bits, also in the messages between VMs.
_Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Key = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class _Item(msgspec.Struct, rename="pascal"):
    key: _Key
    revision: _Number
    # Base64.
    value: str = ""
    lease_id: _Number = 0
    deleted: bool = False


class _KeyOfItem(msgspec.Struct, rename="pascal"):
    key: _Key


# Items are decoded one by one, so that an unreadable one does not cost the
# others.
class _Range(msgspec.Struct, rename="pascal"):
    items: tuple[msgspec.Raw, ...] = msgspec.field(name="items", default=())
    has_more: bool = False
    at_rev: _Number = 0


class _Events(msgspec.Struct, rename="pascal"):
    events: tuple[msgspec.Raw, ...] = msgspec.field(name="events", default=())
    at_rev: _Number = 0


class _Lease(msgspec.Struct, rename="pascal"):
    lease_id: Annotated[int, msgspec.Meta(ge=1, le=2**63 - 1)]
    ttl_time: str = msgspec.field(name="Ttl_time", default="0ms")


class _Written(msgspec.Struct, rename="pascal"):
    revision: _Number = 0


class _Reply(NamedTuple):
    """A complete reply of the store."""

    status: int
    body: bytes
    era: int


class MetadataStore:
    """Calls the store over HTTP.

    Attributes:
        calls: Number of calls made so far, including failed ones.
        failures: Number of calls that failed.
        newest_era: Newest era in a reply so far; 0 for a store without eras.
        on_new_era: Called with `newest_era` when it has increased.
    """

    def __init__(self, address: str) -> None:
        """Creates a client with a connection pool of its own.

        Args:
            address: host:port of the store.
        """
        self.calls = 0
        self.failures = 0
        self.newest_era = 0
        self.on_new_era: Callable[[int], None] = lambda era: None
        self._url = f"http://{address}"
        self._session = http_client.HttpClient()

    def set_address(self, address: str) -> None:
        """Sends further calls to a store at another host:port."""
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
            after: If not "", only keys that sort after this one are returned.
            stale: True if the reply may be seconds old; such a call is cheap.

        Raises:
            StoreUnavailableError: If the call failed or timed out.
            StoreReplyError: If the reply cannot be decoded.
        """
        query = {"Prefix": prefix}
        if after:
            query["after"] = after
        if stale:
            query["AllowStale"] = "1"
        _, body, era = await self._call("GET", "/v1/kv-range", query)
        reply = _decode(body, _Range)
        return _build_page(reply.items, reply.at_rev, reply.has_more, era)

    async def watch(
        self, prefix: str, after: int, wait_seconds: float
    ) -> key_values.Page:
        """Waits for changes after a revision; returns the first ones.

        The page is empty if nothing changes within the waiting time.

        Args:
            prefix: Common prefix of the keys.
            after: Only changes after this revision are returned.
            wait_seconds: Longest time to wait for a change.

        Raises:
            HistoryExpiredError: If the store no longer has the changes after
                the revision. All keys must be read again.
            StoreUnavailableError: If the call failed or timed out.
            StoreReplyError: If the reply cannot be decoded.
        """
        query = {
            "Prefix": prefix,
            "after": str(after),
            "WaitMs": str(round(wait_seconds * 1000)),
        }
        status, body, era = await self._call(
            "GET",
            "/v1/kv-watch",
            query,
            timeout_seconds=wait_seconds + WATCH_SLACK_SECONDS,
            accepted_statuses=(STATUS_OK, STATUS_GONE),
            # A store that is restored cuts watches. A watch that is sent again
            # would wait in the new era from a revision of the old one.
            may_resend=not self.newest_era,
        )
        if status == STATUS_GONE:
            raise errors.HistoryExpiredError(after)
        reply = _decode(body, _Events)
        return _build_page(reply.events, reply.at_rev, era=era)

    async def grant(self, ttl_seconds: float) -> key_values.GrantedLease:
        """Creates a lease.

        Args:
            ttl_seconds: How long the lease lasts without a renewal.

        Raises:
            StoreUnavailableError: If the call failed or timed out.
            StoreReplyError: If the reply cannot be decoded.
        """
        document = {"Ttl_time": duration_text.format_seconds(ttl_seconds)}
        _, body, era = await self._call(
            "POST", "/v1/kv-lease", document=document
        )
        granted: _Lease = _decode(body, _Lease)
        return key_values.GrantedLease(granted.lease_id, era)

    async def renew(
        self, lease: int, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> int:
        """Renews a lease; returns the era of the store that renewed it.

        If that is not the era in which the lease was granted, a lease of
        another client may have been renewed.

        Args:
            lease: ID of the lease.
            timeout_seconds: Longest time to wait for the reply.

        Raises:
            LeaseEndedError: If the lease has ended.
            StoreUnavailableError: If the call failed or timed out.
        """
        status, _, era = await self._call(
            "POST",
            f"/v1/kv-keep/{lease}",
            timeout_seconds=timeout_seconds,
            accepted_statuses=(STATUS_OK, STATUS_NOT_FOUND),
        )
        if status == STATUS_NOT_FOUND:
            raise errors.LeaseEndedError(lease)
        return era

    async def revoke(self, lease: int) -> None:
        """Ends a lease, which removes its keys.

        A lease that has already ended is no error.

        Raises:
            StoreUnavailableError: If the call failed or timed out.
        """
        await self._call(
            "DELETE",
            f"/v1/kv-lease-end/{lease}",
            accepted_statuses=(STATUS_OK, STATUS_NOT_FOUND),
        )

    async def write(
        self,
        key: str,
        value: bytes,
        lease: int = 0,
        expected: Mapping[str, int] | None = None,
        expected_era: int = 0,
    ) -> key_values.WriteResult:
        """Writes a key.

        Args:
            key: Key to write.
            value: New value of the key.
            lease: Lease that the key is attached to, or 0.
            expected: Revision that each of these keys must still have, or 0 if
                the key must not exist. Otherwise nothing is written.
            expected_era: Era of the revisions in `expected`.

        Raises:
            EraChangedError: If there are conditions and a reply of the store
                had a newer era than theirs. If that is the reply to this call,
                the keys may have been written; they must be read again.
            ConditionFailedError: If one of the keys in `expected` has another
                revision.
            LeaseEndedError: If the lease has ended.
            StoreUnavailableError: If the call failed or timed out.
            StoreReplyError: If the reply cannot be decoded.
        """
        return await self.write_all({key: value}, lease, expected, expected_era)

    async def write_all(
        self,
        values: Mapping[str, bytes | None],
        lease: int = 0,
        expected: Mapping[str, int] | None = None,
        expected_era: int = 0,
    ) -> key_values.WriteResult:
        """Writes and removes keys in one transaction.

        Args:
            values: New value of each key, or None to remove it; at most
                `MAX_WRITTEN_KEYS` in all.
            lease: Lease that the written keys are attached to, or 0.
            expected: As in `write`.
            expected_era: As in `write`.

        Raises:
            StoreError: As in `write`.
        """
        expected_revisions = expected or {}
        if expected_revisions and self.newest_era > expected_era:
            raise errors.EraChangedError(expected_era, self.newest_era)
        document = {
            "Expected": [
                {"Key": name, "Revision": revision}
                for name, revision in expected_revisions.items()
            ],
            "Writes": [
                {
                    "Key": key,
                    "Value": base64.b64encode(value).decode(),
                    "LeaseId": lease,
                }
                for key, value in values.items()
                if value is not None
            ],
            "Deletes": [k for k, value in values.items() if value is None],
        }
        status, body, era = await self._call(
            "POST",
            "/v1/kv-txn",
            document=document,
            accepted_statuses=(
                STATUS_OK,
                STATUS_NOT_FOUND,
                STATUS_PRECONDITION_FAILED,
            ),
        )
        if status == STATUS_NOT_FOUND:
            raise errors.LeaseEndedError(lease)
        if expected_revisions and era > expected_era:
            raise errors.EraChangedError(expected_era, era)
        if status == STATUS_PRECONDITION_FAILED:
            raise errors.ConditionFailedError(tuple(expected_revisions))
        written: _Written = _decode(body, _Written)
        return key_values.WriteResult(written.revision, era)

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None = None,
        document: Mapping[str, Any] | None = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        accepted_statuses: tuple[int, ...] = (STATUS_OK,),
        may_resend: bool = True,
    ) -> _Reply:
        """Makes one call; returns the reply.

        Args:
            method: HTTP method.
            path: Path of the call.
            query: Query parameters, if any.
            document: JSON document of the request body, if any.
            timeout_seconds: Longest time until the complete reply.
            accepted_statuses: Statuses that do not count as a failure.
            may_resend: True if the call may be sent again after a kept
                connection broke.

        Raises:
            StoreUnavailableError: If no complete reply came in time, or its
                status is not accepted.
            StoreReplyError: If the reply exceeds `MAX_REPLY_BYTES`, or its era
                cannot be decoded.
        """
        self.calls += 1
        body = None if document is None else msgspec.json.encode(document)
        fields = {"Content-Type": "application/json"} if body else None
        try:
            async with self._session.request(
                method,
                self._url + path,
                params=query,
                data=body,
                headers=fields,
                timeout_seconds=timeout_seconds,
                may_resend=may_resend,
            ) as response:
                response_body = await _read_body(response, path)
                status = response.status
                era = _read_era(response.headers.get(ERA_HEADER, ""), path)
        except errors.StoreReplyError:
            self.failures += 1
            raise
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self.failures += 1
            raise errors.StoreUnavailableError(path, repr(error)) from error
        if era > self.newest_era:
            self.newest_era = era
            self.on_new_era(era)
        if status not in accepted_statuses:
            self.failures += 1
            raise errors.StoreUnavailableError(path, f"status {status}")
        return _Reply(status, response_body, era)


def _read_era(field: str, path: str) -> int:
    """Returns the era that a reply states, or 0 if it states none.

    Args:
        field: Value of the header field, or "".
        path: Path of the call.

    Raises:
        StoreReplyError: If the value is not a number of 63 bits.
    """
    if not field:
        return 0
    if field.isascii() and field.isdigit() and len(field) < MAX_ERA_DIGITS:
        return int(field)
    raise errors.StoreReplyError(path, "the era is not a number")


async def _read_body(response: exchanges.TargetResponse, path: str) -> bytes:
    """Returns the body of a reply.

    Raises:
        StoreReplyError: If the body exceeds `MAX_REPLY_BYTES`.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_REPLY_BYTES:
            raise errors.StoreReplyError(path, "the reply is too large")
    return bytes(body)


def _decode(body: bytes | msgspec.Raw, kind: Any) -> Any:
    """Decodes the body of a reply.

    Raises:
        StoreReplyError: If the body is not a JSON document of this kind.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise errors.StoreReplyError(kind.__name__, str(error)) from error


def _build_page(
    raw_items: Sequence[msgspec.Raw],
    revision: int,
    more: bool = False,
    era: int = 0,
) -> key_values.Page:
    """Decodes the items of a reply; leaves out those that cannot be decoded."""
    items = []
    unreadable_keys = []
    for raw_item in raw_items:
        try:
            items.append(_build_item(_decode(raw_item, _Item)))
        except errors.StoreReplyError:
            unreadable_keys.append(_find_key(raw_item))
    return key_values.Page(
        tuple(items), revision, more, tuple(unreadable_keys), era
    )


def _find_key(raw_item: msgspec.Raw) -> str:
    """Returns the key of an unreadable item, or "" if that is unreadable."""
    try:
        item: _KeyOfItem = _decode(raw_item, _KeyOfItem)
    except errors.StoreReplyError:
        return ""
    return item.key


def _build_item(item: _Item) -> key_values.KeyValue:
    """Converts an item of a reply."""
    if item.deleted:
        return key_values.KeyValue(item.key, None, item.revision)
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        # An empty value is neither a valid entry nor a valid configuration, so
        # the decoder of the key reports it.
        value = b""
    return key_values.KeyValue(item.key, value, item.revision, item.lease_id)

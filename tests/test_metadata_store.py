"""Replies of the store that its client does not expect."""

from collections.abc import AsyncIterator
import json
from typing import Any

from aiohttp import web
import pytest
import pytest_asyncio

from tests import fleet
from tests import test_store_keys
from wigeonspool.core import cluster_state
from wigeonspool.model import errors
from wigeonspool.model import key_values
from wigeonspool.platform import metadata_store
from wigeonspool.platform import store_keys
from wigeonspool.vm import store_follower

GOOD_ITEM = {"Key": "servers/t-1", "Revision": 3, "Value": "eHg="}
ODD_REPLIES = [
    b"",
    b"\xff",
    b"null",
    b"[]",
    b"3",
    b'"x"',
    b"[" * 5000,
    b'{"New": ' + b"[" * 5000 + b"]" * 5000 + b"}",
    b'{"items": 3, "events": 3}',
    b'{"AtRev": "x"}',
    b'{"AtRev": -1}',
    b'{"AtRev": 1' + b"0" * 30 + b"}",
    b'{"AtRev": 1' + b"0" * 5000 + b"}",
    b'{"AtRev": 1e400}',
    b'{"AtRev": null}',
]
ODD_ITEMS: list[Any] = [
    {},
    [],
    None,
    3,
    {"Key": 3, "Revision": 1},
    {"Key": "", "Revision": 1},
    {"Key": "x" * 5000, "Revision": 1},
    {"Key": "k"},
    {"Key": "k", "Revision": -1},
    {"Key": "k", "Revision": 2**63},
    {"Key": "k", "Revision": 10**30},
    {"Key": "k", "Revision": "x"},
    {"Key": "k", "Revision": 1, "Value": 3},
    {"Key": "k", "Revision": 1, "LeaseId": -1},
    {"Key": "k", "Revision": 1, "LeaseId": 10**30},
    {"Key": "k", "Revision": 1, "Deleted": "x"},
]


class OddServer:
    """A store that replies to all calls with the same bodies in turn."""

    def __init__(self) -> None:
        self.address = fleet.reserve_address()
        self.bodies: list[bytes] = []
        self.queries: list[dict[str, str]] = []

    def reply(self, *bodies: Any) -> None:
        """Sets the bodies; the last one repeats."""
        self.bodies = [
            body if isinstance(body, bytes) else json.dumps(body).encode()
            for body in bodies
        ]

    async def serve(self, request: web.BaseRequest) -> web.Response:
        """Returns the next body."""
        self.queries.append(dict(request.query))
        more = len(self.bodies) > 1
        return web.Response(body=self.bodies.pop(0) if more else self.bodies[0])


@pytest_asyncio.fixture
async def server() -> AsyncIterator[OddServer]:
    odd_server = OddServer()
    host, _, port = odd_server.address.rpartition(":")
    runner = web.ServerRunner(web.Server(odd_server.serve))
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    yield odd_server
    await runner.cleanup()


@pytest_asyncio.fixture
async def store(
    server: OddServer,
) -> AsyncIterator[metadata_store.MetadataStore]:
    client = metadata_store.MetadataStore(server.address)
    yield client
    await client.close()


class TestReplies:
    @pytest.mark.parametrize("body", ODD_REPLIES)
    async def test_odd_reply_is_an_error_of_the_store(
        self,
        server: OddServer,
        store: metadata_store.MetadataStore,
        body: bytes,
    ) -> None:
        # Guards against lost requests: a RecursionError ended the follower.
        server.reply(body)
        with pytest.raises(errors.StoreReplyError):
            await store.read_range("")
        with pytest.raises(errors.StoreReplyError):
            await store.watch("", 1, 0.1)

    @pytest.mark.parametrize(
        "body",
        [
            {},
            {"LeaseId": 0},
            {"LeaseId": -1},
            {"LeaseId": 10**30},
            {"LeaseId": "x"},
        ],
    )
    async def test_odd_lease_is_an_error_of_the_store(
        self,
        server: OddServer,
        store: metadata_store.MetadataStore,
        body: Any,
    ) -> None:
        # A key with lease 0 would never be removed.
        server.reply(body)
        with pytest.raises(errors.StoreReplyError):
            await store.grant(3.0)

    @pytest.mark.parametrize("item", ODD_ITEMS)
    async def test_odd_item_does_not_cost_the_page(
        self,
        server: OddServer,
        store: metadata_store.MetadataStore,
        item: Any,
    ) -> None:
        items = [item, GOOD_ITEM]
        server.reply({"items": items, "events": items, "AtRev": 9})
        for page in (
            await store.read_range(""),
            await store.watch("", 1, 0.1),
        ):
            assert page.items == (
                key_values.KeyValue("servers/t-1", b"xx", 3, 0),
            )
            assert page.revision == 9
            is_key = isinstance(item, dict) and item.get("Key") == "k"
            assert page.unreadable_keys == (("k",) if is_key else ("",))

    @pytest.mark.parametrize("value", ["x", "eHg", "ééé", "e H g ="])
    async def test_odd_base64_is_an_empty_value(
        self,
        server: OddServer,
        store: metadata_store.MetadataStore,
        value: str,
    ) -> None:
        # No value that a process reads is valid if it is empty.
        server.reply({"items": [GOOD_ITEM | {"Value": value}], "AtRev": 9})
        (item,) = (await store.read_range("")).items
        assert item.value == b""
        change = store_keys.decode_change("servers/t-1", b"")
        assert isinstance(change, cluster_state.TargetChange)
        assert change.entry is None
        for key in ("op/config", "vms/vm-1"):
            with pytest.raises(errors.PlatformFormatError):
                store_keys.decode_change(key, b"")


class TestBodies:
    async def test_reply_without_end_is_an_error_of_the_store(self) -> None:
        # Such a reply filled the memory until the call timed out.
        sent_bytes = 0

        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            nonlocal sent_bytes
            response = web.StreamResponse()
            await response.prepare(request)
            while True:
                await response.write(b"x" * 65536)
                sent_bytes += 65536

        address = fleet.reserve_address()
        host, _, port = address.rpartition(":")
        runner = web.ServerRunner(web.Server(serve), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, host, int(port)).start()
        client = metadata_store.MetadataStore(address)
        with pytest.raises(errors.StoreReplyError):
            await client.read_range("")
        await client.close()
        await runner.cleanup()
        # Some more wait in the buffers of the sockets.
        assert sent_bytes < 2 * metadata_store.MAX_REPLY_BYTES

    async def test_redirect_is_an_unavailable_store(self) -> None:
        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            if request.path == "/x":
                return web.Response(body=b'{"AtRev": 3}')
            return web.Response(status=302, headers={"Location": "/x"})

        address = fleet.reserve_address()
        host, _, port = address.rpartition(":")
        runner = web.ServerRunner(web.Server(serve))
        await runner.setup()
        await web.TCPSite(runner, host, int(port)).start()
        client = metadata_store.MetadataStore(address)
        with pytest.raises(errors.StoreUnavailableError, match="302"):
            await client.read_range("")
        await client.close()
        await runner.cleanup()


class TestPages:
    def build_follower(
        self, store: metadata_store.MetadataStore
    ) -> store_follower.StoreFollower:
        """Returns a follower of the store with an empty replica."""
        cluster = cluster_state.ClusterState()
        replica = store_follower.StoreReplica(
            cluster, store_keys.decode_change, lambda item: None
        )
        return store_follower.StoreFollower(store, replica, cluster)

    async def test_pages_after_an_odd_item_are_read(
        self, server: OddServer, store: metadata_store.MetadataStore
    ) -> None:
        odd_items = [{"Key": "servers/t-0", "Revision": "x"}]
        server.reply(
            {"items": odd_items, "HasMore": True, "AtRev": 9},
            {"items": [GOOD_ITEM | {"Key": "status/x"}], "AtRev": 9},
        )
        follower = self.build_follower(store)
        await follower.load(stale=False)
        assert server.queries[1]["after"] == "servers/t-0"
        assert list(follower._replica.items) == ["status/x"]
        assert follower._replica.unreadable_items == 1

    async def test_odd_item_does_not_remove_its_key(
        self, server: OddServer, store: metadata_store.MetadataStore
    ) -> None:
        entry = json.dumps(test_store_keys.ENTRY).encode()
        follower = self.build_follower(store)
        items = [
            key_values.KeyValue(f"servers/t-{n}", entry, 2) for n in range(2)
        ]
        follower._replica.apply_page(key_values.Page(tuple(items), 2))
        odd_items = [{"Key": "servers/t-0", "Revision": "x"}]
        server.reply({"items": odd_items, "AtRev": 9})
        await follower.load(stale=False)
        assert list(follower._cluster.targets) == ["t-0"]

    # Guards against a reply without keys that removes all keys.
    async def test_empty_page_before_others_is_an_error(
        self, server: OddServer, store: metadata_store.MetadataStore
    ) -> None:
        follower = self.build_follower(store)
        entry = json.dumps(test_store_keys.ENTRY).encode()
        item = key_values.KeyValue("servers/t-0", entry, 2)
        follower._replica.apply_page(key_values.Page((item,), 2))
        server.reply({"items": [], "HasMore": True, "AtRev": 9})
        with pytest.raises(errors.StoreReplyError):
            await follower.load(stale=False)
        assert list(follower._cluster.targets) == ["t-0"]

    async def test_pages_that_do_not_advance_are_an_error(
        self, server: OddServer, store: metadata_store.MetadataStore
    ) -> None:
        server.reply({"items": [GOOD_ITEM], "HasMore": True, "AtRev": 9})
        with pytest.raises(errors.StoreReplyError):
            await self.build_follower(store).load(stale=True)
        assert len(server.queries) == 2

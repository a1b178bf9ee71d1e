"""Decoders return a value or raise their typed error, and nothing else.

The examples come from a grammar of each format: valid documents in which some
fields are replaced by odd values, and bytes that were changed afterwards.
"""

import asyncio
import copy
import ipaddress
import json
import pathlib
from typing import Any

import hypothesis
from hypothesis import strategies
import msgpack
import msgspec
import yarl

from tests import test_platform_settings
from tests import test_store_keys
from tests import vm_fleet
from wigeonspool.core import cluster_state
from wigeonspool.model import addresses
from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.model import key_values
from wigeonspool.platform import address_protocol
from wigeonspool.platform import duration_text
from wigeonspool.platform import metadata_store
from wigeonspool.platform import settings
from wigeonspool.platform import store_keys
from wigeonspool.vm import feed_messages
from wigeonspool.vm import peer_liveness
from wigeonspool.wire import frames

FUZZ = hypothesis.settings(
    derandomize=True,
    max_examples=400,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TEXTS = strategies.one_of(
    strategies.text(max_size=20),
    strategies.sampled_from(
        [
            "",
            "x" * 5000,
            "1" * 5000,
            "1" * 5000 + "s",
            "-1s",
            "1e5s",
            "nan",
            "inf",
            "٣s",
            "a\r\nb",
            "a\0b",
            "é",
            *test_store_keys.INVALID_ADDRESSES,
        ]
    ),
)
NUMBERS = strategies.one_of(
    strategies.integers(),
    strategies.sampled_from([0, -1, 2**31, 2**63, 2**64, 10**30, 10**100]),
    strategies.floats(),
)
SCALARS = strategies.one_of(
    strategies.none(), strategies.booleans(), NUMBERS, TEXTS
)
DEPTHS = strategies.sampled_from([1, 63, 64, 65, 500, 5000])


def nest(depth: int, opening: str, closing: str) -> Any:
    """Returns a marker that `encode_json` replaces by nested brackets."""
    return f"@{depth}{opening}{closing}@"


NESTED = strategies.builds(
    nest, DEPTHS, strategies.sampled_from(["[", '{"a":']), strategies.just("")
)
ODD_VALUES = strategies.one_of(
    SCALARS,
    NESTED,
    strategies.lists(SCALARS, max_size=3),
    strategies.dictionaries(TEXTS, SCALARS, max_size=3),
)


def list_paths(document: Any, path: tuple[Any, ...] = ()) -> list[Any]:
    """Returns the paths of all values in a document."""
    paths = [path]
    if isinstance(document, dict):
        for key, value in document.items():
            paths += list_paths(value, (*path, key))
    elif isinstance(document, list):
        for index, value in enumerate(document):
            paths += list_paths(value, (*path, index))
    return paths


def replace(document: Any, path: tuple[Any, ...], value: Any) -> Any:
    """Returns a document in which the value at a path is another one."""
    if not path:
        return value
    changed = copy.copy(document)
    changed[path[0]] = replace(document[path[0]], path[1:], value)
    return changed


def list_odd_values(value: Any) -> Any:
    """Returns a strategy of odd values, half of them of the type of a value."""
    if isinstance(value, str):
        return strategies.one_of(TEXTS, ODD_VALUES)
    if isinstance(value, int | float):
        return strategies.one_of(NUMBERS, ODD_VALUES)
    return ODD_VALUES


@strategies.composite
def change_document(draw: Any, document: Any) -> Any:
    """Draws a document in which one or two values are odd, missing or new."""
    for _ in range(draw(strategies.sampled_from([1, 1, 1, 2]))):
        path = draw(strategies.sampled_from(list_paths(document)))
        parent = old = document
        for step in path:
            parent, old = old, old[step]
        changes = ["replace", "replace", "replace", "remove"]
        if isinstance(old, dict):
            changes = ["add", "add", "add", "replace"]
        change = draw(strategies.sampled_from(changes))
        if change == "remove" and path and isinstance(parent, dict):
            rest = {k: v for k, v in parent.items() if k != path[-1]}
            document = replace(document, path[:-1], rest)
        elif change == "add":
            added = old | {draw(strategies.text(max_size=5)): draw(ODD_VALUES)}
            document = replace(document, path, added)
        else:
            document = replace(document, path, draw(list_odd_values(old)))
    return document


def encode_json(document: Any) -> bytes:
    """Returns a document as JSON, with the nested values in place."""
    text = json.dumps(document)
    for depth in (1, 63, 64, 65, 500, 5000):
        text = text.replace(f'"@{depth}[@"', "[" * depth + "]" * depth).replace(
            f'"@{depth}{{\\"a\\":@"', '{"a":' * depth + "1" + "}" * depth
        )
    return text.encode()


@strategies.composite
def change_bytes(draw: Any, data: bytes) -> bytes:
    """Draws bytes of which some were replaced, removed or added."""
    if not data or draw(strategies.integers(0, 3)):
        return data
    start = draw(strategies.integers(0, len(data)))
    end = draw(strategies.integers(start, min(len(data), start + 4)))
    return data[:start] + draw(strategies.binary(max_size=4)) + data[end:]


def draw_json(document: Any) -> Any:
    """Returns a strategy of bytes that resemble a JSON document."""
    return change_document(document).map(encode_json).flatmap(change_bytes)


def unnest(document: Any) -> Any:
    """Returns a document with lists in place of the markers of nesting."""
    if isinstance(document, str) and document.startswith("@"):
        nested: Any = 1
        for _ in range(min(400, int(document.strip('@[{"a:') or 1))):
            nested = [nested]
        return nested
    if isinstance(document, list):
        return [unnest(value) for value in document]
    if isinstance(document, dict):
        return {key: unnest(value) for key, value in document.items()}
    return document


def encode_msgpack(document: Any) -> bytes:
    """Returns a document as msgpack; integers beyond 64 bits become text."""
    return msgpack.packb(
        unnest(document), default=str, unicode_errors="replace"
    )


def draw_msgpack(document: Any) -> Any:
    """Returns a strategy of bytes that resemble a msgpack document."""

    def encode(changed: Any) -> bytes:
        try:
            return encode_msgpack(changed)
        except (OverflowError, TypeError, ValueError):
            return encode_msgpack(document)

    nested = strategies.integers(1, 5000).map(lambda n: b"\x91" * n + b"\x00")
    return strategies.one_of(
        change_document(document).map(encode).flatmap(change_bytes),
        strategies.tuples(
            strategies.just(encode_msgpack(document)), nested
        ).map(lambda parts: bytes([parts[0][0] + 1]) + parts[0][1:] + parts[1]),
    )


def pass_on(key: str, value: bytes) -> None:
    """Checks that an item can be passed on to a follower."""
    item = key_values.KeyValue(key, value, 1, 1)
    message = feed_messages.Items(1, feed_messages.encode_items([item]), False)
    frame = feed_messages.encode_message(message)
    body = frame[frames.LENGTH_PREFIX.size :]
    decoded = msgspec.convert(frames.unpack_body(body), feed_messages.Message)
    assert feed_messages.decode_items(decoded.items) == [item]


def decode_item(key: str, value: bytes) -> Any:
    """Returns the change of a key, or None if its value is invalid."""
    try:
        change = store_keys.decode_change(key, value)
    except errors.PlatformFormatError as error:
        assert len(str(error)) < test_store_keys.MAX_PROBLEM_CHARS
        return None
    pass_on(key, value)
    cluster = cluster_state.ClusterState()
    if change is not None:
        cluster.apply(0.0, key, 1, change)
    return change


class TestTargetEntries:
    @FUZZ
    @hypothesis.given(draw_json(test_store_keys.ENTRY))
    def test_entry_is_a_target_or_a_problem(self, value: bytes) -> None:
        change = decode_item("servers/t-1", value)
        assert isinstance(change, cluster_state.TargetChange)
        assert (change.entry is None) == bool(change.problem)
        assert len(change.problem) < test_store_keys.MAX_PROBLEM_CHARS
        if change.entry is not None:
            addresses.split_address(change.entry.address)
            msgspec.msgpack.encode(change.entry)

    @FUZZ
    @hypothesis.given(TEXTS)
    def test_identity_is_a_target_or_a_problem(self, identity: str) -> None:
        change = store_keys.decode_change(
            f"servers/{identity}", encode_json(test_store_keys.ENTRY)
        )
        assert isinstance(change, cluster_state.TargetChange)
        if change.entry is not None:
            assert identity.encode("ascii").strip() == identity.encode()


class TestVmEntries:
    DOCUMENT = ["north", "zone-a", "10.0.0.1:80", "10.0.0.1:81", 0.86]

    @FUZZ
    @hypothesis.given(draw_msgpack(DOCUMENT), TEXTS)
    def test_entry_is_a_vm_or_an_error(self, value: bytes, name: str) -> None:
        for key in ("vms/vm-1", f"vms/{name}"):
            change = decode_item(key, value)
            if change is not None:
                assert isinstance(change.entry, fleet.VmEntry)
                addresses.split_address(change.entry.address)
                addresses.split_address(change.entry.peer_address)
                encoded = store_keys.encode_vm(change.entry)
                assert store_keys.decode_change(*encoded) == change


class TestSuspects:
    @FUZZ
    @hypothesis.given(
        strategies.one_of(TEXTS, NUMBERS.map(str), NUMBERS.map(repr)),
        strategies.one_of(TEXTS, strategies.just("t-1")),
    )
    def test_key_is_a_suspect_or_an_error(
        self, fingerprint: str, target: str
    ) -> None:
        change = decode_item(f"suspects/{fingerprint}/{target}", b"")
        if change is not None:
            assert 0 <= change.fingerprint < 2**64


class TestConfigurations:
    RULE = vm_fleet.build_rule("read", "/read/", "safe", Service="reads")
    BACKENDS = [{"Service": "reads", "Weight": 1}]
    SPLIT = vm_fleet.build_rule("s", "/s/", "safe", WeightedBackends=BACKENDS)
    DOCUMENT = vm_fleet.build_configuration(3, [RULE, SPLIT])

    @FUZZ
    @hypothesis.given(draw_json(DOCUMENT))
    def test_value_is_a_configuration_or_an_error(self, value: bytes) -> None:
        change = decode_item("op/config", value)
        if change is not None:
            configuration = change.configuration
            msgspec.json.encode(configuration)
            configuration.find_rule(vm_fleet.HOST, "/read/1")


class TestStoreReplies:
    ITEM = {
        "Key": "servers/t-1",
        "Value": "eHg=",
        "Revision": 3,
        "Created": 2,
        "LeaseId": 0,
    }
    DOCUMENT = {
        "items": [ITEM, ITEM],
        "events": [ITEM, {"Key": "k", "Revision": 4, "Deleted": True}],
        "HasMore": False,
        "AtRev": 9,
        "LeaseId": 4,
        "Ttl_time": "3s",
        "Revision": 5,
    }

    @FUZZ
    @hypothesis.given(draw_json(DOCUMENT))
    def test_reply_is_a_page_or_an_error(self, body: bytes) -> None:
        for kind in (
            metadata_store._Range,
            metadata_store._Events,
            metadata_store._Lease,
            metadata_store._Written,
        ):
            try:
                reply = metadata_store._decode(body, kind)
            except errors.StoreReplyError:
                continue
            raw_items = getattr(reply, "items", getattr(reply, "events", ()))
            page = metadata_store._build_page(raw_items, 0)
            for item in page.items:
                pass_on(item.key, item.value or b"")
                msgspec.msgpack.encode([item.revision, item.lease])


class TestSettings:
    @FUZZ
    @hypothesis.given(
        strategies.sampled_from(
            sorted({field for field, _ in test_platform_settings.ODD_FIELDS})
        ),
        strategies.one_of(
            NUMBERS.map(str),
            TEXTS.map(json.dumps),
            strategies.text(max_size=10),
            DEPTHS.map(lambda depth: "[" * depth + "]" * depth),
        ),
    )
    def test_file_is_settings_or_an_error(
        self, tmp_path_factory: Any, field: str, value: str
    ) -> None:
        path: pathlib.Path = tmp_path_factory.getbasetemp() / "fuzzed.toml"
        value = value.encode(errors="replace").decode()
        test_platform_settings.write(path, field, value)
        try:
            read = settings.read_settings(path)
        except errors.SettingsError:
            return
        entry = fleet.VmEntry(
            read.vm,
            read.region,
            read.zone,
            read.callers,
            f"{read.ip}:{read.first_free_port}",
            read.capacity,
        )
        assert store_keys.decode_change(*store_keys.encode_vm(entry))


class TestDatagrams:
    @FUZZ
    @hypothesis.given(draw_msgpack([1, 3.5, 0.5, False, True]))
    def test_datagram_is_handled_or_ignored(self, data: bytes) -> None:
        async def receive() -> None:
            protocol = peer_liveness.LivenessProtocol(
                lambda: peer_liveness.Datagram(peer_liveness.PONG, 0.0)
            )
            vm = fleet.VmEntry("v", "r", "z", "10.0.0.1:1", "10.0.0.1:2")
            protocol.monitor([vm])
            protocol.datagram_received(data, ("10.0.0.1", 2))
            utilization = protocol.peers[vm.peer_address].utilization
            assert 0.0 <= utilization <= peer_liveness.MAX_UTILIZATION

        asyncio.run(receive())


class TestFeedMessages:
    ITEMS = [["servers/t-1", "v", 3, 0], ["k", None, 4, 0]]

    @FUZZ
    @hypothesis.given(
        strategies.one_of(
            draw_msgpack([0, 1, "vm-1", 7]),
            draw_msgpack([1, 7, ITEMS, True]),
            draw_msgpack([2, 7, 0.5]),
        )
    )
    def test_frame_is_a_message_or_an_error(self, body: bytes) -> None:
        async def read() -> feed_messages.Message | None:
            reader = asyncio.StreamReader()
            reader.feed_data(frames.LENGTH_PREFIX.pack(len(body)) + body)
            reader.feed_eof()
            return await feed_messages.read_message(reader)

        try:
            message = asyncio.run(read())
        except errors.WireError:
            return
        assert message is not None
        feed_messages.encode_message(message)


class TestAddressRequests:
    @FUZZ
    @hypothesis.given(strategies.dictionaries(TEXTS, TEXTS), TEXTS)
    def test_query_is_read(self, query: dict[str, str], text: str) -> None:
        text = text.encode(errors="replace").decode()
        for url in (
            yarl.URL("http://h/v1/resolve").with_query(
                {
                    key.encode(errors="replace").decode(): value.encode(
                        errors="replace"
                    ).decode()
                    for key, value in query.items()
                }
            ),
            yarl.URL.build(path="/v1/resolve", query_string=text),
        ):
            address_protocol.read_address_request(url)


class TestSmallTexts:
    @FUZZ
    @hypothesis.given(TEXTS)
    def test_duration_is_finite_or_an_error(self, text: str) -> None:
        try:
            seconds = duration_text.parse_seconds(text)
        except errors.PlatformFormatError:
            return
        assert 0.0 <= seconds <= duration_text.MAX_DURATION_SECONDS

    @FUZZ
    @hypothesis.given(TEXTS)
    def test_address_is_split_or_an_error(self, text: str) -> None:
        try:
            host, port = addresses.split_address(text)
        except errors.AddressInvalidError:
            return
        assert text.rpartition(":")[0] == str(ipaddress.IPv4Address(host))
        assert addresses.MIN_PORT <= port <= addresses.MAX_PORT

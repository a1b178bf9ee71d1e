"""Invalid frames, messages and tokens give typed errors and no others."""

import asyncio
import dataclasses
import struct
from typing import Any

import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from tests import fleet as fleets
from wigeonspool.agent import metrics
from wigeonspool.agent import stream_server
from wigeonspool.model import errors
from wigeonspool.model import messages
from wigeonspool.model import status_messages
from wigeonspool.wire import encoding
from wigeonspool.wire import frames
from wigeonspool.wire import handshake
from wigeonspool.wire import peer_roles
from wigeonspool.wire import tokens

FUZZ = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8)
    | strategies.builds(msgpack.Timestamp, strategies.integers(0, 2**33))
)
DOCUMENTS = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=6), inner)
    ),
    max_leaves=20,
)
KINDS = strategies.sampled_from(sorted(messages.MESSAGE_TYPES))
# Only values that msgpack can encode and that are equal to themselves.
strategies.register_type_strategy(int, strategies.integers(-(2**63), 2**64 - 1))
strategies.register_type_strategy(float, strategies.floats(allow_nan=False))


def pack(document: Any) -> bytes:
    body = msgpack.packb(document)
    return struct.pack(">I", len(body)) + body


def pack_message(message: messages.Message) -> bytes:
    return frames.pack_frame(encoding.encode_message(message))


async def read_all(data: bytes, frame_seconds: float = 5.0) -> list[Any]:
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    received = []
    while True:
        document = await frames.read_frame(
            reader, timeout_seconds=frame_seconds
        )
        if document is None:
            return received
        received.append(encoding.decode_message(document))


HELLO = messages.Hello("ctl", "operator", "", "")
AGENT_HELLO = messages.Hello("vm-9-agent", "agent", "1", "vm-9")
GATEWAY_HELLO = handshake.sign_hello(
    messages.Hello("vm-0-9", "gateway", "1", "vm-0"), ["test-key"]
)
NESTED = b"\x91" * 1000 + b"\x01"
DEEP_VERSION = b"\x92\xa5Hello\x91" + NESTED
DEEP_KIND = b"\x92" + NESTED + b"\x90"
VERSION = encoding.PROTOCOL_VERSION
FIELDS = [VERSION, "ctl", "operator", "", ""]
BAD_HEARTBEAT = ["Heartbeat", ["vm-1", "r", "a:1", "i", 1, 1, [{"name": "g"}]]]


def add_length_prefix(body: bytes) -> bytes:
    return struct.pack(">I", len(body)) + body


BAD_BYTES = {
    "too long": (struct.pack(">I", 1 << 31), "frame-too-long"),
    "not msgpack": (add_length_prefix(b"\xc1\xc1\xc1"), "frame-encoding"),
    "http": (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "frame-too-long"),
    "not an array": (pack({"v": 1, "k": "Hello", "b": {}}), "frame-encoding"),
    "too many entries": (pack(["Hello", FIELDS, 1, 1, 1]), "frame-encoding"),
    "half a stamp": (pack(["Hello", FIELDS, 1]), "frame-encoding"),
    "stamp of text": (pack(["Hello", FIELDS, "1", "1"]), "frame-encoding"),
    "empty body": (add_length_prefix(b""), "frame-encoding"),
    "trailing bytes": (add_length_prefix(b"\x80\x80"), "frame-encoding"),
    "wrong version": (pack(["Hello", [1, *FIELDS[1:]]]), "frame-version"),
    "version is true": (pack(["Hello", [True, *FIELDS[1:]]]), "frame-version"),
    "no version": (pack(["Hello", []]), "frame-version"),
    "unknown kind": (pack(["Nonsense", []]), "frame-kind"),
    "missing body": (pack(["Hello"]), "frame-encoding"),
    "missing field": (pack(["Hello", [VERSION, "a"]]), "frame-encoding"),
    "fields by name": (pack(["Hello", {"process": "a"}]), "frame-encoding"),
    "too many fields": (
        pack(["Hello", [*FIELDS, 0, "", "", "more"]]),
        "frame-encoding",
    ),
    "field of a wrong type": (
        pack(["Hello", [VERSION, 1, "operator", "", ""]]),
        "frame-encoding",
    ),
    "inner fields by name": (pack(BAD_HEARTBEAT), "frame-encoding"),
    "nested beyond the codec": (
        add_length_prefix(b"\x91" * 3000),
        "frame-encoding",
    ),
    "deep version": (add_length_prefix(DEEP_VERSION), "frame-version"),
    "deep kind": (add_length_prefix(DEEP_KIND), "frame-kind"),
    "announced map": (
        add_length_prefix(b"\xdf\xff\xff\xff\xff"),
        "frame-encoding",
    ),
    "half-sent": (pack_message(HELLO)[:-3], "frame-cut"),
    "half a header": (b"\x00\x00", "frame-cut"),
    "not a hello": (
        pack_message(status_messages.StatusRequest()),
        "frame-kind",
    ),
    "unknown role": (
        pack_message(dataclasses.replace(HELLO, role="root")),
        "sender-role",
    ),
    "report of an operator": (
        pack_message(HELLO) + pack_message(messages.Members((), ())),
        "sender-role",
    ),
    "members of a follower": (
        pack_message(GATEWAY_HELLO) + pack_message(messages.Members((), ())),
        "sender-role",
    ),
    "no proof of the fleet's key": (
        pack_message(AGENT_HELLO),
        "peer-unknown",
    ),
    "long after the hello": (
        pack_message(HELLO) + struct.pack(">I", 1 << 25),
        "frame-too-long",
    ),
}


class TestFrames:
    @hypothesis.given(strategies.binary(max_size=64))
    @FUZZ
    def test_any_bytes_give_wire_errors_only(self, data: bytes) -> None:
        try:
            asyncio.run(read_all(data))
        except errors.WireError as error:
            assert error.code != errors.WireError.code

    @hypothesis.given(strategies.binary(max_size=64))
    @FUZZ
    def test_any_body_gives_encoding_errors_only(self, body: bytes) -> None:
        try:
            frames.unpack_body(body)
        except errors.FrameEncodingError:
            return

    @hypothesis.given(DOCUMENTS)
    @FUZZ
    def test_any_document_gives_wire_errors_only(self, document: Any) -> None:
        with pytest.raises(errors.WireError):
            encoding.decode_message(document)

    @hypothesis.given(KINDS, strategies.data())
    @FUZZ
    def test_any_fields_give_wire_errors_only(
        self, kind: str, data: strategies.DataObject
    ) -> None:
        names = [
            f.name for f in dataclasses.fields(messages.MESSAGE_TYPES[kind])
        ]
        fields = data.draw(strategies.lists(DOCUMENTS, max_size=len(names) + 1))
        version = [VERSION] if kind == "Hello" else []
        document = frames.unpack_body(pack([kind, version + fields])[4:])
        try:
            message = encoding.decode_message(document)
        except errors.WireError:
            return
        assert type(message).__name__ == kind

    @hypothesis.given(KINDS, strategies.data())
    @FUZZ
    def test_message_comes_as_it_was_sent(
        self, kind: str, data: strategies.DataObject
    ) -> None:
        message = data.draw(strategies.from_type(messages.MESSAGE_TYPES[kind]))
        document = frames.unpack_body(pack_message(message)[4:])
        assert encoding.decode_message(document) == message

    async def test_stalled_frame_times_out(self) -> None:
        reader = asyncio.StreamReader()
        reader.feed_data(b"\x00\x00\x00\x09abc")
        with pytest.raises(errors.FrameStalledError):
            await frames.read_frame(reader, timeout_seconds=0.01)

    def test_array_above_the_limit_is_rejected(self) -> None:
        body = msgpack.packb([None] * (frames.MAX_ENTRIES + 1))
        with pytest.raises(errors.FrameEncodingError):
            frames.unpack_body(body)


class TestPeerRoles:
    def test_every_message_kind_has_allowed_roles(self) -> None:
        assert set(peer_roles.ALLOWED_ROLES) == set(
            messages.MESSAGE_TYPES.values()
        )


class TestStreamServer:
    @pytest.mark.parametrize("name", BAD_BYTES)
    async def test_stream_with_invalid_input_is_closed_and_counted(
        self, fleet: fleets.Fleet, name: str
    ) -> None:
        data, code = BAD_BYTES[name]
        agent = fleet.agents["vm-0"]
        host, _, port = fleet.settings["vm-0"].agent.listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        writer.write_eof()
        async with asyncio.timeout(5.0):
            while await reader.read(4096):
                pass
        writer.close()
        assert agent._stream_server.rejected == {code: 1}
        assert metrics.STREAMS_REJECTED.get({"code": code}) >= 1
        await fleets.wait_for(
            lambda: len(agent._stream_server.list_reports()) == 1
        )

    async def test_stream_without_a_hello_is_closed(
        self, fleet: fleets.Fleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(stream_server, "HELLO_TIMEOUT_SECONDS", 0.05)
        agent = fleet.agents["vm-0"]
        host, _, port = fleet.settings["vm-0"].agent.listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        async with asyncio.timeout(5.0):
            assert await reader.read() == b""
        writer.close()
        assert agent._stream_server.rejected == {"frame-stalled": 1}


class TestTokens:
    SIGNER = tokens.TokenSigner(["old", "new"])
    ASSIGNMENT = tokens.Assignment("i" * 12, "ann", "vm-0", "1", "a:1", 9.5)

    @hypothesis.given(strategies.text(max_size=200))
    @FUZZ
    def test_any_text_gives_token_errors_only(self, text: str) -> None:
        with pytest.raises(errors.TokenError):
            self.SIGNER.verify(text)

    @hypothesis.given(strategies.integers(0, 400), strategies.characters())
    @FUZZ
    def test_changed_token_never_says_something_else(
        self, place: int, letter: str
    ) -> None:
        token = self.SIGNER.sign(self.ASSIGNMENT)
        place %= len(token)
        changed = token[:place] + letter + token[place + 1 :]
        try:
            # The last character of base64 text has unused bits.
            assert self.SIGNER.verify(changed) == self.ASSIGNMENT
        except errors.TokenError:
            return

    @hypothesis.given(DOCUMENTS)
    @FUZZ
    def test_signed_nonsense_gives_token_errors_only(self, fields: Any) -> None:
        try:
            token = self.SIGNER._serializer.dumps(fields)
        except (TypeError, ValueError):
            return
        with pytest.raises(errors.TokenError):
            self.SIGNER.verify(str(token))

    @pytest.mark.parametrize("removed", [1, 10, 40])
    def test_truncated_token_is_rejected(self, removed: int) -> None:
        token = self.SIGNER.sign(self.ASSIGNMENT)
        with pytest.raises(errors.TokenError):
            self.SIGNER.verify(token[:-removed])

    def test_lone_surrogate_is_rejected(self) -> None:
        with pytest.raises(errors.TokenError):
            self.SIGNER.verify("a.\udcff")

    def test_old_key_is_accepted_and_retired_key_is_rejected(self) -> None:
        older = tokens.TokenSigner(["old"]).sign(self.ASSIGNMENT)
        assert self.SIGNER.verify(older) == self.ASSIGNMENT
        with pytest.raises(errors.TokenError):
            tokens.TokenSigner(["new"]).verify(older)

"""Messages between VMs that a process does not expect."""

import asyncio
from typing import Any

import msgpack
import pytest

from wigeonspool.model import errors
from wigeonspool.vm import feed_messages
from wigeonspool.wire import frames

ODD_BODIES = [
    msgpack.packb(document)
    for document in (
        None,
        [],
        [9, 1],
        [0, 1, "vm", -1],
        [0, 1, "vm", 2**63],
        [1, 2**64 - 1, [], True],
        [1, -1, [], True],
        [1, 5, [["k", b"v", 2**64 - 1, 0]], False],
        [1, 5, [["k", b"v", 1, 2**64 - 1]], False],
        [1, 5, [["k", "v", -1, 0]], False],
        [1, 5, [[]], False],
        [2, 5, float("nan")],
        [2, 5, float("inf")],
        [2, 5, -1.0],
        [2, -5, 0.0],
    )
] + [b"", b"\xc1", b"\x91" * 5000 + b"\x00", b"\x93\x01\x05" + b"\x91" * 5000]


def build_reader(body: bytes) -> asyncio.StreamReader:
    """Returns a stream that holds one frame."""
    reader = asyncio.StreamReader()
    reader.feed_data(frames.LENGTH_PREFIX.pack(len(body)) + body)
    reader.feed_eof()
    return reader


class TestMessages:
    @pytest.mark.parametrize("body", ODD_BODIES)
    async def test_odd_message_is_an_error_of_the_stream(
        self, body: bytes
    ) -> None:
        # Guards against lost requests: a feeder could not pass on what it had
        # received, and a feeder with a negative age counted as fresh forever.
        with pytest.raises(errors.WireError):
            await feed_messages.read_message(build_reader(body))

    @pytest.mark.parametrize(
        "message",
        [
            feed_messages.Subscribe(1, "vm-1", 2**63 - 1),
            feed_messages.Items(
                2**63 - 1,
                (
                    feed_messages.WireItem("k", b"v", 2**63 - 1, 2**63 - 1),
                    feed_messages.WireItem("k", None, 0),
                ),
                True,
            ),
            feed_messages.Pulse(0, 1e6),
        ],
    )
    async def test_message_is_read_as_it_was_sent(self, message: Any) -> None:
        reader = asyncio.StreamReader()
        reader.feed_data(feed_messages.encode_message(message))
        assert await feed_messages.read_message(reader) == message

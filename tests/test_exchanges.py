import asyncio
from collections.abc import AsyncIterator

from multidict import CIMultiDict
import pytest
import pytest_asyncio

from wigeonspool.core import tables
from wigeonspool.gateway import egress

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
    b"Wigeonspool-Outcome: not_run\r\n\r\n"
)


class Peer:
    """Answers each request as soon as its head has arrived."""

    def __init__(self, answer: bytes) -> None:
        self.answer = answer
        self.heads: list[bytes] = []
        self.connections = 0
        self.stopped = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                self.heads.append(await reader.readuntil(b"\r\n\r\n"))
                writer.write(self.answer)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()
        except asyncio.LimitOverrunError:
            # What follows is a body, which this peer never reads.
            await self.stopped.wait()
            writer.close()


@pytest_asyncio.fixture
async def client() -> AsyncIterator[egress.Egress]:
    opened = egress.Egress()
    yield opened
    await opened.close()


async def send(
    client: egress.Egress,
    peer: Peer,
    *paths: str,
    method: str = "GET",
    body: bytes | None = None,
) -> list[tables.ResultKind]:
    server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    kinds = []
    for path in paths:
        deadline = asyncio.get_running_loop().time() + 5.0
        outgoing = egress.OutgoingRequest(
            method, path, CIMultiDict(), body, deadline
        )
        attempt = await client.send_attempt(
            address, outgoing, may_retry_connection=True
        )
        assert attempt.result is not None
        kinds.append(attempt.result.kind)
    server.close()
    peer.stopped.set()
    return kinds


class TestRequests:
    @pytest.mark.parametrize(
        ("written", "sent"),
        [
            ("/queue?", b"/queue?"),
            ("//queue", b"//queue"),
            ("/queue?a=%2F&b=%zz", b"/queue?a=%2F&b=%zz"),
            ("/queue#part", b"/queue"),
        ],
    )
    async def test_path_goes_on_as_written(
        self, client: egress.Egress, written: str, sent: bytes
    ) -> None:
        peer = Peer(ANSWER)
        await send(client, peer, written)
        assert peer.heads[0].split(b" ")[1] == sent

    @pytest.mark.parametrize(
        ("method", "body", "length"),
        [("GET", None, []), ("POST", None, [b"0"]), ("GET", b"ab", [b"2"])],
    )
    async def test_body_is_framed(
        self,
        client: egress.Egress,
        method: str,
        body: bytes | None,
        length: list[bytes],
    ) -> None:
        peer = Peer(ANSWER)
        await send(client, peer, "/", method=method, body=body)
        lines = peer.heads[0].split(b"\r\n")
        found = [line[16:] for line in lines if line.startswith(b"Content-L")]
        assert found == length


class TestConnections:
    async def test_connection_of_a_whole_exchange_is_kept(
        self, client: egress.Egress
    ) -> None:
        peer = Peer(ANSWER)
        kinds = await send(client, peer, "/a", "/b")
        assert kinds == [tables.ResultKind.ANSWERED] * 2
        assert peer.connections == 1

    async def test_refusal_before_the_body_was_read_is_seen(
        self, client: egress.Egress
    ) -> None:
        peer = Peer(REFUSAL)
        body = b"x" * 16_000_000
        kinds = await send(client, peer, "/a", "/b", method="PUT", body=body)
        assert kinds == [tables.ResultKind.NOT_RUN] * 2
        # Each connection still held a part of its body, so none was kept.
        assert peer.connections == 2
        assert client.unresponsive_count == 0

import asyncio
from collections.abc import AsyncIterator

from multidict import CIMultiDict
import pytest
import pytest_asyncio

from wigeonspool.core import tables
from wigeonspool.gateway import egress

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
    b"Wigeonspool-Outcome: not_run\r\n\r\n"
)


class Peer:
    """A server that responds to each request once its head has arrived."""

    def __init__(self, response: bytes) -> None:
        self.response = response
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
                writer.write(self.response)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()
        except asyncio.LimitOverrunError:
            # The following data is a body, which this peer never reads.
            await self.stopped.wait()
            writer.close()


@pytest_asyncio.fixture
async def client() -> AsyncIterator[egress.Egress]:
    started = egress.Egress()
    yield started
    await started.close()


async def send(
    client: egress.Egress,
    peer: Peer,
    *paths: str,
    method: str = "GET",
    body: bytes | None = None,
) -> list[tables.ResultKind]:
    """Starts the peer and sends it a request per path, one after another."""
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
        ("path", "sent"),
        [
            ("/queue?", b"/queue?"),
            ("//queue", b"//queue"),
            ("/queue?a=%2F&b=%zz", b"/queue?a=%2F&b=%zz"),
            ("/queue#part", b"/queue"),
        ],
    )
    async def test_path_is_sent_unchanged(
        self, client: egress.Egress, path: str, sent: bytes
    ) -> None:
        peer = Peer(RESPONSE)
        await send(client, peer, path)
        assert peer.heads[0].split(b" ")[1] == sent

    @pytest.mark.parametrize(
        ("method", "body", "length"),
        [("GET", None, []), ("POST", None, [b"0"]), ("GET", b"ab", [b"2"])],
    )
    async def test_body_length_is_declared(
        self,
        client: egress.Egress,
        method: str,
        body: bytes | None,
        length: list[bytes],
    ) -> None:
        peer = Peer(RESPONSE)
        await send(client, peer, "/", method=method, body=body)
        lines = peer.heads[0].split(b"\r\n")
        declared = [
            line[16:] for line in lines if line.startswith(b"Content-L")
        ]
        assert declared == length


class TestConnections:
    async def test_connection_of_a_complete_exchange_is_reused(
        self, client: egress.Egress
    ) -> None:
        peer = Peer(RESPONSE)
        kinds = await send(client, peer, "/a", "/b")
        assert kinds == [tables.ResultKind.ANSWERED] * 2
        assert peer.connections == 1

    async def test_refusal_is_received_before_the_body_is_sent(
        self, client: egress.Egress
    ) -> None:
        peer = Peer(REFUSAL)
        body = b"x" * 16_000_000
        kinds = await send(client, peer, "/a", "/b", method="PUT", body=body)
        assert kinds == [tables.ResultKind.NOT_RUN] * 2
        # Both connections had unsent body data, so neither was reused.
        assert peer.connections == 2
        assert client.unresponsive_count == 0

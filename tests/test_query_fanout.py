"""Tests of merging the replies of an agent's gateways to one query."""

import asyncio

import pytest

from tests import fleet as fleets
from wigeonspool.agent import query_fanout
from wigeonspool.model import entities
from wigeonspool.model import messages
from wigeonspool.model import status_messages
from wigeonspool.operator import sessions
from wigeonspool.wire import handshake
from wigeonspool.wire import streams


async def connect_gateway(address: str, name: str) -> streams.Stream:
    """Opens the stream of a gateway that never replies to queries."""
    stream = await streams.open_stream(address)
    hello = messages.Hello(name, "gateway", "1", "vm-0")
    await stream.send(handshake.sign_hello(hello, ["test-key"]))
    gateway = entities.Gateway(name, "1", "127.0.0.1:1", "zone-0", "vm-0")
    await stream.send(messages.GatewayReport(gateway, 0))
    return stream


class TestQueryFanout:
    @pytest.mark.parametrize(
        "query",
        [status_messages.EventsRequest(), status_messages.VmStatusRequest()],
    )
    async def test_unresponsive_gateway_is_listed_as_missing(
        self,
        fleet: fleets.Fleet,
        monkeypatch: pytest.MonkeyPatch,
        query: query_fanout.Query,
    ) -> None:
        monkeypatch.setattr(query_fanout, "QUERY_TIMEOUT_SECONDS", 0.3)
        address = fleet.settings["vm-0"].agent.listen
        unresponsive = await connect_gateway(address, "vm-0-unresponsive")
        server = fleet.agents["vm-0"]._stream_server
        await fleets.wait_for(lambda: len(server.list_reports()) == 2)
        reply = await sessions.query_agent(address, query)
        unresponsive.close()
        assert isinstance(reply, query_fanout.Reply)
        assert reply.missing == ("vm-0-unresponsive",)
        if isinstance(reply, status_messages.EventsReply):
            assert set(reply.dropped) == {"vm-0-agent", "vm-0-0"}
        else:
            assert [g.name for g in reply.gateways] == ["vm-0-0"]

    async def test_concurrent_queries_all_get_replies(
        self, fleet: fleets.Fleet
    ) -> None:
        address = fleet.settings["vm-0"].agent.listen
        queries = [
            status_messages.EventsRequest(),
            status_messages.VmStatusRequest(),
        ] * 5
        replies = await asyncio.gather(
            *(sessions.query_agent(address, q) for q in queries)
        )
        assert all(getattr(r, "missing", None) == () for r in replies)

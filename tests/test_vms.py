"""The client of the platform's VM list."""

from collections.abc import AsyncIterator

import aiohttp
from aiohttp import test_utils
from aiohttp import web
import pytest
import pytest_asyncio

from wigeonspool.model import errors
from wigeonspool.standin import vms as standins
from wigeonspool.store import vms

FIRST = {
    "name": "vm-0",
    "zone": "zone-0",
    "region": "ege",
    "address": "10.0.0.1:1",
    "role": "entry",
    "state": "live",
}


@pytest_asyncio.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as client:
        yield client


class TestConditionalReads:
    async def test_list_is_sent_and_parsed_only_after_a_change(
        self, session: aiohttp.ClientSession
    ) -> None:
        standin = standins.VmListStandin([FIRST])
        async with test_utils.TestServer(standin.build_app()) as server:
            reader = vms.VmListReader(
                session, str(server.make_url("/v1/vms")), 5
            )
            first = await reader.read()
            size = standin.bytes_sent
            for _ in range(10):
                assert await reader.read() == first
            assert (standin.bytes_sent, standin.calls) == (size, 11)
            await session.post(
                server.make_url("/vms"), json=FIRST | {"state": "leaving"}
            )
            changed = await reader.read()
            assert [vm.state.value for vm in changed] == ["leaving"]
            assert await reader.read() == changed
            assert reader.parsed_lists == 2

    async def test_invalid_list_is_read_again(
        self, session: aiohttp.ClientSession
    ) -> None:
        standin = standins.VmListStandin([FIRST | {"role": "other"}])
        async with test_utils.TestServer(standin.build_app()) as server:
            reader = vms.VmListReader(
                session, str(server.make_url("/v1/vms")), 5
            )
            for _ in range(2):
                with pytest.raises(errors.VmListError):
                    await reader.read()

    @pytest.mark.parametrize("status", [200, 304, 503])
    async def test_response_without_a_list_is_an_error(
        self, session: aiohttp.ClientSession, status: int
    ) -> None:
        async def respond(_: web.BaseRequest) -> web.Response:
            return web.Response(status=status)

        async with test_utils.RawTestServer(respond) as server:
            reader = vms.VmListReader(session, str(server.make_url("/")), 5)
            with pytest.raises(errors.VmListError):
                await reader.read()

"""Address requests, readiness checks and scrapes that are odd."""

import asyncio
import json

import pytest

from tests import vm_fleet

ODD_QUERIES = [
    b"",
    b"?",
    b"?&&&=&",
    b"?Zone",
    b"?Zone=%",
    b"?Zone=%ff%fe",
    b"?Zone=%ED%A0%80",
    b"?Zone=%00%0d%0a",
    b"?Zone=a;b=c&Zone=d",
    b"?Zone=" + b"x" * 4000,
    b"?" + b"&".join([b"a=b"] * 1500),
    b"?Zone=\xff\xfe",
    b"?Zone=%F0%9F%A6%86",
    b"?Region=[[[[&Name={}",
]
ODD_ACCEPTS = [
    b"",
    b"*",
    b";;;q=",
    b"text/plain; version=; q=x",
    b"a/b;q=nan, c/d;q=1e999",
    b"\xff",
    b"," * 2000,
]


async def send(address: str, target: bytes, fields: bytes = b"") -> bytes:
    """Sends a request; returns the response, or b"" if there is none."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"GET "
        + target
        + b" HTTP/1.1\r\nHost: h\r\n"
        + fields
        + b"Connection: close\r\n\r\n"
    )
    try:
        async with asyncio.timeout(5):
            return await reader.read()
    finally:
        writer.close()


class TestOddRequests:
    @pytest.mark.parametrize("query", ODD_QUERIES)
    async def test_lookup_with_an_odd_query_is_served(
        self, vms: vm_fleet.VmFleet, query: bytes
    ) -> None:
        await vms.start_vm("vm-1")
        settings = vms.settings["vm-1"]
        response = await send(settings.directory, b"/v1/resolve" + query)
        status = response.split(b" ")[1]
        if status == b"200":
            body = json.loads(response.partition(b"\r\n\r\n")[2])
            assert body["Addrs"] == [settings.callers]
        else:
            # The query cannot be parsed as HTTP.
            assert status == b"400"
        response = await send(settings.readiness, b"/v1/ready" + query)
        assert response.split(b" ")[1] in (b"200", b"400")
        assert await vms.resolve("vm-1", "zone-a") == [settings.callers]

    async def test_odd_scrape_is_served(self, vms: vm_fleet.VmFleet) -> None:
        await vms.start_vm("vm-1")
        address = vms.settings["vm-1"].readiness
        for accept in ODD_ACCEPTS:
            fields = b"Accept: " + accept + b"\r\n"
            response = await send(address, b"/metrics", fields)
            assert response.split(b" ")[1] in (b"200", b"400"), accept

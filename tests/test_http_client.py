"""Tests the client for calls to the store."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import gzip

import aiohttp
from aiohttp import web
import pytest

from tests import fleet
from wigeonspool import process
from wigeonspool.gateway import http_client
from wigeonspool.gateway import streaming

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@contextlib.asynccontextmanager
async def run_server(handler: Handler) -> AsyncIterator[str]:
    """Yields the URL of a server."""
    address = fleet.reserve_address()
    runner = await process.serve_http(address, web.Server(handler))
    yield f"http://{address}"
    await runner.cleanup()


@contextlib.asynccontextmanager
async def run_client() -> AsyncIterator[http_client.HttpClient]:
    """Yields a client and closes it."""
    client = http_client.HttpClient()
    yield client
    await client.close()


async def call(
    client: http_client.HttpClient, method: str, url: str, **options: bytes
) -> tuple[int, bytes]:
    """Makes a call; returns the status and the body."""
    async with client.request(
        method, url, params={"a b": "c&d/é"}, timeout_seconds=5.0, **options
    ) as response:
        return response.status, await response.content.read()


class TestCalls:
    async def test_call_has_its_query_and_body_on_a_kept_connection(
        self,
    ) -> None:
        requests: list[tuple[str, str, bytes, int]] = []

        async def serve(request: web.BaseRequest) -> web.Response:
            body = await request.read()
            connection = id(request.transport)
            requests.append(
                (request.method, request.query["a b"], body, connection)
            )
            return web.Response(status=412, body=b"x" * 300_000)

        async with run_server(serve) as url, run_client() as client:
            for method in ("GET", "POST", "PUT"):
                data = {} if method == "GET" else {"data": b"{}"}
                status, body = await call(client, method, url + "/v", **data)
                assert (status, len(body)) == (412, 300_000)
        assert [r[:3] for r in requests] == [
            ("GET", "c&d/é", b""),
            ("POST", "c&d/é", b"{}"),
            ("PUT", "c&d/é", b"{}"),
        ]
        assert len({connection for *_, connection in requests}) == 1

    async def test_compressed_body_is_decoded(self) -> None:
        async def serve(request: web.BaseRequest) -> web.Response:
            assert "gzip" in request.headers["Accept-Encoding"]
            return web.Response(
                body=gzip.compress(b"body"),
                headers={"Content-Encoding": "gzip"},
            )

        async with run_server(serve) as url, run_client() as client:
            assert await call(client, "GET", url) == (200, b"body")

    @pytest.mark.parametrize(("method", "resent"), [("GET", 1), ("POST", 0)])
    async def test_call_is_sent_again_only_if_it_may_be(
        self, method: str, resent: int
    ) -> None:
        # Guards against a write to the store that takes effect twice.
        methods: list[str] = []

        async def serve(request: web.BaseRequest) -> web.Response:
            methods.append(request.method)
            if len(methods) == 2:
                assert request.transport is not None
                request.transport.abort()
            return web.Response()

        async with run_server(serve) as url, run_client() as client:
            assert (await call(client, "GET", url))[0] == 200
            if resent:
                assert (await call(client, method, url))[0] == 200
            else:
                with pytest.raises((aiohttp.ClientError, OSError)):
                    await call(client, method, url)
        assert methods == ["GET", method] + [method] * resent

    # Guards against a call that fails because the store reset the connection
    # that was kept since the last one.
    async def test_call_is_sent_again_after_a_reset(self) -> None:
        methods: list[str] = []

        async def serve(request: web.BaseRequest) -> web.Response:
            methods.append(request.method)
            if len(methods) % 2 == 0:
                streaming.reset_connection(request)
            return web.Response(body=b"ok")

        async with run_server(serve) as url, run_client() as client:
            assert await call(client, "GET", url) == (200, b"ok")
            assert await call(client, "GET", url) == (200, b"ok")
            with pytest.raises((aiohttp.ClientError, OSError)):
                await call(client, "POST", url)
        assert methods == ["GET", "GET", "GET", "POST"]

    async def test_new_connection_that_fails_is_an_error(self) -> None:
        calls = []

        async def serve(request: web.BaseRequest) -> web.Response:
            calls.append(request.method)
            assert request.transport is not None
            request.transport.abort()
            return web.Response()

        async with run_server(serve) as url, run_client() as client:
            with pytest.raises((aiohttp.ClientError, OSError)):
                await call(client, "GET", url)
        assert calls == ["GET"]
        async with run_client() as client:
            with pytest.raises(OSError):
                await call(client, "GET", f"http://{fleet.reserve_address()}")

    async def test_late_response_ends_the_call_and_its_connection(
        self,
    ) -> None:
        connections: list[int] = []

        async def serve(request: web.BaseRequest) -> web.Response:
            connections.append(id(request.protocol))
            if len(connections) == 1:
                await asyncio.sleep(60)
            return web.Response()

        async with run_server(serve) as url, run_client() as client:
            with pytest.raises(TimeoutError):
                async with client.request("GET", url, timeout_seconds=0.05):
                    pass
            # Guards against the response of one call as that of another.
            assert (await call(client, "GET", url))[0] == 200
        assert len(connections) == 2

    async def test_old_connections_are_closed_by_calls_to_other_servers(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against connections that stay open after a change of address.
        async def serve(request: web.BaseRequest) -> web.Response:
            return web.Response()

        async with (
            run_server(serve) as first,
            run_server(serve) as second,
            run_client() as client,
        ):
            await call(client, "GET", first)
            ((old,), *_) = client._idle.values()
            monkeypatch.setattr(http_client, "KEEPALIVE_SECONDS", 0.0)
            await call(client, "GET", second)
            assert old.transport is None or old.transport.is_closing()

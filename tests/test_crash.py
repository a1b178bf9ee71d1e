"""Requests that crash their targets, and crashed targets, over real sockets."""

import asyncio
from collections.abc import AsyncIterator
import time
from typing import Any

from multidict import CIMultiDict
import pytest_asyncio

from tests import fleet as fleets
from wigeonspool.core import tables
from wigeonspool.gateway import egress
from wigeonspool.standin import groups
from wigeonspool.standin import target as targets

TARGET_COUNT = 5


class CrashingFleet(fleets.Fleet):
    """A fleet whose targets close their ports when they crash."""

    async def start_targets(self) -> None:
        self.members = [
            targets.TargetStandin(
                fleets.reserve_address(),
                4,
                [targets.PathServiceTime("/", 2.0)],
                seed,
            )
            for seed in range(TARGET_COUNT)
        ]
        self.targets = {t.address: t for t in self.members}
        self.group = groups.TargetGroup(self.members)
        await self.group.start()
        self.stop_task = asyncio.get_running_loop().create_task(
            self.group.close_crashed_targets()
        )
        await self.apply(self.build_document())

    async def read(self, vm: str, query: str) -> tuple[str, str]:
        """Sends a read through a VM's gateway; returns outcome and reason."""
        url = f"http://{self.addresses[vm]}/queue?{query}"
        fields = {"Wigeonspool-Caller": "a", "Wigeonspool-Remaining-Ms": "3000"}
        async with self.session.get(url, headers=fields) as response:
            await response.read()
            received = response.headers
            return received["Wigeonspool-Outcome"], received.get(
                "Wigeonspool-Reason", ""
            )

    def count_crashed(self) -> int:
        return sum(target.crashed for target in self.members)


@pytest_asyncio.fixture
async def fleet() -> AsyncIterator[CrashingFleet]:
    started = CrashingFleet()
    await started.start()
    await started.start_targets()
    yield started
    started.stop_task.cancel()
    for runner in started.group._runners.values():
        await runner.cleanup()
    await started.stop()


class TestCrashingRequest:
    async def test_request_is_quarantined_after_two_crashes(
        self, fleet: CrashingFleet
    ) -> None:
        for index in range(8):
            assert (await fleet.read("vm-0", f"n={index}"))[0] == "answered"
        results: list[Any] = []
        for _ in range(20):
            results.append(await fleet.read("vm-0", "crash-target=1"))
        assert fleet.count_crashed() == 2
        assert results[0] == ("unknown", "quarantined")
        assert set(results[1:]) == {("not_run", "quarantined")}

    async def test_other_gateways_quarantine_the_request(
        self, fleet: CrashingFleet
    ) -> None:
        assert (await fleet.read("vm-0", "crash-target=1"))[0] == "unknown"
        other = fleet.gateways["vm-1"]._scheduler.core

        def has_suspect() -> bool:
            return bool(other.list_suspects())

        await fleets.wait_for(has_suspect)
        results = [await fleet.read("vm-1", "crash-target=1") for _ in "12"]
        assert results == [("not_run", "quarantined")] * 2
        assert fleet.count_crashed() == 2

    async def test_concurrent_requests_are_answered(
        self, fleet: CrashingFleet
    ) -> None:
        reads = [fleet.read("vm-0", f"n={index}") for index in range(30)]
        first = fleet.read("vm-0", "crash-target=1")
        results = await asyncio.gather(first, *reads)
        assert {outcome for outcome, _ in results[1:]} == {"answered"}
        later = [await fleet.read("vm-0", f"n={i}") for i in range(10)]
        assert {outcome for outcome, _ in later} == {"answered"}
        assert fleet.count_crashed() == 2


class TestPausedGateway:
    async def test_broken_connection_counts_as_crash_after_a_pause(
        self,
    ) -> None:
        """A pause must not make a broken connection count as unresponsive.

        The process is paused past the time at which the connection is
        suspected, and the connection breaks during the pause.
        """

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            time.sleep(1.1)
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = egress.Egress()
        deadline = asyncio.get_running_loop().time() + 2.0
        outgoing = egress.OutgoingRequest(
            "GET", "/", CIMultiDict(), None, deadline
        )
        attempt = await client.send_attempt(
            f"127.0.0.1:{port}", outgoing, True, route="read"
        )
        await client.close()
        server.close()
        assert attempt.result is not None
        assert attempt.result.kind is tables.ResultKind.LOST
        assert attempt.result.crashed


class TestCrashedTarget:
    async def test_timeout_after_a_broken_connection_is_a_crash(
        self,
    ) -> None:
        """A request that crashes its target must not count as unresponsive.

        The pooled connection breaks while the request runs. The second
        connection is accepted by the crashed process, which does not respond.
        """
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        writers: list[asyncio.StreamWriter] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            if len(writers) == 1:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(response)
                await reader.readuntil(b"\r\n\r\n")
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = egress.Egress()
        deadline = asyncio.get_running_loop().time() + 5.0
        outgoing = egress.OutgoingRequest(
            "GET", "/", CIMultiDict(), None, deadline
        )
        results = []
        for _ in range(2):
            attempt = await client.send_attempt(
                f"127.0.0.1:{port}", outgoing, True, route="read"
            )
            results.append(attempt.result)
        await client.close()
        server.close()
        for writer in writers:
            writer.close()
        assert len(writers) == 2
        assert results[0] == tables.Result(tables.ResultKind.ANSWERED)
        assert results[1] == tables.Result(tables.ResultKind.LOST, crashed=True)

    async def test_refusal_after_a_broken_connection_is_not_a_refusal(
        self,
    ) -> None:
        """A request that may have run must not be reported as not run.

        The pooled connection breaks while the request runs. Then the port is
        closed, so that the second connection is refused.
        """
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        heads: list[bytes] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            heads.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(response)
            heads.append(await reader.readuntil(b"\r\n\r\n"))
            server.close()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = egress.Egress()
        deadline = asyncio.get_running_loop().time() + 5.0
        outgoing = egress.OutgoingRequest(
            "GET", "/", CIMultiDict(), None, deadline
        )
        kinds = []
        for _ in range(2):
            attempt = await client.send_attempt(
                f"127.0.0.1:{port}", outgoing, may_retry_connection=True
            )
            assert attempt.result is not None
            kinds.append(attempt.result.kind)
        await client.close()
        assert len(heads) == 2
        assert kinds == [tables.ResultKind.ANSWERED, tables.ResultKind.LOST]

"""A request that crashes the targets that run it, on real connections."""

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

COUNT = 5


class Crashing(fleets.Fleet):
    """A fleet whose targets close their ports when they crash."""

    async def start_targets(self) -> None:
        self.members = [
            targets.TargetStandin(
                fleets.reserve_address(), 4, [targets.Work("/", 2.0)], seed
            )
            for seed in range(COUNT)
        ]
        self.targets = {t.address: t for t in self.members}
        self.group = groups.TargetGroup(self.members)
        await self.group.start()
        self.closing = asyncio.get_running_loop().create_task(
            self.group.stop_crashed()
        )
        await self.apply(self.declare())

    async def read(self, vm: str, query: str) -> tuple[str, str]:
        url = f"http://{self.addresses[vm]}/queue?{query}"
        fields = {"Wigeonspool-Caller": "a", "Wigeonspool-Remaining-Ms": "3000"}
        async with self.session.get(url, headers=fields) as response:
            await response.read()
            told = response.headers
            return told["Wigeonspool-Outcome"], told.get(
                "Wigeonspool-Reason", ""
            )

    def count_crashed(self) -> int:
        return sum(target.crashed for target in self.members)


@pytest_asyncio.fixture
async def crashing() -> AsyncIterator[Crashing]:
    fleet = Crashing()
    await fleet.start()
    await fleet.start_targets()
    yield fleet
    fleet.closing.cancel()
    for runner in fleet.group._runners.values():
        await runner.cleanup()
    await fleet.stop()


class TestCrashingRequest:
    async def test_it_takes_two_targets_and_is_refused(
        self, crashing: Crashing
    ) -> None:
        for index in range(8):
            assert (await crashing.read("vm-0", f"n={index}"))[0] == "answered"
        told: list[Any] = []
        for _ in range(20):
            told.append(await crashing.read("vm-0", "crash-target=1"))
        assert crashing.count_crashed() == 2
        assert told[0] == ("unknown", "quarantined")
        assert set(told[1:]) == {("not_run", "quarantined")}

    async def test_all_gateways_hear_of_it(self, crashing: Crashing) -> None:
        assert (await crashing.read("vm-0", "crash-target=1"))[0] == "unknown"
        other = crashing.gateways["vm-1"]._scheduler.core

        def has_heard() -> bool:
            return bool(other.list_suspects())

        await fleets.wait_for(has_heard)
        told = [await crashing.read("vm-1", "crash-target=1") for _ in "12"]
        assert told == [("not_run", "quarantined")] * 2
        assert crashing.count_crashed() == 2

    async def test_others_are_answered_beside_it(
        self, crashing: Crashing
    ) -> None:
        reads = [crashing.read("vm-0", f"n={index}") for index in range(30)]
        first = crashing.read("vm-0", "crash-target=1")
        told = await asyncio.gather(first, *reads)
        assert {outcome for outcome, _ in told[1:]} == {"answered"}
        later = [await crashing.read("vm-0", f"n={i}") for i in range(10)]
        assert {outcome for outcome, _ in later} == {"answered"}
        assert crashing.count_crashed() == 2


class TestPausedGateway:
    async def test_broken_connection_is_not_taken_for_a_silent_one(
        self,
    ) -> None:
        """The process is paused past the time at which silence is suspected,
        and the connection breaks meanwhile.
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


class TestGoneTarget:
    async def test_silence_after_a_broken_send_is_no_proof_of_silence(
        self,
    ) -> None:
        """The kept connection breaks with the request on it; the second one
        is accepted by a process that has crashed.
        """
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        writers: list[asyncio.StreamWriter] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            if len(writers) == 1:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
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

    async def test_refusal_after_a_broken_send_is_no_proof_of_not_run(
        self,
    ) -> None:
        """The kept connection breaks with the request on it; then the port
        is closed, so the second connection is refused.
        """
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        seen: list[bytes] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            seen.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(answer)
            seen.append(await reader.readuntil(b"\r\n\r\n"))
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
        assert len(seen) == 2
        assert kinds == [tables.ResultKind.ANSWERED, tables.ResultKind.LOST]

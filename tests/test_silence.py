import asyncio
from collections.abc import AsyncIterator
import socket

import aiohttp
import pytest
import pytest_asyncio

from tests import fleet as fleets
from tests import lone
from wigeonspool.gateway import connection_health
from wigeonspool.standin import target as targets

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Bench:
    """A gateway, targets and a caller."""

    def __init__(
        self, gateway: lone.LoneGateway, session: aiohttp.ClientSession
    ) -> None:
        self.gateway = gateway
        self.session = session
        self.fleet = fleets.Fleet()

    @property
    def client(self) -> object:
        return self.gateway.service._client

    async def start_target(
        self, service_ms: float = 2.0
    ) -> targets.TargetStandin:
        target = await self.fleet.start_target(service_ms=service_ms)
        self.gateway.point_at(*self.fleet.targets)
        return target

    async def read(self, remaining_ms: int = 8000) -> str:
        """Sends a read; returns how it ended."""
        async with self.session.get(
            f"http://{self.gateway.address}/queue",
            headers={"Wigeonspool-Remaining-Ms": str(remaining_ms)},
        ) as response:
            await response.read()
            return response.headers["Wigeonspool-Outcome"]

    async def warm(self) -> None:
        """Opens four connections to the target and learns its times."""
        for _ in range(2):
            done = await asyncio.gather(*(self.read() for _ in range(4)))
            assert set(done) == {"answered"}

    async def write(self, method: str = "POST", ms: int = 4000) -> str:
        """Sends a request that may run once; returns how it ended."""
        text = await self.gateway.build_once_fields(f"k-{ms}")
        lines = text.rstrip().split("\r\n")
        fields = dict(line.partition(": ")[::2] for line in lines)
        fields["Wigeonspool-Remaining-Ms"] = str(ms)
        async with self.session.request(
            method, f"http://{self.gateway.address}/once", headers=fields
        ) as response:
            await response.read()
            return response.headers["Wigeonspool-Outcome"]


@pytest_asyncio.fixture
async def bench() -> AsyncIterator[Bench]:
    gateway = lone.LoneGateway()
    async with aiohttp.ClientSession() as session:
        built = Bench(gateway, session)
        await gateway.start()
        yield built
        await gateway.stop()
        await built.fleet._stack.aclose()


class TestSilentConnections:
    async def test_read_is_sent_again_on_a_fresh_connection(
        self, bench: Bench
    ) -> None:
        target = await bench.start_target()
        await bench.warm()
        target.set_faults(silent=1.0)
        assert await bench.read() == "answered"
        # What arrived on the silent connection was dropped before it ran.
        assert len(target.runs) == 9
        assert bench.client.unresponsive_count == 1

    async def test_siblings_of_a_silent_connection_are_not_used(
        self, bench: Bench
    ) -> None:
        target = await bench.start_target()
        await bench.warm()
        target.set_faults(silent=1.0)
        for _ in range(6):
            assert await bench.read() == "answered"
        assert bench.client.unresponsive_count == 1

    async def test_read_in_flight_is_answered(self, bench: Bench) -> None:
        target = await bench.start_target()
        await bench.warm()
        target.set_faults(slow=100.0)
        reading = asyncio.create_task(bench.read())
        await fleets.wait_for(lambda: len(target.runs) == 9)
        target.set_faults(silent=1.0, slow=1.0)
        assert await reading == "answered"

    async def test_connection_that_takes_all_and_answers_nothing(
        self, bench: Bench
    ) -> None:
        seen = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            seen.append(await lone.read_head(reader))
            writer.write(ANSWER)
            seen.append(await lone.read_head(reader))
            await asyncio.sleep(60)

        bench.gateway.point_at(await bench.gateway.script(serve))
        async with asyncio.timeout(10):
            assert await bench.read(60_000) == "answered"
            assert await bench.read(60_000) == "answered"
        assert len(seen) == 3
        assert bench.client.unresponsive_count == 1

    async def test_write_avoids_connections_that_went_silent(
        self, bench: Bench
    ) -> None:
        target = await bench.start_target()
        await bench.warm()
        target.set_faults(silent=1.0)
        assert await bench.write() == "answered"
        assert [run.path for run in target.runs].count("/once") == 1

    @pytest.mark.parametrize("start", ["POST", "GET"])
    async def test_request_in_flight_is_not_waited_for_until_its_deadline(
        self, bench: Bench, start: str
    ) -> None:
        seen = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            seen.append(await lone.read_head(reader))
            targets.drop_incoming(writer.get_extra_info("socket"))
            if len(seen) > 1:
                writer.write(ANSWER)
            await asyncio.sleep(60)

        bench.gateway.point_at(await bench.gateway.script(serve))
        async with asyncio.timeout(10):
            if start == "POST":
                assert await bench.write(ms=30_000) == "unknown"
                assert len(seen) == 1
            else:
                assert await bench.read(30_000) == "answered"
                assert len(seen) == 2


class TestDeadConnections:
    async def serve_once(self, reader: asyncio.StreamReader) -> bytes:
        return (await lone.read_head(reader)).split()[0]

    async def test_read_on_a_connection_that_died_is_sent_again(
        self, bench: Bench
    ) -> None:
        seen = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            seen.append(await self.serve_once(reader))
            writer.write(ANSWER)
            # The second request on a connection ends it.
            seen.append(await self.serve_once(reader))
            writer.transport.abort()

        bench.gateway.point_at(await bench.gateway.script(serve))
        assert await bench.read() == "answered"
        assert await bench.read() == "answered"
        assert len(seen) == 3
        assert bench.client.unresponsive_count == 1

    @pytest.mark.parametrize("method", ["POST", "DELETE"])
    async def test_write_whose_connection_dies_leaves_once(
        self, bench: Bench, method: str
    ) -> None:
        seen = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            seen.append(await self.serve_once(reader))
            writer.transport.abort()

        bench.gateway.point_at(await bench.gateway.script(serve))
        assert await bench.write(method) == "unknown"
        assert len(seen) == 1

    async def test_connections_are_kept_for_a_bounded_time(
        self, bench: Bench, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        opened = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            opened.append(writer)
            while True:
                await lone.read_head(reader)
                writer.write(ANSWER)

        bench.gateway.point_at(await bench.gateway.script(serve))
        for _ in range(3):
            assert await bench.read() == "answered"
        assert len(opened) == 1
        monkeypatch.setattr(
            connection_health, "MAX_CONNECTION_AGE_SECONDS", 0.0
        )
        for _ in range(3):
            assert await bench.read() == "answered"
        assert len(opened) == 4


class TestFrozenTargets:
    async def test_read_moves_to_another_target(self, bench: Bench) -> None:
        healthy = await bench.start_target()
        await bench.warm()
        with socket.socket() as frozen:
            frozen.bind(("127.0.0.1", 0))
            frozen.listen(16)
            address = f"127.0.0.1:{frozen.getsockname()[1]}"
            bench.gateway.point_at(address, *bench.fleet.targets)
            for _ in range(3):
                assert await bench.read(2000) == "answered"
        assert len(healthy.runs) == 11

    async def test_write_is_unknown_at_its_deadline(self, bench: Bench) -> None:
        bench.gateway.point_at(await bench.gateway.script(lone.never))
        assert await bench.write(ms=300) == "unknown"
        await fleets.wait_for(lambda: bench.gateway.count_slots() == 0)


class TestSilenceDetector:
    def test_long_work_is_not_suspected_at_its_usual_time(self) -> None:
        detector = connection_health.UnresponsiveDetector()
        detector.record_first_byte("export", 5.0)
        assert detector.compute_timeout("export", 600.0) == 10.0
        assert detector.compute_timeout("export", 6.0) >= 6.0

    def test_short_work_is_suspected_within_a_second(self) -> None:
        detector = connection_health.UnresponsiveDetector()
        detector.record_first_byte("read", 0.3)
        assert detector.compute_timeout("read", 30.0) == 1.0
        detector.record_first_byte("balance", 0.005)
        assert detector.compute_timeout("balance", 30.0) == 0.25

    def test_another_attempt_fits_before_the_deadline(self) -> None:
        detector = connection_health.UnresponsiveDetector()
        assert detector.compute_timeout("new", 0.2) == 0.1
        detector.record_first_byte("balance", 0.005)
        assert detector.compute_timeout("balance", 0.2) == 0.1

    def test_suspicions_are_a_tenth_of_answers(self) -> None:
        detector = connection_health.UnresponsiveDetector()
        spent = 0
        for _ in range(1000):
            detector.record_first_byte("read", 0.01)
            while detector.has_token():
                detector.consume_token()
                spent += 1
        assert spent <= 20 + 100

import asyncio
from collections.abc import AsyncIterator
import socket

import aiohttp
import pytest
import pytest_asyncio

from tests import fleet as fleets
from tests import standalone_gateway
from wigeonspool.gateway import connection_health
from wigeonspool.standin import target as targets

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Harness:
    """A gateway, targets and a caller."""

    def __init__(
        self,
        gateway: standalone_gateway.StandaloneGateway,
        session: aiohttp.ClientSession,
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
        self.gateway.set_targets(*self.fleet.targets)
        return target

    async def read(self, remaining_ms: int = 8000) -> str:
        """Sends a read; returns its outcome."""
        async with self.session.get(
            f"http://{self.gateway.address}/queue",
            headers={"Wigeonspool-Remaining-Ms": str(remaining_ms)},
        ) as response:
            await response.read()
            return response.headers["Wigeonspool-Outcome"]

    async def warm_up(self) -> None:
        """Opens four connections to the target and records response times."""
        for _ in range(2):
            results = await asyncio.gather(*(self.read() for _ in range(4)))
            assert set(results) == {"answered"}

    async def write(
        self, method: str = "POST", remaining_ms: int = 4000
    ) -> str:
        """Sends a request that may run at most once; returns its outcome."""
        raw_fields = await self.gateway.build_at_most_once_fields(
            f"k-{remaining_ms}"
        )
        lines = raw_fields.rstrip().split("\r\n")
        fields = dict(line.partition(": ")[::2] for line in lines)
        fields["Wigeonspool-Remaining-Ms"] = str(remaining_ms)
        async with self.session.request(
            method, f"http://{self.gateway.address}/once", headers=fields
        ) as response:
            await response.read()
            return response.headers["Wigeonspool-Outcome"]


@pytest_asyncio.fixture
async def harness() -> AsyncIterator[Harness]:
    gateway = standalone_gateway.StandaloneGateway()
    async with aiohttp.ClientSession() as session:
        started = Harness(gateway, session)
        await gateway.start()
        yield started
        await gateway.stop()
        await started.fleet._stack.aclose()


class TestUnresponsiveConnections:
    async def test_read_is_retried_on_a_new_connection(
        self, harness: Harness
    ) -> None:
        target = await harness.start_target()
        await harness.warm_up()
        target.set_faults(silent=1.0)
        assert await harness.read() == "answered"
        # The request on the unresponsive connection was dropped before it ran.
        assert len(target.runs) == 9
        assert harness.client.unresponsive_count == 1

    async def test_other_connections_to_the_peer_are_not_reused(
        self, harness: Harness
    ) -> None:
        target = await harness.start_target()
        await harness.warm_up()
        target.set_faults(silent=1.0)
        for _ in range(6):
            assert await harness.read() == "answered"
        assert harness.client.unresponsive_count == 1

    async def test_running_read_is_answered(self, harness: Harness) -> None:
        target = await harness.start_target()
        await harness.warm_up()
        target.set_faults(slow=100.0)
        read_task = asyncio.create_task(harness.read())
        await fleets.wait_for(lambda: len(target.runs) == 9)
        target.set_faults(silent=1.0, slow=1.0)
        assert await read_task == "answered"

    async def test_read_without_a_response_is_retried(
        self, harness: Harness
    ) -> None:
        heads = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            heads.append(await standalone_gateway.read_head(reader))
            writer.write(RESPONSE)
            heads.append(await standalone_gateway.read_head(reader))
            await asyncio.sleep(60)

        harness.gateway.set_targets(
            await harness.gateway.start_scripted_target(serve)
        )
        async with asyncio.timeout(10):
            assert await harness.read(60_000) == "answered"
            assert await harness.read(60_000) == "answered"
        assert len(heads) == 3
        assert harness.client.unresponsive_count == 1

    async def test_write_does_not_use_unresponsive_connections(
        self, harness: Harness
    ) -> None:
        target = await harness.start_target()
        await harness.warm_up()
        target.set_faults(silent=1.0)
        assert await harness.write() == "answered"
        assert [run.path for run in target.runs].count("/once") == 1

    @pytest.mark.parametrize("start", ["POST", "GET"])
    async def test_unresponsive_connection_is_detected_before_the_deadline(
        self, harness: Harness, start: str
    ) -> None:
        heads = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            heads.append(await standalone_gateway.read_head(reader))
            targets.drop_incoming_packets(writer.get_extra_info("socket"))
            if len(heads) > 1:
                writer.write(RESPONSE)
            await asyncio.sleep(60)

        harness.gateway.set_targets(
            await harness.gateway.start_scripted_target(serve)
        )
        async with asyncio.timeout(10):
            if start == "POST":
                assert await harness.write(remaining_ms=30_000) == "unknown"
                assert len(heads) == 1
            else:
                assert await harness.read(30_000) == "answered"
                assert len(heads) == 2


class TestBrokenConnections:
    async def read_method(self, reader: asyncio.StreamReader) -> bytes:
        return (await standalone_gateway.read_head(reader)).split()[0]

    async def test_read_on_a_broken_connection_is_retried(
        self, harness: Harness
    ) -> None:
        heads = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            heads.append(await self.read_method(reader))
            writer.write(RESPONSE)
            # The second request on a connection ends it.
            heads.append(await self.read_method(reader))
            writer.transport.abort()

        harness.gateway.set_targets(
            await harness.gateway.start_scripted_target(serve)
        )
        assert await harness.read() == "answered"
        assert await harness.read() == "answered"
        assert len(heads) == 3
        assert harness.client.unresponsive_count == 1

    @pytest.mark.parametrize("method", ["POST", "DELETE"])
    async def test_write_on_a_broken_connection_is_sent_once(
        self, harness: Harness, method: str
    ) -> None:
        heads = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            heads.append(await self.read_method(reader))
            writer.transport.abort()

        harness.gateway.set_targets(
            await harness.gateway.start_scripted_target(serve)
        )
        assert await harness.write(method) == "unknown"
        assert len(heads) == 1

    async def test_connections_are_reused_for_a_limited_time(
        self, harness: Harness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        writers = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            while True:
                await standalone_gateway.read_head(reader)
                writer.write(RESPONSE)

        harness.gateway.set_targets(
            await harness.gateway.start_scripted_target(serve)
        )
        for _ in range(3):
            assert await harness.read() == "answered"
        assert len(writers) == 1
        monkeypatch.setattr(
            connection_health, "MAX_CONNECTION_AGE_SECONDS", 0.0
        )
        for _ in range(3):
            assert await harness.read() == "answered"
        assert len(writers) == 4


class TestFrozenTargets:
    async def test_read_is_retried_on_another_target(
        self, harness: Harness
    ) -> None:
        healthy = await harness.start_target()
        await harness.warm_up()
        with socket.socket() as frozen:
            frozen.bind(("127.0.0.1", 0))
            frozen.listen(16)
            address = f"127.0.0.1:{frozen.getsockname()[1]}"
            harness.gateway.set_targets(address, *harness.fleet.targets)
            for _ in range(3):
                assert await harness.read(2000) == "answered"
        assert len(healthy.runs) == 11

    async def test_write_is_unknown_at_its_deadline(
        self, harness: Harness
    ) -> None:
        harness.gateway.set_targets(
            await harness.gateway.start_scripted_target(
                standalone_gateway.never_respond
            )
        )
        assert await harness.write(remaining_ms=300) == "unknown"
        await fleets.wait_for(lambda: harness.gateway.count_slots() == 0)


class TestUnresponsiveDetector:
    def test_long_work_is_not_suspected_at_its_recorded_time(self) -> None:
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

    def test_suspicions_are_a_tenth_of_responses(self) -> None:
        detector = connection_health.UnresponsiveDetector()
        suspicions = 0
        for _ in range(1000):
            detector.record_first_byte("read", 0.01)
            while detector.has_token():
                detector.consume_token()
                suspicions += 1
        assert suspicions <= 20 + 100

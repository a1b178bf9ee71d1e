"""The stand-in of a target of the platform says what real targets say."""

import asyncio
from collections.abc import AsyncIterator
import json
import time
from typing import Any

import aiohttp
import pytest
import pytest_asyncio

from tests import fleet
from tests import vm_fleet
from wigeonspool.platform import target_entries
from wigeonspool.platform.standin import target as targets

Response = tuple[int, Any, bytes]


class Standin:
    """A stand-in that listens, and a client that sends requests to it."""

    def __init__(self) -> None:
        self.target = targets.PlatformTarget("t-1")
        self.address = fleet.reserve_address()

    async def send(
        self, path: str, target: str = "t-1", **options: Any
    ) -> Response:
        """Returns the status, header fields and body of a response."""
        fields = {"X-Attempt-Id": "a-1", "X-Target-Instance": target}
        url = f"http://{self.address}{path}"
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                options.pop("method", "GET"), url, headers=fields, **options
            ) as response,
        ):
            return response.status, response.headers, await response.read()

    async def set_faults(self, **faults: Any) -> None:
        """Sets faults through the control path, as a process would."""
        status, _, _ = await self.send("/faults", method="POST", json=faults)
        assert status == 200


@pytest_asyncio.fixture
async def standin() -> AsyncIterator[Standin]:
    started = Standin()
    await started.target.start(started.address)
    yield started
    await started.target.stop()


class TestLeavingTarget:
    @pytest.mark.parametrize(
        ("path", "target", "faults", "status"),
        [
            ("/read/1", "t-1", {}, 200),
            ("/read/1", "t-1", {"failing": True}, 500),
            ("/read/1", "t-1", {"full": True}, 503),
            ("/read/1", "t-1", {"declining_seconds": 2.0}, 503),
            ("/read/1", "t-1", {"unframed": True}, 200),
            ("/read/1", "t-2", {}, 421),
            ("/health", "t-1", {}, 200),
            ("/health", "t-1", {"ill": True}, 503),
        ],
    )
    async def test_every_response_states_it(
        self,
        standin: Standin,
        path: str,
        target: str,
        faults: dict[str, Any],
        status: int,
    ) -> None:
        await standin.set_faults(**faults)
        before = await standin.send(path, target)
        await standin.set_faults(leaving=True)
        after = await standin.send(path, target)
        assert (before[0], after[0]) == (status, status)
        assert "Server-Leaving" not in before[1]
        assert after[1]["Server-Leaving"] == "1"

    async def test_it_keeps_serving(self, standin: Standin) -> None:
        await standin.set_faults(leaving=True)
        status, fields, body = await standin.send("/read/1")
        assert (status, body) == (200, b"t-1")
        assert fields["X-Response-Seal"] == "seal-a-1"
        assert len(standin.target.runs) == 1


class TestDecliningTarget:
    async def test_requests_are_refused_and_health_checks_are_not(
        self, standin: Standin
    ) -> None:
        await standin.set_faults(declining_seconds=1.5)
        status, fields, _ = await standin.send("/read/1")
        assert status == 503
        assert fields["Retry-After"] == "1.5"
        assert fields["X-Not-Executed"] == "1"
        assert fields["X-Attempt-Id"] == "a-1"
        health_status, health_fields, _ = await standin.send("/health")
        assert health_status == 200
        assert "Retry-After" not in health_fields
        assert standin.target.runs == []

    async def test_misrouted_request_gets_no_time(
        self, standin: Standin
    ) -> None:
        await standin.set_faults(declining_seconds=1.5)
        status, fields, _ = await standin.send("/read/1", "t-2")
        assert status == 421
        assert "Retry-After" not in fields

    async def test_requests_run_again_once_it_ends(
        self, standin: Standin
    ) -> None:
        await standin.set_faults(declining_seconds=0.0)
        assert (await standin.send("/read/1"))[1]["Retry-After"] == "0.0"
        await standin.set_faults(declining_seconds=None)
        assert (await standin.send("/read/1"))[0] == 200


class TestArrivals:
    async def test_every_request_is_recorded_with_its_time(
        self, standin: Standin
    ) -> None:
        began_at = time.monotonic()
        await standin.send("/read/1")
        await standin.send("/read/2", "t-2")
        await standin.set_faults(full=True)
        await standin.send("/read/3")
        await standin.send("/health")
        _, _, body = await standin.send("/arrivals")
        rows = json.loads(body)
        assert [(row["path"], row["status"]) for row in rows] == [
            ("/read/1", 0),
            ("/read/2", 421),
            ("/read/3", 503),
            ("/health", 0),
        ]
        times = [row["at"] for row in rows]
        assert times == sorted(times)
        assert began_at <= times[0] <= times[-1] <= time.monotonic()

    async def test_number_is_bounded(self, standin: Standin) -> None:
        oldest = targets.Arrival(0.0, "a-0", "/read/0", 0)
        standin.target.arrivals.extend([oldest] * targets.MAX_ARRIVALS)
        await standin.send("/read/1")
        assert len(standin.target.arrivals) == targets.MAX_ARRIVALS
        assert standin.target.arrivals[-1].path == "/read/1"


class TestCrash:
    # Guards against a soak that ends with an error of its own: a target crashed
    # whose caller had just closed a connection.
    async def test_closed_connection_is_passed_over(
        self, standin: Standin
    ) -> None:
        host, _, port = standin.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        await fleet.wait_for(lambda: standin.target._open_writers)
        (served,) = standin.target._open_writers
        served.get_extra_info("socket")._sock.close()
        standin.target.crash()
        writer.close()


class TestNewStart:
    async def test_entry_states_a_later_start_at_the_same_address(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vms.set_faults("t-1", leaving=True)
        before = read_entry(vms, "t-1")
        target = await vms.replace_target("t-1")
        after = read_entry(vms, "t-1")
        assert after.started_at_ms > before.started_at_ms
        assert after.address == before.address
        assert not target.faults.leaving
        host, _, port = after.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.close()


def read_entry(vms: vm_fleet.VmFleet, identity: str) -> Any:
    """Returns the entry of a target as the store holds it."""
    record = vms.store.records[f"servers/{identity}".encode()]
    return target_entries.decode_entry(identity, record.value)

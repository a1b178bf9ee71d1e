"""The driver that measures a gateway with an open-loop load."""

import asyncio
import pathlib

import aiohttp
from aiohttp import web
import pytest

from tests import fleet as fleets
from wigeonspool import process
from wigeonspool.load import drive
from wigeonspool.model import errors

ROOT = pathlib.Path(__file__).parent.parent


def build_step(p99_ms: float, failed: int = 0) -> drive.Step:
    return drive.Step(100.0, 1.0, p99_ms, 0.0, 0.1, 0.1, failed)


class TestDriver:
    async def serve(self, stall_seconds: float) -> tuple[str, web.ServerRunner]:
        """Starts a server that stalls all requests once, at its 20th request.

        Returns:
            Its address, and its runner to clean up.
        """
        count = 0
        not_stalled = asyncio.Event()
        not_stalled.set()

        async def respond(_: web.BaseRequest) -> web.Response:
            nonlocal count
            count += 1
            if count == 20:
                not_stalled.clear()
                await asyncio.sleep(stall_seconds)
                not_stalled.set()
            await not_stalled.wait()
            return web.Response()

        address = fleets.reserve_address()
        return address, await process.serve_http(address, web.Server(respond))

    async def send_load(
        self, address: str
    ) -> dict[str, drive.PathMeasurements]:
        options = drive.DriveOptions(
            gateway=address, targets=[address], path="/", rate=50, seconds=1
        )
        async with aiohttp.ClientSession() as session:
            driver = drive.Driver(session, options, 0)
            return await driver._send_load(("gateway",), 50, 1.0, 1)

    async def test_stall_delays_all_requests_that_were_due_during_it(
        self,
    ) -> None:
        address, runner = await self.serve(0.4)
        measurements = (await self.send_load(address))["gateway"]
        await runner.cleanup()
        # Requests are sent when they are due. A driver that waits for each
        # response would record one slow request of about fifty.
        assert measurements.get_percentile_ms(90) > 100
        assert measurements.failed == 0

    async def test_failed_requests_are_counted(self) -> None:
        measurements = (await self.send_load(fleets.reserve_address()))[
            "gateway"
        ]
        assert (
            measurements.failed == measurements.latencies.get_total_count() > 0
        )

    def test_due_times_match_the_rate_and_repeat_with_the_seed(self) -> None:
        due = list(drive.draw_due_times(100.0, 10.0, seed=3))
        assert 900 < len(due) < 1100
        assert due == list(drive.draw_due_times(100.0, 10.0, seed=3))


class TestSaturation:
    def test_first_step_without_failures_does_not_saturate(self) -> None:
        assert not drive.is_saturated([build_step(5.0)], 4.0)

    def test_p99_beyond_the_ratio_saturates(self) -> None:
        assert not drive.is_saturated([build_step(5.0), build_step(19.0)], 4.0)
        assert drive.is_saturated([build_step(5.0), build_step(21.0)], 4.0)

    def test_failed_request_saturates(self) -> None:
        assert drive.is_saturated([build_step(5.0), build_step(5.0, 1)], 4.0)


class TestDriveOptions:
    def test_experiment_file_is_valid(self) -> None:
        options = drive.read_options(ROOT / "experiments/overhead.yaml")
        assert options.steps == sorted(options.steps)

    def test_error_names_the_unknown_key(self, tmp_path: pathlib.Path) -> None:
        file = tmp_path / "x.yaml"
        text = (ROOT / "experiments/overhead.yaml").read_text()
        file.write_text(f"{text}gatewey: 127.0.0.1:1\n")
        with pytest.raises(errors.SettingsError, match="gatewey"):
            drive.read_options(file)

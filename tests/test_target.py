import asyncio
from typing import Any
from unittest import mock

from tests import fleet as fleets
from wigeonspool.standin import target as targets


async def read_health(fleet: fleets.Fleet, address: str) -> Any:
    async with fleet.session.get(f"http://{address}/health") as response:
        return await response.json()


class TestTargetStandin:
    async def test_health_state_can_lag(self, fleet: fleets.Fleet) -> None:
        target = await fleet.start_target()
        target.set_faults(draining=True)
        health = await read_health(fleet, target.address)
        assert health["state"] == "draining"
        target.set_faults(health_lag_seconds=3600.0)
        assert (await read_health(fleet, target.address))["state"] == "ok"

    async def test_health_response_can_be_falsified(
        self, fleet: fleets.Fleet
    ) -> None:
        target = await fleet.start_target()
        target.set_faults(draining=True, health='{"state": "ok"}')
        url = f"http://{target.address}/health"
        async with fleet.session.get(url) as response:
            assert await response.text() == '{"state": "ok"}'

    async def test_connect_delay_applies_once_per_connection(
        self, fleet: fleets.Fleet
    ) -> None:
        target = await fleet.start_target(service_ms=0.0)
        target.set_faults(connect_ms=100.0)
        delays: list[float] = []
        sleep = asyncio.sleep

        async def record_sleep(seconds: float) -> None:
            delays.append(seconds)
            await sleep(seconds)

        with mock.patch.object(targets.asyncio, "sleep", record_sleep):
            for _ in range(2):
                url = f"http://{target.address}/queue"
                async with fleet.session.get(url) as response:
                    await response.read()
        assert delays.count(0.1) == 1

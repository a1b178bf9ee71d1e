import asyncio
from collections.abc import AsyncIterator, Iterator

import pytest
import pytest_asyncio

from tests import fleet as fleets


@pytest_asyncio.fixture
async def fleet() -> AsyncIterator[fleets.Fleet]:
    """A fleet of two VMs whose platform is up."""
    started = fleets.Fleet()
    await started.start()
    yield started
    await started.stop()


@pytest.fixture
def runner() -> Iterator[asyncio.Runner]:
    """Runs coroutines of scenario steps, which are plain functions."""
    with asyncio.Runner() as started:
        yield started

"""Holds what arrives before an entry VM first knows its configuration.

The first read of the store takes a few round trips. What arrives meanwhile
waits for it, since nobody can tell yet whether it can be served.
"""

import asyncio
from typing import Final

from wigeonspool.core import cluster_state

# A round trip to a store in another region takes 25 ms and one lost packet
# 200 ms; a store that has not answered by then is slow or away.
FIRST_READ_SECONDS: Final = 0.4


class StartupGate:
    """Opens once the configuration is known, or could be for too long."""

    def __init__(self, cluster: cluster_state.ClusterState) -> None:
        """Prepares a gate at the start of a process.

        Args:
            cluster: What this VM knows.
        """
        self._cluster = cluster
        self._configured = asyncio.Event()
        self._opens_at = asyncio.get_running_loop().time() + FIRST_READ_SECONDS

    def open_if_configured(self) -> None:
        """Notes that this VM knows more than before."""
        if self._cluster.configuration is not None:
            self._configured.set()

    async def wait(self) -> None:
        """Waits until the configuration is known, or is not known soon."""
        if self._cluster.configuration is not None:
            return
        try:
            async with asyncio.timeout_at(self._opens_at):
                await self._configured.wait()
        except TimeoutError:
            # Whoever waited is told that nothing is known.
            return

"""Delays requests until an entry VM has loaded its first configuration.

The first read of the store takes a few round trips. Requests that arrive
meanwhile wait for it, since without a configuration the VM cannot decide
whether it can serve them.
"""

import asyncio
from typing import Final

from wigeonspool.core import cluster_state

# A round trip to a store in another region takes 25 ms, and one lost packet
# adds 200 ms. A store that has not replied by then is slow or unreachable.
FIRST_READ_SECONDS: Final = 0.4


class StartupGate:
    """Opens once there is a configuration, or after `FIRST_READ_SECONDS`."""

    def __init__(self, cluster: cluster_state.ClusterState) -> None:
        """Creates a closed gate; its time limit starts now.

        Args:
            cluster: Cluster state, with the configuration.
        """
        self._cluster = cluster
        self._configured = asyncio.Event()
        self._opens_at = asyncio.get_running_loop().time() + FIRST_READ_SECONDS

    def open_if_configured(self) -> None:
        """Opens the gate if there is a configuration by now."""
        if self._cluster.configuration is not None:
            self._configured.set()

    async def wait(self) -> None:
        """Waits until there is a configuration or the time limit has passed."""
        if self._cluster.configuration is not None:
            return
        try:
            async with asyncio.timeout_at(self._opens_at):
                await self._configured.wait()
        except TimeoutError:
            # The request is then refused because there is no configuration.
            return

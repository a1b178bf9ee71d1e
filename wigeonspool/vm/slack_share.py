"""Keeps the shares of common limits that this VM holds up to date.

These are the retry slack and the requests to cold targets.
"""

import asyncio
from collections.abc import Callable, Collection

from wigeonspool.core import cluster_state
from wigeonspool.core import cold_targets
from wigeonspool.core import shared_retry_budget
from wigeonspool.model import fleet


class SlackShare:
    """Updates the shares of a VM as VMs come and go.

    Attributes:
        share: Fraction of the slack that this VM holds while it is registered.
        cold_share: Its share of the requests to cold targets while it is
            registered, or None.
    """

    def __init__(
        self,
        budget: shared_retry_budget.ServiceRetryBudget,
        entry: fleet.VmEntry,
        zones: Collection[str],
        cluster: cluster_state.ClusterState,
        find_registered_until: Callable[[], float],
        cold: cold_targets.ColdTargets,
    ) -> None:
        """Creates the share of a VM that is not registered yet.

        Args:
            budget: Retry budget of the VM.
            entry: Entry of the VM.
            zones: Availability zones of the deployment.
            cluster: Cluster state, with the registered VMs.
            find_registered_until: Returns the time until which the store keeps
                the entry of the VM, loop clock.
            cold: Limits of the requests of the VM to cold targets.
        """
        self.share = 0.0
        self.cold_share: cold_targets.Share | None = None
        self._cold = cold
        self._zones = zones
        self._budget = budget
        self._entry = entry
        self._cluster = cluster
        self._find_registered_until = find_registered_until
        self._ranked_changes = -1
        self._loop = asyncio.get_running_loop()

    def update(self) -> None:
        """Sets the shares in the budget and in the limits of cold targets.

        There are none once the registration may have expired, since another VM
        may then hold them.
        """
        if self._ranked_changes != self._cluster.vm_changes:
            self._ranked_changes = self._cluster.vm_changes
            self.share = shared_retry_budget.find_slack_share(
                self._entry, self._cluster.vms.values(), self._zones
            )
            self.cold_share = cold_targets.find_share(
                self._entry, self._cluster.vms.values(), self._zones
            )
        now = self._loop.time()
        registered_until = self._find_registered_until()
        is_registered = now < registered_until
        self._cold.set_share(self.cold_share, registered_until, now)
        self._budget.set_slack_share(self.share if is_registered else 0.0, now)

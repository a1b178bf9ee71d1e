"""Keeps the share of the retry slack that this VM holds up to date."""

import asyncio
from collections.abc import Callable, Collection

from wigeonspool.core import cluster_state
from wigeonspool.core import shared_retry_budget
from wigeonspool.model import fleet


class SlackShare:
    """Updates the share of the retry slack as VMs come and go.

    Attributes:
        share: Fraction of the slack that this VM holds while it is registered.
    """

    def __init__(
        self,
        budget: shared_retry_budget.ServiceRetryBudget,
        entry: fleet.VmEntry,
        zones: Collection[str],
        cluster: cluster_state.ClusterState,
        find_registered_until: Callable[[], float],
    ) -> None:
        """Creates the share of a VM that is not registered yet.

        Args:
            budget: Retry budget of the VM.
            entry: Entry of the VM.
            zones: Availability zones of the deployment.
            cluster: Cluster state, with the registered VMs.
            find_registered_until: Returns the time until which the store keeps
                the entry of the VM, loop clock.
        """
        self.share = 0.0
        self._zones = zones
        self._budget = budget
        self._entry = entry
        self._cluster = cluster
        self._find_registered_until = find_registered_until
        self._ranked_changes = -1
        self._loop = asyncio.get_running_loop()

    def update(self) -> None:
        """Sets the share in the budget.

        It is 0 once the registration may have expired, since another VM may
        then hold the share.
        """
        if self._ranked_changes != self._cluster.vm_changes:
            self._ranked_changes = self._cluster.vm_changes
            self.share = shared_retry_budget.find_slack_share(
                self._entry, self._cluster.vms.values(), self._zones
            )
        now = self._loop.time()
        is_registered = now < self._find_registered_until()
        self._budget.set_slack_share(self.share if is_registered else 0.0, now)

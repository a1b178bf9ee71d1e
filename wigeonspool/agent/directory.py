"""Selects the agents to follow from the current feeders of the VM list.

Feeders read the list and send its feeders and draining targets to all other
agents. Another agent reads the list only if no responsive agent has sent them.
"""

from collections.abc import Iterable
import dataclasses
from typing import Final

from wigeonspool.agent import members
from wigeonspool.core import rendezvous
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import messages
from wigeonspool.wire import peer_roles

# The VM list is updated with a delay, so a new VM is admitted before it is
# listed.
UNLISTED_GRACE_SECONDS: Final = 60.0
MAX_UNLISTED: Final = 1000


@dataclasses.dataclass(slots=True)
class VmDirectory:
    """The parts of the VM list that this agent needs.

    Attributes:
        vm: Name of the VM of this agent.
        region: Region of this VM.
        listen: host:port of this agent.
        seeds: Addresses to follow while no feeder is known.
        current: Feeders and draining targets, or None while unknown.
        listed: Names on the VM list, if this agent read it itself.
        unlisted_deadlines: Deadline by which each unlisted VM must be listed,
            by name, in seconds on this process's clock.
    """

    vm: str
    region: str
    listen: str
    seeds: tuple[str, ...]
    current: messages.Directory | None = None
    listed: frozenset[str] = frozenset()
    unlisted_deadlines: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    def update_from_list(self, vms: list[entities.Vm], feeders: int) -> bool:
        """Updates the directory from the VM list.

        Args:
            vms: The VM list.
            feeders: Number of feeders to choose in each region.

        Returns:
            True if the feeders or draining targets changed.
        """
        self.listed = frozenset(vm.name for vm in vms)
        for name in self.listed & self.unlisted_deadlines.keys():
            del self.unlisted_deadlines[name]
        chosen = tuple(members.choose_feeders(vms, feeders))
        return self._update(
            messages.Directory(chosen, members.list_draining(vms), True)
        )

    def update_from_peers(self, reported: list[messages.Directory]) -> bool:
        """Updates the directory from the reports of other agents.

        A target is draining if any report says so. Reports of agents that did
        not read the list themselves are used only while no directory is known;
        otherwise two agents could keep an outdated directory alive by sending
        it to each other.

        Args:
            reported: Reported directories, the one received last at the end.

        Returns:
            True if the feeders or draining targets changed.
        """
        if self.current is not None:
            reported = [r for r in reported if r.is_first_hand]
        if not reported:
            return False
        draining = {address for r in reported for address in r.leaving}
        return self._update(
            messages.Directory(reported[-1].feeders, tuple(sorted(draining)))
        )

    def _update(self, directory: messages.Directory) -> bool:
        """Stores a directory; returns True if it differs from the last one.

        One without feeders is ignored, because its sender did not know any.
        """
        if not directory.feeders:
            return False
        previous = self.current
        self.current = directory
        return previous is None or (
            (directory.feeders, directory.leaving)
            != (previous.feeders, previous.leaving)
        )

    def find_rank(self) -> int | None:
        """Returns the rank of this agent among the feeders, or None."""
        feeders = self.current.feeders if self.current else ()
        names = [vm.name for vm in feeders]
        return names.index(self.vm) if self.vm in names else None

    def list_region_feeders(self) -> set[str]:
        """Returns the addresses of the other feeders of this region."""
        feeders = self.current.feeders if self.current else ()
        addresses = {vm.address for vm in feeders if vm.region == self.region}
        return addresses - {self.listen}

    def choose_upstreams(self, is_isolated: bool) -> dict[str, str]:
        """Returns the addresses to follow, with the role for each stream.

        These are the feeders of the region, or the seeds if none is known. A
        feeder also follows one feeder of each other region. An isolated agent
        follows all of these.

        Args:
            is_isolated: True if no feeder of the region is responsive.
        """
        feeders = self.current.feeders if self.current else ()
        chosen = {
            vm.address: peer_roles.AGENT
            for vm in feeders
            if vm.region == self.region
        }
        if is_isolated or not chosen:
            chosen |= dict.fromkeys(self.seeds, peer_roles.AGENT)
        if is_isolated or self.find_rank() is not None:
            for vm in self._choose_remote_feeders(feeders):
                chosen.setdefault(vm.address, peer_roles.REMOTE)
        chosen.pop(self.listen, None)
        return chosen

    def _choose_remote_feeders(
        self, feeders: Iterable[entities.Vm]
    ) -> list[entities.Vm]:
        """Returns one feeder of each other region."""
        regions: dict[str, dict[str, entities.Vm]] = {}
        for vm in feeders:
            if vm.region != self.region:
                regions.setdefault(vm.region, {})[vm.name] = vm
        return [
            by_name[rendezvous.rank_members(self.vm, by_name)[0]]
            for by_name in regions.values()
        ]

    def admit(self, now: float, vm: str) -> None:
        """Admits a VM that is listed or may be listed soon.

        All VMs are admitted while this agent has not read the list.

        Args:
            now: Time on this process's clock, in seconds.
            vm: Name of the VM.

        Raises:
            PeerUnknownError: If the VM was not listed within the grace period
                that began with its first connection.
        """
        if not self.listed or vm in self.listed:
            return
        if len(self.unlisted_deadlines) >= MAX_UNLISTED:
            self.unlisted_deadlines.pop(next(iter(self.unlisted_deadlines)))
        deadline = self.unlisted_deadlines.setdefault(
            vm, now + UNLISTED_GRACE_SECONDS
        )
        if deadline <= now:
            raise errors.PeerUnknownError(vm)

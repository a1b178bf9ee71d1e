"""Which agents to follow, and what is known of the VM list.

Only feeders read the list; all others learn from them what they need of it.
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

# The list lags, so a new VM is admitted before the list shows it.
UNLISTED_GRACE_SECONDS: Final = 60.0
MAX_UNLISTED: Final = 1000


@dataclasses.dataclass(slots=True)
class VmDirectory:
    """The latest knowledge of the VM list.

    Attributes:
        vm: Name of the VM of this agent.
        region: Its region.
        listen: host:port of this agent.
        seeds: Addresses to follow while no feeder is known.
        current: Feeders and leaving targets, or None while unknown.
        listed: Names on the list, if this agent read it itself.
        unlisted_deadlines: Deadlines by which VMs that are not listed must be.
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
        """Takes the VM list; returns True if anything of note changed.

        Args:
            vms: The list.
            feeders: Feeders to choose in each region.
        """
        self.listed = frozenset(vm.name for vm in vms)
        for name in self.listed & self.unlisted_deadlines.keys():
            del self.unlisted_deadlines[name]
        chosen = tuple(members.choose_feeders(vms, feeders))
        return self._update(
            messages.Directory(chosen, members.list_leaving(vms), True)
        )

    def update_from_peers(self, reported: list[messages.Directory]) -> bool:
        """Takes what agents told; returns True if anything changed.

        A target that any of them calls leaving is leaving. What an agent has
        from others is taken only while nothing is known: two agents that told
        each other what they had before would never forget it.

        Args:
            reported: Directories, the one heard last at the end.
        """
        if self.current is not None:
            reported = [one for one in reported if one.is_first_hand]
        if not reported:
            return False
        leaving = {address for one in reported for address in one.leaving}
        return self._update(
            messages.Directory(reported[-1].feeders, tuple(sorted(leaving)))
        )

    def _update(self, directory: messages.Directory) -> bool:
        """Takes new knowledge; an empty list of feeders is no knowledge."""
        if not directory.feeders:
            return False
        known = self.current
        self.current = directory
        return known is None or (
            (directory.feeders, directory.leaving)
            != (known.feeders, known.leaving)
        )

    def find_rank(self) -> int | None:
        """Returns the place of this agent among the feeders, or None."""
        feeders = self.current.feeders if self.current else ()
        names = [vm.name for vm in feeders]
        return names.index(self.vm) if self.vm in names else None

    def list_region_feeders(self) -> set[str]:
        """Returns the addresses of the other feeders of this region."""
        feeders = self.current.feeders if self.current else ()
        addresses = {vm.address for vm in feeders if vm.region == self.region}
        return addresses - {self.listen}

    def choose_upstreams(self, is_isolated: bool) -> dict[str, str]:
        """Returns the role to follow each address in.

        Args:
            is_isolated: True if none of those followed so far was heard of
                late.
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
            named[rendezvous.rank_members(self.vm, named)[0]]
            for named in regions.values()
        ]

    def admit(self, now: float, vm: str) -> None:
        """Admits a VM that is listed or may be listed soon.

        Raises:
            PeerUnknownError: If it was not listed in time.
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

"""Which agents to follow, and what is known of the VM list.

Only feeders read the list; all others learn from them what they need of it.
"""

from collections.abc import Iterable
import dataclasses
from typing import Final

from wigeonspool.agent import members
from wigeonspool.core import assignments
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import messages
from wigeonspool.wire import senders

# The list lags, so a new VM is admitted before the list shows it.
ADMISSION_SECONDS: Final = 60.0
MAX_UNLISTED: Final = 1000


@dataclasses.dataclass(slots=True)
class Directory:
    """The latest knowledge of the VM list.

    Attributes:
        vm: Name of the VM of this agent.
        region: Its region.
        listen: host:port of this agent.
        seeds: Addresses to follow while no feeder is known.
        known: Feeders and leaving targets, or None while unknown.
        listed: Names on the list, if this agent read it itself.
        unlisted: Deadlines by which VMs that are not listed must be.
    """

    vm: str
    region: str
    listen: str
    seeds: tuple[str, ...]
    known: messages.Directory | None = None
    listed: frozenset[str] = frozenset()
    unlisted: dict[str, float] = dataclasses.field(default_factory=dict)

    def take_list(self, vms: list[entities.Vm], feeders: int) -> bool:
        """Takes the VM list; returns True if anything of note changed.

        Args:
            vms: The list.
            feeders: Feeders to choose in each region.
        """
        self.listed = frozenset(vm.name for vm in vms)
        for name in self.listed & self.unlisted.keys():
            del self.unlisted[name]
        chosen = tuple(members.choose_feeders(vms, feeders))
        return self._take(
            messages.Directory(chosen, members.list_leaving(vms), True)
        )

    def take_told(self, told: list[messages.Directory]) -> bool:
        """Takes what agents told; returns True if anything changed.

        A target that any of them calls leaving is leaving. What an agent has
        from others is taken only while nothing is known: two agents that told
        each other what they had before would never forget it.

        Args:
            told: Directories, the one heard last at the end.
        """
        if self.known is not None:
            told = [one for one in told if one.is_first_hand]
        if not told:
            return False
        leaving = {address for one in told for address in one.leaving}
        return self._take(
            messages.Directory(told[-1].feeders, tuple(sorted(leaving)))
        )

    def _take(self, directory: messages.Directory) -> bool:
        """Takes new knowledge; an empty list of feeders is no knowledge."""
        if not directory.feeders:
            return False
        known = self.known
        self.known = directory
        return known is None or (
            (directory.feeders, directory.leaving)
            != (known.feeders, known.leaving)
        )

    def find_rank(self) -> int | None:
        """Returns the place of this agent among the feeders, or None."""
        feeders = self.known.feeders if self.known else ()
        names = [vm.name for vm in feeders]
        return names.index(self.vm) if self.vm in names else None

    def list_near(self) -> set[str]:
        """Returns the addresses of the other feeders of this region."""
        feeders = self.known.feeders if self.known else ()
        near = {vm.address for vm in feeders if vm.region == self.region}
        return near - {self.listen}

    def choose_upstreams(self, is_lost: bool) -> dict[str, str]:
        """Returns the role to follow each address in.

        Args:
            is_lost: True if none of those followed so far was heard of late.
        """
        feeders = self.known.feeders if self.known else ()
        chosen = {
            vm.address: senders.AGENT
            for vm in feeders
            if vm.region == self.region
        }
        if is_lost or not chosen:
            chosen |= dict.fromkeys(self.seeds, senders.AGENT)
        if is_lost or self.find_rank() is not None:
            for vm in self._choose_remote(feeders):
                chosen.setdefault(vm.address, senders.REMOTE)
        chosen.pop(self.listen, None)
        return chosen

    def _choose_remote(
        self, feeders: Iterable[entities.Vm]
    ) -> list[entities.Vm]:
        """Returns one feeder of each other region."""
        regions: dict[str, dict[str, entities.Vm]] = {}
        for vm in feeders:
            if vm.region != self.region:
                regions.setdefault(vm.region, {})[vm.name] = vm
        return [
            named[assignments.rank_members(self.vm, named)[0]]
            for named in regions.values()
        ]

    def admit(self, now: float, vm: str) -> None:
        """Admits a VM that is listed or may be listed soon.

        Raises:
            PeerUnknownError: If it was not listed in time.
        """
        if not self.listed or vm in self.listed:
            return
        if len(self.unlisted) >= MAX_UNLISTED:
            self.unlisted.pop(next(iter(self.unlisted)))
        deadline = self.unlisted.setdefault(vm, now + ADMISSION_SECONDS)
        if deadline <= now:
            raise errors.PeerUnknownError(vm)

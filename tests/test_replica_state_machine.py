"""Drawn orders of reads, watches and feeds of different ages.

What a VM holds never goes back behind a state that it has held, and equals the
store once its watch or its feed has caught up.
"""

import asyncio
import json
from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests import test_store_keys
from wigeonspool.core import cluster_state
from wigeonspool.model import key_values
from wigeonspool.platform import store_keys
from wigeonspool.vm import feed_client
from wigeonspool.vm import feed_messages
from wigeonspool.vm import feed_server
from wigeonspool.vm import store_follower
from wigeonspool.wire import frames

IDENTITIES = [f"t-{number}" for number in range(6)]
# Last keys of the pages of a read; the last page has no bound.
PAGE_ENDS = ["servers/t-1", "servers/t-3", None]
# The second VM follows the first one, and the third the second.
VMS = range(3)
FRAME_HEAD_BYTES = 4
MAX_STALE_CHANGES = 12


def build_value(variant: int) -> bytes:
    """Returns an entry; each variant has an address of its own."""
    address = {"Address": f"10.0.0.1:{1000 + variant}"}
    return json.dumps(test_store_keys.ENTRY | address).encode()


class ModelStore:
    """The store with its whole history.

    Attributes:
        log: Its changes; the revision of a change is its index plus one.
    """

    def __init__(self) -> None:
        self.log: list[key_values.KeyValue] = []

    @property
    def revision(self) -> int:
        return len(self.log)

    def write(self, identity: str, value: bytes | None) -> None:
        """Writes a key, or removes it."""
        key = f"servers/{identity}"
        self.log.append(key_values.KeyValue(key, value, self.revision + 1))

    def read(self, revision: int) -> dict[str, key_values.KeyValue]:
        """Returns the keys as they were at a revision."""
        items: dict[str, key_values.KeyValue] = {}
        for item in self.log[:revision]:
            if item.value is None:
                items.pop(item.key, None)
            else:
                items[item.key] = item
        return items

    def read_page(
        self, after: str, last: str | None, revision: int
    ) -> store_follower.KeyRange:
        """Returns a page of a read."""
        items = [
            item
            for key, item in sorted(self.read(revision).items())
            if key > after and (last is None or key <= last)
        ]
        page = key_values.Page(tuple(items), revision, last is not None)
        return store_follower.KeyRange(after, last, page)


class Feeder(feed_server.Feeder):
    """A feeder that keeps its messages for one follower."""

    def __init__(self, replica: store_follower.StoreReplica) -> None:
        super().__init__(replica, lambda: 0.0)
        self.messages: list[feed_messages.Message] | None = None

    def connect(self, revision: int) -> None:
        """Connects the follower, which has all changes up to a revision."""
        self.messages = None
        self.messages = [self._build_first_message(revision)]

    def _broadcast(self, data: bytes) -> None:
        if self.messages is not None:
            document: Any = frames.unpack_body(data[FRAME_HEAD_BYTES:])
            message = feed_messages.msgspec.convert(
                document, feed_messages.Message
            )
            self.messages.append(message)


class Vm:
    """A VM that reads the store, follows another VM and feeds one.

    Attributes:
        known: Revision up to which it has received all changes of a target.
        loaded: True once it has read the store.
    """

    def __init__(self) -> None:
        self.cluster = cluster_state.ClusterState()
        self.replica = store_follower.StoreReplica(
            self.cluster, store_keys.decode_change, self._pass_on
        )
        self.feeder = Feeder(self.replica)
        self.replica.on_known = self.feeder.record_change
        self.client = feed_client.FeedClient("vm", self.replica, list)
        self.known = dict.fromkeys(IDENTITIES, 0)
        self.loaded = False

    def _pass_on(self, item: key_values.KeyValue) -> None:
        self.feeder.record_change(item)

    def learn(self, identities: list[str], revision: int) -> None:
        """Records that all changes of some targets were received."""
        for identity in identities:
            self.known[identity] = max(self.known[identity], revision)

    def read_address(self, identity: str) -> str:
        """Returns the address of a target, or "" if it is not held."""
        row = self.cluster.targets.get(identity)
        return row.entry.address if row else ""


class ReplicaMachine(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.store = ModelStore()
        self.vms = [self.build_vm() for _ in VMS]

    def run(self, action: Any) -> Any:
        """Runs an action on the event loop."""

        async def act() -> Any:
            return action()

        return self.loop.run_until_complete(act())

    def build_vm(self) -> Vm:
        """Returns a VM that holds nothing."""
        vm: Vm = self.run(Vm)
        return vm

    @stateful.rule(
        identity=st.sampled_from(IDENTITIES),
        variant=st.one_of(st.none(), st.integers(0, 2)),
    )
    def change(self, identity: str, variant: int | None) -> None:
        """A target is written, written again without a change, or removed."""
        value = None if variant is None else build_value(variant)
        if value is not None or self.is_stored(identity):
            self.store.write(identity, value)

    def is_stored(self, identity: str) -> bool:
        return f"servers/{identity}" in self.store.read(self.store.revision)

    @stateful.rule(
        number=st.sampled_from(VMS),
        ages=st.tuples(*[st.integers(0, MAX_STALE_CHANGES) for _ in PAGE_ENDS]),
    )
    def read(self, number: int, ages: tuple[int, ...]) -> None:
        """A VM reads all keys, each page from a replica of another age."""
        after = ""
        ranges = []
        for last, age in zip(PAGE_ENDS, ages, strict=True):
            revision = max(0, self.store.revision - age)
            ranges.append(self.store.read_page(after, last, revision))
            after = last or ""
        self.apply(self.vms[number], ranges)

    @stateful.rule(
        number=st.sampled_from(VMS),
        changes=st.lists(
            st.tuples(
                st.sampled_from(IDENTITIES),
                st.one_of(st.none(), st.integers(0, 2)),
            ),
            max_size=3,
        ),
    )
    def read_again(
        self, number: int, changes: list[tuple[str, int | None]]
    ) -> None:
        """A VM reads all keys, which change between two pages."""
        after = ""
        ranges = []
        for last in PAGE_ENDS:
            revision = self.store.revision
            ranges.append(self.store.read_page(after, last, revision))
            after = last or ""
            if changes:
                self.change(*changes.pop())
        self.apply(self.vms[number], ranges)

    def apply(self, vm: Vm, ranges: list[store_follower.KeyRange]) -> None:
        """Applies a read of a VM."""
        self.run(lambda: vm.replica.apply_ranges(ranges))
        vm.loaded = True
        for key_range in ranges:
            covered = [
                identity
                for identity in IDENTITIES
                if key_range.contains(f"servers/{identity}")
            ]
            vm.learn(covered, key_range.page.revision)

    @stateful.rule(number=st.sampled_from(VMS), most=st.integers(1, 20))
    def watch(self, number: int, most: int) -> None:
        """A VM gets the next changes from the store."""
        vm = self.vms[number]
        if not vm.loaded:
            return
        first = vm.replica.revision
        items = self.store.log[first : first + most]
        page = key_values.Page(tuple(items), first + len(items))
        self.run(lambda: vm.replica.apply_page(page))
        vm.learn(IDENTITIES, page.revision)

    @stateful.rule(number=st.sampled_from(VMS))
    def send(self, number: int) -> None:
        """A VM sends its changes to its follower."""
        self.run(self.vms[number].feeder.send_changes)

    @stateful.rule(number=st.sampled_from(VMS[1:]))
    def connect(self, number: int) -> None:
        """A VM connects to its feeder."""
        revision = self.vms[number].replica.revision
        feeder = self.vms[number - 1].feeder
        self.run(lambda: feeder.connect(revision))

    @stateful.rule(number=st.sampled_from(VMS[1:]), most=st.integers(1, 5))
    def receive(self, number: int, most: int) -> None:
        """A VM reads messages of its feeder."""
        vm = self.vms[number]
        feeder = self.vms[number - 1].feeder
        for _ in range(most):
            if not feeder.messages:
                return
            message = feeder.messages.pop(0)
            assert isinstance(message, feed_messages.Items)
            try:
                self.run(lambda m=message: vm.client._handle_message("a", m))
            except feed_client.FeederJumpError:
                self.connect(number)
                continue
            vm.learn(IDENTITIES, message.revision)

    @stateful.rule(number=st.sampled_from(VMS))
    def restart(self, number: int) -> None:
        """A VM starts again and holds nothing."""
        self.vms[number] = self.build_vm()
        if number:
            self.vms[number - 1].feeder.messages = None

    @stateful.rule(follow=st.booleans())
    def catch_up(self, follow: bool) -> None:
        """All VMs catch up, from their feeders or from the store."""
        if not self.vms[0].loaded:
            self.read(0, (0,) * len(PAGE_ENDS))
        self.watch(0, self.store.revision + 1)
        for number in VMS[1:]:
            if not follow and self.vms[number].loaded:
                self.watch(number, self.store.revision + 1)
                continue
            if self.vms[number - 1].feeder.messages is None:
                self.connect(number)
            self.send(number - 1)
            self.receive(number, self.store.revision + 10)
        stored = self.store.read(self.store.revision)
        for vm in self.vms:
            for identity in IDENTITIES:
                item = stored.get(f"servers/{identity}")
                assert vm.read_address(identity) == find_address(item)

    @stateful.invariant()
    def no_vm_goes_back(self) -> None:
        for vm in self.vms:
            for identity in IDENTITIES:
                states = {
                    find_address(
                        self.store.read(revision).get(f"servers/{identity}")
                    )
                    for revision in range(
                        vm.known[identity], self.store.revision + 1
                    )
                }
                assert vm.read_address(identity) in states

    def teardown(self) -> None:
        self.loop.close()


def find_address(item: key_values.KeyValue | None) -> str:
    """Returns the address in an entry, or "" if there is none."""
    if item is None or item.value is None:
        return ""
    address: str = json.loads(item.value)["Address"]
    return address


TestReplica = hypothesis.settings(
    derandomize=True, max_examples=300, stateful_step_count=40, deadline=None
)(ReplicaMachine).TestCase

"""Drawn orders of reads, watches and feeds of different ages.

What a VM holds never goes back behind a state that it has held, and equals the
store once its watch or its feed has caught up. The second machine also restores
the store from older copies, between calls and during them.
"""

import asyncio
from collections.abc import Callable
import json
from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests import test_store_keys
from wigeonspool.core import cluster_state
from wigeonspool.load import virtual_loop
from wigeonspool.model import errors
from wigeonspool.model import fleet
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

    def connect(self, revision: int, era: int = 0) -> None:
        """Connects the follower, which has all changes up to a revision."""
        self.messages = None
        self.messages = [self._build_first_message(revision, era)]

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


FIRST_ERA = 1
# Changes that a restore loses at most.
MAX_LOST_CHANGES = 8
# Polls of the store after which a VM must be up to date.
MAX_POLLS = 6
AFTER_GRACE_SECONDS = cluster_state.REREGISTRATION_GRACE_SECONDS + 1.0
DRAINING = "draining"


def build_state(variant: int, sequence: int) -> bytes:
    """Returns an entry; variants from 2 on are draining."""
    state = DRAINING if variant >= 2 else "ready"
    status = {"State": state, "Seq": sequence, "Cold_time": "0ms"}
    fields = {"Address": f"10.0.0.1:{1000 + variant}", "Status": status}
    return json.dumps(test_store_keys.ENTRY | fields).encode()


def find_state(item: key_values.KeyValue | None) -> str:
    """Returns the address and state in an entry, or "" if there is none."""
    if item is None or item.value is None:
        return ""
    document = json.loads(item.value)
    return f"{document['Address']} {document['Status']['State']}"


def find_sequence(item: key_values.KeyValue | None) -> int:
    """Returns the sequence number of an entry, or -1 if there is none."""
    if item is None or item.value is None:
        return -1
    sequence: int = json.loads(item.value)["Status"]["Seq"]
    return sequence


class RestoredStore:
    """A store that is restored from copies, with the history of all eras.

    Attributes:
        logs: Changes of each era, including those of its copy.
        timeline: Era and revision after each change and restore.
        ages: Number of changes that the pages of a stale read lack.
        events: Called one by one, after each page and before each watch
            replies.
    """

    def __init__(self) -> None:
        self.logs: list[list[key_values.KeyValue]] = [[]]
        self.timeline = [(FIRST_ERA, 0)]
        self.ages: list[int] = []
        self.events: list[Callable[[], None]] = []

    @property
    def position(self) -> tuple[int, int]:
        """Current era and revision."""
        return self.timeline[-1]

    def write(self, identity: str, value: bytes | None) -> None:
        """Writes a key, or removes it."""
        key = f"servers/{identity}"
        log = self.logs[-1]
        log.append(key_values.KeyValue(key, value, len(log) + 1))
        self._record()

    def restore(self, lost: int) -> None:
        """Goes back by a number of changes."""
        log = self.logs[-1]
        self.logs.append(log[: max(0, len(log) - lost)])
        self._record()

    def _record(self) -> None:
        era = FIRST_ERA + len(self.logs) - 1
        self.timeline.append((era, len(self.logs[-1])))

    def read(self, era: int, revision: int) -> dict[str, key_values.KeyValue]:
        """Returns the keys as they were at a revision of an era."""
        items: dict[str, key_values.KeyValue] = {}
        if era < FIRST_ERA:
            return items
        for item in self.logs[era - FIRST_ERA][:revision]:
            if item.value is None:
                items.pop(item.key, None)
            else:
                items[item.key] = item
        return items

    def list_changes(
        self, identity: str, era: int, after: int
    ) -> list[key_values.KeyValue]:
        """Returns the changes of a target in an era after a revision."""
        if era < FIRST_ERA:
            return []
        log = self.logs[era - FIRST_ERA][after:]
        return [item for item in log if item.key == f"servers/{identity}"]

    def _run_event(self) -> None:
        if self.events:
            self.events.pop(0)()

    async def read_range(
        self, prefix: str, after: str = "", stale: bool = False
    ) -> key_values.Page:
        """Returns a page; a stale one is of an older state."""
        age = self.ages.pop(0) if stale and self.ages else 0
        era, revision = self.timeline[max(0, len(self.timeline) - 1 - age)]
        last = next(end for end in PAGE_ENDS if end is None or end > after)
        items = [
            item
            for key, item in sorted(self.read(era, revision).items())
            if key > after and (last is None or key <= last)
        ]
        # The follower continues after the last key of a page.
        if last is not None and not items:
            last = None
            items = [
                item
                for key, item in sorted(self.read(era, revision).items())
                if key > after
            ]
        self._run_event()
        return key_values.Page(
            tuple(items), revision, last is not None, era=era
        )

    async def watch(
        self, prefix: str, after: int, wait_seconds: float
    ) -> key_values.Page:
        """Returns the changes after a revision of any era."""
        self._run_event()
        era, revision = self.position
        if after > revision:
            raise errors.HistoryExpiredError(after)
        items = self.logs[-1][after:]
        return key_values.Page(tuple(items), revision, era=era)


class FollowingVm(Vm):
    """A VM that follows a store which is restored.

    Attributes:
        follower: Follows the store.
        held: What it held of each target when its era began.
        last: What it held of each target when that was recorded last.
        left: Sequence numbers of targets that it no longer holds.
    """

    def __init__(self, store: RestoredStore) -> None:
        super().__init__()
        self.follower = store_follower.StoreFollower(
            store, self.replica, self.cluster
        )
        self.replica.on_new_era = self.record_era
        self.held: dict[str, str] = {}
        self.held_sequences: dict[str, int] = {}
        self.last: dict[str, str] = {}
        self.left: dict[str, int] = {}
        self.position = (0, 0)

    def read_state(self, identity: str) -> str:
        """Returns the address and state of a target, or ""."""
        row = self.cluster.targets.get(identity)
        if row is None:
            return ""
        draining = row.entry.state is fleet.TargetState.DRAINING
        return f"{row.entry.address} {DRAINING if draining else 'ready'}"

    def record(self) -> None:
        """Records what it holds, and which targets have left."""
        for identity in IDENTITIES:
            state = self.read_state(identity)
            if state:
                self.left.pop(identity, None)
                row = self.cluster.targets[identity]
                self.held_sequences[identity] = row.entry.sequence
            elif self.last.get(identity):
                self.left[identity] = self.held_sequences[identity]
            self.last[identity] = state

    def record_era(self, era: int) -> None:
        """Records what it holds when a new era begins."""
        self.record()
        self.held = dict(self.last)
        self.held_left = dict(self.left)
        self.held_at = dict(self.held_sequences)


class RestoredReplicaMachine(stateful.RuleBasedStateMachine):
    """Reads, watches and feeds of a store that is restored at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = virtual_loop.VirtualLoop()
        self.store = RestoredStore()
        self.is_numbered = False
        self.sequence = 1
        self.vms = [self.build_vm() for _ in VMS]

    def build_vm(self) -> FollowingVm:
        """Returns a VM that holds nothing."""

        async def build() -> FollowingVm:
            return FollowingVm(self.store)

        return self.loop.run_until_complete(build())

    def run(self, action: Any) -> Any:
        """Runs an action on the event loop."""

        async def act() -> Any:
            return action()

        return self.loop.run_until_complete(act())

    def write(self, identity: str, variant: int | None) -> None:
        """Writes or removes a target, with a new sequence number."""
        era, revision = self.store.position
        is_stored = f"servers/{identity}" in self.store.read(era, revision)
        if variant is None:
            if is_stored:
                self.store.write(identity, None)
            return
        if self.is_numbered:
            self.sequence += 1
        self.store.write(identity, build_state(variant, self.sequence))

    @stateful.initialize(is_numbered=st.booleans())
    def choose(self, is_numbered: bool) -> None:
        """Targets number their entries, or do not."""
        self.is_numbered = is_numbered

    @stateful.rule(
        identity=st.sampled_from(IDENTITIES),
        variant=st.one_of(st.none(), st.integers(0, 3)),
    )
    def change(self, identity: str, variant: int | None) -> None:
        """A target is written or removed."""
        self.write(identity, variant)

    @stateful.rule(lost=st.integers(0, MAX_LOST_CHANGES))
    def restore(self, lost: int) -> None:
        """The store is restored from an older copy."""
        self.store.restore(lost)

    def draw_event(self, lost: int, changes: list[Any]) -> None:
        """Something happens during the next call."""

        def happen() -> None:
            if lost >= 0:
                self.store.restore(lost)
            for identity, variant in changes:
                self.write(identity, variant)

        self.store.events.append(happen)

    @stateful.rule(
        lost=st.integers(-1, MAX_LOST_CHANGES),
        changes=st.lists(
            st.tuples(
                st.sampled_from(IDENTITIES),
                st.one_of(st.none(), st.integers(0, 3)),
            ),
            max_size=3,
        ),
    )
    def interrupt(self, lost: int, changes: list[Any]) -> None:
        """The store is restored, or changes, during one of the next calls."""
        self.draw_event(lost, changes)

    @stateful.rule(
        number=st.sampled_from(VMS),
        stale=st.booleans(),
        ages=st.lists(st.integers(0, MAX_STALE_CHANGES), max_size=3),
    )
    def read(self, number: int, stale: bool, ages: list[int]) -> None:
        """A VM reads all keys, perhaps with pages of an older era."""
        vm = self.vms[number]
        self.store.ages = ages
        self.loop.run_until_complete(vm.follower.load(stale))
        self.store.ages = []
        vm.loaded = True

    @stateful.rule(number=st.sampled_from(VMS))
    def poll(self, number: int) -> None:
        """A VM gets the next changes from the store."""
        vm = self.vms[number]
        if vm.loaded:
            self.loop.run_until_complete(vm.follower.poll_changes())

    @stateful.rule(number=st.sampled_from(VMS))
    def send(self, number: int) -> None:
        """A VM sends its changes to its follower."""
        self.run(self.vms[number].feeder.send_changes)

    @stateful.rule(number=st.sampled_from(VMS[1:]))
    def connect(self, number: int) -> None:
        """A VM connects to its feeder."""
        replica = self.vms[number].replica
        feeder = self.vms[number - 1].feeder
        self.run(lambda: feeder.connect(replica.revision, replica.era))

    @stateful.rule(
        number=st.sampled_from(VMS[1:]),
        most=st.integers(1, 5),
        is_earlier=st.booleans(),
    )
    def receive(self, number: int, most: int, is_earlier: bool = False) -> None:
        """A VM reads messages of its feeder, which may send no era."""
        vm = self.vms[number]
        feeder = self.vms[number - 1].feeder
        for _ in range(most):
            if not feeder.messages:
                return
            message = feeder.messages.pop(0)
            assert isinstance(message, feed_messages.Items)
            if is_earlier:
                if not vm.replica.era:
                    # A VM without eras cannot tell them apart.
                    return
                message = feed_messages.Items(
                    message.revision,
                    message.items,
                    message.whole,
                    message.jumped_from,
                )
            is_older = message.era < vm.replica.era
            before = [vm.read_state(identity) for identity in IDENTITIES]
            try:
                self.run(lambda m=message: vm.client._handle_message("a", m))
            except feed_client.FeederJumpError:
                self.connect(number)
                continue
            except feed_client.FeederEraError:
                assert is_older
                after = [vm.read_state(identity) for identity in IDENTITIES]
                assert after == before
                feeder.messages = None
                return
            assert not is_older
            vm.loaded = vm.loaded or message.whole

    @stateful.rule(number=st.sampled_from(VMS))
    def restart(self, number: int) -> None:
        """A VM starts again and holds nothing."""
        self.vms[number] = self.build_vm()
        if number:
            self.vms[number - 1].feeder.messages = None

    @stateful.rule(follow=st.booleans())
    def catch_up(self, follow: bool) -> None:
        """All VMs catch up, before and after targets write their entries.

        What a target wrote before a VM read the new era counts as restored for
        that VM, unless the target numbers its entries.
        """
        self.store.events.clear()
        self.update_all(follow)
        era, revision = self.store.position
        for key, item in self.store.read(era, revision).items():
            variant = int(find_state(item).split()[0].rpartition(":")[2]) - 1000
            self.write(key.removeprefix("servers/"), variant)
        self.update_all(follow)
        stored = self.store.read(*self.store.position)
        for vm in self.vms:
            # Targets that the copy lacked have had the time to come back.
            expired_at = self.loop.time() + AFTER_GRACE_SECONDS
            vm.cluster.remove_expired_targets(expired_at)
            for identity in IDENTITIES:
                item = stored.get(f"servers/{identity}")
                assert vm.read_state(identity) == find_state(item)

    def update_all(self, follow: bool) -> None:
        """All VMs catch up, from their feeders or from the store."""
        for number, vm in enumerate(self.vms):
            if number and follow:
                self.follow(number)
            else:
                self.poll_all(vm)
            assert (vm.replica.era, vm.replica.revision) == self.store.position

    def poll_all(self, vm: FollowingVm) -> None:
        """A VM polls the store until it is up to date."""
        for _ in range(MAX_POLLS):
            self.loop.run_until_complete(vm.follower.poll_changes())
            vm.loaded = True
            position = vm.replica.era, vm.replica.revision
            if position == self.store.position:
                return

    def follow(self, number: int) -> None:
        """A VM gets all that its feeder has."""
        self.send(number - 1)
        self.connect(number)
        self.receive(number, 10)
        self.vms[number].loaded = True

    @stateful.invariant()
    def no_vm_goes_back(self) -> None:
        for vm in self.vms:
            position = vm.replica.era, vm.replica.revision
            assert position >= vm.position
            vm.position = position
            for identity in IDENTITIES:
                self.check(vm, identity)
            vm.record()

    def check(self, vm: FollowingVm, identity: str) -> None:
        """Checks what a VM holds of a target."""
        era, revision = vm.replica.era, vm.replica.revision
        if era < FIRST_ERA:
            assert not vm.read_state(identity)
            return
        state = vm.read_state(identity)
        key = f"servers/{identity}"
        end = len(self.store.logs[era - FIRST_ERA])
        allowed = {
            find_state(self.store.read(era, r).get(key))
            for r in range(revision, end + 1)
        }
        restored = vm.replica.restored_revision
        changes = self.store.list_changes(identity, era, restored)
        if not any(item.revision <= revision for item in changes):
            allowed.add(vm.held.get(identity, ""))
        row = vm.cluster.targets.get(identity)
        if row is not None and row.suspect_until:
            allowed.add(vm.held.get(identity, ""))
        assert state in allowed
        if changes or not vm.held:
            return
        # Nothing but the restored copy speaks for the target.
        copied = find_sequence(self.store.read(era, restored).get(key))
        held = vm.held[identity]
        if identity in vm.held_left and copied <= vm.held_left[identity]:
            assert not state
        if held.endswith(DRAINING) and copied <= vm.held_at[identity]:
            assert state in ("", held)

    def teardown(self) -> None:
        self.loop.close()


TestRestoredReplica = hypothesis.settings(
    derandomize=True, max_examples=300, stateful_step_count=40, deadline=None
)(RestoredReplicaMachine).TestCase

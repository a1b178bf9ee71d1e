"""Tests of membership: members, the directory, streams, pauses and outages."""

import asyncio
import dataclasses
import time
from typing import Any
import unittest.mock

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from tests import fleet as fleets
from wigeonspool.agent import directory
from wigeonspool.agent import members
from wigeonspool.gateway import fleet_view
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import messages
from wigeonspool.store import vms
from wigeonspool.wire import clocks
from wigeonspool.wire import handshake
from wigeonspool.wire import peer_roles
from wigeonspool.wire import streams

KEYS = ["test-key"]


def build_heartbeat(
    vm: str, sequence: int = 1, incarnation: str = "i", draining: bool = False
) -> messages.Heartbeat:
    gateway = entities.Gateway(
        f"{vm}-0", incarnation, f"{vm}:80", "zone-0", vm, draining
    )
    return messages.Heartbeat(
        vm, "region", f"{vm}:7000", incarnation, sequence, 0, (gateway,)
    )


def build_vms(regions: int, vms: int) -> list[entities.Vm]:
    return [
        entities.Vm(
            f"vm-{region}-{number}",
            f"zone-{region}",
            f"region-{region}",
            f"10.0.{region}.{number}:7000",
            "entry",
            entities.VmState.LIVE,
        )
        for region in range(regions)
        for number in range(vms)
    ]


def list_kinds(log: Any) -> list[events.Kind]:
    return [event.kind for event in log.ring.list_events()]


class TestMemberTable:
    def test_only_relayed_fields_count_as_a_change(self) -> None:
        table = members.MemberTable(2.0)
        table.apply_heartbeat(0.0, build_heartbeat("a"))
        assert table.collect_changes() is not None
        table.apply_heartbeat(0.1, build_heartbeat("a", sequence=2))
        assert table.apply_beat(0.2, "a", "i", messages.Beat(3, 9))
        assert table.collect_changes() is None
        assert table.list_heartbeats()[0].generation == 9
        table.apply_heartbeat(
            0.3, build_heartbeat("a", sequence=4, draining=True)
        )
        changes = table.collect_changes()
        assert changes is not None
        assert changes.changed[0].gateways[0].draining

    def test_demand_is_sent_after_a_change_for_few_members_each_time(
        self,
    ) -> None:
        table = members.MemberTable(2.0)
        names = [f"vm-{number}" for number in range(10)]

        def apply_heartbeats(sequence: int, demand: float) -> None:
            for number, name in enumerate(names):
                heartbeat = build_heartbeat(name, sequence)
                gateway = dataclasses.replace(
                    heartbeat.gateways[0], demand={"queue": demand * number}
                )
                table.apply_heartbeat(
                    0.0, dataclasses.replace(heartbeat, gateways=(gateway,))
                )

        apply_heartbeats(1, 100.0)
        table.collect_changes()
        apply_heartbeats(2, 101.0)
        assert table.collect_changes() is None
        apply_heartbeats(3, 200.0)
        sent: list[str] = []
        while (changes := table.collect_changes()) is not None:
            assert len(changes.changed) <= members.MAX_DEMAND_UPDATES
            sent += [heartbeat.vm for heartbeat in changes.changed]
        # The largest changes are sent first, and each change once.
        assert set(sent[: members.MAX_DEMAND_UPDATES]) == set(names[-4:])
        assert sorted(sent) == names[1:]

    def test_unresponsive_member_is_removed_and_must_send_a_full_heartbeat(
        self,
    ) -> None:
        table = members.MemberTable(2.0)
        table.apply_heartbeat(0.0, build_heartbeat("a"))
        table.collect_changes()
        assert table.remove_unresponsive(2.0) == ["a"]
        assert table.collect_changes() == messages.MemberChanges((), ("a",))
        assert not table.apply_beat(2.1, "a", "i", messages.Beat(9, 0))

    def test_beat_of_an_older_incarnation_is_rejected(self) -> None:
        table = members.MemberTable(2.0)
        table.apply_heartbeat(0.0, build_heartbeat("a", incarnation="new"))
        assert not table.apply_beat(1.0, "a", "old", messages.Beat(9, 0))

    def test_members_are_kept_after_a_pause_of_this_process(self) -> None:
        table = members.MemberTable(2.0)
        table.apply_heartbeat(0.0, build_heartbeat("a"))
        table.extend_deadlines(100.0)
        assert table.remove_unresponsive(101.0) == []

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        steps=strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abc"),
                strategies.sampled_from(["join", "drain", "silence"]),
            ),
            max_size=30,
        )
    )
    def test_replica_updated_by_changes_equals_the_table(
        self, steps: list[tuple[str, str]]
    ) -> None:
        table = members.MemberTable(2.0)
        replica = members.MemberReplica()
        now = 0.0
        for number, (vm, step) in enumerate(steps):
            now += 1.0
            if step != "silence":
                drains = step == "drain"
                table.apply_heartbeat(
                    now, build_heartbeat(vm, number, "i", drains)
                )
            table.remove_unresponsive(now)
            changes = table.collect_changes()
            if changes is not None:
                replica.update(changes)
            expected = {
                h.vm: members.list_relayed_fields(h)
                for h in table.list_heartbeats()
            }
            assert expected == {
                vm: members.list_relayed_fields(h)
                for vm, h in replica.heartbeats.items()
            }


class TestVmDirectory:
    def build(self, vm: str, region: str) -> directory.VmDirectory:
        number = vm.rpartition("-")[2]
        listen = f"10.0.{region[-1]}.{number}:7000"
        return directory.VmDirectory(vm, region, listen, ("seed:1",))

    def test_number_of_upstreams_does_not_grow_with_the_fleet(self) -> None:
        counts: dict[int, set[int]] = {}
        for size in (5, 50):
            listed = build_vms(3, size)
            for vm in listed:
                vm_directory = self.build(vm.name, vm.region)
                vm_directory.update_from_list(listed, 2)
                followed = len(vm_directory.choose_upstreams(is_isolated=False))
                counts.setdefault(size, set()).add(followed)
        # Each region has two feeders. A feeder follows the other feeder of its
        # region and one of each other region; other agents follow both.
        assert counts == {5: {2, 3}, 50: {2, 3}}

    def test_feeders_of_a_region_are_in_different_zones(self) -> None:
        for salt in range(20):
            listed = [
                dataclasses.replace(
                    vm, name=f"{salt}-{vm.name}", zone=f"zone-{number % 2}"
                )
                for number, vm in enumerate(build_vms(1, 10))
            ]
            chosen = members.choose_feeders(listed, 2)
            assert {vm.zone for vm in chosen} == {"zone-0", "zone-1"}

    def test_seeds_are_followed_while_no_feeder_is_known(self) -> None:
        vm_directory = self.build("vm-0-1", "region-0")
        assert vm_directory.choose_upstreams(False) == {
            "seed:1": peer_roles.AGENT
        }

    def test_isolated_agent_follows_feeders_of_other_regions(self) -> None:
        listed = build_vms(3, 5)
        vm_directory = self.build("vm-0-1", "region-0")
        vm_directory.update_from_list(listed, 2)
        roles = list(vm_directory.choose_upstreams(is_isolated=True).values())
        assert roles.count(peer_roles.REMOTE) == 2

    def test_target_is_draining_if_one_feeder_reports_it(self) -> None:
        feeders = tuple(build_vms(1, 2))
        vm_directory = self.build("vm-0-9", "region-0")
        vm_directory.update_from_peers(
            [
                messages.Directory(feeders, ("t:1",), True),
                messages.Directory(feeders, (), True),
            ]
        )
        assert vm_directory.current is not None
        assert vm_directory.current.leaving == ("t:1",)

    def test_stale_report_does_not_replace_the_list_that_was_read(self) -> None:
        vm_directory = self.build("vm-0-9", "region-0")
        stale = messages.Directory(tuple(build_vms(1, 1)), ())
        assert vm_directory.update_from_peers([stale])
        vm_directory.update_from_list(build_vms(1, 5), 2)
        read_directory = vm_directory.current
        assert not vm_directory.update_from_peers([stale])
        assert vm_directory.current == read_directory

    def test_unlisted_vm_is_admitted_during_the_grace_period(self) -> None:
        vm_directory = self.build("vm-0-1", "region-0")
        vm_directory.update_from_list(build_vms(1, 3), 2)
        vm_directory.admit(0.0, "vm-new")
        vm_directory.admit(directory.UNLISTED_GRACE_SECONDS - 1, "vm-new")
        with pytest.raises(errors.PeerUnknownError):
            vm_directory.admit(directory.UNLISTED_GRACE_SECONDS, "vm-new")
        vm_directory.update_from_list(build_vms(1, 3), 2)
        vm_directory.admit(directory.UNLISTED_GRACE_SECONDS, "vm-0-1")


class TestPauseDetector:
    def test_pause_is_detected_before_the_next_tick(self) -> None:
        clock = [0.0]
        detector = clocks.PauseDetector(2.0, lambda: clock[0])
        clock[0] = 1.9
        assert detector.is_current()
        clock[0] = 2.1
        assert not detector.is_current()

    def test_process_is_not_current_until_refreshed(self) -> None:
        clock = [0.0]
        detector = clocks.PauseDetector(2.0, lambda: clock[0])
        clock[0] = 5.0
        # Messages that arrived during the pause are handled before the timer.
        detector.mark_refreshed()
        assert not detector.is_current()
        assert detector.tick() == 5.0
        assert not detector.is_current()
        detector.mark_refreshed()
        assert detector.is_current()

    def test_paused_gateway_lists_only_itself(self) -> None:
        view = fleet_view.FleetView()
        view.gateways = {
            f"{vm}-0": build_heartbeat(vm).gateways[0] for vm in "ab"
        }
        is_current = [True]
        view.set_freshness_check("a-0", lambda: is_current[0])
        assert set(view.gateways) == {"a-0", "b-0"}
        is_current[0] = False
        assert set(view.gateways) == {"a-0"}


async def open_stream_as(
    address: str, role: str, vm: str, keys: list[str] | None = None
) -> streams.Stream:
    hello = messages.Hello(f"{vm}-agent", role, "i", vm)
    stream = await streams.open_stream(address)
    await stream.send(handshake.sign_hello(hello, keys or KEYS))
    return stream


class TestStreamServer:
    async def check_rejected(
        self,
        fleet: fleets.Fleet,
        stream: streams.Stream,
        code: str = errors.PeerUnknownError.code,
    ) -> None:
        agent = fleet.agents["vm-0"]
        await fleets.wait_for(
            lambda: agent._stream_server.rejected.get(code) == 1
        )
        while await stream.receive() is not None:
            pass
        assert events.Kind.PEER_REJECTED in list_kinds(agent._log)
        # The process still accepts streams.
        other = await open_stream_as(
            fleet.get_agent_address("vm-0"), "agent", "vm-9"
        )
        assert await other.receive() is not None
        other.close()

    async def test_process_with_another_key_is_rejected(
        self, fleet: fleets.Fleet
    ) -> None:
        address = fleet.get_agent_address("vm-0")
        stream = await open_stream_as(address, "agent", "vm-1", ["other-key"])
        await self.check_rejected(fleet, stream)

    async def test_heartbeat_for_another_vm_is_rejected(
        self, fleet: fleets.Fleet
    ) -> None:
        address = fleet.get_agent_address("vm-0")
        stream = await open_stream_as(address, "agent", "vm-1")
        stream.post(build_heartbeat("vm-7"))
        await self.check_rejected(fleet, stream)

    async def test_operator_cannot_send_heartbeats(
        self, fleet: fleets.Fleet
    ) -> None:
        address = fleet.get_agent_address("vm-0")
        stream = await open_stream_as(address, "operator", "vm-1")
        stream.post(build_heartbeat("vm-1"))
        await self.check_rejected(fleet, stream, errors.SenderRoleError.code)

    async def test_gateway_of_another_vm_is_rejected(
        self, fleet: fleets.Fleet
    ) -> None:
        address = fleet.get_agent_address("vm-0")
        stream = await open_stream_as(address, "gateway", "vm-1")
        await self.check_rejected(fleet, stream)

    async def test_subscriber_that_reads_nothing_is_disconnected(
        self, fleet: fleets.Fleet
    ) -> None:
        agent = fleet.agents["vm-0"]
        stream = await open_stream_as(
            fleet.get_agent_address("vm-0"), "agent", "frozen"
        )

        def is_subscribed() -> bool:
            names = [s.hello.vm for s in agent._stream_server.subscribers]
            return "frozen" in names

        await fleets.wait_for(is_subscribed)
        stream.post(build_heartbeat("frozen"))
        # It sends heartbeats but reads nothing; its unsent data is limited.
        stream._reader._transport.pause_reading()  # type: ignore[attr-defined]
        bulky = messages.Directory((), tuple("x" * 100 for _ in range(5000)))
        sent = 0
        while is_subscribed():
            stream.post(messages.Beat(1, 0))
            agent._stream_server.send((peer_roles.AGENT,), bulky)
            sent += 1
            await asyncio.sleep(0.005)
            assert sent < 200
        await fleets.wait_for(
            lambda: agent._stream_server.disconnect_count == 1
        )
        stream.abort()

    async def test_unchanged_digest_is_not_repeated(
        self, fleet: fleets.Fleet
    ) -> None:
        generation = await fleet.apply(fleet.build_document())
        await fleets.wait_for(lambda: fleet.is_active(generation))
        stream = await open_stream_as(
            fleet.get_agent_address("vm-0"), "agent", "vm-9"
        )
        stream.post(build_heartbeat("vm-9"))
        first = await self.read_pulse(stream)
        assert first.generation == generation and first.digest
        assert await self.read_pulse(stream) == messages.Pulse()
        changing = asyncio.create_task(
            fleet.apply(fleet.build_document(slots=5))
        )
        while (pulse := await self.read_pulse(stream)) == messages.Pulse():
            pass
        assert pulse.generation == await changing
        assert await self.read_pulse(stream) == messages.Pulse()
        stream.close()

    async def read_pulse(self, stream: streams.Stream) -> messages.Pulse:
        """Returns the next Pulse; sends Beats so that the stream stays open."""
        while True:
            message = await stream.receive()
            assert message is not None
            stream.post(messages.Beat(2, 0))
            if isinstance(message, messages.Pulse):
                return message

    async def test_subscriber_that_sends_nothing_is_disconnected(
        self, fleet: fleets.Fleet
    ) -> None:
        agent = fleet.agents["vm-0"]
        stream = await open_stream_as(
            fleet.get_agent_address("vm-0"), "agent", "silent"
        )
        await fleets.wait_for(
            lambda: agent._stream_server.disconnect_count == 1
        )
        stream.abort()

    @pytest.mark.parametrize("seconds", [0.6, 0.8, 0.9, 0.95, 0.99, 1.2])
    async def test_own_pause_disconnects_no_subscriber(
        self, fleet: fleets.Fleet, seconds: float
    ) -> None:
        servers = [agent._stream_server for agent in fleet.agents.values()]
        await fleets.wait_for(lambda: fleet.every_gateway_lists(2))
        for _ in range(4):
            before = [server.disconnect_count for server in servers]
            # Blocks the event loop, so messages from others stay unread.
            time.sleep(seconds)
            await asyncio.sleep(0.35)
            assert [server.disconnect_count for server in servers] == before


class TestStream:
    async def test_slow_reader_of_a_large_message_is_not_disconnected(
        self,
    ) -> None:
        transport = unittest.mock.Mock()
        writer = unittest.mock.Mock(transport=transport)
        writer.is_closing.return_value = False
        writer.get_extra_info.return_value = ("127.0.0.1", 1)
        stream = streams.Stream(unittest.mock.Mock(), writer)
        transport.get_write_buffer_size.return_value = 0
        stream.post_frame(b"x" * (3 * streams.MAX_UNSENT_BYTES))
        # The peer has read none of it when more messages follow.
        unsent = 3 * streams.MAX_UNSENT_BYTES
        transport.get_write_buffer_size.return_value = unsent
        stream.post_frame(b"pulse")
        assert not stream.overflowed
        unsent += streams.MAX_UNSENT_BYTES + 1
        transport.get_write_buffer_size.return_value = unsent
        stream.post_frame(b"pulse")
        assert stream.overflowed
        transport.abort.assert_called_once()


class TestFleetMembership:
    async def test_feeder_without_changes_sends_only_pulses(
        self, fleet: fleets.Fleet
    ) -> None:
        for number in range(2, 6):
            await fleet.start_vm(f"vm-{number}", "zone-0")
        await fleets.wait_for(lambda: fleet.every_gateway_lists(6))
        feeder = await fleet.wait_for_feeders()
        stream = await open_stream_as(
            fleet.get_agent_address(feeder), "agent", "vm-9"
        )
        stream.post(build_heartbeat("vm-9"))
        # Messages caused by the start end within the silence limit.
        started_at = time.monotonic()
        late: list[messages.Message | None] = []
        while time.monotonic() < started_at + 4.0:
            message = await stream.receive()
            stream.post(messages.Beat(len(late) + 2, 0))
            if time.monotonic() > started_at + 2.5:
                late.append(message)
        assert {type(m) for m in late} == {messages.Pulse}, late
        stream.close()

    async def test_demand_is_sent_to_gateways_of_other_vms(
        self, fleet: fleets.Fleet
    ) -> None:
        for number in range(2, 6):
            await fleet.start_vm(f"vm-{number}", "zone-0")
        await fleets.wait_for(lambda: fleet.every_gateway_lists(6))
        await fleet.wait_for_feeders()
        follower = next(
            vm for vm in fleet.agents if vm not in fleet.list_feeders()
        )
        busy = fleet.gateways[follower]
        others = [g for vm, g in fleet.gateways.items() if vm != follower]

        def is_received() -> bool:
            busy._ingress.demand["queue"] = 50
            return all(
                g._view.gateways[f"{follower}-0"].demand.get("queue", 0) > 10
                for g in others
            )

        await fleets.wait_for(is_received)

    async def test_only_feeders_call_the_platform(
        self, fleet: fleets.Fleet
    ) -> None:
        for number in range(2, 8):
            await fleet.start_vm(f"vm-{number}", "zone-0")
        await fleets.wait_for(lambda: fleet.every_gateway_lists(8))
        await fleet.wait_for_feeders()
        await fleets.wait_for(
            lambda: (
                sum(
                    a._role_manager.must_read_list()
                    for a in fleet.agents.values()
                )
                == 2
            )
        )
        before = {vm: a._feeder.client.calls for vm, a in fleet.agents.items()}
        await asyncio.sleep(2.0)
        calling = {
            vm
            for vm, a in fleet.agents.items()
            if a._feeder.client.calls > before[vm]
        }
        assert calling == set(fleet.list_feeders())

    async def test_unchanged_vm_list_is_parsed_once(
        self, fleet: fleets.Fleet
    ) -> None:
        reader = vms.VmListReader(fleet.session, f"{fleet.vms_url}/v1/vms", 5.0)
        first = await reader.read()
        assert await reader.read() == first
        assert reader.parsed_lists == 1
        fleet.add_to_vm_list("vm-9", "zone-0", "10.0.0.1:1", "entry")
        assert len(await reader.read()) == len(first) + 1
        assert reader.parsed_lists == 2

    async def test_stopped_vm_is_removed_from_all_gateways(
        self, fleet: fleets.Fleet
    ) -> None:
        await fleet.start_vm("vm-2", "zone-0")
        await fleets.wait_for(lambda: fleet.every_gateway_lists(3))
        await fleet.kill_gateway("vm-2")
        await fleet.agents.pop("vm-2").stop()
        await fleets.wait_for(lambda: fleet.every_gateway_lists(2))

    async def test_paused_processes_record_the_pause_and_recover(
        self, fleet: fleets.Fleet
    ) -> None:
        await fleets.wait_for(lambda: fleet.every_gateway_lists(2))
        # Blocks the event loop for longer than the pause limit.
        time.sleep(2.5)
        for agent in fleet.agents.values():
            await fleets.wait_for(
                lambda log=agent._log: (
                    events.Kind.PROCESS_PAUSED in list_kinds(log)
                )
            )
        for gateway in fleet.gateways.values():
            assert events.Kind.PROCESS_PAUSED in list_kinds(gateway._log)
        await fleets.wait_for(lambda: fleet.every_gateway_lists(2))

    async def test_stream_to_an_unresponsive_feeder_is_reopened(
        self, fleet: fleets.Fleet
    ) -> None:
        await fleets.wait_for(lambda: fleet.every_gateway_lists(2))
        await fleets.wait_for(
            lambda: bool(fleet.agents["vm-1"]._upstreams.list_streams())
        )
        agent = fleet.agents["vm-1"]
        (old,) = agent._upstreams.list_streams()
        # The remote end of the stream is lost without a close.
        for subscriber in fleet.agents["vm-0"]._stream_server.subscribers:
            if subscriber.hello.vm == "vm-1":
                subscriber.stream = unittest.mock.Mock(overflowed=False)
                subscriber.expires_at = float("inf")
        await fleets.wait_for(
            lambda: (
                old not in agent._upstreams.list_streams()
                and bool(agent._upstreams.list_streams())
            )
        )
        await fleets.wait_for(lambda: fleet.every_gateway_lists(2))

    async def test_status_shows_all_regions(self, fleet: fleets.Fleet) -> None:
        for number in range(3):
            vm = f"far-{number}"
            await fleet.start_vm(vm, "zone-9", region="far")
        await fleets.wait_for(
            lambda: (
                {
                    vm.region
                    for a in fleet.agents.values()
                    if a._role_manager.directory.current
                    for vm in a._role_manager.directory.current.feeders
                }
                == {"region", "far"}
            )
        )
        agent = fleet.agents["far-0"]

        async def count() -> int:
            return len((await agent._describe_fleet()).heartbeats)

        give_up_at = time.monotonic() + 10
        while await count() != 5:
            assert time.monotonic() < give_up_at
            await asyncio.sleep(0.1)
        for vm in ("vm-0", "vm-1"):
            await fleet.kill_gateway(vm)
            await fleet.agents.pop(vm).stop()
        reply = await agent._describe_fleet()
        unreachable = [h for h in reply.heartbeats if h.generation == 0]
        assert "region-unreachable" in {h.vm for h in unreachable}


class TestConfigurationInTheFleet:
    async def test_store_outage_blocks_neither_new_vms_nor_later_changes(
        self, fleet: fleets.Fleet
    ) -> None:
        await fleet.start_target()
        generation = await fleet.apply(fleet.build_document())
        fleet.store.faults.down = True
        await fleet.store._notify()
        await fleet.start_vm("vm-2", "zone-0")
        await fleets.wait_for(lambda: fleet.is_active(generation))
        feeders = [
            a for a in fleet.agents.values() if a._role_manager.is_feeder
        ]
        await fleets.wait_for(
            lambda: any(
                events.Kind.STORE_UNAVAILABLE in list_kinds(a._log)
                for a in feeders
            )
        )
        fleet.store.faults.down = False
        await fleet.apply(fleet.build_document(slots=7))
        assert all(
            g._view.tables.pools["queue"].slots == 7
            for g in fleet.gateways.values()
        )

    async def test_stalled_watches_do_not_delay_a_change(
        self, fleet: fleets.Fleet
    ) -> None:
        await fleet.start_target()
        await fleet.apply(fleet.build_document())
        fleet.store.faults.silent_watches = True
        await fleet.apply(fleet.build_document(slots=7))

    async def test_fleet_keeps_its_tables_if_the_store_returns_to_a_backup(
        self, fleet: fleets.Fleet
    ) -> None:
        await fleet.start_target()
        await fleet.apply(fleet.build_document())
        backup = fleet.store.copy_records()
        generation = await fleet.apply(fleet.build_document(slots=7))
        await fleet.store.restore_records(backup)
        await fleets.wait_for(
            lambda: any(
                events.Kind.CONFIGURATION_RESTORED in list_kinds(a._log)
                for a in fleet.agents.values()
            )
        )
        assert (
            await fleet.apply(fleet.build_document(slots=9)) == generation + 1
        )
        # A replaced VM gets the tables of its peers, not those of the store.
        await fleet.store.restore_records(backup)
        await fleet.kill_gateway("vm-1")
        await fleet.agents.pop("vm-1").stop()
        await fleet.start_vm("vm-1", "zone-1")
        await fleets.wait_for(lambda: fleet.is_active(generation + 1))

    async def test_tables_with_another_history_are_ignored(
        self, fleet: fleets.Fleet
    ) -> None:
        await fleet.start_target()
        await fleet.apply(fleet.build_document())
        agent = fleet.agents["vm-1"]
        active_tables = agent._state.tables
        agent._upstreams._receive_tables(
            messages.Snapshot(
                dataclasses.replace(active_tables, generation=99, digest="x"),
                ((active_tables.generation, "other"), (99, "x")),
            )
        )
        assert agent._state.tables == active_tables
        assert events.Kind.CONFIGURATION_DIVERGED in list_kinds(agent._log)

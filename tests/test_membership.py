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
    def test_only_what_others_must_know_is_a_change(self) -> None:
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

    def test_demand_is_told_when_it_moved_and_few_at_once(self) -> None:
        table = members.MemberTable(2.0)
        names = [f"vm-{number}" for number in range(10)]

        def take(sequence: int, demand: float) -> None:
            for number, name in enumerate(names):
                heartbeat = build_heartbeat(name, sequence)
                gateway = dataclasses.replace(
                    heartbeat.gateways[0], demand={"queue": demand * number}
                )
                table.apply_heartbeat(
                    0.0, dataclasses.replace(heartbeat, gateways=(gateway,))
                )

        take(1, 100.0)
        table.collect_changes()
        take(2, 101.0)
        assert table.collect_changes() is None
        take(3, 200.0)
        told: list[str] = []
        while (changes := table.collect_changes()) is not None:
            assert len(changes.changed) <= members.MAX_DEMAND_UPDATES
            told += [heartbeat.vm for heartbeat in changes.changed]
        # Those that moved most come first, and each that moved comes once.
        assert set(told[: members.MAX_DEMAND_UPDATES]) == set(names[-4:])
        assert sorted(told) == names[1:]

    def test_silent_member_leaves_and_must_tell_all_when_it_returns(
        self,
    ) -> None:
        table = members.MemberTable(2.0)
        table.apply_heartbeat(0.0, build_heartbeat("a"))
        table.collect_changes()
        assert table.remove_unresponsive(2.0) == ["a"]
        assert table.collect_changes() == messages.MemberChanges((), ("a",))
        assert not table.apply_beat(2.1, "a", "i", messages.Beat(9, 0))

    def test_beat_of_an_older_run_is_not_taken(self) -> None:
        table = members.MemberTable(2.0)
        table.apply_heartbeat(0.0, build_heartbeat("a", incarnation="new"))
        assert not table.apply_beat(1.0, "a", "old", messages.Beat(9, 0))

    def test_members_are_not_dropped_by_a_process_that_was_paused(self) -> None:
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
    def test_mirror_fed_by_changes_equals_the_table(
        self, steps: list[tuple[str, str]]
    ) -> None:
        table = members.MemberTable(2.0)
        mirror = members.MemberReplica()
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
                mirror.update(changes)
            held = {
                h.vm: members.list_relayed_fields(h)
                for h in table.list_heartbeats()
            }
            assert held == {
                vm: members.list_relayed_fields(h)
                for vm, h in mirror.heartbeats.items()
            }


class TestDirectory:
    def build(self, vm: str, region: str) -> directory.VmDirectory:
        number = vm.rpartition("-")[2]
        listen = f"10.0.{region[-1]}.{number}:7000"
        return directory.VmDirectory(vm, region, listen, ("seed:1",))

    def test_followed_agents_are_few_whatever_the_fleet(self) -> None:
        counts: dict[int, set[int]] = {}
        for size in (5, 50):
            listed = build_vms(3, size)
            for vm in listed:
                known = self.build(vm.name, vm.region)
                known.update_from_list(listed, 2)
                followed = len(known.choose_upstreams(is_isolated=False))
                counts.setdefault(size, set()).add(followed)
        # A feeder follows one of its region and one of each other region.
        assert counts == {5: {2, 3}, 50: {2, 3}}

    def test_feeders_of_a_region_lie_in_different_zones(self) -> None:
        for salt in range(20):
            listed = [
                dataclasses.replace(
                    vm, name=f"{salt}-{vm.name}", zone=f"zone-{number % 2}"
                )
                for number, vm in enumerate(build_vms(1, 10))
            ]
            chosen = members.choose_feeders(listed, 2)
            assert {vm.zone for vm in chosen} == {"zone-0", "zone-1"}

    def test_seeds_are_followed_while_nothing_is_known(self) -> None:
        known = self.build("vm-0-1", "region-0")
        assert known.choose_upstreams(False) == {"seed:1": peer_roles.AGENT}

    def test_agent_that_lost_its_feeders_follows_other_regions(self) -> None:
        listed = build_vms(3, 5)
        known = self.build("vm-0-1", "region-0")
        known.update_from_list(listed, 2)
        roles = list(known.choose_upstreams(is_isolated=True).values())
        assert roles.count(peer_roles.REMOTE) == 2

    def test_target_that_one_feeder_calls_leaving_is_leaving(self) -> None:
        feeders = tuple(build_vms(1, 2))
        known = self.build("vm-0-9", "region-0")
        known.update_from_peers(
            [
                messages.Directory(feeders, ("t:1",), True),
                messages.Directory(feeders, (), True),
            ]
        )
        assert known.current is not None
        assert known.current.leaving == ("t:1",)

    def test_old_knowledge_of_others_does_not_replace_a_reading(self) -> None:
        known = self.build("vm-0-9", "region-0")
        stale = messages.Directory(tuple(build_vms(1, 1)), ())
        assert known.update_from_peers([stale])
        known.update_from_list(build_vms(1, 5), 2)
        read = known.current
        assert not known.update_from_peers([stale])
        assert known.current == read

    def test_new_vm_is_admitted_until_it_should_have_been_listed(self) -> None:
        known = self.build("vm-0-1", "region-0")
        known.update_from_list(build_vms(1, 3), 2)
        known.admit(0.0, "vm-new")
        known.admit(directory.UNLISTED_GRACE_SECONDS - 1, "vm-new")
        with pytest.raises(errors.PeerUnknownError):
            known.admit(directory.UNLISTED_GRACE_SECONDS, "vm-new")
        known.update_from_list(build_vms(1, 3), 2)
        known.admit(directory.UNLISTED_GRACE_SECONDS, "vm-0-1")


class TestPauseDetector:
    def test_pause_is_seen_before_any_tick(self) -> None:
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
        # What arrived during the pause is read before the timer runs.
        detector.mark_refreshed()
        assert not detector.is_current()
        assert detector.tick() == 5.0
        assert not detector.is_current()
        detector.mark_refreshed()
        assert detector.is_current()

    def test_gateway_that_was_paused_names_only_itself(self) -> None:
        view = fleet_view.FleetView()
        view.gateways = {
            f"{vm}-0": build_heartbeat(vm).gateways[0] for vm in "ab"
        }
        is_current = [True]
        view.set_freshness_check("a-0", lambda: is_current[0])
        assert set(view.gateways) == {"a-0", "b-0"}
        is_current[0] = False
        assert set(view.gateways) == {"a-0"}


async def open_as(
    address: str, role: str, vm: str, keys: list[str] | None = None
) -> streams.Stream:
    hello = messages.Hello(f"{vm}-agent", role, "i", vm)
    stream = await streams.open_stream(address)
    await stream.send(handshake.sign_hello(hello, keys or KEYS))
    return stream


class TestHub:
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
        # The process goes on.
        other = await open_as(fleet.agent_address("vm-0"), "agent", "vm-9")
        assert await other.receive() is not None
        other.close()

    async def test_stranger_is_rejected(self, fleet: fleets.Fleet) -> None:
        address = fleet.agent_address("vm-0")
        stream = await open_as(address, "agent", "vm-1", ["other-key"])
        await self.check_rejected(fleet, stream)

    async def test_heartbeat_for_another_vm_is_rejected(
        self, fleet: fleets.Fleet
    ) -> None:
        address = fleet.agent_address("vm-0")
        stream = await open_as(address, "agent", "vm-1")
        stream.post(build_heartbeat("vm-7"))
        await self.check_rejected(fleet, stream)

    async def test_operator_cannot_send_heartbeats(
        self, fleet: fleets.Fleet
    ) -> None:
        address = fleet.agent_address("vm-0")
        stream = await open_as(address, "operator", "vm-1")
        stream.post(build_heartbeat("vm-1"))
        await self.check_rejected(fleet, stream, errors.SenderRoleError.code)

    async def test_gateway_of_another_vm_is_rejected(
        self, fleet: fleets.Fleet
    ) -> None:
        address = fleet.agent_address("vm-0")
        stream = await open_as(address, "gateway", "vm-1")
        await self.check_rejected(fleet, stream)

    async def test_frozen_subscriber_is_cut_off(
        self, fleet: fleets.Fleet
    ) -> None:
        agent = fleet.agents["vm-0"]
        stream = await open_as(fleet.agent_address("vm-0"), "agent", "frozen")

        def is_subscribed() -> bool:
            names = [s.hello.vm for s in agent._stream_server.subscribers]
            return "frozen" in names

        await fleets.wait_for(is_subscribed)
        stream.post(build_heartbeat("frozen"))
        # It sends beats but reads nothing; what it is sent is bounded.
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
        generation = await fleet.apply(fleet.declare())
        await fleets.wait_for(lambda: fleet.is_in_force(generation))
        stream = await open_as(fleet.agent_address("vm-0"), "agent", "vm-9")
        stream.post(build_heartbeat("vm-9"))
        first = await self.read_pulse(stream)
        assert first.generation == generation and first.digest
        assert await self.read_pulse(stream) == messages.Pulse()
        changing = asyncio.create_task(fleet.apply(fleet.declare(slots=5)))
        while (pulse := await self.read_pulse(stream)) == messages.Pulse():
            pass
        assert pulse.generation == await changing
        assert await self.read_pulse(stream) == messages.Pulse()
        stream.close()

    async def read_pulse(self, stream: streams.Stream) -> messages.Pulse:
        """Returns the next pulse; a beat keeps the stream open meanwhile."""
        while True:
            message = await stream.receive()
            assert message is not None
            stream.post(messages.Beat(2, 0))
            if isinstance(message, messages.Pulse):
                return message

    async def test_silent_subscriber_is_cut_off(
        self, fleet: fleets.Fleet
    ) -> None:
        agent = fleet.agents["vm-0"]
        stream = await open_as(fleet.agent_address("vm-0"), "agent", "silent")
        await fleets.wait_for(
            lambda: agent._stream_server.disconnect_count == 1
        )
        stream.abort()

    @pytest.mark.parametrize("seconds", [0.6, 0.8, 0.9, 0.95, 0.99, 1.2])
    async def test_own_pause_is_nobodys_silence(
        self, fleet: fleets.Fleet, seconds: float
    ) -> None:
        hubs = [agent._stream_server for agent in fleet.agents.values()]
        await fleets.wait_for(lambda: fleet.sees_all(2))
        for _ in range(4):
            before = [hub.disconnect_count for hub in hubs]
            # Nothing runs meanwhile, so what others sent waits unread.
            time.sleep(seconds)
            await asyncio.sleep(0.35)
            assert [hub.disconnect_count for hub in hubs] == before


class TestStream:
    async def test_slow_reader_of_a_large_message_is_not_cut_off(self) -> None:
        transport = unittest.mock.Mock()
        writer = unittest.mock.Mock(transport=transport)
        writer.is_closing.return_value = False
        writer.get_extra_info.return_value = ("127.0.0.1", 1)
        stream = streams.Stream(unittest.mock.Mock(), writer)
        transport.get_write_buffer_size.return_value = 0
        stream.post_frame(b"x" * (3 * streams.MAX_UNSENT_BYTES))
        # Nothing of it has been read while pulses follow.
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
    async def test_idle_feeder_sends_nothing_but_pulses(
        self, fleet: fleets.Fleet
    ) -> None:
        for number in range(2, 6):
            await fleet.start_vm(f"vm-{number}", "zone-0")
        await fleets.wait_for(lambda: fleet.sees_all(6))
        feeder = await fleet.settle_feeders()
        stream = await open_as(fleet.agent_address(feeder), "agent", "vm-9")
        stream.post(build_heartbeat("vm-9"))
        # What the start of the fleet causes ends within the silence limit.
        started_at = time.monotonic()
        late: list[messages.Message | None] = []
        while time.monotonic() < started_at + 4.0:
            message = await stream.receive()
            stream.post(messages.Beat(len(late) + 2, 0))
            if time.monotonic() > started_at + 2.5:
                late.append(message)
        assert {type(m) for m in late} == {messages.Pulse}, late
        stream.close()

    async def test_demand_reaches_the_gateways_of_other_vms(
        self, fleet: fleets.Fleet
    ) -> None:
        for number in range(2, 6):
            await fleet.start_vm(f"vm-{number}", "zone-0")
        await fleets.wait_for(lambda: fleet.sees_all(6))
        await fleet.settle_feeders()
        plain = next(
            vm for vm in fleet.agents if vm not in fleet.list_feeders()
        )
        busy = fleet.gateways[plain]
        others = [g for vm, g in fleet.gateways.items() if vm != plain]

        def is_known() -> bool:
            busy._ingress.demand["queue"] = 50
            return all(
                g._view.gateways[f"{plain}-0"].demand.get("queue", 0) > 10
                for g in others
            )

        await fleets.wait_for(is_known)

    async def test_only_feeders_call_the_platform(
        self, fleet: fleets.Fleet
    ) -> None:
        for number in range(2, 8):
            await fleet.start_vm(f"vm-{number}", "zone-0")
        await fleets.wait_for(lambda: fleet.sees_all(8))
        await fleet.settle_feeders()
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

    async def test_list_that_is_the_same_is_parsed_once(
        self, fleet: fleets.Fleet
    ) -> None:
        reader = vms.VmListReader(fleet.session, f"{fleet.vms_url}/v1/vms", 5.0)
        first = await reader.read()
        assert await reader.read() == first
        assert reader.parsed == 1
        fleet.list_vm("vm-9", "zone-0", "10.0.0.1:1", "entry")
        assert len(await reader.read()) == len(first) + 1
        assert reader.parsed == 2

    async def test_vm_that_is_gone_is_named_by_nobody(
        self, fleet: fleets.Fleet
    ) -> None:
        await fleet.start_vm("vm-2", "zone-0")
        await fleets.wait_for(lambda: fleet.sees_all(3))
        await fleet.kill_gateway("vm-2")
        await fleet.agents.pop("vm-2").stop()
        await fleets.wait_for(lambda: fleet.sees_all(2))

    async def test_paused_agent_notices_and_renews_its_knowledge(
        self, fleet: fleets.Fleet
    ) -> None:
        await fleets.wait_for(lambda: fleet.sees_all(2))
        # Everything on this event loop stands still for longer than allowed.
        time.sleep(2.5)
        for agent in fleet.agents.values():
            await fleets.wait_for(
                lambda log=agent._log: (
                    events.Kind.PROCESS_PAUSED in list_kinds(log)
                )
            )
        for gateway in fleet.gateways.values():
            assert events.Kind.PROCESS_PAUSED in list_kinds(gateway._log)
        await fleets.wait_for(lambda: fleet.sees_all(2))

    async def test_silent_feeder_is_left_for_a_new_connection(
        self, fleet: fleets.Fleet
    ) -> None:
        await fleets.wait_for(lambda: fleet.sees_all(2))
        await fleets.wait_for(
            lambda: bool(fleet.agents["vm-1"]._upstreams.list_streams())
        )
        agent = fleet.agents["vm-1"]
        (old,) = agent._upstreams.list_streams()
        # The far end is lost without a word.
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
        await fleets.wait_for(lambda: fleet.sees_all(2))

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
        answer = await agent._describe_fleet()
        lost = [h for h in answer.heartbeats if h.generation == 0]
        assert "region-unreachable" in {h.vm for h in lost}


class TestConfigurationInTheFleet:
    async def test_store_outage_new_vm_and_first_change_after(
        self, fleet: fleets.Fleet
    ) -> None:
        await fleet.start_target()
        generation = await fleet.apply(fleet.declare())
        fleet.store.faults.down = True
        await fleet.store._notify()
        await fleet.start_vm("vm-2", "zone-0")
        await fleets.wait_for(lambda: fleet.is_in_force(generation))
        watchers = [
            a for a in fleet.agents.values() if a._role_manager.is_feeder
        ]
        await fleets.wait_for(
            lambda: any(
                events.Kind.STORE_UNAVAILABLE in list_kinds(a._log)
                for a in watchers
            )
        )
        fleet.store.faults.down = False
        await fleet.apply(fleet.declare(slots=7))
        assert all(
            g._view.tables.pools["queue"].slots == 7
            for g in fleet.gateways.values()
        )

    async def test_watches_that_go_silent_do_not_hold_back_a_change(
        self, fleet: fleets.Fleet
    ) -> None:
        await fleet.start_target()
        await fleet.apply(fleet.declare())
        fleet.store.faults.silent_watches = True
        await fleet.apply(fleet.declare(slots=7))

    async def test_fleet_keeps_its_tables_when_the_store_is_restored(
        self, fleet: fleets.Fleet
    ) -> None:
        await fleet.start_target()
        await fleet.apply(fleet.declare())
        backup = fleet.store.copy_records()
        generation = await fleet.apply(fleet.declare(slots=7))
        await fleet.store.restore_records(backup)
        await fleets.wait_for(
            lambda: any(
                events.Kind.CONFIGURATION_RESTORED in list_kinds(a._log)
                for a in fleet.agents.values()
            )
        )
        assert await fleet.apply(fleet.declare(slots=9)) == generation + 1
        # A replaced VM learns from its peers, whatever the store shows.
        await fleet.store.restore_records(backup)
        await fleet.kill_gateway("vm-1")
        await fleet.agents.pop("vm-1").stop()
        await fleet.start_vm("vm-1", "zone-1")
        await fleets.wait_for(lambda: fleet.is_in_force(generation + 1))

    async def test_feeder_with_another_history_is_not_followed(
        self, fleet: fleets.Fleet
    ) -> None:
        await fleet.start_target()
        await fleet.apply(fleet.declare())
        agent = fleet.agents["vm-1"]
        held = agent._state.tables
        agent._upstreams._receive_tables(
            messages.Snapshot(
                dataclasses.replace(held, generation=99, digest="x"),
                ((held.generation, "other"), (99, "x")),
            )
        )
        assert agent._state.tables == held
        assert events.Kind.CONFIGURATION_DIVERGED in list_kinds(agent._log)

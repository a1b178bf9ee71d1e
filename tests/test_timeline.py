"""Tests of the timeline of events, from its command to the clocks behind it."""

import asyncio
import contextlib
import io
import json
import time
from typing import Any
from unittest import mock

import hypothesis
from hypothesis import strategies
import pytest

from tests import fleet as fleets
from wigeonspool.core import tables
from wigeonspool.gateway import target_states
from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import status_messages
from wigeonspool.operator import collecting
from wigeonspool.operator import timeline
from wigeonspool.operator import timeline_formats
from wigeonspool.wire import clocks
from wigeonspool.wire import encoding
from wigeonspool.wire import frames


async def run_command(*arguments: str) -> tuple[int, str]:
    """Runs the command on a thread; returns its exit code and output."""

    def run_app() -> tuple[int, str]:
        out = io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            try:
                timeline.app(arguments)
            except SystemExit as error:
                return int(error.code or 0), out.getvalue()
        return 0, out.getvalue()

    return await asyncio.to_thread(run_app)


async def read_queue(fleet: fleets.Fleet, request: str) -> None:
    """Sends one read through the gateway of vm-0."""
    url = f"http://{fleet.addresses['vm-0']}/queue/1"
    fields = {"Wigeonspool-Request": request, "Wigeonspool-Caller": "ann"}
    async with fleet.session.get(url, headers=fields) as response:
        assert response.status == 200


def list_agent_addresses(fleet: fleets.Fleet) -> list[str]:
    return [s.agent.listen for s in fleet.settings.values()]


class TestTimeline:
    async def test_events_of_one_request_are_shown(
        self, fleet: fleets.Fleet
    ) -> None:
        target = await fleet.start_target()
        await fleet.apply(fleet.build_document())
        await read_queue(fleet, "read-1")
        await read_queue(fleet, "read-2")
        code, out = await run_command(
            *list_agent_addresses(fleet), "--request", "read-1"
        )
        assert code == 0
        lines = [line.split("  ") for line in out.splitlines()]
        assert [line[2] for line in lines] == [
            "request-received",
            "request-sent",
            "request-settled",
        ]
        assert {line[1] for line in lines} == {"vm-0-0"}
        assert lines[1][4] == target.address
        assert lines[2][-1] == "outcome=answered"

    async def test_filters_select_events(self, fleet: fleets.Fleet) -> None:
        await fleet.start_target()
        await fleet.apply(fleet.build_document())
        await read_queue(fleet, "read-1")
        vm_list = f"{fleet.vms_url}/v1/vms"
        address = next(iter(fleet.targets))
        _, out = await run_command(
            "--vm-list", vm_list, "--target", address, "--output", "json"
        )
        shown = [json.loads(line) for line in out.splitlines()]
        assert {e["kind"] for e in shown} == {"request-sent"}
        for kind in ("process-started", "configuration-in-force"):
            _, out = await run_command(
                "--vm-list", vm_list, "--kind", kind, "--vm", "vm-1"
            )
            names = {line.split("  ")[1] for line in out.splitlines()}
            assert names == {"vm-1-agent", "vm-1-0"}

    async def test_unresponsive_agents_are_listed_as_notes(
        self, fleet: fleets.Fleet
    ) -> None:
        async def hang(_: Any, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(30)
            writer.close()

        hanging = await asyncio.start_server(hang, "127.0.0.1", 0)
        port = hanging.sockets[0].getsockname()[1]
        code, out = await run_command(
            *list_agent_addresses(fleet), "127.0.0.1:1", f"127.0.0.1:{port}"
        )
        hanging.close()
        assert code == 0
        notes = [x for x in out.splitlines() if x.startswith("# ")]
        assert [n.split(": ")[0] for n in notes] == [
            "# 127.0.0.1:1",
            f"# 127.0.0.1:{port}",
        ]
        assert "process-started" in out

    async def test_command_fails_if_no_agent_replies(self) -> None:
        code, out = await run_command("127.0.0.1:1")
        assert code == 1
        assert out.startswith("# 127.0.0.1:1: ")

    async def test_dropped_events_are_listed_as_a_note(
        self, fleet: fleets.Fleet
    ) -> None:
        log = fleet.gateways["vm-0"]._log
        for number in range(events.MAX_REQUEST_EVENTS + 7):
            log.record(events.Kind.REQUEST_RECEIVED, request=str(number))
        await fleets.wait_for(
            lambda: all(
                a._stream_server.list_reports() for a in fleet.agents.values()
            )
        )
        collected = await collecting.collect_events(list_agent_addresses(fleet))
        assert collected.notes == (
            collecting.Note("vm-0-0", "forgot 7 older events"),
        )
        # Events of requests do not displace events of processes.
        started = [
            e for e in collected.events if e.kind is events.Kind.PROCESS_STARTED
        ]
        assert len(started) == 4

    async def test_state_changes_of_a_target_are_recorded(
        self, fleet: fleets.Fleet
    ) -> None:
        target = await fleet.start_target()
        document = fleet.build_document()
        await fleet.apply(document)
        event_filter = events.Filter(target=target.address)
        log = fleet.gateways["vm-0"]._log
        for drained in (True, False):
            document["pools"][0]["targets"][0]["drained"] = drained
            await fleet.apply(document)
            count = 2 - drained
            await fleets.wait_for(
                lambda count=count: (
                    len(log.ring.list_events(event_filter)) == count
                )
            )
        recorded = log.ring.list_events(event_filter)
        assert [e.kind for e in recorded] == [
            events.Kind.TARGET_DRAINING,
            events.Kind.TARGET_RESTORED,
        ]
        assert recorded[0].detail == {
            "pool": "queue",
            "reason": "drained by an operator",
        }

    async def test_changed_member_is_not_recorded_as_joined(
        self, fleet: fleets.Fleet
    ) -> None:
        gateway = fleet.gateways["vm-1"]
        agent = fleet.agents["vm-0"]
        gateway._ingress.draining = True
        await fleets.wait_for(
            lambda: any(
                g.draining
                for h in agent._live_members.values()
                for g in h.gateways
            )
        )
        event_filter = events.Filter(kinds=(events.Kind.MEMBER_JOINED,))
        joined = agent._log.ring.list_events(event_filter)
        assert sorted(e.vm for e in joined) == ["vm-0", "vm-1"]

    async def test_clocks_advance_past_received_stamps(
        self, fleet: fleets.Fleet
    ) -> None:
        ahead_ms = time.time_ns() // 1_000_000 + 30_000
        stamp = events.Stamp(ahead_ms, 0, "other")
        fleet.agents["vm-0"]._log.clock.observe_stamp(stamp)
        others = [
            fleet.agents["vm-1"]._log.clock,
            fleet.gateways["vm-0"]._log.clock,
            fleet.gateways["vm-1"]._log.clock,
        ]
        await fleets.wait_for(
            lambda: all(c.issue_stamp() > stamp for c in others)
        )


SERVING = tables.TargetState.SERVING
EJECTED = tables.TargetState.EJECTED
DRAINING = tables.TargetState.DRAINING


class TestListTransitions:
    @pytest.mark.parametrize(
        ("before", "now", "entered"),
        [
            ((SERVING, 0), (SERVING, 0), []),
            ((SERVING, 0), (EJECTED, 1), [EJECTED]),
            ((EJECTED, 1), (EJECTED, 1), []),
            ((EJECTED, 1), (SERVING, 1), [SERVING]),
            ((SERVING, 0), (SERVING, 1), [EJECTED, SERVING]),
            ((SERVING, 1), (DRAINING, 2), [EJECTED, DRAINING]),
            ((SERVING, 1), (SERVING, 0), []),
            ((SERVING, 0), (DRAINING, 0), [DRAINING]),
        ],
    )
    def test_ejection_between_two_observations_is_listed(
        self, before: Any, now: Any, entered: list[Any]
    ) -> None:
        transitions = target_states.list_transitions(
            target_states.ObservedState(*before),
            target_states.ObservedState(*now),
        )
        assert transitions == entered


class TestChromeTrace:
    def test_request_is_a_span_and_notes_are_included(self) -> None:
        def build(counter: int, kind: events.Kind) -> events.Event:
            return events.Event(events.Stamp(5, counter, "vm-0-0"), kind, "r")

        collected = collecting.Timeline(
            (
                build(0, events.Kind.REQUEST_RECEIVED),
                build(1, events.Kind.REQUEST_SENT),
                build(2, events.Kind.REQUEST_SETTLED),
            ),
            (collecting.Note("vm-1-0", "did not answer in time"),),
            1,
        )
        document = timeline_formats.build_chrome_trace(collected)
        entries = document["traceEvents"]
        assert [e["ph"] for e in entries] == ["M", "b", "n", "e"]
        assert [e["ts"] for e in entries[1:]] == [5000, 5001, 5002]
        begin, end = entries[1], entries[3]
        assert all(begin[k] == end[k] for k in ("name", "cat", "id", "pid"))
        assert document["otherData"]["notes"][0]["process"] == "vm-1-0"


class TestHybridClock:
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(-90_000, 90_000),
                strategies.integers(-(2**63), 2**64 - 1)
                | strategies.sampled_from([0, 2**32 - 1, 2**64 - 1]),
            ),
            max_size=6,
        )
    )
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    def test_stamps_rise_and_stay_near_whatever_is_observed(
        self, observed: list[tuple[int, int]]
    ) -> None:
        now_ms = 1_800_000_000_000
        with mock.patch.object(time, "time_ns", lambda: now_ms * 1_000_000):
            clock = clocks.HybridClock("a")
            last = clock.issue_stamp()
            for ahead_ms, counter in observed:
                stamp = events.Stamp(now_ms + ahead_ms, counter, "b")
                clock.observe_stamp(stamp)
                issued = clock.issue_stamp()
                assert issued > last
                last = issued
        assert last.counter <= clocks.MAX_COUNTER + len(observed)
        assert last.wall_ms <= now_ms + clocks.MAX_AHEAD_MS
        frames.pack_frame(
            encoding.encode_message(status_messages.StatusRequest(), last)
        )

    @pytest.mark.parametrize(
        "stamp", [[None], [1], [1, "a"], [{}, 1], [1, 2, 3], [[1, 2]]]
    )
    def test_bad_stamp_is_a_wire_error(self, stamp: Any) -> None:
        with pytest.raises(errors.FrameEncodingError):
            encoding.read_stamp(["Beat", [], *stamp])

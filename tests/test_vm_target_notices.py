"""Targets that leave or decline requests, through an entry VM."""

import asyncio
import dataclasses
import json
from typing import Any

import pytest

from tests import fleet
from tests import vm_fleet
from wigeonspool.model import protocols
from wigeonspool.platform.standin import main as standins
from wigeonspool.platform.standin import target as targets

FIRST_START_MS = 1_700_000_000_000
# Limit that only detects a hang.
HANG_SECONDS = 10.0


def silence_health_checks(
    monkeypatch: pytest.MonkeyPatch, target: targets.PlatformTarget
) -> None:
    """Leaves the notices of a target out of its health checks."""
    respond = target._respond_health

    def respond_silently(writer: asyncio.StreamWriter) -> None:
        stated = target.faults
        target.faults = dataclasses.replace(stated, leaving=False)
        respond(writer)
        target.faults = stated

    monkeypatch.setattr(target, "_respond_health", respond_silently)


async def register_start(
    vms: vm_fleet.VmFleet, identity: str, started_at_ms: int
) -> None:
    """Writes the entry of a start of a target, in the state ready."""
    service, zone, address = vms._registrations[identity]
    entry = standins.build_entry(address, service, zone)
    entry["born"] = started_at_ms
    await vms.store.put(f"servers/{identity}", json.dumps(entry).encode())


async def send_until_notice(
    vms: vm_fleet.VmFleet, kind: str = "leaving"
) -> None:
    """Sends requests until the VM has recorded a notice."""
    counts = vms.vms["vm-1"]._prober.notices.counts

    async def send() -> None:
        while not getattr(counts, kind):
            await vms.send("vm-1", "/read/1")

    await asyncio.wait_for(send(), HANG_SECONDS)


async def send_many(vms: vm_fleet.VmFleet, count: int = 12) -> list[Any]:
    """Sends requests one after the other; returns their responses."""
    return [await vms.send("vm-1", "/read/1") for _ in range(count)]


class TestLeaving:
    # Failure: a target that says that it leaves gets requests until its entry
    # changes.
    @pytest.mark.parametrize(
        "faults", [{}, {"failing": True}, {"full": True}, {"truncated": True}]
    )
    async def test_any_answer_to_a_request_counts(
        self,
        vms: vm_fleet.VmFleet,
        monkeypatch: pytest.MonkeyPatch,
        faults: dict[str, bool],
    ) -> None:
        target = vms.targets["t-1"]
        silence_health_checks(monkeypatch, target)
        vms.set_faults("t-1", leaving=True, **faults)
        await vms.start_vm("vm-1")
        await send_until_notice(vms)
        reached = (target.health_checks, len(target.runs))
        answers = await send_many(vms)
        assert {body for _, body, _ in answers} == {b"t-2"}
        assert (target.health_checks, len(target.runs)) == reached

    async def test_misdirected_answer_counts(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        target = vms.targets["t-1"]
        respond = target._respond_health

        def respond_as_expected(writer: asyncio.StreamWriter) -> None:
            target.identity = "t-1"
            target.faults.leaving = False
            respond(writer)
            target.identity = "t-other"
            target.faults.leaving = True

        monkeypatch.setattr(target, "_respond_health", respond_as_expected)
        await vms.start_vm("vm-1")
        await send_until_notice(vms)
        reached = target.health_checks
        assert {b for _, b, _ in await send_many(vms)} == {b"t-2"}
        assert target.health_checks == reached
        assert not target.runs

    async def test_answer_to_a_health_check_counts(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vms.set_faults("t-1", leaving=True)
        vm = await vms.start_vm("vm-1")
        answers = await send_many(vms)
        assert {body for _, body, _ in answers} == {b"t-2"}
        assert not vms.targets["t-1"].runs
        assert vms.targets["t-1"].health_checks == 1
        assert vm._prober.notices.counts.leaving == 1

    async def test_answer_before_the_end_of_the_body_counts(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        target = vms.targets["t-3"]
        serve = target._serve_one

        async def answer_early(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> bool:
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(b"GET"):
                return await _serve_head(serve, head, reader, writer)
            attempt = head.lower().partition(b"x-attempt-id: ")[2]
            fields = {
                "X-Attempt-Id": attempt.partition(b"\r\n")[0].decode(),
                "X-Not-Executed": "1",
                "Server-Leaving": "1",
            }
            writer.write(targets.build_response(503, fields, b""))
            return False

        monkeypatch.setattr(target, "_serve_one", answer_early)
        await vms.start_vm("vm-1")
        counts = vms.vms["vm-1"]._prober.notices.counts
        for _ in range(30):
            data = b"x" * 300_000
            status, _, _ = await vms.send("vm-1", "/write/1", "POST", data=data)
            assert status in (200, 503)
            if counts.leaving:
                break
        assert counts.leaving == 1
        reached = target.health_checks
        for _ in range(6):
            answer = await vms.send("vm-1", "/write/1", "POST", data=b"x")
            assert answer[1] == b"t-4"
        assert target.health_checks == reached

    # Failure: an answer that belongs to another request drains a target.
    async def test_answer_to_another_request_does_not_count(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        target = vms.targets["t-1"]
        respond = target._respond_health

        def respond_after_another(writer: asyncio.StreamWriter) -> None:
            fields = {"X-Attempt-Id": "other", "Server-Leaving": "1"}
            if target.health_checks < 3:
                writer.write(targets.build_response(200, fields, b""))
            respond(writer)

        monkeypatch.setattr(target, "_respond_health", respond_after_another)
        vm = await vms.start_vm("vm-1")
        await send_many(vms, 30)
        assert vm._prober.counts.mismatched == 3
        assert vm._prober.notices.counts.leaving == 0
        assert target.runs

    async def test_idle_connections_are_closed(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        await asyncio.gather(*(vms.send("vm-1", "/read/1") for _ in range(20)))
        target = vms.targets["t-1"]
        assert target._open_writers
        vms.set_faults("t-1", leaving=True)
        await send_until_notice(vms)
        await fleet.wait_for(lambda: not target._open_writers, 3.0)

    # Failure: a connection that was opened or used while the notice arrived
    # stays open.
    async def test_connections_that_become_idle_later_are_closed(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        row = vm._cluster.targets["t-1"]
        late = await vm._prober.probe_targets([row])
        notice = protocols.TargetNotice(True, None, "")
        vm._prober.notices.record(row.entry, "other", notice)
        assert await vm._prober.is_reachable(row.entry)
        vm._prober.release_candidates(late)
        target = vms.targets["t-1"]
        await fleet.wait_for(lambda: not target._open_writers, 3.0)

    # Failure: the connection of a target whose health check ended late stays
    # open.
    async def test_connection_of_a_late_candidate_is_closed(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        vm = await vms.start_vm("vm-1")
        prober = vm._prober
        rows = [vm._cluster.targets[name] for name in ("t-1", "t-2")]
        probe = prober._probe

        async def probe_late(row: Any) -> Any:
            candidate = await probe(row)
            if row is rows[0]:
                await asyncio.sleep(0.1)
            return candidate

        monkeypatch.setattr(prober, "_probe", probe_late)
        prober.release_candidates(await prober.probe_targets(rows))
        notice = protocols.TargetNotice(True, None, "")
        prober.notices.record(rows[0].entry, "other", notice)
        target = vms.targets["t-1"]
        assert target._open_writers
        await fleet.wait_for(lambda: not target._open_writers, 3.0)

    async def test_running_requests_end_as_they_are(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        for target in vms.targets.values():
            target.service_ms = 300.0
        running = [
            asyncio.create_task(vms.send("vm-1", "/write/1", "POST", data=b"x"))
            for _ in range(6)
        ]
        target = vms.targets["t-3"]
        await fleet.wait_for(
            lambda: sum(len(t.runs) for t in vms.targets.values()) == 6
        )
        begun = len(target.runs)
        assert begun
        vms.set_faults("t-3", leaving=True)
        counts = vms.vms["vm-1"]._prober.notices.counts
        async with asyncio.timeout(HANG_SECONDS):
            while not counts.leaving:
                await vms.send("vm-1", "/write/1", "POST", data=b"x")
        assert [status for status, _, _ in await asyncio.gather(*running)] == (
            [200] * 6
        )
        assert target.cancelled == 0
        assert len(target.runs) == begun


class TestChoice:
    # Failure: a target that leaves between the choice and the write still gets
    # the request.
    @pytest.mark.parametrize(
        "notice",
        [
            protocols.TargetNotice(True, None, ""),
            protocols.TargetNotice(False, 1000.0, ""),
        ],
    )
    async def test_request_about_to_be_sent_goes_to_another_target(
        self,
        vms: vm_fleet.VmFleet,
        monkeypatch: pytest.MonkeyPatch,
        notice: protocols.TargetNotice,
    ) -> None:
        vm = await vms.start_vm("vm-1")
        notices = vm._prober.notices
        selector = vm._request_runner._selector
        select = selector.select

        async def select_before_notice(context: Any) -> Any:
            candidate: Any = await select(context)
            if candidate.row.entry.identity == "t-1":
                notices.record(candidate.row.entry, "other", notice)
            return candidate

        monkeypatch.setattr(selector, "select", select_before_notice)
        answers = []
        async with asyncio.timeout(HANG_SECONDS):
            while not notices.counts.withheld:
                answers.append(await vms.send("vm-1", "/read/1"))
        assert {(s, b) for s, b, _ in answers} == {(200, b"t-2")}
        assert not vms.targets["t-1"].runs

    # Failure: a target that leaves while a connection for an attempt is opened
    # still gets the request.
    async def test_notice_is_checked_right_before_the_write(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        vm = await vms.start_vm("vm-1")
        notices = vm._prober.notices
        sender = vm._request_runner._sender
        send = sender.send
        results = []

        async def send_after_notice(context: Any, candidate: Any) -> Any:
            if candidate.row.entry.identity == "t-1":
                notice = protocols.TargetNotice(True, None, "")
                notices.record(candidate.row.entry, "other", notice)
            result = await send(context, candidate)
            results.append((context.attempts_sent, result.outcome.value))
            return result

        monkeypatch.setattr(sender, "send", send_after_notice)
        async with asyncio.timeout(HANG_SECONDS):
            while not notices.counts.withheld:
                assert (await vms.send("vm-1", "/read/1"))[:2] == (200, b"t-2")
        assert not vms.targets["t-1"].runs
        # A withheld attempt does not count against the limit of attempts.
        assert results[-2:] == [(1, "withheld"), (1, "answered")]

    # Failure: a request that waits for a target is held until its next health
    # checks, though all targets have declined meanwhile.
    @pytest.mark.parametrize("leaving_count", [0, 1])
    async def test_queued_request_is_refused_once_all_targets_decline(
        self,
        vms: vm_fleet.VmFleet,
        monkeypatch: pytest.MonkeyPatch,
        leaving_count: int,
    ) -> None:
        vm = await vms.start_vm("vm-1")
        notices = vm._prober.notices
        selector = vm._request_runner._selector
        queued = selector._queues["reads"].requests
        entries = [vm._cluster.targets[name].entry for name in ("t-1", "t-2")]

        def find_long_delay(*arguments: Any) -> float:
            del arguments
            return 30.0

        def decline(seconds: float) -> None:
            notice = protocols.TargetNotice(False, seconds, "")
            for entry in entries[leaving_count:]:
                notices.record(entry, "other", notice)

        monkeypatch.setattr(selector, "_find_probe_delay", find_long_delay)
        if leaving_count:
            notices.record(
                entries[0], "other", protocols.TargetNotice(True, None, "")
            )
        decline(0.1)
        waiting = asyncio.create_task(vms.send("vm-1", "/read/1"))
        await fleet.wait_for(lambda: len(queued))
        decline(1000.0)
        answer = await waiting
        assert answer[:2] == (503, b"targets-decline")

    # Failure: requests that all targets declined use up the retry budget.
    async def test_no_retry_is_charged_once_all_targets_declined(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        vms.set_faults("t-3", "t-4", declining_seconds=1000.0)
        answer = await vms.send("vm-1", "/write/1", "POST", data=b"x")
        use = vm._request_runner.retry_budget.uses["writes"]
        assert answer[1] == b"targets-decline"
        assert vm._prober.notices.counts.declined == 2
        # The second attempt was charged; a third one had no target.
        assert sum(use.extra_attempts.values()) == 1
        assert use.denied == 0


async def _serve_head(
    serve: Any,
    head: bytes,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Serves a request whose head was read already."""
    replayed = asyncio.StreamReader()
    replayed.feed_data(head)
    replayed.feed_eof()
    result: bool = await serve(replayed, writer)
    return result


class TestStarts:
    async def test_entry_of_the_same_start_does_not_undo_leaving(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        vms.set_faults("t-1", leaving=True)
        await send_until_notice(vms)
        vms.set_faults("t-1", leaving=False)
        row = vm._cluster.targets["t-1"]
        revision = row.revision
        await vms.register("t-1")
        await fleet.wait_for(lambda: row.revision > revision)
        assert {body for _, body, _ in await send_many(vms)} == {b"t-2"}

    # Failure: an entry that expires and comes back makes a target that leaves
    # usable again.
    async def test_entry_that_comes_back_does_not_undo_leaving(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        vms.set_faults("t-1", leaving=True)
        await send_until_notice(vms)
        vms.set_faults("t-1", leaving=False)
        await vms.store.put("servers/t-1", None)
        await fleet.wait_for(lambda: "t-1" not in vm._cluster.targets)
        await vms.register("t-1")
        await fleet.wait_for(lambda: "t-1" in vm._cluster.targets)
        assert {body for _, body, _ in await send_many(vms)} == {b"t-2"}

    async def test_new_start_is_used_again(self, vms: vm_fleet.VmFleet) -> None:
        vm = await vms.start_vm("vm-1")
        vms.set_faults("t-1", leaving=True)
        await send_until_notice(vms)
        vms.set_faults("t-1", leaving=False)
        old = vm._cluster.targets["t-1"]
        await register_start(vms, "t-1", FIRST_START_MS + 60_000)
        await fleet.wait_for(lambda: vm._cluster.targets["t-1"] is not old)
        answers = await send_many(vms, 40)
        assert {body for _, body, _ in answers} == {b"t-1", b"t-2"}

    async def test_new_start_ends_a_decline(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        vms.set_faults("t-1", declining_seconds=1000.0)
        await send_until_notice(vms, "declined")
        vms.set_faults("t-1", declining_seconds=None)
        old = vm._cluster.targets["t-1"]
        await register_start(vms, "t-1", FIRST_START_MS + 60_000)
        await fleet.wait_for(lambda: vm._cluster.targets["t-1"] is not old)
        answers = await send_many(vms, 40)
        assert {body for _, body, _ in answers} == {b"t-1", b"t-2"}

    async def test_leaving_holds_while_the_store_is_away(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        await vms.store_pipes["vm-1"].stop()
        vms.set_faults("t-1", leaving=True)
        await send_until_notice(vms)
        reached = vms.targets["t-1"].health_checks
        assert {body for _, body, _ in await send_many(vms)} == {b"t-2"}
        assert vms.targets["t-1"].health_checks == reached


class TestDecline:
    # Failure: a target that asks for a pause gets retries, health checks and
    # first attempts all the same.
    async def test_nothing_reaches_the_target_until_the_end(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        target = vms.targets["t-1"]
        vms.set_faults("t-1", declining_seconds=1000.0)
        await send_until_notice(vms, "declined")
        reached = target.health_checks
        answers = await asyncio.gather(
            *(vms.send("vm-1", "/read/1") for _ in range(30))
        )
        assert {(status, body) for status, body, _ in answers} == {
            (200, b"t-2")
        }
        assert target.health_checks == reached
        entry = vm._cluster.targets["t-1"].entry
        assert vm._prober.notices.find_declined_seconds(entry) > 900.0

    # What is on its way when the first refusal arrives may still reach the
    # target; after half a second nothing may.
    async def test_requests_on_their_way_end_within_half_a_second(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        target = vms.targets["t-1"]
        vms.set_faults("t-1", declining_seconds=1000.0)
        senders = [asyncio.create_task(send_many(vms, 20)) for _ in range(12)]
        await fleet.wait_for(
            lambda: vms.vms["vm-1"]._prober.notices.counts.declined
        )
        await asyncio.sleep(0.5)
        reached = target.health_checks
        await asyncio.gather(*senders)
        await send_many(vms, 20)
        assert target.health_checks <= reached + 2

    async def test_target_is_used_again_after_the_end(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        vms.set_faults("t-1", declining_seconds=0.3)
        await send_until_notice(vms, "declined")
        vms.set_faults("t-1", declining_seconds=None)

        async def send_until_run() -> None:
            while not vms.targets["t-1"].runs:
                await vms.send("vm-1", "/read/1")

        await asyncio.wait_for(send_until_run(), 10.0)

    # Failure: a target that asks for a pause is treated like a failing one.
    async def test_declining_is_no_sign_of_a_fault(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        vms.set_faults("t-1", declining_seconds=1000.0)
        await send_until_notice(vms, "declined")
        health = vm._cluster.targets["t-1"].health
        assert (health.failures, health.ejected_until) == (0.0, 0.0)

    async def test_invalid_value_is_ignored(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        vms.set_faults("t-1", declining_seconds=float("-inf"))
        await send_until_notice(vms, "ignored")
        counts = vm._prober.notices.counts
        assert (counts.declined, counts.leaving) == (0, 0)
        vms.set_faults("t-1", declining_seconds=None)
        await asyncio.wait_for(self.send_until_run(vms), 20.0)

    async def send_until_run(self, vms: vm_fleet.VmFleet) -> None:
        """Sends requests until the target that declined has run one."""
        while not vms.targets["t-1"].runs:
            await vms.send("vm-1", "/read/1")


class TestRefusalAtOnce:
    # Failure: a request that no target wants waits until it is late, and its
    # targets get health checks all the while.
    async def test_request_is_refused_if_all_targets_decline(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        vms.set_faults("t-1", "t-2", declining_seconds=30.0)
        await vms.send("vm-1", "/read/1")
        await vms.send("vm-1", "/read/1")
        reached = [vms.targets[t].health_checks for t in ("t-1", "t-2")]
        answers = await send_many(vms, 20)
        assert {(s, b) for s, b, _ in answers} == {(503, b"targets-decline")}
        seconds = [float(fields["Retry-After"]) for _, _, fields in answers]
        assert min(seconds) > 20.0
        assert max(seconds) < 40.0
        assert len(set(seconds)) > 10
        assert reached == [vms.targets[t].health_checks for t in ("t-1", "t-2")]

    async def test_request_that_all_targets_declined_says_when_to_return(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        vms.set_faults("t-3", "t-4", declining_seconds=30.0)
        status, body, fields = await vms.send(
            "vm-1", "/write/1", "POST", data=b"x"
        )
        assert (status, body) == (503, b"targets-decline")
        assert float(fields["Retry-After"]) > 20.0

    async def test_request_is_refused_if_all_targets_leave(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        vms.set_faults("t-1", "t-2", leaving=True)
        answers = await send_many(vms, 10)
        assert {(s, b) for s, b, _ in answers} == {(503, b"targets-decline")}
        for _, _, fields in answers:
            assert 0.0 < float(fields["Retry-After"]) < 1.0
        assert not vms.targets["t-1"].runs
        assert not vms.targets["t-2"].runs
        await vms.start_target("t-5", "reads", "zone-a")
        await vms.wait_ready("vm-1")
        assert (await vms.send("vm-1", "/read/1"))[1] == b"t-5"

    async def test_request_waits_for_a_target_that_wants_it_in_time(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        rule = vm_fleet.build_rule(
            "read", "/read/", "safe", Service="reads", Timeout="20s"
        )
        rule["Slo"] = "15s"
        await vms.configure([rule])
        vm = await vms.start_vm("vm-1")
        vms.set_faults("t-1", "t-2", declining_seconds=0.2)
        task = asyncio.create_task(
            vms.send("vm-1", "/read/1", remaining="20000")
        )
        await fleet.wait_for(lambda: vm._prober.notices.counts.declined)
        vms.set_faults("t-1", "t-2", declining_seconds=None)
        assert (await task)[0] == 200


class TestMetrics:
    # Failure: nobody sees that a target asked for a pause of days.
    async def test_operators_see_a_long_decline(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        vms.set_faults("t-1", declining_seconds=500_000.0)
        await send_until_notice(vms, "declined")
        vms.set_faults("t-3", leaving=True)
        async with asyncio.timeout(HANG_SECONDS):
            while not vms.vms["vm-1"]._prober.notices.counts.leaving:
                await vms.send("vm-1", "/write/1", "POST", data=b"x")
        url = f"http://{vms.settings['vm-1'].readiness}/metrics"
        async with vms.session.get(url) as response:
            lines = (await response.text()).splitlines()
        values = dict(
            line.rsplit(" ", 1) for line in lines if not line.startswith("#")
        )
        name = "wigeonspool_vm_decline_seconds_left"
        assert float(values[name + '{service="reads"}']) > 400_000.0
        name = "wigeonspool_vm_targets_declining"
        assert float(values[name + '{service="reads"}']) == 1
        name = "wigeonspool_vm_targets_leaving"
        assert float(values[name + '{service="writes"}']) == 1

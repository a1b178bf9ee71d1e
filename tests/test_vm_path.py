"""Requests through an entry VM, in one process, with targets that fail."""

import asyncio
import json

import aiohttp
import pytest

from tests import fleet
from tests import vm_fleet
from wigeonspool.vm import caller_server


class TestResponses:
    async def test_response_of_the_target_is_forwarded(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        status, body, fields = await vms.send(
            "vm-1", "/read/7?page=2", attempt="one"
        )
        (target,) = vms.find_targets_that_ran("one")
        run = vms.targets[target].runs[0]
        assert (status, body) == (200, target.encode())
        assert fields["X-Response-Seal"] == "seal-one"
        assert fields["X-Attempt-Id"] == "one"
        assert (run.method, run.path) == ("GET", "/read/7?page=2")
        assert 0 < run.remaining_ms <= 1500

    async def test_body_reaches_the_target_unchanged(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        body = bytes(range(256)) * 20
        await vms.send("vm-1", "/write/1", "POST", attempt="one", data=body)
        (target,) = vms.find_targets_that_ran("one")
        assert vms.targets[target].runs[0].body == body

    async def test_longest_prefix_wins(self, vms: vm_fleet.VmFleet) -> None:
        await vms.start_vm("vm-1")
        longer = vm_fleet.build_rule(
            "longer", "/read/deep/", "safe", Service="writes"
        )
        await vms.configure([*vms.build_default_rules(), longer])
        await vms.wait_ready("vm-1")
        await vms.send("vm-1", "/read/deep/1", attempt="deep")
        await vms.send("vm-1", "/read/deeper/1", attempt="deeper")
        assert vms.find_targets_that_ran("deep")[0] in ("t-3", "t-4")
        assert vms.find_targets_that_ran("deeper")[0] in ("t-1", "t-2")

    async def test_request_without_a_rule_gets_404(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        assert (await vms.send("vm-1", "/nothing/1"))[0] == 404
        assert (await vms.send("vm-1", "/read/1", host="a.example"))[0] == 404

    async def test_request_without_a_configuration_is_refused(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.store.put("op/config", None)
        await vms.start_vm("vm-1", wait=False)
        status, _, fields = await vms.send("vm-1", "/read/1")
        assert status == 503
        assert float(fields["Retry-After"]) > 0

    @pytest.mark.parametrize(
        "fault",
        ["failing", "lost", "truncated", "unproven", "reset_unframed"],
    )
    async def test_idempotent_request_is_retried_after_a_fault(
        self, vms: vm_fleet.VmFleet, fault: str
    ) -> None:
        await vms.start_vm("vm-1")
        vms.set_faults("t-1", **{fault: True})
        for number in range(6):
            status, body, _ = await vms.send("vm-1", f"/read/{number}")
            assert (status, body) == (200, b"t-2")

    async def test_duplicate_response_is_discarded(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        vms.set_faults(extra=True)
        for number in range(12):
            attempt = f"n-{number}"
            _, _, fields = await vms.send("vm-1", "/read/1", attempt=attempt)
            assert fields["X-Attempt-Id"] == attempt

    async def test_response_without_length_is_complete(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        vms.set_faults(unframed=True)
        status, body, _ = await vms.send("vm-1", "/read/1", attempt="one")
        assert (status, body) == (
            200,
            vms.find_targets_that_ran("one")[0].encode(),
        )

    async def test_large_response_is_forwarded(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        for target in vms.targets.values():
            target.body = b"x" * 3_000_000
        status, body, _ = await vms.send("vm-1", "/read/1")
        assert (status, len(body)) == (200, 3_000_000)


class TestAtMostOnce:
    @pytest.mark.parametrize(
        ("fault", "expected"),
        [
            ("failing", 500),
            ("lost", 502),
            ("truncated", 502),
            ("unproven", 502),
            ("reset_unframed", 502),
        ],
    )
    async def test_request_that_may_have_run_is_not_retried(
        self, vms: vm_fleet.VmFleet, fault: str, expected: int
    ) -> None:
        await vms.start_vm("vm-1")
        vms.set_faults("t-3", "t-4", **{fault: True})
        for number in range(4):
            attempt = f"w-{number}"
            status, _, _ = await vms.send(
                "vm-1", "/write/1", "POST", attempt=attempt, data=b"x"
            )
            assert status == expected
            assert len(vms.find_targets_that_ran(attempt)) == 1

    async def test_request_that_did_not_run_is_sent_to_another_target(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        vms.set_faults("t-3", full=True)
        for number in range(4):
            status, _, _ = await vms.send(
                "vm-1", "/write/1", "POST", attempt=f"w-{number}", data=b"x"
            )
            assert status == 200
            assert vms.find_targets_that_ran(f"w-{number}") == ["t-4"]

    async def test_refused_request_did_not_run(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        vms.set_faults(full=True)
        status, _, fields = await vms.send(
            "vm-1", "/write/1", "POST", attempt="one", data=b"x"
        )
        assert status == 503
        assert float(fields["Retry-After"]) > 0
        assert vms.find_targets_that_ran("one") == []

    async def test_target_with_another_identity_is_not_used(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        vms.targets["t-3"].identity = "t-9"
        for number in range(4):
            status, body, _ = await vms.send(
                "vm-1", f"/write/{number}", "POST", data=b"x"
            )
            assert (status, body) == (200, b"t-4")


class TestTimeLimits:
    async def test_request_ends_at_the_timeout_of_its_rule(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        short = vm_fleet.build_rule(
            "short", "/read/", "safe", Service="reads", Timeout="150ms"
        )
        await vms.configure([short])
        await vms.start_vm("vm-1")
        for target in vms.targets.values():
            target.service_ms = 5_000
        status, _, _ = await vms.send("vm-1", "/read/1", attempt="one")
        assert status == 504
        (target,) = vms.find_targets_that_ran("one")
        assert vms.targets[target].runs[0].remaining_ms <= 150
        await fleet.wait_for(lambda: vms.targets[target].cancelled == 1)

    async def test_request_is_cancelled_when_its_caller_disconnects(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        for target in vms.targets.values():
            target.service_ms = 5_000
        timeout = aiohttp.ClientTimeout(total=0.2)
        with pytest.raises(TimeoutError):
            await vms.send("vm-1", "/read/1", attempt="one", timeout=timeout)
        (target,) = vms.find_targets_that_ran("one")
        await fleet.wait_for(lambda: vms.targets[target].cancelled == 1)

    async def test_unresponsive_target_is_avoided(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        await vms.send("vm-1", "/read/1")
        await vms.send("vm-1", "/read/1")
        vms.set_faults("t-1", mute=True)
        for _ in range(4):
            status, body, _ = await vms.send("vm-1", "/read/1")
            assert (status, body) == (200, b"t-2")


class TestTargetChoice:
    async def test_slow_target_gets_no_requests_while_another_is_fast(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        vms.set_faults("t-1", pace=500)
        for _ in range(8):
            assert (await vms.send("vm-1", "/read/1"))[1] == b"t-2"
        vms.set_faults("t-1", pace=100)
        vms.set_faults("t-2", pace=500)
        for _ in range(8):
            assert (await vms.send("vm-1", "/read/1"))[1] == b"t-1"

    async def test_unhealthy_target_is_used_only_if_there_is_no_other(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        vms.set_faults("t-1", ill=True)
        for _ in range(6):
            assert (await vms.send("vm-1", "/read/1"))[1] == b"t-2"
        vms.set_faults(ill=True)
        assert (await vms.send("vm-1", "/read/1"))[0] == 200

    async def test_services_get_requests_by_weight(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        backends = [
            {"Service": "reads", "Weight": 80},
            {"Service": "writes", "Weight": 20},
        ]
        split = vm_fleet.build_rule(
            "split", "/read/", "safe", WeightedBackends=backends
        )
        await vms.configure([split])
        await vms.start_vm("vm-1")
        for _ in range(50):
            assert (await vms.send("vm-1", "/read/1"))[0] == 200
        # A hedged request is sent to a target of the same service, so it counts
        # once.
        attempts_by_service: dict[str, set[str]] = {
            "reads": set(),
            "writes": set(),
        }
        for identity, target in vms.targets.items():
            service = "reads" if identity in ("t-1", "t-2") else "writes"
            attempts_by_service[service].update(
                run.attempt for run in target.runs
            )
        assert len(attempts_by_service["reads"]) in (39, 40, 41)
        assert (
            len(attempts_by_service["reads"])
            + len(attempts_by_service["writes"])
            == 50
        )


class TestCrashes:
    """A request crashes each target that runs it, and its caller resends it."""

    async def crash(self, vms: vm_fleet.VmFleet, vm: str) -> int:
        """Sends the request; returns how many targets crashed.

        The crashed targets are started again.
        """
        runs_before = {i: len(t.runs) for i, t in vms.targets.items()}
        for target in vms.targets.values():
            target.faults.crashing = True
        await vms.send(vm, "/write/bad", "POST", data=b"bad")
        crashed = [
            identity
            for identity, target in vms.targets.items()
            if len(target.runs) > runs_before[identity]
        ]
        await asyncio.sleep(0.3)
        for identity in crashed:
            await vms.restart_target(identity)
        return len(crashed)

    async def test_crashing_request_is_quarantined_on_all_vms(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        other = await vms.start_vm("vm-2")
        await fleet.wait_for(lambda: b"vms/vm-1" in vms.store.records)
        assert await self.crash(vms, "vm-1") == 1
        assert await self.crash(vms, "vm-1") == 1
        assert await self.crash(vms, "vm-1") == 0
        await fleet.wait_for(
            lambda: any(
                len(targets) == 2
                for _, targets in other._cluster.suspects.list_suspects()
            )
        )
        assert await self.crash(vms, "vm-2") == 0

    async def test_lost_responses_are_not_counted_as_crashes(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        vms.set_faults(lost=True)
        for _ in range(3):
            await vms.send("vm-1", "/write/1", "POST", data=b"x")
        await asyncio.sleep(0.2)
        assert vm._cluster.suspects.list_suspects() == []


class TestLargeResponses:
    """All targets in the VM's zone are slow or down, unlike those elsewhere."""

    async def start(self, vms: vm_fleet.VmFleet) -> None:
        rule = vm_fleet.build_rule(
            "files", "/read/", "download", Service="reads"
        )
        await vms.configure([rule])
        await vms.start_target("far", "reads", "zone-b")
        await vms.start_vm("vm-1")

    async def test_request_waits_for_a_target_in_its_zone(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await self.start(vms)
        vms.set_faults("t-1", "t-2", pace=500)
        requests = [
            asyncio.create_task(vms.send("vm-1", "/read/1")) for _ in range(4)
        ]
        await asyncio.sleep(0.1)
        vms.set_faults("t-1", "t-2", pace=100)
        for status, body, _ in [await task for task in requests]:
            assert status == 200
            assert body in (b"t-1", b"t-2")

    async def test_request_leaves_a_zone_without_live_targets(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await self.start(vms)
        for identity in ("t-1", "t-2"):
            await vms.targets[identity].stop()
        status, body, _ = await vms.send("vm-1", "/read/1")
        assert (status, body) == (200, b"far")


class TestDraining:
    async def test_draining_target_gets_no_requests(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        await vms.register("t-1", "draining")
        rows = vm._cluster.targets
        await fleet.wait_for(
            lambda: rows["t-1"].entry.state.value == "draining"
        )
        for _ in range(6):
            assert (await vms.send("vm-1", "/read/1"))[1] == b"t-2"

    async def test_unregistered_target_gets_no_requests(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        await vms.store.put("servers/t-1", None)
        await fleet.wait_for(lambda: "t-1" not in vm._cluster.targets)
        for _ in range(6):
            assert (await vms.send("vm-1", "/read/1"))[1] == b"t-2"

    async def test_invalid_entries_do_not_affect_other_targets(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        for number, value in enumerate((b"", b"\xff", b"[]", b'{"Address":3}')):
            await vms.store.put(f"servers/x-{number}", value)
        await vms.start_target("t-5", "reads", "zone-a")
        await fleet.wait_for(lambda: "t-5" in vm._cluster.targets)
        assert set(vm._cluster.targets) == set(vms.targets)


class TestStop:
    async def test_running_requests_complete_while_a_vm_drains(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        for target in vms.targets.values():
            target.service_ms = 400
        running = [
            asyncio.create_task(vms.send("vm-1", "/read/1")) for _ in range(4)
        ]
        await fleet.wait_for(
            lambda: sum(len(t.runs) for t in vms.targets.values()) == 4
        )
        await vm.drain()
        assert [(await task)[0] for task in running] == [200] * 4

    async def test_draining_vm_is_neither_ready_nor_assigned(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        first = await vms.start_vm("vm-1")
        second = await vms.start_vm("vm-2")
        await fleet.wait_for(lambda: len(second._cluster.vms) == 2)
        assigned = await vms.resolve("vm-2", "zone-a")
        assert vms.settings["vm-1"].callers in assigned
        drain_task = asyncio.create_task(first.drain())
        await asyncio.sleep(0)
        url = f"http://{vms.settings['vm-1'].readiness}/v1/ready"
        async with vms.session.get(url) as response:
            assert response.status == 503
        other = [vms.settings["vm-2"].callers]

        async def is_vm_2_alone() -> bool:
            return await vms.resolve("vm-2", "zone-a") == other

        while not await is_vm_2_alone():
            await asyncio.sleep(0.02)
        _, _, fields = await vms.send("vm-1", "/read/1")
        assert fields["Connection"] == "close"
        await drain_task


class TestConfiguration:
    async def test_older_version_is_ignored(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        vms.version = 1
        await vms.configure([])
        vms.version = 30
        added = vm_fleet.build_rule("new", "/new/", "safe", Service="reads")
        await vms.configure([*vms.build_default_rules(), added])
        await vms.wait_ready("vm-1")
        assert (await vms.send("vm-1", "/new/1"))[0] == 200
        vms.version = 10
        await vms.configure([])
        await vms.start_target("t-5", "reads", "zone-a")
        await fleet.wait_for(lambda: "t-5" in vm._cluster.targets)
        assert (await vms.send("vm-1", "/new/1"))[0] == 200

    async def test_invalid_configuration_is_ignored(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        await vms.store.put("op/config", b'{"ConfigVersion": 99}')
        await vms.start_target("t-5", "reads", "zone-a")
        await fleet.wait_for(lambda: "t-5" in vm._cluster.targets)
        assert (await vms.send("vm-1", "/read/1"))[0] == 200

    async def test_oversized_body_is_refused(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        status, _, _ = await vms.send(
            "vm-1", "/write/1", "POST", attempt="one", data=b"x" * 1_000_001
        )
        assert status == 413
        assert vms.find_targets_that_ran("one") == []


class TestSlowCallers:
    """Callers that send a request slowly, in part, or not at all."""

    async def open(
        self, vms: vm_fleet.VmFleet
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = vms.settings["vm-1"].callers.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def start(self, vms: vm_fleet.VmFleet) -> None:
        rules = vms.build_default_rules()
        document = vm_fleet.build_configuration(
            3, rules, header_timeout="300ms"
        )
        vms.version = 3
        await vms.store.put("op/config", json.dumps(document).encode())
        await vms.start_vm("vm-1")

    async def test_incomplete_head_times_out(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await self.start(vms)
        reader, writer = await self.open(vms)
        writer.write(b"GET /read/1 HTTP/1.1\r\nHost: ")
        async with asyncio.timeout(1.0):
            response = await reader.read()
        # Status 408 guarantees that the request did not run and never will.
        assert response.startswith(b"HTTP/1.1 408 ")
        writer.close()

    async def test_slow_bytes_do_not_extend_the_head_timeout(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await self.start(vms)
        reader, writer = await self.open(vms)
        writer.write(b"GET /read/1 HTTP/1.1\r\n")
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        read_task = asyncio.create_task(reader.read())
        while not read_task.done() and loop.time() < started_at + 2.0:
            writer.write(b"X: y\r\n")
            await asyncio.sleep(0.05)
        assert loop.time() < started_at + 1.0
        assert (await read_task).startswith(b"HTTP/1.1 408 ")
        writer.close()

    async def test_complete_head_gets_a_response(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await self.start(vms)
        for target in vms.targets.values():
            target.service_ms = 500
        reader, writer = await self.open(vms)
        head = f"GET /read/1 HTTP/1.1\r\nHost: {vm_fleet.HOST}\r\n"
        fields = "X-Attempt-Id: one\r\nX-Timeout-Remaining: 1500\r\n\r\n"
        for _ in range(2):
            writer.write(head.encode())
            await asyncio.sleep(0.1)
            writer.write(fields.encode())
            # The response takes longer than the head timeout (300 ms), and so
            # does the pause before the next request.
            response = await reader.readuntil(b"\r\n")
            assert response.startswith(b"HTTP/1.1 200 ")
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.4)
            # Discards the body of the response.
            reader._buffer.clear()  # type: ignore[attr-defined]
        writer.close()

    async def test_idle_connection_is_closed(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Leaves 0.2 s of the configured idle timeout (15 s).
        monkeypatch.setattr(caller_server, "IDLE_SLACK_SECONDS", -14.8)
        await self.start(vms)
        reader, writer = await self.open(vms)
        async with asyncio.timeout(1.0):
            assert await reader.read() == b""
        writer.close()

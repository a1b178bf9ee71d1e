"""A read of several pages loses a change that lies between two pages."""

import asyncio
import contextlib
import itertools
import signal
import time

from review.lib import fleet as fleets
from review.lib import store as stores

# SYSTEM.md: `Drain` 2000ms, `Stable` 3000ms.
DRAIN_S = 2.0
STABLE_S = 3.0
# PROTOCOL.md: a read with `AllowStale` "may be seconds old".
# Two replicas of the store answer such reads in turn.
REPLICAS_BEHIND_S = (0.2, 3.0)
# DEPLOY.md: "All machines start within 0.3 s of each other".
START_GAP_S = 0.15
# Items of a page, of at most about 500.
PAGE_ITEMS = 50
INSTANCES = 60
# The service that gets requests has 12 of them, as in SYSTEM.md.
FIRST_OF_SERVICE = 49
# They report `draining`, one after the other, and serve for `Drain` "and a
# little longer (at times many seconds)".
LEAVERS = (54, 57, 60)
LEAVE_GAP_S = 0.3
LINGER_S = 9.0
# Of each machine; together they keep all slots of the other instances busy.
CLIENTS = 25


async def run(fleet: fleets.Fleet, trouble: bool) -> bool:
    """Runs the case; returns True if DRAIN was broken."""
    record = fleet.record
    behind = itertools.cycle(REPLICAS_BEHIND_S)
    store = stores.Store(lambda: next(behind), page_items=PAGE_ITEMS)
    port = fleets.find_free_port()
    await store.start("127.34.0.1", port)
    instances = {}
    for number in range(1, INSTANCES + 1):
        service = "karar" if number >= FIRST_OF_SERVICE else "kuyruk"
        instance = fleets.Instance(record, f"i-{number:02}", service, 0.25)
        await instance.start(f"127.34.2.{number}", fleets.find_free_port())
        key = f"servers/{instance.identity}"
        store.put(key, instance.build_entry("ege-a"))
        instances[number] = instance
    rules = [fleets.build_rule("act", "/act/", "unsafe", Service="karar")]
    services = ["karar", "kuyruk"]
    store.put("op/config", fleets.build_configuration(3, rules, services))
    await asyncio.sleep(max(REPLICAS_BEHIND_S) + 0.5)

    fleet.seeds = ["127.34.1.1", "127.34.1.2", "127.34.1.3"]
    address = f"127.34.0.1:{port}"
    for number, zone in enumerate(("ege-a", "marmara-a"), 1):
        region = zone.removesuffix("-a")
        ip = f"127.34.1.{number}"
        fleet.add(f"{region}-1", ip, zone, region, address)
    for vm in fleet.vms:
        vm.start(bootstrap=True)
        await asyncio.sleep(START_GAP_S)
    for vm in fleet.vms:
        await vm.wait_ready()
    await asyncio.sleep(4.0)

    sent: dict[str, tuple[float, str]] = {}
    answers: dict[str, str] = {}
    clients = [
        asyncio.create_task(send_all(fleet, vm, sent, answers))
        for vm in fleet.vms
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(0.5)
    left_at: dict[int, float] = {}
    for number in LEAVERS:
        leaver = instances[number]
        leaver.leaving = True
        entry = leaver.build_entry("ege-a", "draining")
        store.put(f"servers/{leaver.identity}", entry)
        left_at[number] = time.monotonic()
        record.write(f"{leaver.identity}: draining, {store.revision=}")
        await asyncio.sleep(LEAVE_GAP_S)
    restarted_at = 0.0
    if trouble:
        for vm in fleet.vms:
            vm.send_signal(signal.SIGKILL)
        for vm in fleet.vms:
            await vm.wait_end(1.0)
        await asyncio.sleep(0.3)
        for vm in fleet.vms:
            vm.start()
            restarted_at = vm.started_at
            await asyncio.sleep(START_GAP_S)
    for number in LEAVERS:
        left_s = left_at[number] + LINGER_S - time.monotonic()
        await asyncio.sleep(max(0.0, left_s))
        instances[number].stop()
        record.write(f"{instances[number].identity}: exits")
        store.delete(f"servers/{instances[number].identity}")
    await asyncio.sleep(0.5)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    for at, stale, revision in store.reads:
        elapsed = at - record.began_at
        record.write(f"store read at {elapsed:.3f}: {stale=} {revision=}")

    late = []
    for number in LEAVERS:
        # In touch: `Stable` after the start; `Drain` after the confirmation.
        from_at = max(left_at[number] + DRAIN_S, restarted_at + STABLE_S)
        for _, attempt, path in instances[number].arrivals:
            sent_at, node = sent[attempt]
            if sent_at > from_at:
                late.append(attempt)
                after = sent_at - left_at[number]
                record.write(
                    f"late: {attempt} {path} sent to {node} {after:.2f} s "
                    f"after i-{number} was confirmed as draining, answer: "
                    f"{answers.get(attempt)}"
                )
    cut = [a for a in late if answers.get(a) != "200"]
    fleets.say(record, f"requests sent: {len(sent)}")
    fleets.say(record, f"reached instances that left: {len(late)}")
    fleets.say(record, f"of these without a success: {len(cut)}")
    return bool(late)


async def send_all(
    fleet: fleets.Fleet,
    vm: fleets.Vm,
    sent: dict[str, tuple[float, str]],
    answers: dict[str, str],
) -> None:
    """Sends one request after another to one machine."""
    while True:
        attempt = fleet.new_attempt()
        sent[attempt] = time.monotonic(), vm.node
        fields = {"X-Attempt-Id": attempt, "X-Timeout-Remaining": 1500}
        answers[attempt] = "no answer"
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            answer = await fleets.exchange(
                vm.edge, "POST", f"/act/{attempt}", fields, b"ban"
            )
            answers[attempt] = str(answer.status)
        fleet.record.write(f"{attempt} to {vm.node}: {answers[attempt]}")
        await asyncio.sleep(0.02)


if __name__ == "__main__":
    fleets.run_case(__file__, run)

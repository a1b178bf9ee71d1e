"""A machine that starts again uses an instance that left before its start."""

import asyncio
import contextlib
import signal
import time

from review.lib import fleet as fleets
from review.lib import store as stores

# SYSTEM.md: `Drain` 2000ms, `Stable` 3000ms, `Grace` 6s; one way 12 ms between
# regions.
DRAIN_S = 2.0
STABLE_S = 3.0
GRACE_S = 6.0
REGION_S = 0.012
# PROTOCOL.md: a read with `AllowStale` "may be seconds old".
STALE_S = 3.0
# PROTOCOL.md: an instance whose entry is removed serves for `Drain` "and a
# little longer (at times many seconds)".
LINGER_S = 10.0
# Time from the SIGTERM until the entry of the instance is removed.
LEAVES_AFTER_S = 3.0
# Of each machine; together they keep all slots of the other instances busy.
CLIENTS = 9


async def run(fleet: fleets.Fleet, trouble: bool) -> bool:
    """Runs the case; returns True if DRAIN was broken."""
    record = fleet.record
    store = stores.Store(lambda: STALE_S)
    port = fleets.find_free_port()
    await store.start("127.31.0.1", port)
    link = fleets.DelayProxy(("127.31.0.1", port), REGION_S)
    await link.start("127.31.0.2", port)
    instances = [
        fleets.Instance(record, f"i-{number}", "karar", 0.25)
        for number in range(1, 5)
    ]
    for number, instance in enumerate(instances):
        await instance.start(f"127.31.2.{number + 1}", fleets.find_free_port())
        key = f"servers/{instance.identity}"
        store.put(key, instance.build_entry("marmara-a"))
    rules = [fleets.build_rule("act", "/act/", "unsafe", Service="karar")]
    store.put("op/config", fleets.build_configuration(3, rules, ["karar"]))
    await asyncio.sleep(STALE_S + 0.5)

    # The store stands in region ege; two machines are in marmara, one in ege.
    fleet.seeds = ["127.31.1.1", "127.31.1.2", "127.31.1.3"]
    near, far = f"127.31.0.1:{port}", f"127.31.0.2:{port}"
    first = fleet.add("m-1", "127.31.1.1", "marmara-a", "marmara", far)
    second = fleet.add("m-2", "127.31.1.2", "marmara-a", "marmara", far)
    third = fleet.add("e-1", "127.31.1.3", "ege-a", "ege", near)
    for vm in (first, second, third):
        vm.start(bootstrap=True)
    for vm in (first, second, third):
        await vm.wait_ready()
    await asyncio.sleep(4.0)

    leaver = instances[0]
    sent: dict[str, tuple[float, str]] = {}
    answers: dict[str, str] = {}
    clients = [
        asyncio.create_task(send_all(fleet, vm, sent, answers))
        for vm in (first, second)
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(1.0)
    restarted_at = 0.0
    if trouble:
        second.send_signal(signal.SIGTERM)
    await asyncio.sleep(LEAVES_AFTER_S)
    # It never reports `draining`: its entry is removed and it serves on.
    leaver.leaving = True
    store.delete(f"servers/{leaver.identity}")
    left_at = time.monotonic()
    record.write(f"{leaver.identity}: entry removed, revision {store.revision}")
    if trouble:
        await second.wait_end(GRACE_S - LEAVES_AFTER_S)
        await asyncio.sleep(0.3)
        second.start()
        restarted_at = second.started_at
    await asyncio.sleep(left_at + LINGER_S - time.monotonic())
    leaver.stop()
    record.write(f"{leaver.identity}: exits")
    await asyncio.sleep(1.0)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    for at, stale, revision in store.reads:
        elapsed = at - record.began_at
        record.write(f"store read at {elapsed:.3f}: {stale=} {revision=}")

    # In touch: `Stable` after the start; `Drain` after the confirmation.
    from_at = max(left_at + DRAIN_S, restarted_at + STABLE_S)
    late = []
    for _, attempt, path in leaver.arrivals:
        sent_at, node = sent[attempt]
        if sent_at > from_at:
            late.append(attempt)
            after = sent_at - left_at
            record.write(
                f"late: {attempt} {path} sent to {node} {after:.2f} s after "
                f"the confirmation, answer: {answers.get(attempt)}"
            )
    cut = [a for a in late if answers.get(a) != "200"]
    fleets.say(record, f"requests sent: {len(sent)}")
    fleets.say(record, f"reached the instance that left: {len(late)}")
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

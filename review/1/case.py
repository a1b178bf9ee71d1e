"""After a restart of all machines, a sound request is refused for minutes."""

import asyncio
import contextlib
import signal
import time

from review.lib import fleet as fleets
from review.lib import store as stores

# SYSTEM.md: `Recovery` 15s.
RECOVERY_S = 15.0
# RULES.md: "less than a quarter is served, though a quarter or more was".
MIN_SERVED = 0.25
INSTANCES = 14
CLIENTS = 14
# Of ten requests, nine ask for the list that all moderators see.
POPULAR_PER_TEN = 9
# An instance is back after so long, as a new boot with a new `Id`.
CRASH_S = 3.5
# An entry is removed after three ping intervals of silence (1500ms each).
SILENCE_S = 4.5
# From the first crash to the second one, and from that to the final fault.
GAP_S = 8.0
DOWN_S = 1.4
# Time before the final fault, and after `Recovery`, that is compared.
WINDOW_S = 5.0


async def run(fleet: fleets.Fleet, trouble: bool) -> bool:
    """Runs the case; returns True if RECOVER was broken."""
    record = fleet.record
    store = stores.Store()
    port = fleets.find_free_port()
    await store.start("127.35.0.1", port)
    instances = []
    for number in range(1, INSTANCES + 1):
        instance = fleets.Instance(record, f"i-{number:02}", "kuyruk", 0.19)
        await instance.start(f"127.35.2.{number}", fleets.find_free_port())
        key = f"servers/{instance.identity}"
        store.put(key, instance.build_entry("ege-a"))
        instances.append(instance)
    rules = [fleets.build_rule("queue", "/queue/", "safe", Service="kuyruk")]
    configuration = fleets.build_configuration(3, rules, ["kuyruk"])
    store.put("op/config", configuration)
    fleet.seeds = ["127.35.1.1", "127.35.1.2"]
    address = f"127.35.0.1:{port}"
    for number, zone in enumerate(("ege-a", "ege-a", "marmara-a"), 1):
        region = zone.removesuffix("-a")
        ip = f"127.35.1.{number}"
        fleet.add(f"vm-{number}", ip, zone, region, address)
    for vm in fleet.vms:
        vm.start(bootstrap=True)
    for vm in fleet.vms:
        await vm.wait_ready()
    await asyncio.sleep(4.0)

    # (time of sending, whether it was served) of each request.
    results: list[tuple[float, str]] = []
    clients = [
        asyncio.create_task(send_all(fleet, vm, results))
        for vm in fleet.vms
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(2.0)
    for number in (0, 1):
        if trouble:
            await crash(store, instances[number])
        await asyncio.sleep(GAP_S - (SILENCE_S if trouble else 0.0))
    store.put("op/config", configuration.replace(b": 3,", b": 4,", 1))
    struck_at = time.monotonic()
    record.write(f"final fault, keys: {sorted(store.items)}")
    if trouble:
        for vm in fleet.vms:
            vm.send_signal(signal.SIGKILL)
        for vm in fleet.vms:
            await vm.wait_end(1.0)
        await asyncio.sleep(DOWN_S)
        for vm in fleet.vms:
            vm.start()
        for vm in fleet.vms:
            await vm.wait_ready()
    back_at = time.monotonic()
    record.write("the machines are back")
    await asyncio.sleep(RECOVERY_S + WINDOW_S)
    ended_at = time.monotonic() - 0.5
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)

    before = count_served(results, struck_at - WINDOW_S, struck_at - 0.5)
    after = count_served(results, back_at + RECOVERY_S, ended_at)
    share_before = before[0] / max(1, before[1])
    share_after = after[0] / max(1, after[1])
    fleets.say(record, f"served before the final fault: {before}")
    fleets.say(record, f"served later than `Recovery`: {after}")
    return share_before >= MIN_SERVED > share_after


async def crash(store: stores.Store, instance: fleets.Instance) -> None:
    """Crashes an instance; it is back as another one after some seconds."""
    while not instance.running:
        await asyncio.sleep(0.001)
    instance.record.write(f"{instance.identity}: crashes at work")
    instance.stop()
    await asyncio.sleep(CRASH_S)
    name = f"{instance.identity}-again"
    again = fleets.Instance(
        instance.record, name, instance.service, instance.work_s
    )
    await again.start(instance.address[0], fleets.find_free_port())
    store.put(f"servers/{name}", again.build_entry("ege-a"))
    instance.record.write(f"{name}: started")
    await asyncio.sleep(SILENCE_S - CRASH_S)
    store.delete(f"servers/{instance.identity}")


def count_served(
    results: list[tuple[float, str]], begin: float, end: float
) -> tuple[int, int]:
    """Returns how many requests sent in a time were served, and how many."""
    statuses = [status for at, status in results if begin <= at < end]
    return sum(status == "200" for status in statuses), len(statuses)


async def send_all(
    fleet: fleets.Fleet, vm: fleets.Vm, results: list[tuple[float, str]]
) -> None:
    """Sends one request after another to one machine."""
    while True:
        attempt = fleet.new_attempt()
        is_popular = int(attempt, 16) % 10 < POPULAR_PER_TEN
        path = "/queue/front" if is_popular else f"/queue/{attempt}"
        fields = {"X-Attempt-Id": attempt, "X-Timeout-Remaining": 1500}
        sent_at, status = time.monotonic(), "no answer"
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            answer = await fleets.exchange(vm.edge, "GET", path, fields)
            status = str(answer.status)
            if status != "200":
                reason = answer.body.decode(errors="replace")
                wait = answer.fields.get("retry-after")
                status += f" {reason}, Retry-After {wait}"
        results.append((sent_at, status.partition(" ")[0]))
        fleet.record.write(f"{attempt} {path} to {vm.node}: {status}")
        await asyncio.sleep(0.1)


if __name__ == "__main__":
    fleets.run_case(__file__, run)

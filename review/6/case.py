"""After a kill of all routers, tenants get their prepaid tokens once more.

Tenant B has used up what it has prepaid. Tenant A sends oversized requests, which every server
rejects as if it were full. While a router holds one, the heartbeat that it writes has a negative
claim, and so have all later ones. Such a record is unreadable to every router, also to the next
start of its own. So when all routers are killed and start again, what B has spent through them is
forgotten."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))

from fleet import KEY, HOST, require_served, run_case, send  # noqa: E402

KEY_OF_A = "anfqasnmgkcuyj8pjbvk"
ROUTERS = 3
SERVERS = 4
EVENTS = 20
PAUSE_S = 0.01
STRIDE = 7
PROMPT = 100
PREPAID = 60_000
ORDINARY = 400  # 96,000 tokens, before the kill and again after it
ORDINARY_PER_S = 60
OVERSIZED = 120
OVERSIZED_PER_S = 30
LARGEST = 2**63 - 1
DOWN_S = 1.1

CONFIGURATION = {
    "version": 7,
    "routes": [{"name": "r-tag", "hostname": HOST, "pathPrefix": "/stream/",
                "type": "streaming", "timeoutMs": 2500, "targetLatencyMs": 300, "priority": 1,
                "service": "modelos", "maxAttempts": 1, "public": False,
                "sessionAffinity": True, "resumable": False, "targetGapMs": 250}],
    "services": [{"name": "modelos", "healthPath": "/healthz", "maxConnections": 360,
                  "protocol": "h1", "tls": False,
                  "engine": {"slots": 64, "kvCapacity": 640966, "stride": STRIDE,
                             "models": [{"name": "m"}]}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
    "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1, "prepaid": PREPAID},
                {"name": "kabo305", "apiKeys": [KEY_OF_A], "priority": 1, "prepaid": 4912792}],
}


async def send_all(fleet, kind, count, per_second, key, output):
    loop = asyncio.get_running_loop()
    start = loop.time()
    tasks = []
    for number in range(count):
        await asyncio.sleep(max(0, start + number / per_second - loop.time()))
        tasks.append(asyncio.create_task(
            send(fleet, fleet.routers[number % ROUTERS], f"{kind}{number:014x}", "/stream/2f",
                 2500, usage=f"{PROMPT},{output}", prefix=f"5c1e07a2:50,{kind}{number:x}:50",
                 key=key)))
    return await asyncio.gather(*tasks)


def count(answers):
    statuses = {}
    for answer in answers:
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
    return statuses


async def case(fleet, trouble):
    for _ in range(SERVERS):
        await fleet.add_server("modelos", EVENTS, PAUSE_S)
    fleet.publish(CONFIGURATION)
    await fleet.start_routers(ROUTERS)
    # The first claims of the routers are in force.
    await asyncio.sleep(2)
    before = await send_all(fleet, "b1", ORDINARY, ORDINARY_PER_S, KEY, EVENTS * STRIDE)
    require_served(before)
    oversized = await send_all(fleet, "a1", OVERSIZED, OVERSIZED_PER_S, KEY_OF_A, LARGEST)
    # Each router has written more than one heartbeat since.
    await asyncio.sleep(2)
    if trouble:
        fleet.note("all routers are killed (SIGKILL)")
        for router in fleet.routers:
            router.process.send_signal(signal.SIGKILL)
        for router in fleet.routers:
            router.process.wait()
        await asyncio.sleep(DOWN_S)
        fleet.note("all routers start again")
        for router in fleet.routers:
            router.start()
            fleet.processes.append(router.process)
        await fleet.wait_until_ready()
    await asyncio.sleep(2)
    after = await send_all(fleet, "b2", ORDINARY, ORDINARY_PER_S, KEY, EVENTS * STRIDE)
    # The prompt counts once for each request that ran, and the output that was delivered.
    ran = {line[4] for line in fleet.runs() if line[3] == "runs"}
    used = sum(PROMPT + STRIDE * len(answer.events()) for answer in before + after
               if answer.request_id in ran)
    summary = (f"tenant B used {used} of {PREPAID} tokens, statuses {count(before)}, then "
               f"{count(after)}; tenant A {count(oversized)}, "
               f"of which ran {sum(name.startswith('a1') for name in ran)}")
    fleet.note(summary)
    print(summary)
    return [f"tenant B got {used} tokens, {used - PREPAID} more than its prepaid"] \
        if used > PREPAID else []


run_case(case, os.path.join(HERE, "record.txt"))

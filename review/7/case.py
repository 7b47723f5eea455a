"""A tenant gets more than its prepaid tokens when one of its requests is oversized.

Its ordinary requests use up what it has prepaid, and are refused from then on. Then, at each
router, twenty more come just behind one whose Token-Usage states the largest number as the most
output. The servers reject that one as if they were full, so it never runs. While the router
holds it, the sum of prompt and output has wrapped around to a negative number, and the twenty
find room."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))

from fleet import KEY, HOST, require_served, run_case, send  # noqa: E402

ROUTERS = 3
SERVERS = 4
EVENTS = 20
PAUSE_S = 0.01
STRIDE = 7
PROMPT = 100
PREPAID = 60_000
ORDINARY = 300  # 72,000 tokens
ORDINARY_PER_S = 60
BURST = 20
LARGEST = 2**63 - 1

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
    "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1, "prepaid": PREPAID}],
}


def ordinary(fleet, router, number):
    return asyncio.create_task(
        send(fleet, router, f"aa{number:014x}", "/stream/2f", 2500,
             usage=f"{PROMPT},{EVENTS * STRIDE}", prefix=f"5c1e07a2:50,aa{number:x}:50"))


async def use_up(fleet):
    loop = asyncio.get_running_loop()
    start = loop.time()
    tasks = []
    for number in range(ORDINARY):
        await asyncio.sleep(max(0, start + number / ORDINARY_PER_S - loop.time()))
        tasks.append(ordinary(fleet, fleet.routers[number % ROUTERS], number))
    return await asyncio.gather(*tasks)


async def burst(fleet, number, with_oversized):
    router = fleet.routers[number]
    tasks = []
    if with_oversized:
        oversized = asyncio.create_task(
            send(fleet, router, f"bb{number:014x}", "/stream/2f", 2500,
                 usage=f"{PROMPT},{LARGEST}", prefix=f"5c1e07a2:50,bb{number:x}:50"))
        await asyncio.sleep(0.005)
    first = ORDINARY + number * BURST
    tasks = [ordinary(fleet, router, first + i) for i in range(BURST)]
    if with_oversized:
        await oversized
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
    before = await use_up(fleet)
    require_served(before)
    fleet.note(f"statuses of the ordinary requests: {count(before)}")
    later = []
    for number in range(ROUTERS):
        later += await burst(fleet, number, trouble)
    fleet.note(f"statuses of the bursts: {count(later)}")
    # The prompt counts once for each request that ran, and the output that was delivered.
    ran = {line[4] for line in fleet.runs() if line[3] == "runs"}
    used = sum(PROMPT + STRIDE * len(answer.events()) for answer in before + later
               if answer.request_id in ran)
    oversized_ran = sum(name.startswith("bb") for name in ran)
    summary = (f"used {used} of {PREPAID} tokens, statuses {count(before)}, then "
               f"{count(later)}, oversized requests that ran {oversized_ran}")
    fleet.note(summary)
    print(summary)
    return [f"the tenant got {used} tokens, {used - PREPAID} more than its prepaid"] \
        if used > PREPAID else []


run_case(case, os.path.join(HERE, "record.txt"))

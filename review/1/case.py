"""A router is killed while it starts, after it accepted work on tokens that another router
gave it. See claim.txt."""

import asyncio
import os
import signal
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins as s  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PREPAID = 4_900_000
RATE = 40  # requests a second to the router that starts
LATE_WRITES = 2  # of each start: its first heartbeat and its repeat
KILL_AFTER = 12  # requests that the killed start has had begun
PROMPT, MOST = 6_000, 350


def configuration() -> dict:
    return {
        "version": 7,
        "routes": [{"name": "draft", "hostname": s.HOST, "pathPrefix": "/draft/",
                    "type": "streaming", "timeoutMs": 6000, "targetLatencyMs": 300,
                    "priority": 0, "service": "engines", "maxAttempts": 1, "public": False,
                    "sessionAffinity": False, "resumable": False, "targetGapMs": 250}],
        "services": [{"name": "engines", "healthPath": "/healthz", "maxConnections": 360,
                      "protocol": "h1", "tls": False,
                      "engine": {"slots": 64, "kvCapacity": 640966, "stride": s.STRIDE}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "gate", "apiKeys": [s.KEY], "prepaid": PREPAID}],
    }


class Case:
    def __init__(self, folder: str) -> None:
        self.record = s.Record(os.path.join(HERE, "record.txt"))
        self.folder = folder
        self.number = 0
        self.sends: list[asyncio.Task] = []

    async def send(self, router: s.Router, prompt: int = PROMPT, most: int = MOST) -> int:
        self.number += 1
        request_id = f"q{self.number:05d}"
        usage = (f"Model: m\r\nToken-Usage: {prompt},{most}\r\n"
                 f"Prefix-Hash: {self.number:x}:{prompt}\r\n")
        status, _, whole = await s.request(router, request_id, "/draft/x", usage)
        self.record.write(f"client: {request_id} at {router.name}, {prompt}+{most} tokens: "
                          f"{status or 'no answer'}{'' if whole else ' (cut)'}")
        return status

    async def spend(self, routers: list, seconds: float, per_s: float) -> None:
        for number in range(int(seconds * per_s)):
            self.sends.append(asyncio.create_task(self.send(routers[number % len(routers)])))
            await asyncio.sleep(1 / per_s)

    def tokens(self) -> int:
        return sum(sum(one.input.values()) + sum(one.output.values()) for one in self.engines)

    async def run(self) -> int:
        store = s.Store(self.record)
        await store.start()
        self.engines = [s.Server(f"i-{number}", "engines", store, self.record)
                        for number in range(3)]
        for engine in self.engines:
            await engine.start()
        store.put("keyed.op", "config", configuration())
        self.routers = [s.Router(f"edge-a-{number}", self.folder, store, self.record)
                        for number in range(2)]
        try:
            for router in self.routers:
                await router.start()
            ready = [await router.wait_ready() for router in self.routers]
            if not all(ready):
                return 2
            await self.disturb(store)
            await self.use_up()
        finally:
            for router in self.routers:
                if router.process is not None:
                    await router.end(signal.SIGKILL)
        spent = self.tokens()
        broken = spent > PREPAID
        self.record.write(f"verdict: {spent} of {PREPAID} prepaid tokens: "
                          f"{'BUDGET broken' if broken else 'held'}")
        print(f"{spent} of {PREPAID} prepaid tokens were read and delivered")
        return 1 if broken else 0

    async def disturb(self, store: s.Store) -> None:
        """One router is stopped and started as planned. The store loses answers meanwhile:
        the first heartbeat of each start of that router is written late, its repeat too. It is killed once
        after its start."""
        rest, last = self.routers[:-1], self.routers[-1]
        await self.spend(rest, 3, 5)
        await last.end(signal.SIGTERM)
        if TROUBLE:
            held: list[int] = []  # by process

            def is_late(topic: str, query: dict, body: bytes) -> bool:
                pid = last.process.pid
                if (topic != "keyed.routers" or query.get("producer") != last.name or not body
                        or held.count(pid) >= LATE_WRITES):
                    return False
                held.append(pid)
                return True

            store.is_late = is_late
        store.writes = 0
        seen: list[str] = []
        for engine in self.engines:
            engine.on_first_token = seen.append
        await last.start()
        clients = asyncio.create_task(self.spend([last], 5, RATE))
        if TROUBLE:
            while len(seen) < KILL_AFTER and not clients.done():
                await asyncio.sleep(0.002)
            await last.end(signal.SIGKILL)
            await asyncio.sleep(0.5)
            await last.start()
        await clients
        store.is_late = lambda topic, query, body: False
        self.record.write(f"store: {store.late_writes} of {store.writes} writes were late")

    async def use_up(self) -> None:
        """Clients go on until no router accepts even a small request."""
        await asyncio.gather(*self.sends, return_exceptions=True)
        for prompt, most in ((PROMPT, MOST), (600, 70), (60, 14), (10, 7)):
            refused = 0
            while refused < 3:
                statuses = await asyncio.gather(
                    *(self.send(router, prompt, most) for router in self.routers * 4))
                refused = 0 if 200 in statuses else refused + 1
                await asyncio.sleep(0.05 if refused == 0 else 1)


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        status = s.play(lambda: Case(folder).run())
    sys.exit(status)

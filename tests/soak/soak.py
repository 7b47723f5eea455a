"""A fleet of real processes under faults from outside, judged by what callers
and upstreams saw. `python3 -m tests.soak.soak --seconds 60 --seed 7`.

Exit code 0: no rule broken. Its verdict rests on counts, not on times."""

import argparse
import asyncio
import os
import random
import signal
import socket
import sys
import tempfile

from tests.soak.callers import HOST, Callers
from tests.soak.servers import TOKENS_PER_EVENT, Ledger, Server
from tests.soak.store import Store

ROUTERS = 5
PREPAID = 150_000
SETTINGS = """nodeName = "{name}"
zone = "a"
ip = "127.0.0.1"
internalPorts = [{metrics}, {loads}]
[listen]
frontend = "127.0.0.1:{front}"
readiness = "127.0.0.1:{ready}"
directory = "127.0.0.1:{directory}"
[bounds]
graceS = 6
retryBudgetRatio = 0.2
retrySlack = 50
[platform]
address = "127.0.0.1:{store}"
"""


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Router:
    def __init__(self, name: str, folder: str, program: str) -> None:
        self.name = name
        self.front, self.ready, self.directory, self.metrics, self.loads = free_ports(5)
        self.store_port = 0
        self._path = os.path.join(folder, name + ".toml")
        self._log = open(os.path.join(folder, name + ".log"), "ab")
        self._program = program
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        with open(self._path, "w", encoding="ascii") as file:
            file.write(SETTINGS.format(name=self.name, front=self.front, ready=self.ready,
                                       directory=self.directory, metrics=self.metrics,
                                       loads=self.loads, store=self.store_port))
        environment = dict(os.environ, COPPERVALVE_NODE_FILE=self._path)
        self.process = await asyncio.create_subprocess_exec(
            self._program, "platform", env=environment, stdout=self._log, stderr=self._log)

    def send(self, number: int) -> None:
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def restart(self, number: int) -> None:
        self.send(number)
        await self.process.wait()
        await self.start()


def configuration(version: int, prepaid: int) -> dict:
    def route(kind: str, service: str, type_: str, **more) -> dict:
        return {"name": kind, "hostname": HOST, "pathPrefix": f"/{kind}/", "type": type_,
                "timeoutMs": 6000, "targetLatencyMs": 300, "priority": 1, "service": service,
                "maxAttempts": 2, "public": False, "sessionAffinity": service == "engines",
                "targetGapMs": 250, **more}

    return {
        "version": version,
        "routes": [route("chat", "engines", "streaming", resumable=True),
                   route("draft", "engines", "streaming", resumable=False),
                   route("hold", "desk", "unsafe"), route("lookup", "desk", "safe")],
        "services": [{"name": "engines", "healthPath": "/healthz", "maxConnections": 300,
                      "engine": {"slots": 64, "stride": TOKENS_PER_EVENT}},
                     {"name": "desk", "healthPath": "/healthz", "maxConnections": 300}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "gate", "apiKeys": ["key"], "prepaid": prepaid}],
    }


class Soak:
    def __init__(self, seconds: float, seed: int, program: str) -> None:
        self._seconds = seconds
        self._random = random.Random(seed)
        self._seed = seed
        self._program = program
        self._store = Store(seed)
        self._ledger = Ledger()
        self._servers: list[Server] = []
        self._routers: list[Router] = []
        self._version = 1
        self._prepaid = PREPAID
        self.faults: list[str] = []

    async def run(self) -> int:
        with tempfile.TemporaryDirectory() as folder:
            await self._start(folder)
            callers = Callers([f"127.0.0.1:{router.directory}" for router in self._routers],
                              self._seed)
            until = asyncio.get_running_loop().time() + self._seconds
            faults = asyncio.create_task(self._make_faults(until - 4))
            await callers.run(60, until)
            await faults
            for router in self._routers:
                router.send(signal.SIGKILL)
                await router.process.wait()
            return self._verdict(callers.seen)

    async def _start(self, folder: str) -> None:
        for i in range(6):
            service = "engines" if i < 4 else "desk"
            server = Server(f"i-{i}", service, self._ledger, self._seed + i)
            await server.listen()
            self._servers.append(server)
            self._store.put("keyed.servers", server.name, server.entry())
        self._publish()
        for i in range(ROUTERS):
            router = Router(f"edge-{i}", folder, self._program)
            router.store_port = await self._store.listen()
            self._routers.append(router)
            await router.start()
        await asyncio.sleep(2)

    def _publish(self) -> None:
        self._store.put("keyed.op", "config", configuration(self._version, self._prepaid))

    async def _make_faults(self, until: float) -> None:
        kinds = [self._kill, self._kill_all, self._pause, self._terminate, self._turn_away,
                 self._store_down, self._lose_answers, self._forget, self._top_up,
                 self._cut_answers, self._decline, self._lapse]
        turn: list = []
        while asyncio.get_running_loop().time() < until:
            # All kinds come before one comes again.
            turn = turn or self._random.sample(kinds, len(kinds))
            fault = turn.pop()
            self.faults.append(fault.__name__.strip("_"))
            await fault()
            await asyncio.sleep(self._random.uniform(0.2, 1.0))

    async def _kill(self) -> None:
        await self._random.choice(self._routers).restart(signal.SIGKILL)

    async def _kill_all(self) -> None:
        await asyncio.gather(*(router.restart(signal.SIGKILL) for router in self._routers))

    async def _pause(self) -> None:
        router = self._random.choice(self._routers)
        router.send(signal.SIGSTOP)
        await asyncio.sleep(1.5)
        router.send(signal.SIGCONT)

    async def _terminate(self) -> None:
        await self._random.choice(self._routers).restart(signal.SIGTERM)

    async def _turn_away(self) -> None:
        ports = {router.store_port for router in self._random.sample(self._routers, 2)}
        self._store.down |= ports
        await asyncio.sleep(2)
        self._store.down -= ports

    async def _store_down(self) -> None:
        self._store.down = {router.store_port for router in self._routers}
        await asyncio.sleep(2)
        self._store.down = set()

    async def _lose_answers(self) -> None:
        self._store.lose = 0.5
        await asyncio.sleep(2)
        self._store.lose = 0

    async def _forget(self) -> None:
        self._store.forget()

    async def _top_up(self) -> None:
        self._version += self._random.randint(1, 5)
        self._prepaid += PREPAID // 6
        self._publish()

    async def _cut_answers(self) -> None:
        for server in self._servers:
            server.cut = 0.2
        await asyncio.sleep(1.5)
        for server in self._servers:
            server.cut = 0

    async def _decline(self) -> None:
        for server in self._servers:
            server.decline = 0.3
        await asyncio.sleep(1)
        for server in self._servers:
            server.decline = 0

    async def _lapse(self) -> None:
        """An entry goes with the store and comes back a second after it."""
        server = self._random.choice(self._servers)
        await self._store_down()
        self._store.put("keyed.servers", server.name, None)
        await asyncio.sleep(1)
        self._store.put("keyed.servers", server.name, server.entry())

    def _verdict(self, seen) -> int:
        runs, ledger = self._ledger.runs, self._ledger
        # Ids that began at an engine; resumed runs count their prompt once.
        spent = sum(ledger.prompt.values()) + TOKENS_PER_EVENT * sum(seen.delivered.values())
        broken = {
            "overspend": max(0, spent - self._prepaid),
            "wrong answers": len(seen.wrong),
            "not run, but ran": len([i for i in seen.not_run if runs[i]]),
            "ran twice": len([i for i, n in runs.items()
                              if n > 1 and ledger.kind[i] in ("hold", "draft")]),
            "served nothing": int(not any(o.startswith("200") for o in seen.outcomes)),
            "ran without a caller's id": len([i for i in runs if not i.startswith("r")]),
        }
        print("faults:", " ".join(self.faults))
        print("outcomes:", dict(seen.outcomes), "store calls:", self._store.calls)
        print(f"tokens: {spent} of {self._prepaid}")
        for wrong in seen.wrong[:5]:
            print("wrong:", wrong)
        print("soak:", ", ".join(f"{name} {count}" for name, count in broken.items()))
        return int(any(broken.values()))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--build", default=os.environ.get("COPPERVALVE_BUILD", "build"))
    options = parser.parse_args()
    program = os.path.join(options.build, "coppervalved")
    return asyncio.run(Soak(options.seconds, options.seed, program).run())


if __name__ == "__main__":
    sys.exit(main())

"""A fleet of real router processes with stand-ins for the store and the upstreams."""

import asyncio
import contextlib
import os
import random
import shutil
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable

from tests.soak.callers import HOST
from tests.soak.http import read_message
from tests.soak.servers import TOKENS_PER_EVENT, WARM_UP_S, Ledger, Server
from tests.soak.store import Store
from tests.soak.unending import Unending
from tools.harness.ports import free_port, free_ports

PREPAID = 150_000
ZONES = ["a", "b"]
# Rate of the faults that need many requests; these use a separate account.
FAULT_REQUESTS_PER_S = 60
OFFICE_ID_PREFIX = "rx"
# Seconds after an upstream ends until its entry is removed and until it restarts.
ENTRY_REMOVED_AFTER_S = 0.6
RESTART_AFTER_S = 1.0
# What is printed of each router when a scenario fails.
DESCRIBED_FIGURES = ["ready", "routers", "store_up", "upstreams", "evacuated_domains"]
DESCRIBED_LOG_LINES = 25
SETTINGS = """heartbeatMs = 1000
nodeName = "{name}"
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
warmupOverage = 1.5
warmupSlack = 5
[platform]
address = "127.0.0.1:{store}"
readMbS = {read_mbs}
[limits]
"""


class Router:
    def __init__(self, name: str, folder: str, program: str) -> None:
        self.name = name
        self.front, self.ready, self.directory = (free_port() for _ in range(3))
        # The router takes the port behind the first internal one for other routers.
        self.metrics, self.loads = free_ports(2)
        self.store_port = 0
        self.read_mbs = 80.0  # read bandwidth that the store announces
        self.limits: dict[str, int] = {}  # of the VM, by their names in the settings
        self.settings_path = os.path.join(folder, name + ".toml")
        self._log_path = os.path.join(folder, name + ".log")
        self._log = open(self._log_path, "ab")
        self._program = program
        self.process: asyncio.subprocess.Process | None = None
        self.exits: list[int] = []  # exit statuses of processes that were restarted
        self.unexpected_ends: list[str] = []  # ends that no signal of ours explains
        self.lock = asyncio.Lock()  # held while the process is restarted

    def settings(self) -> str:
        text = SETTINGS.format(name=self.name, front=self.front, ready=self.ready,
                               directory=self.directory, metrics=self.metrics,
                               loads=self.loads, store=self.store_port,
                               read_mbs=self.read_mbs)
        return text + "".join(f"{name} = {value}\n" for name, value in self.limits.items())

    def write_settings(self) -> None:
        with open(self.settings_path, "w", encoding="ascii") as file:
            file.write(self.settings())

    async def start(self) -> None:
        self.write_settings()
        await self.spawn()

    async def spawn(self, prepare: Callable[[], None] | None = None) -> None:
        """Starts the process with the settings file as it is; prepare is called in it
        before the program."""
        environment = dict(os.environ, COPPERVALVE_NODE_FILE=self.settings_path)
        self.process = await asyncio.create_subprocess_exec(
            self._program, "platform", env=environment, stdout=self._log, stderr=self._log,
            preexec_fn=prepare)

    def send(self, number: int) -> None:
        # Process.send_signal() may take the exit status from the loop that waits for it.
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def note_end(self, process: asyncio.subprocess.Process, number: int,
                       within: float) -> None:
        """Waits for the end of a process that got a signal, and notes whether it ended
        in another way than that signal asks for."""
        expected = -number if number == signal.SIGKILL else 0
        try:
            status = await asyncio.wait_for(process.wait(), within)
        except TimeoutError:
            self.unexpected_ends.append(f"{self.name}: still runs after signal {number}")
            process.kill()
            status = await process.wait()
        self.exits.append(status)
        if status != expected:
            self.unexpected_ends.append(f"{self.name}: {status} after signal {number}")

    def note_if_ended(self) -> None:
        """Notes an end that comes before any signal."""
        if self.process.returncode is not None:
            self.unexpected_ends.append(f"{self.name}: {self.process.returncode} unasked")

    async def end(self, number: int, within: float) -> None:
        if number != signal.SIGKILL:
            await self.wait_until_signals_are_held()
        self.note_if_ended()
        self.send(number)
        await self.note_end(self.process, number, within)

    async def restart(self, number: int) -> None:
        async with self.lock:
            await self.end(number, 60)
            await self.start()

    async def wait_until_signals_are_held(self) -> None:
        """Waits until the program has taken over from its loader."""
        hangup = 1 << (signal.SIGHUP - 1)
        while self.process.returncode is None:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                masks = [int(line.split()[1], 16) for line in file
                         if line.startswith(("SigBlk:", "SigCgt:"))]
            if any(mask & hangup for mask in masks):
                return
            await asyncio.sleep(0.001)

    async def figure(self, name: str) -> float:
        """Returns a state figure from the router's metrics, or 0 if it is not
        available."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.metrics)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n")
            reply, _ = await asyncio.wait_for(read_message(reader), 2)
            writer.close()
        except (OSError, TimeoutError):
            return 0
        for line in (reply.body.decode() if reply else "").splitlines():
            if line.startswith("coppervalve_entry_state") and f'figure="{name}"' in line:
                return float(line.split()[-1])
        return 0

    def log(self) -> str:
        with open(self._log_path, encoding="utf-8") as file:
            return file.read()

    async def describe(self) -> str:
        """Returns the process's state, its state figures and the end of its log."""
        figures = {name: await self.figure(name) for name in DESCRIBED_FIGURES}
        lines = self.log().splitlines()[-DESCRIBED_LOG_LINES:]
        status = self.process.returncode if self.process else "not started"
        return "\n  ".join([f"{self.name}: exit status {status}, {figures}, "
                            f"ports {self.front} to {self.loads}", *lines])


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
                      "warmupS": WARM_UP_S, "warmupPerS": 14,
                      "engine": {"slots": 64, "stride": TOKENS_PER_EVENT}},
                     {"name": "desk", "healthPath": "/healthz", "maxConnections": 300}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        # The second account has enough tokens for all requests sent by faults.
        "tenants": [{"name": "gate", "apiKeys": ["key"], "prepaid": prepaid},
                    {"name": "office", "apiKeys": ["office-key"], "prepaid": 100 * PREPAID}],
    }


class Platform:
    def __init__(self, folder: str, program: str, seed: int) -> None:
        self._folder = folder
        self._program = program
        self._seed = seed
        self._version = 1
        self._starts = 0
        self._number = 0
        self._random = random.Random(seed)
        self._tasks: list[asyncio.Task] = []
        self._retired: set[str] = set()  # names of upstreams that do not start again
        self.event_interval_s = 0.01  # of the engines' streams
        self.prepaid = PREPAID
        self.vm_limits: dict[str, int] = {}  # of all routers
        self.caller_limits: dict[str, int] = {}  # in place of those of the configuration
        self.crash_parts: set[str] = set()  # prompt parts that crash engines
        self.store = Store(seed)
        self.ledger = Ledger()
        self.servers: list[Server] = []
        self.routers: list[Router] = []
        self._router_count = 0
        self._partitioned: set[int] = set()  # numbers of routers

    @property
    def engines(self) -> list[Server]:
        return [server for server in self.servers if server.service == "engines"]

    async def start(self, routers: int, engines: int, desks: int = 2,
                    read_mbs: float = 80.0, versions: tuple[str, ...] = ("v1",)) -> None:
        self._router_count = routers
        for number in range(engines):
            await self.start_server("engines", versions[number % len(versions)])
        for _ in range(desks):
            await self.start_server("desk")
        self.publish()
        for i in range(routers):
            router = Router(f"edge-{i}", self._folder, self._program)
            router.store_port = await self.store.listen()
            router.read_mbs = read_mbs
            router.limits = self.vm_limits
            self.routers.append(router)
            await router.start()
        await asyncio.sleep(2)

    async def start_server(self, service: str, version: str = "v1",
                           ports: list[int] | None = None) -> Server:
        zone = ZONES[self._starts % len(ZONES)]
        server = Server(f"i-{self._starts}", service, zone, self.ledger,
                        self._seed + self._starts, version)
        if self.routers and service == "engines":
            self._turn_cold(server)
        server.event_interval_s = self.event_interval_s
        server.crash_marker = b"poison"
        server.crash_parts = self.crash_parts
        self._starts += 1
        ports = ports or [free_port() for _ in range(self._router_count)]
        await server.listen(ports, self._partitioned)
        self.servers.append(server)
        self.announce(server)
        self._tasks.append(asyncio.create_task(self._restart_after_stop(server)))
        return server

    def announce(self, server: Server) -> None:
        self.store.put("keyed.servers", server.name, server.entry())

    def _turn_cold(self, server: Server) -> None:
        server.turn_cold()
        self._tasks.append(asyncio.create_task(self._announce_when_warm(server)))

    async def _announce_when_warm(self, server: Server) -> None:
        """Rewrites an engine's entry, as upstreams do all the time: a router that starts
        later must not read that the engine is cold."""
        await asyncio.sleep(WARM_UP_S)
        if self.store.value("keyed.servers", server.name).get("state") == "ready":
            self.announce(server)

    def retire(self, server: Server) -> None:
        """Ends an upstream for good."""
        self._retired.add(server.name)
        server.shut_down()

    async def _restart_after_stop(self, server: Server) -> None:
        """Restarts an upstream that ended, with a new id at the old address."""
        await server.stopped.wait()
        self.servers.remove(server)
        await asyncio.sleep(ENTRY_REMOVED_AFTER_S)
        self.store.put("keyed.servers", server.name, None)
        if server.name in self._retired:
            return
        await asyncio.sleep(RESTART_AFTER_S - ENTRY_REMOVED_AFTER_S)
        ports = [int(address.split(":")[1]) for address in server.addresses]
        await self.start_server(server.service, server.version, ports)

    def stall(self, kinds: set[str]) -> None:
        """Lets requests of these kinds wait at their upstreams."""
        for server in self.servers:
            server.stalled_kinds = kinds

    def answer_without_end(self, unending: dict[str, Unending]) -> None:
        """Lets upstreams answer these kinds of requests so."""
        for server in self.servers:
            server.unending = unending

    def pad(self, size: int) -> None:
        """Lets upstreams add this many bytes to each plain answer and each event."""
        for server in self.servers:
            server.padding = size

    def partition(self, routers: set[int], reset: bool) -> None:
        """Partitions routers from all upstreams; open connections are reset or live on."""
        self._partitioned = routers
        for server in self.servers:
            for router in routers:
                server.partition(router, reset)

    async def end_partition(self) -> None:
        ended, self._partitioned = self._partitioned, set()
        for server in self.servers:
            for router in ended:
                await server.connect(router)

    @property
    def version(self) -> int:
        return self._version

    def publish(self, versions: int = 1, more_tokens: int = 0) -> None:
        self._version += versions
        self.prepaid += more_tokens
        document = configuration(self._version, self.prepaid)
        document["limits"].update(self.caller_limits)
        self.store.put("keyed.op", "config", document)

    def evacuate(self, zone: str) -> None:
        self.store.put("keyed.op", f"evacuate/{zone}", {})

    def return_zone(self, zone: str, cold: bool = True) -> None:
        for server in self.engines:
            if cold and server.zone == zone:
                self._turn_cold(server)
                self.announce(server)
        self.store.put("keyed.op", f"evacuate/{zone}", None)

    def arrivals_in_zone(self, zone: str) -> int:
        """Returns the number of requests received so far by the running upstreams of a
        zone."""
        return sum(self.ledger.arrived[server.name] for server in self.servers
                   if server.zone == zone)

    async def send_many(self, seconds: float) -> None:
        """Sends drafts with different prefixes, so that every engine would get some."""
        sends = []
        for number in range(int(seconds * FAULT_REQUESTS_PER_S)):
            sends.append(asyncio.create_task(self.send(f"draft {number}", f"{number + 1:x}")))
            await asyncio.sleep(1 / FAULT_REQUESTS_PER_S)
        await asyncio.gather(*sends)

    async def count_failures(self, routers: list[Router], tries: int) -> int:
        """Sends requests to routers in turn. Returns how many were not served."""
        sends = []
        for number in range(tries):
            sends.append(asyncio.create_task(self.send(
                f"draft {number}", f"{number + 1:x}", routers[number % len(routers)])))
            await asyncio.sleep(1 / FAULT_REQUESTS_PER_S)
        return (await asyncio.gather(*sends)).count(False)

    async def send(self, body: str, prefix: str = "a", to: Router | None = None,
                   kind: str = "draft") -> bool:
        """Sends a request to a router, a random one by default. Returns whether it was
        served."""
        router = to or self._random.choice(self.routers)
        self._number += 1
        text = (f"POST /{kind}/x HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Request-Id: {OFFICE_ID_PREFIX}{self._number}\r\n"
                "Deadline-Ms: 3000\r\nAuthorization: Token office-key\r\nModel: m\r\n"
                f"Token-Usage: 100,70\r\nPrefix-Hash: {prefix}:50,b{self._number:x}:50\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}")
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", router.front)
            writer.write(text.encode())
            reply, whole = await asyncio.wait_for(read_message(reader), 4)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return whole and reply is not None and " 200 " in reply.start_line

    async def wait_for_figure(self, figure: str, value: float, within: float = 10) -> bool:
        """Waits until all routers report a value of a figure. Returns whether they
        did."""
        for _ in range(int(within * 20)):
            reported = [await router.figure(figure) for router in self.routers]
            if all(one == value for one in reported):
                return True
            await asyncio.sleep(0.05)
        return False

    async def report_failure(self) -> None:
        """Prints the state of all routers and keeps their logs in the build folder."""
        for router in self.routers:
            print(await router.describe(), file=sys.stderr)
        print(f"store: {self.store.calls} calls, ends "
              f"{ {name: topic.end for name, topic in self.store.topics.items()} }",
              file=sys.stderr)
        self.keep_logs(f"scenario-{os.getpid()}")

    def keep_logs(self, name: str) -> None:
        """Copies the routers' logs to the build folder."""
        kept = os.path.join(build_folder(), "failed-tests", name)
        shutil.copytree(self._folder, kept, dirs_exist_ok=True)
        print(f"logs of all routers: {kept}", file=sys.stderr)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for router in self.routers:
            router.note_if_ended()
            router.send(signal.SIGKILL)
            await router.process.wait()
        self.store.wake_readers()
        await asyncio.sleep(0.1)


def build_folder() -> str:
    return os.environ.get("COPPERVALVE_BUILD", "build")


def run_scenario(scenario: Callable[[Platform], Awaitable[None]], routers: int, engines: int,
         read_mbs: float = 80.0, versions: tuple[str, ...] = ("v1",),
         vm_limits: dict[str, int] | None = None,
         caller_limits: dict[str, int] | None = None) -> Platform:
    """Runs a test scenario on a new platform and stops the platform."""

    async def run() -> Platform:
        program = os.path.join(build_folder(), "coppervalved")
        with tempfile.TemporaryDirectory() as folder:
            platform = Platform(folder, program, seed=1)
            platform.vm_limits = vm_limits or {}
            platform.caller_limits = caller_limits or {}
            await platform.start(routers, engines, read_mbs=read_mbs, versions=versions)
            try:
                await scenario(platform)
            except BaseException:
                await platform.report_failure()
                raise
            finally:
                await platform.stop()
            return platform

    return asyncio.run(run())

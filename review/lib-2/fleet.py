"""A small deployment on loopback addresses: routers as the deploy file starts them, and
servers, each a process of its own; the store is in the process of the script."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

from http_messages import read_head, read_body
from store import Store

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
ZONES = ["heredia-a", "cartago-b", "alajuela-c"]
BEAT_S = 1.2
SETTINGS = """nodeName = "{name}"
role = "router"
machineClass = "edge"
serves = ["edge","registry"]
ip = "{ip}"
zone = "{zone}"
region = "cr-central"
internalPorts = [{internal},{last_internal}]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "registry"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
heredia-a = "cr-central"
cartago-b = "cr-central"
alajuela-c = "cr-central"
[listen]
frontend = "{ip}:{front}"
readiness = "{ip}:{ready}"
directory = "{ip}:{directory}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
skewMaxMs = 5000
revokeStrict = false
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 52
recoveryS = 12
iterationMs = 120
reuseWindowS = 10
settle_ms = 1500
ttl_max_s = 5
[platform]
address = "{store}"
form = "log"
writesPerS = 600
readsPerS = 2000
parts = 12
appendMs = 2.0
partitionMbS = 20.0
readMbS = 80.0
recordBytes = 262144
requestBytes = 2097152
keep_s = 300
partitionMb = 200
ttlMinMs = 1000
"""


def free_port(ip):
    with socket.socket() as one:
        one.bind((ip, 0))
        return one.getsockname()[1]


class CannotRun(Exception):
    """The case couldn't be set up."""


class Router:
    def __init__(self, number, folder, store_address):
        self.name = f"edge-{number}"
        self.ip = f"127.0.1.{number}"
        self.front = free_port(self.ip)
        self.ready = free_port(self.ip)
        self.directory = free_port(self.ip)
        self.internal = free_port(self.ip)
        self._settings = os.path.join(folder, self.name + ".toml")
        self.log_path = os.path.join(folder, self.name + ".log")
        with open(self._settings, "w", encoding="ascii") as file:
            file.write(SETTINGS.format(
                name=self.name, ip=self.ip, zone=ZONES[number % len(ZONES)], front=self.front,
                ready=self.ready, directory=self.directory, internal=self.internal,
                last_internal=self.internal + 15, store=store_address))
        self.process = None

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["COPPERVALVE_NODE_FILE"] = self._settings
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(["target/coppervalved", "platform"], cwd=ROOT,
                                            env=environment, stdout=log, stderr=log)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return head is not None and head.status == 200


class Server:
    """A server's process and its entry in the store."""

    def __init__(self, fleet, name, service, address, zone, slots):
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self._fleet = fleet
        self._slots = slots
        self._sequence = 0
        self._beats = None
        self.state = "ready"
        self.process = None

    def start(self, events, pause_s, framing):
        self.process = subprocess.Popen(
            [sys.executable, os.path.join(HERE, "server.py"), self.name, self.address,
             self._fleet.runs_path, str(events), str(pause_s), framing], cwd=HERE)
        self._fleet.processes.append(self.process)

    def beat(self):
        self._sequence += 1
        self._fleet.store.put("keyed.servers", self.name, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self._slots, "state": self.state, "warmupLeftMs": 0,
            "stage": "combined", "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self._sequence})

    async def _beat_on(self):
        while True:
            self.beat()
            await asyncio.sleep(BEAT_S)

    def announce(self):
        self._beats = asyncio.create_task(self._beat_on())

    def say_draining(self):
        self.state = "draining"
        self.beat()

    def remove_entry(self):
        self.stop_beats()
        self._fleet.store.put("keyed.servers", self.name, None)

    def stop_beats(self):
        if self._beats:
            self._beats.cancel()

    def kill(self):
        """The process ends at once; its entry goes after three beats of silence."""
        self.stop_beats()
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class Fleet:
    def __init__(self, record_path):
        self.store = Store()
        self.routers = []
        self.servers = []
        self.processes = []
        self._record = open(record_path, "w", encoding="ascii", buffering=1)
        self._folder = tempfile.TemporaryDirectory()
        self.runs_path = os.path.join(self._folder.name, "runs")
        open(self.runs_path, "w", encoding="ascii").close()

    def note(self, text):
        self._record.write(f"{time.time():.3f} {text}\n")

    def runs(self):
        """Lines of all servers: time, `server`, name, what, request id, more."""
        with open(self.runs_path, encoding="ascii") as file:
            return [line.split() for line in file]

    def publish(self, configuration):
        self.store.put("keyed.op", "config", configuration)
        self.note(f"operator publishes version {configuration['version']}")

    async def start_routers(self, count):
        store_port = free_port("127.0.3.1")
        await self.store.listen("127.0.3.1", store_port)
        for number in range(1, count + 1):
            router = Router(number, self._folder.name, f"127.0.3.1:{store_port}")
            self.routers.append(router)
            router.start()
            self.processes.append(router.process)
        await self.wait_until_ready()

    async def wait_until_ready(self, within_s=15):
        end = time.time() + within_s
        while time.time() < end:
            if all([await router.is_ready() for router in self.routers]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the routers did not become ready")

    async def add_server(self, service, events=0, pause_s=0.0, framing="chunked", slots=64,
                         address=None):
        number = len(self.servers) + 1
        if address is None:
            ip = f"127.0.2.{number}"
            address = f"{ip}:{free_port(ip)}"
        server = Server(self, f"i-{number:08x}", service, address,
                        ZONES[number % len(ZONES)], slots)
        self.servers.append(server)
        server.start(events, pause_s, framing)
        ip, port = address.split(":")
        for _ in range(200):
            try:
                _, writer = await asyncio.open_connection(ip, int(port))
                writer.close()
                break
            except OSError:
                await asyncio.sleep(0.02)
        else:
            raise CannotRun("a server did not start")
        server.announce()
        return server

    async def close(self):
        for server in self.servers:
            server.stop_beats()
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for line in self.runs():
            self._record.write(" ".join(line) + "\n")
        self._record.close()
        self._folder.cleanup()


class Answer:
    """What a client got for one request."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = 0  # 0: the connection ended without a head
        self.headers = {}
        self.body = b""
        self.complete = False

    def events(self):
        return [int(line[4:]) for line in self.body.decode("latin-1").split("\n")
                if line.startswith("id: ")]


async def send(fleet, router, request_id, path, deadline_ms, method="POST", body=b"{}",
               usage=None, prefix=None, key=KEY):
    """Sends one request on a new connection and waits for the end of its answer."""
    result = Answer(request_id)
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request_id}",
             f"Deadline-Ms: {deadline_ms}", f"Authorization: Token {key}"]
    if usage:
        lines += ["Model: m", f"Token-Usage: {usage}", f"Prefix-Hash: {prefix}"]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    fleet.note(f"client sends {request_id} {method} {path} to {router.name}")
    writer = None
    try:
        reader, writer = await asyncio.open_connection(router.ip, router.front)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = await asyncio.wait_for(read_head(reader), deadline_ms / 1000 + 1)
        if head is not None:
            result.status, result.headers = head.status, head.headers
            await asyncio.wait_for(read_body(reader, head), deadline_ms / 1000 + 1)
            result.body, result.complete = head.body, head.complete
    except (OSError, asyncio.TimeoutError):
        pass
    if writer:
        writer.close()
    events = result.events()
    fleet.note(f"client got {request_id} status {result.status} "
               f"{'complete' if result.complete else 'cut'} "
               f"events {len(events)} last {events[-1] if events else 0} "
               f"body {len(result.body)} bytes")
    return result


def require_served(answers):
    """A case in which nobody is served shows nothing."""
    if not any(answer.status == 200 for answer in answers):
        raise CannotRun("no request was served")


def run_case(case, record_path):
    """Runs `case(fleet, trouble)`, which returns the list of what broke the rule."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        # Ended from outside, the script still ends what it started.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        fleet = Fleet(record_path)
        try:
            return await asyncio.wait_for(case(fleet, trouble), 110)
        finally:
            await fleet.close()

    if not os.path.exists(os.path.join(ROOT, "target", "coppervalved")):
        print("target/coppervalved is missing: run the build of the deploy file first")
        sys.exit(2)
    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        # An exit with 1 would say that the rule was broken.
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    print(json.dumps({"trouble": trouble, "broken": broken}, indent=1))
    sys.exit(1 if broken else 0)

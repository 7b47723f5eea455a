"""Stand-ins for the review's scripts: store, model engines, plain services, clients, and
the start of the project's routers. Everything listens on loopback addresses only. They
follow PROTOCOL.md and DEPLOY.md; where these are silent they behave as a sound peer."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "coppervalved")
HOST = "desk.example"
KEY = "key-of-gate"
STRIDE = 7
ADDRESSES = iter(range(2, 250))
_NET = random.randint(10, 200)


def next_ip() -> str:
    """Returns a loopback address of its own, as each machine has one."""
    return f"127.{_NET}.{os.getpid() % 250}.{next(ADDRESSES)}"


def free_port(ip: str) -> int:
    with socket.socket() as probe:
        for _ in range(100):
            port = random.randint(20000, 31000)
            try:
                probe.bind((ip, port))
                return port
            except OSError:
                continue
    raise OSError("no free port")


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path: str) -> None:
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


class Message:
    def __init__(self, start: str, headers: dict, body: bytes = b"") -> None:
        self.start, self.headers, self.body = start, headers, body

    @property
    def status(self) -> int:
        return int(self.start.split()[1])


async def read_head(reader) -> Message | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader, message: Message) -> bool:
    """Reads the body. Returns whether it is complete."""
    try:
        if message.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return True
                message.body += data[:-2]
        message.body = await reader.readexactly(int(message.headers.get("content-length", 0)))
        return True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return False


def answer(status: int, body: bytes = b"", **headers) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Topic:
    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, tuple[int, int, list]] = {}
        self.appended = asyncio.Event()

    def append(self, key: str, value: bytes) -> None:
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))
        self.appended.set()
        self.appended = asyncio.Event()


class Store:
    """The platform's store: keyed topics with fencing by producer, epoch and sequence."""

    def __init__(self, record: Record) -> None:
        self.topics: dict[str, Topic] = {}
        self.answer_s = 0.004  # "4 ms an answer"
        # Chooses the writes that are done late and not answered (`platform_lost`, late).
        self.is_late = lambda topic, query, body: False
        self.late_s = 6.0
        self.writes = self.late_writes = 0
        self.address = ""
        self._record = record

    def topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: dict | None) -> None:
        data = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
        self.topic(topic).append(key, data)

    async def start(self) -> None:
        ip = next_ip()
        port = free_port(ip)
        await asyncio.start_server(self._serve, ip, port)
        self.address = f"{ip}:{port}"

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                request = await read_head(reader)
                if request is None or not await read_body(reader, request):
                    break
                if await self._is_held(request):
                    break
                reply = await self._answer(request)
                await asyncio.sleep(self.answer_s)
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.close()

    async def _is_held(self, request: Message) -> bool:
        """Whether this write is done late. Nothing more is answered on its connection."""
        url = urlsplit(request.start.split()[1])
        if url.path != "/api/log-append":
            return False
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.writes += 1
        if not self.is_late(query["topic"], query, request.body):
            return False
        self.late_writes += 1
        self._record.write(f"store {query['topic']}: write {query.get('sequence')} of "
                           f"{query.get('producer')} in epoch {query.get('epoch')} gets no "
                           f"answer and is done {self.late_s} s later")

        async def do_later() -> None:
            await asyncio.sleep(self.late_s)
            await self._answer(request)

        asyncio.create_task(do_later())
        await asyncio.sleep(60)
        return True

    async def _answer(self, request: Message) -> bytes:
        url = urlsplit(request.start.split()[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = self.topic(query["topic"])
        if url.path == "/api/log-newest":
            keys = sorted(key for key in topic.newest if key > query.get("after", ""))
            entries = [{"key": key, "offset": topic.newest[key][0],
                        "value": base64.b64encode(topic.newest[key][1]).decode()}
                       for key in keys[:500]]
            body = {"entries": entries, "hasMore": len(keys) > 500,
                    "endOffset": len(topic.records)}
            return answer(200, json.dumps(body).encode(), Content_Type="application/json")
        if url.path == "/api/log-read":
            return await self._read(topic, int(query["from"]), int(query.get("waitMs", 0)),
                                    int(query.get("maxReadKb", 1024)) * 1024)
        if url.path == "/api/log-append":
            return self._append(query["topic"], topic, query, request.body)
        return answer(404)

    async def _read(self, topic: Topic, start: int, wait_ms: int, most: int) -> bytes:
        if start >= len(topic.records) and wait_ms:
            try:
                await asyncio.wait_for(topic.appended.wait(), wait_ms / 1000)
            except (TimeoutError, asyncio.TimeoutError):
                pass
        body = struct.pack(">QQ", len(topic.records), 0)
        for key, value in topic.records[start:]:
            data = bytes([len(key)]) + key.encode() + value
            if len(body) > 16 and len(body) + len(data) > most:
                break
            body += struct.pack(">I", len(data)) + data
        return answer(200, body)

    def _append(self, name: str, topic: Topic, query: dict, body: bytes) -> bytes:
        producer = query.get("producer")
        epoch, sequence = int(query.get("epoch", 0)), int(query.get("sequence", 0))
        if producer is not None:
            known_epoch, last, replies = topic.producers.get(producer, (-1, None, []))
            if epoch < known_epoch:
                return answer(409, b'{"reason":"fenced"}', Content_Type="application/json")
            if epoch > known_epoch:
                last, replies = None, []
            if not body:  # appends nothing and sets the epoch
                topic.producers[producer] = (epoch, last, replies)
                self._record.write(f"store {name}: {producer} sets epoch {epoch}")
                reply = {"offset": len(topic.records), "endOffset": len(topic.records)}
                return answer(200, json.dumps(reply).encode(), Content_Type="application/json")
            for known, reply in replies:
                if known == sequence:
                    return reply
            if last is not None and sequence != last + 1:
                text = json.dumps({"reason": "seq", "expected": last + 1}).encode()
                return answer(409, text, Content_Type="application/json")
        offset, at = len(topic.records), 0
        while at + 4 <= len(body):
            size = struct.unpack(">I", body[at:at + 4])[0]
            data = body[at + 4:at + 4 + size]
            topic.append(data[1:1 + data[0]].decode(), data[1 + data[0]:])
            at += 4 + size
        reply = answer(200, json.dumps({"offset": offset, "endOffset": len(topic.records)})
                       .encode(), Content_Type="application/json")
        if producer is not None:
            if not replies:
                self._record.write(f"store {name}: first record of {producer} in epoch {epoch}")
            topic.producers[producer] = (epoch, sequence, (replies + [(sequence, reply)])[-5:])
        return reply


class Server:
    """A model engine (with Token-Usage) or a plain service."""

    def __init__(self, name: str, service: str, store: Store, record: Record) -> None:
        self.name, self.service, self._store, self._record = name, service, store, record
        self.first_event_s = 0.02
        self.event_s = 0.004
        self.on_first_token = None  # called with the request's id when its answer begins
        self.input: dict[str, int] = {}  # tokens read, by request
        self.output: dict[str, int] = {}  # tokens of the events that were sent
        self.runs: list[str] = []
        self.address = ""

    async def start(self) -> None:
        ip = next_ip()
        port = free_port(ip)
        await asyncio.start_server(self._serve, ip, port, limit=2**20)
        self.address = f"{ip}:{port}"
        asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            self._store.put("keyed.servers", self.name, {
                "service": self.service, "address": self.address, "zone": "a",
                "version": "v1", "slots": 64, "state": "ready", "warmupLeftMs": 0,
                "sequence": sequence})
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                request = await read_head(reader)
                if request is None or not await read_body(reader, request):
                    break
                if not await self._run(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.close()

    async def _run(self, request: Message, reader, writer) -> bool:
        headers = request.headers
        request_id = headers.get("request-id")
        if request_id is None:
            writer.write(answer(400, Not_Executed="1"))
            return True
        if headers.get("expected-instance", self.name) != self.name:
            writer.write(answer(421, Instance_Id=self.name, Request_Id=request_id))
            return True
        self.runs.append(request_id)
        self._record.write(f"server {self.name}: gets {request_id}, tenant "
                           f"{headers.get('tenant')}, usage {headers.get('token-usage')}")
        signature = f"{self.name}.{request_id}"
        if "token-usage" not in headers:
            await asyncio.sleep(self.first_event_s)
            writer.write(answer(200, f"done {request_id}".encode(), Request_Id=request_id,
                                Server_Signature=signature))
            return True
        prompt, most = (int(text) for text in headers["token-usage"].split(","))
        closed = asyncio.create_task(reader.read(1))
        closed.add_done_callback(lambda done: done.cancelled() or done.exception())
        await asyncio.sleep(self.first_event_s)
        if closed.done() or writer.transport.is_closing():
            self._record.write(f"server {self.name}: {request_id} is dropped before its first "
                               "token")
            return False
        if self.on_first_token:
            self.on_first_token(request_id)
        self.input[request_id] = prompt
        self.output.setdefault(request_id, 0)
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      f"Request-Id: {request_id}\r\nServer-Signature: {signature}\r\n"
                      f"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(1, most // STRIDE + 1):
            if closed.done() or writer.transport.is_closing():
                self._record.write(f"server {self.name}: {request_id} is broken off after "
                                   f"{self.output[request_id]} tokens")
                return False
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            self.output[request_id] += STRIDE
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        closed.cancel()
        return False


SETTINGS = """nodeName = "{name}"
role = "router"
machineClass = "edge"
serves = ["edge","registry"]
ip = "{ip}"
zone = "a"
region = "r"
internalPorts = [{internal}, {internal_last}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "registry"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
a = "r"
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
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 52
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


class Router:
    """A machine with one process of the project, started as the deploy file says."""

    def __init__(self, name: str, folder: str, store: Store, record: Record) -> None:
        self.name, self._folder, self._record = name, folder, record
        self.ip = next_ip()
        self.front, self.ready, self.directory = (free_port(self.ip) for _ in range(3))
        self._internal = free_port(self.ip)
        self.process = None
        self.log = os.path.join(folder, name + ".log")
        self._path = os.path.join(folder, name + ".toml")
        with open(self._path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(
                name=name, ip=self.ip, internal=self._internal,
                internal_last=self._internal + 15, front=self.front, ready=self.ready,
                directory=self.directory, store=store.address))

    async def start(self) -> None:
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "platform", cwd=ROOT, stdout=log, stderr=log,
                env={"COPPERVALVE_NODE_FILE": self._path, "PATH": os.environ["PATH"]})
        self._record.write(f"router {self.name}: started, pid {self.process.pid}")

    def send(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self._record.write(f"router {self.name}: {signal.Signals(number).name}")

    async def end(self, number: int) -> None:
        self.send(number)
        await self.process.wait()

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head.status == 200
        except (OSError, TimeoutError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, within: float = 15) -> bool:
        end = time.monotonic() + within
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


async def request(router: Router, request_id: str, path: str, extra: str = "",
                  deadline_ms: int = 6000, body: bytes = b"", key: str = KEY):
    """Sends one request on a new connection. Returns (status, message, whole); status 0: no
    answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(router.ip, router.front, limit=2**20), 1)
        writer.write((f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
                      f"Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {key}\r\n{extra}"
                      f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        head = await asyncio.wait_for(read_head(reader), deadline_ms / 1000)
        if head is None:
            return 0, None, False
        whole = await asyncio.wait_for(read_body(reader, head), deadline_ms / 1000)
        return head.status, head, whole
    except (OSError, TimeoutError, asyncio.TimeoutError):
        return 0, None, False
    finally:
        if writer is not None:
            writer.close()


def play(case) -> int:
    """Runs a case. A SIGTERM ends it in order, with all processes that it started. Returns
    the exit status; 2 if the case could not run."""

    async def main() -> int:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await case()
        except asyncio.CancelledError:
            print("the case was ended")
            return 2

    try:
        return asyncio.run(main())
    except OSError as error:
        print(f"the case could not run: {error}")
        return 2

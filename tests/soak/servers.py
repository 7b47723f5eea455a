"""Stand-ins of upstreams: a streaming engine and a plain service. The verdict is based
on their records of what they ran."""

import asyncio
import random
from collections import Counter, defaultdict, deque

from tests.soak.http import Message, answer, chunk, read_message
from tests.soak.unending import Unending

TOKENS_PER_EVENT = 7
# Seconds for which an engine is cold after a start under traffic, and the number of
# requests from all routers that it can handle in any second of them.
WARM_UP_S = 3.0
MAX_RATE_WHILE_COLD = 26


def shared_parts(headers: dict[str, str]) -> set[str]:
    """Returns the ids of the parts of a prompt, except the last one."""
    return {part.split(":")[0] for part in headers.get("prefix-hash", "").split(",")[:-1]}


class Ledger:
    """What ran where, by request id."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.arrived: Counter[str] = Counter()  # by upstream, except answers 421
        self.arrivals: defaultdict[str, list[float]] = defaultdict(list)  # their times
        self.streamed: Counter[str] = Counter()  # events sent, over all runs
        self.kind: dict[str, str] = {}
        self.prompt: dict[str, int] = {}
        self.without_id: list[str] = []  # requests that arrived without an id
        self.broken_off: set[str] = set()  # ids whose answer an upstream broke off
        self.ended: list[str] = []  # names of upstreams that a request crashed, in order
        self.ended_by_part: list[float] = []  # when a part of a prompt crashed an upstream
        self.arrived_with_part: list[float] = []  # when such requests reached an upstream
        self.overloaded_while_cold: list[str] = []  # names of upstreams overloaded while cold
        self.max_rate_while_cold = 0  # most requests at one cold engine in a second


class Server:
    def __init__(self, name: str, service: str, zone: str, ledger: Ledger, seed: int,
                 version: str = "v1") -> None:
        self.zone = zone
        self.version = version  # of the software
        self.name = name
        self.service = service
        self.addresses: list[str] = []  # one for each router
        self.event_interval_s = 0.01  # between two events of a stream
        self.cut_ratio = 0.0  # share of answers that are truncated
        self.unframed_ratio = 0.3  # share of streams that end with their connection
        self.decline_ratio = 0.0  # share of requests that are not run
        self.crash_marker = b""  # a request whose body contains this ends the process
        self.crash_parts: set[str] = set()  # prompt parts; answers to them end the process
        self.stalled_kinds: set[str] = set()  # of requests that wait until this is changed
        self.unending: dict[str, Unending] = {}  # by the kind of request
        self.padding = 0  # bytes that are added to each plain answer and each event
        self.leaving = False  # reported in all answers
        self.retry_after_s = 0.0  # if set, all requests are declined with it as Retry-After
        self.limit_per_s: float | None = None  # reported in all answers
        self.stopped = asyncio.Event()
        self._running: set[str] = set()  # ids of requests in progress
        self._cold_until = 0.0
        self._while_cold: deque[float] = deque()
        self._ledger = ledger
        self._random = random.Random(seed)
        self._listeners: dict[int, asyncio.Server] = {}  # by the router's number
        self._writers: dict[asyncio.StreamWriter, int] = {}

    async def listen(self, ports: list[int], partitioned: set[int]) -> None:
        """Listens on a port for each router, but for those that are partitioned."""
        self.addresses = [f"127.0.0.1:{port}" for port in ports]
        for router in range(len(ports)):
            if router not in partitioned:
                await self.connect(router)

    async def connect(self, router: int) -> None:
        """Accepts connections of a router."""
        port = int(self.addresses[router].split(":")[1])
        if router not in self._listeners and not self.stopped.is_set():
            self._listeners[router] = await asyncio.start_server(
                lambda reader, writer: self._serve(reader, writer, router), "127.0.0.1", port)

    def partition(self, router: int, reset: bool) -> None:
        """Refuses new connections of a router.

        Open connections are reset or left as they are."""
        listener = self._listeners.pop(router, None)
        if listener:
            listener.close()
        for writer, owner in list(self._writers.items()):
            if reset and owner == router:
                writer.transport.abort()

    def turn_cold(self) -> None:
        self._cold_until = asyncio.get_running_loop().time() + WARM_UP_S

    def _within_cold_capacity(self) -> bool:
        now = asyncio.get_running_loop().time()
        if now >= self._cold_until:
            return True
        while self._while_cold and self._while_cold[0] <= now - 1:
            self._while_cold.popleft()
        self._while_cold.append(now)
        count = len(self._while_cold)
        self._ledger.max_rate_while_cold = max(self._ledger.max_rate_while_cold, count)
        return count <= MAX_RATE_WHILE_COLD

    def shut_down(self) -> None:
        """Simulates the end of a process: closes the listener and all connections."""
        if self.stopped.is_set():
            return
        self.stopped.set()
        self._ledger.broken_off |= self._running
        for listener in self._listeners.values():
            listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, state: str = "ready") -> dict:
        left = max(self._cold_until - asyncio.get_running_loop().time(), 0)
        return {"service": self.service, "addresses": self.addresses, "zone": self.zone,
                "slots": 64, "state": state, "warmupLeftMs": int(left * 1000),
                "version": self.version, "sequence": 1}

    async def _serve(self, reader, writer, router: int) -> None:
        self._writers[writer] = router
        try:
            while True:
                request, whole = await read_message(reader)
                if request is None or not whole or not await self._run(request, writer):
                    break
        except ConnectionError:
            pass
        self._writers.pop(writer, None)
        writer.close()

    async def _run(self, request: Message, writer) -> bool:
        headers = request.headers
        if "request-id" not in headers:
            self._ledger.without_id.append(f"{self.name}: {request.start_line}")
            writer.write(answer(400, Not_Executed="1"))
            return True
        request_id = headers["request-id"]
        state = {"Server_Leaving": "1"} if self.leaving else {}
        if self.limit_per_s is not None:
            state["Server_Limit"] = str(self.limit_per_s)
        if headers.get("expected-instance") != self.name:
            writer.write(answer(421, **state))
            return True
        self._ledger.arrived[self.name] += 1
        self._ledger.arrivals[self.name].append(asyncio.get_running_loop().time())
        if not self._within_cold_capacity():
            self._ledger.overloaded_while_cold.append(self.name)
            self.shut_down()
            return False
        if self.retry_after_s:
            writer.write(answer(503, Not_Executed="1", Request_Id=request_id,
                                Retry_After=str(self.retry_after_s), **state))
            return True
        if self._random.random() < self.decline_ratio:
            writer.write(answer(503, Not_Executed="1", Request_Id=request_id, **state))
            return True
        self._ledger.runs[request_id] += 1
        self._ledger.kind[request_id] = request.start_line.split()[1].split("/")[1]
        if self.crash_marker and self.crash_marker in request.body:
            await asyncio.sleep(0.05)
            self._crash(self._ledger.ended, self.name)
            return False
        signed = {"Server_Signature": f"{self.name}.{request_id}", "Request_Id": request_id,
                  **state}
        if unending := self.unending.get(self._ledger.kind[request_id]):
            await unending.send(writer, signed)
            return False
        breaks = self._random.random() < self.cut_ratio
        # An earlier run that was broken off says nothing of this one.
        self._ledger.broken_off.discard(request_id)
        if breaks:
            self._ledger.broken_off.add(request_id)
        self._running.add(request_id)
        try:
            return await self._answer(request, writer, signed, breaks)
        finally:
            self._running.discard(request_id)

    async def _answer(self, request: Message, writer, signed: dict, breaks: bool) -> bool:
        request_id = request.headers["request-id"]
        if "token-usage" not in request.headers:
            while self._ledger.kind[request_id] in self.stalled_kinds:
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.01)
            if breaks:
                return False
            writer.write(answer(200, f"plain {request_id}".encode() + b"p" * self.padding,
                                **signed))
            return True
        return await self._stream(request, writer, signed, breaks)

    def _crash(self, ended: list, entry: str | float) -> None:
        if not self.stopped.is_set():
            ended.append(entry)
        self.shut_down()

    async def _stream(self, request: Message, writer, signed: dict, breaks: bool) -> bool:
        headers = request.headers
        request_id = headers["request-id"]
        prompt, most = headers["token-usage"].split(",")
        self._ledger.prompt[request_id] = int(prompt)
        framed = self._random.random() >= self.unframed_ratio
        frame = chunk if framed else bytes
        lines = ["HTTP/1.1 200 OK"]
        lines.append("Transfer-Encoding: chunked" if framed else "Connection: close")
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in signed.items()]
        crashes = not self.crash_parts.isdisjoint(shared_parts(headers))
        if crashes:
            self._ledger.arrived_with_part.append(asyncio.get_running_loop().time())
            await asyncio.sleep(0.02)
        if not crashes or self._random.random() < 0.5:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        if crashes:
            await writer.drain()
            self._crash(self._ledger.ended_by_part, asyncio.get_running_loop().time())
            return False
        count = int(most) // TOKENS_PER_EVENT
        for number in range(int(headers.get("last-event-id", 0)) + 1, count + 1):
            await asyncio.sleep(self.event_interval_s)
            event = (f"id: {number}\nversion: {self.version}\n"
                     f"data: {request_id} {number}{'p' * self.padding}\n\n").encode()
            if breaks and number > count // 2:
                writer.write(frame(event[: len(event) // 2]))
                return False
            writer.write(frame(event))
            await writer.drain()
            self._ledger.streamed[request_id] += 1
        if framed:
            writer.write(b"0\r\n\r\n")
        return framed

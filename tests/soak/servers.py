"""Stand-ins of upstreams: a streaming engine and a plain service. The verdict is based
on their records of what they ran."""

import asyncio
import random
from collections import Counter, defaultdict, deque

from tests.soak.http import Message, answer, chunk, read_message

TOKENS_PER_EVENT = 7
# Seconds for which an engine is cold after a start under traffic, and the number of
# requests from all routers that it can handle in any second of them.
WARM_UP = 3.0
MOST_WHILE_COLD = 26


class Ledger:
    """What ran where, by request id."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.arrived: Counter[str] = Counter()  # by upstream, 421 left out
        self.arrivals: defaultdict[str, list[float]] = defaultdict(list)  # when, the same
        self.streamed: Counter[str] = Counter()  # events made, of all runs
        self.kind: dict[str, str] = {}
        self.prompt: dict[str, int] = {}
        self.ended: list[str] = []  # starts that a request ended, in order
        self.fell_over: list[str] = []  # starts that got too much while cold
        self.most_while_cold = 0  # requests at one engine in a second


class Server:
    def __init__(self, name: str, service: str, zone: str, ledger: Ledger, seed: int) -> None:
        self.zone = zone
        self.name = name
        self.service = service
        self.address = ""
        self.cut = 0.0  # share of answers that break off
        self.decline = 0.0  # share that are not run
        self.dies_on = b""  # a request with this in its body ends the process
        self.leaving = False  # said in all answers
        self.wait = 0.0  # seconds; all requests are declined with it
        self.limit: float | None = None  # requests a second, said in all answers
        self.gone = asyncio.Event()
        self._cold_until = 0.0
        self._while_cold: deque[float] = deque()
        self._ledger = ledger
        self._random = random.Random(seed)
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, port: int = 0) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self._server = server
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    @property
    def port(self) -> int:
        return int(self.address.split(":")[1])

    def turn_cold(self) -> None:
        self._cold_until = asyncio.get_running_loop().time() + WARM_UP

    def _bears_one_more(self) -> bool:
        now = asyncio.get_running_loop().time()
        if now >= self._cold_until:
            return True
        while self._while_cold and self._while_cold[0] <= now - 1:
            self._while_cold.popleft()
        self._while_cold.append(now)
        count = len(self._while_cold)
        self._ledger.most_while_cold = max(self._ledger.most_while_cold, count)
        return count <= MOST_WHILE_COLD

    def die(self) -> None:
        """Simulates the end of a process: closes the listener and all connections."""
        if self.gone.is_set():
            return
        self.gone.set()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, state: str = "ready") -> dict:
        left = max(self._cold_until - asyncio.get_running_loop().time(), 0)
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "slots": 64, "state": state, "warmupLeftMs": int(left * 1000),
                "sequence": 1}

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request, whole = await read_message(reader)
                if request is None or not whole or not await self._run(request, writer):
                    break
        except ConnectionError:
            pass
        self._writers.discard(writer)
        writer.close()

    async def _run(self, request: Message, writer) -> bool:
        headers = request.headers
        request_id = headers["request-id"]
        says = {"Server_Leaving": "1"} if self.leaving else {}
        if self.limit is not None:
            says["Server_Limit"] = str(self.limit)
        if headers.get("expected-instance") != self.name:
            writer.write(answer(421, **says))
            return True
        self._ledger.arrived[self.name] += 1
        self._ledger.arrivals[self.name].append(asyncio.get_running_loop().time())
        if not self._bears_one_more():
            self._ledger.fell_over.append(self.name)
            self.die()
            return False
        if self.wait:
            writer.write(answer(503, Not_Executed="1", Request_Id=request_id,
                                Retry_After=str(self.wait), **says))
            return True
        if self._random.random() < self.decline:
            writer.write(answer(503, Not_Executed="1", Request_Id=request_id, **says))
            return True
        self._ledger.runs[request_id] += 1
        self._ledger.kind[request_id] = request.first.split()[1].split("/")[1]
        if self.dies_on and self.dies_on in request.body:
            await asyncio.sleep(0.05)
            if not self.gone.is_set():
                self._ledger.ended.append(self.name)
            self.die()
            return False
        signed = {"Server_Signature": f"{self.name}.{request_id}", "Request_Id": request_id,
                  **says}
        breaks = self._random.random() < self.cut
        if "token-usage" not in headers:
            await asyncio.sleep(0.01)
            if breaks:
                return False
            writer.write(answer(200, f"plain {request_id}".encode(), **signed))
            return True
        return await self._stream(request, writer, signed, breaks)

    async def _stream(self, request: Message, writer, signed: dict, breaks: bool) -> bool:
        request_id = request.headers["request-id"]
        prompt, most = request.headers["token-usage"].split(",")
        self._ledger.prompt[request_id] = int(prompt)
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in signed.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        count = int(most) // TOKENS_PER_EVENT
        for number in range(int(request.headers.get("last-event-id", 0)) + 1, count + 1):
            await asyncio.sleep(0.01)
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            if breaks and number > count // 2:
                writer.write(chunk(event[: len(event) // 2]))
                return False
            writer.write(chunk(event))
            await writer.drain()
            self._ledger.streamed[request_id] += 1
        writer.write(b"0\r\n\r\n")
        return True

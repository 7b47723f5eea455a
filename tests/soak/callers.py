"""Callers that check every answer."""

import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass, field

from tests.soak.http import read_chunks, read_head, read_message

PROMPT, MAX_OUTPUT = 200, 70
HOST = "desk.example"
KEPT_CONNECTIONS = 6
_PAUSE_BETWEEN_REQUESTS_S = 0.3
MAX_TRIES = 3


@dataclass
class Cut:
    """A request whose connection ended before the whole answer."""

    address: str
    request_id: str
    end: float


@dataclass
class Observations:
    """What callers observed."""

    outcomes: Counter[str] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)  # descriptions of invalid answers
    not_run: set[str] = field(default_factory=set)  # ids of requests answered with "not run"
    delivered: Counter[str] = field(default_factory=Counter)  # number of events by request id
    cuts: list[Cut] = field(default_factory=list)
    chats: int = 0  # requests for new streams that may be resumed
    chats_begun: int = 0  # those that got an event
    resumed: int = 0  # requests that resume a stream
    resumed_on: int = 0  # those that got an event
    mixed: list[str] = field(default_factory=list)  # streams of two software versions


@dataclass
class Stream:
    """What a caller has of a stream over all its requests."""

    first_id: str = ""  # id of the request that brought the first event
    last_event: int = 0
    version: str = ""  # of the software that made its events
    tries: int = 0


class Callers:
    def __init__(self, directories: list[str], seed: int) -> None:
        self.seen = Observations()
        self._directories = directories
        self._random = random.Random(seed)
        self._number = 0
        self._resumptions: list[asyncio.Task] = []

    async def run(self, per_second: float, until: float) -> None:
        loop = asyncio.get_running_loop()
        tasks = [asyncio.create_task(self._use_kept_connections(until))
                 for _ in range(KEPT_CONNECTIONS)]
        while loop.time() < until:
            tasks.append(asyncio.create_task(self._request()))
            await asyncio.sleep(self._random.expovariate(per_second))
        await asyncio.gather(*tasks)
        while self._resumptions:
            await self._resumptions.pop()

    async def _address(self) -> str | None:
        for directory in self._random.sample(self._directories, 3):
            reply = await self._call(directory, f"GET /api/resolve?name={HOST} HTTP/1.1\r\n"
                                     f"Host: {HOST}\r\n\r\n")
            if reply is not None and reply.status == 200:
                return self._random.choice(json.loads(reply.body)["addresses"])
        return None

    async def _call(self, address: str, text: str):
        host, port = address.split(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(text.encode())
            reply, whole = await asyncio.wait_for(read_message(reader), 8)
            writer.close()
        except (OSError, TimeoutError):
            return None
        return reply if whole else None

    async def _use_kept_connections(self, until: float) -> None:
        """Sends one request after the other on a connection until it ends, then on a
        new one."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            address = await self._address()
            try:
                host, port = (address or "").split(":")
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            except (OSError, TimeoutError, ValueError):
                await asyncio.sleep(_PAUSE_BETWEEN_REQUESTS_S)
                continue
            while loop.time() < until and await self._send(reader, writer, address,
                                                           *self._make_request()):
                await asyncio.sleep(self._random.uniform(0, 2 * _PAUSE_BETWEEN_REQUESTS_S))
            writer.close()

    async def _request(self, stream: Stream | None = None) -> None:
        address = await self._address()
        if address is None:
            self.seen.outcomes["no address"] += 1
            return
        host, port = address.split(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
        except (OSError, TimeoutError):
            self.seen.outcomes["unreachable"] += 1
            return
        await self._send(reader, writer, address, *self._make_request(stream), stream)
        writer.close()

    def _resume_later(self, stream: Stream) -> None:
        if stream.last_event and stream.tries < MAX_TRIES:
            self._resumptions.append(asyncio.create_task(self._request(stream)))

    def _make_request(self, stream: Stream | None = None) -> tuple[str, str, str]:
        """Returns the text, the kind and the id of a new request, which resumes a stream
        if there is one."""
        self._number += 1
        request_id = f"r{self._number}"
        kind = "chat" if stream else self._random.choice(
            ["chat", "chat", "draft", "hold", "lookup"])
        text = (f"POST /{kind}/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
                "Deadline-Ms: 6000\r\nAuthorization: Token key\r\nContent-Length: 0\r\n")
        if kind in ("chat", "draft"):
            text += f"Model: m\r\nToken-Usage: {PROMPT},{MAX_OUTPUT}\r\nPrefix-Hash: a:100,b:100\r\n"
        if stream:
            text += f"Last-Event-Id: {stream.last_event}\r\nResumes: {stream.first_id}\r\n"
        return text + "\r\n", kind, request_id

    async def _send(self, reader, writer, address: str, text: str, kind: str,
                    request_id: str, stream: Stream | None = None) -> bool:
        """Sends a request and checks its answer. Returns whether the connection may be
        used again."""
        head, whole = None, False
        stream = stream or Stream()
        stream.tries += 1
        try:
            writer.write(text.encode())
            head = await asyncio.wait_for(read_head(reader), 8)
            if head is None:
                self.seen.outcomes["closed"] += 1
            else:
                body, whole = await asyncio.wait_for(self._body(reader, head), 8)
                self._check_answer(kind, request_id, head, body, whole, stream)
        except (OSError, TimeoutError):
            self.seen.outcomes["unreachable"] += 1
        if not whole:
            end = asyncio.get_running_loop().time()
            self.seen.cuts.append(Cut(address, request_id, end))
            if kind == "chat":
                self._resume_later(stream)
        return whole and head.headers.get("connection") != "close"

    async def _body(self, reader, head):
        if head.headers.get("transfer-encoding") == "chunked":
            return await read_chunks(reader)
        try:
            return await reader.readexactly(int(head.headers["content-length"])), True
        except (asyncio.IncompleteReadError, ConnectionError):
            return b"", False

    def _check_stream(self, request_id: str, lines: list[str], events: int,
                      stream: Stream) -> None:
        seen, resumes = self.seen, stream.last_event > 0
        versions = {line for line in lines if line.startswith("version: ")}
        if len(versions | ({stream.version} if resumes else set())) > 1:
            seen.mixed.append(f"{request_id}: {stream.first_id} {stream.version} {versions}")
        if resumes:
            seen.resumed += 1
            seen.resumed_on += events > 0
        else:
            seen.chats += 1
            seen.chats_begun += events > 0
        if events and not resumes:
            stream.first_id, stream.version = request_id, next(iter(versions))
        stream.last_event += events

    def _check_answer(self, kind: str, request_id: str, head, body: bytes, whole: bool,
                      stream: Stream) -> None:
        seen = self.seen
        lines = body.decode().split("\n")
        events = [line for line in lines if line.startswith("data: ")]
        before = stream.last_event
        if kind == "chat":
            self._check_stream(request_id, lines, len(events), stream)
        seen.delivered[request_id] += len(events)
        seen.outcomes[f"{head.status}{'' if whole else ' cut'}"] += 1
        if head.status in (429, 503):
            seen.not_run.add(request_id)
        if head.status >= 300:
            return
        if not head.headers.get("server-signature", "").endswith(f".{request_id}"):
            seen.wrong.append(f"{request_id}: signature")
        if kind in ("chat", "draft"):
            wanted = [f"data: {request_id} {n}"
                      for n in range(before + 1, before + len(events) + 1)]
            if events != wanted:
                seen.wrong.append(f"{request_id}: events {events}")
            if whole and before + len(events) != MAX_OUTPUT // 7:
                seen.wrong.append(f"{request_id}: complete with {len(events)} events")
        elif whole and body != f"plain {request_id}".encode():
            seen.wrong.append(f"{request_id}: body {body!r}")

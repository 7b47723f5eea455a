"""Stand-in of the platform's store: topics that keep the newest record of each key.

Each router connects to its own port, so that some routers can be refused while
other routers are served."""

import asyncio
import base64
import contextlib
import json
import random
import struct
from urllib.parse import parse_qs, urlsplit

from tests.soak.http import Message, answer, read_message
from tests.soak.unending import Unending


# Limits of the store: bytes of a record and of a request, and what a page holds at most.
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
PAGE_RECORDS = 500
PAGE_BYTES = 1_000_000
LENGTH_BYTES = 4
OFFSETS_BYTES = 16
# Routers ask for the page after this key to learn only where a topic ends.
AFTER_ALL_KEYS = "\x7f"


class Topic:
    def __init__(self) -> None:
        self.first = 0
        self.records: list[tuple[str, bytes]] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.writers: dict[str, tuple[int, int, bytes]] = {}
        self.appended = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> None:
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))
        self.appended.set()
        self.appended = asyncio.Event()


class Store:
    def __init__(self, seed: int) -> None:
        self.topics: dict[str, Topic] = {}
        self.refused_ports: set[int] = set()  # ports whose requests are refused
        self.unread: set[tuple[int, str]] = set()  # ports and topics whose reads get no answer
        self.silent = False
        self.unending: Unending | None = None  # what all calls are answered with
        self._silences = 0
        self.page_delay_s: dict[str, float] = {}  # by topic, until a page is answered
        self.lost_reply_ratio = 0.0  # share of appends that take effect but get no reply
        self.calls = 0
        self._random = random.Random(seed)
        self._ports: list[int] = []  # in the routers' order
        self._servers: list[asyncio.Server] = []

    def _value_for(self, topic: str, value: bytes, port: int) -> bytes:
        """Returns a record as the router at this port reads it: with the address at which
        it reaches an upstream."""
        if topic != "keyed.servers" or b'"addresses"' not in value:
            return value
        entry = json.loads(value)
        entry["address"] = entry.pop("addresses")[self._ports.index(port)]
        return json.dumps(entry).encode()

    def topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: dict | None) -> None:
        self.topic(topic).append(key, b"" if value is None else json.dumps(value).encode())

    def put_raw(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record whose value may be anything, as another writer would."""
        assert 1 + len(key) + len(value) <= RECORD_BYTES
        self.topic(topic).append(key, value)

    def value(self, topic: str, key: str) -> dict:
        """Returns the newest value of a key; empty if there is none."""
        _, value = self.topic(topic).newest.get(key, (0, b"{}"))
        return json.loads(value)

    def wake_readers(self) -> None:
        """Releases the reads that wait for a record."""
        for topic in self.topics.values():
            topic.appended.set()

    async def fall_silent(self, seconds: float) -> None:
        """Answers no call that is in progress or arrives in that time, also not later."""
        self._silences += 1
        self.silent = True
        await asyncio.sleep(seconds)
        self.silent = False

    def compact(self) -> None:
        """Drops all records except the newest of each key."""
        for topic in self.topics.values():
            topic.first = topic.end
            topic.records = []

    async def listen(self) -> int:
        server = await asyncio.start_server(lambda r, w: self._serve(r, w, port), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self._servers.append(server)
        self._ports.append(port)
        return port

    async def _serve(self, reader, writer, port: int) -> None:
        while True:
            request, whole = await read_message(reader)
            if request is None or not whole:
                break
            self.calls += 1
            silences = self._silences
            if port in self.refused_ports:
                if self._random.random() < 0.5:
                    break
                writer.write(answer(503))
                continue
            if self.unending:
                await self.unending.send(writer, {})
                break
            reply = await self._answer(request, port)
            if self.silent or self._silences != silences or self._is_unread(request, port):
                # The answer is lost, and so are all others on this connection.
                with contextlib.suppress(ConnectionError):
                    await reader.read(-1)
                break
            if reply is None or port in self.refused_ports:
                break
            writer.write(reply)
        writer.close()

    def _is_unread(self, request: Message, port: int) -> bool:
        target = request.start_line.split()[1]
        return any(port == p and f"topic={topic}&" in target for p, topic in self.unread)

    async def _answer(self, request: Message, port: int) -> bytes | None:
        method, target, _ = request.start_line.split()
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        name = query["topic"]
        topic = self.topic(name)
        if url.path == "/api/log-newest":
            if query.get("after") != AFTER_ALL_KEYS:
                await asyncio.sleep(self.page_delay_s.get(name, 0))
            return self._newest(name, query.get("after", ""), port)
        if url.path == "/api/log-read":
            return await self._read(name, query, port)
        if len(request.body) > REQUEST_BYTES:
            return answer(413)
        if len(request.body) > LENGTH_BYTES + RECORD_BYTES:
            return answer(400)
        return self._append(topic, query, request.body)

    def _newest(self, name: str, after: str, port: int) -> bytes:
        topic = self.topic(name)
        listed = [(key, *topic.newest[key]) for key in sorted(topic.newest) if key > after]
        entries, size = [], 0
        for key, offset, value in listed[:PAGE_RECORDS]:
            text = base64.b64encode(self._value_for(name, value, port)).decode()
            size += len(text)
            if entries and size > PAGE_BYTES:
                break
            entries.append({"key": key, "offset": offset, "value": text})
        body = {"entries": entries, "hasMore": len(entries) < len(listed),
                "endOffset": topic.end}
        return answer(200, json.dumps(body).encode())

    async def _read(self, name: str, query: dict[str, str], port: int) -> bytes:
        topic = self.topic(name)
        start, wait_ms = int(query["from"]), int(query["waitMs"])
        most = int(query.get("maxReadKb", 1024)) * 1024
        if start >= topic.end:
            try:
                await asyncio.wait_for(topic.appended.wait(), wait_ms / 1000)
            except TimeoutError:
                pass
        if start < topic.first:
            return answer(410, json.dumps({"firstOffset": topic.first}).encode())
        body = struct.pack(">QQ", topic.end, topic.first)
        for key, value in topic.records[start - topic.first :]:
            record = bytes([len(key)]) + key.encode() + self._value_for(name, value, port)
            if len(body) > OFFSETS_BYTES and len(body) + len(record) > most:
                break
            body += struct.pack(">I", len(record)) + record
        return answer(200, body)

    @staticmethod
    def _add(topic: Topic, body: bytes) -> bytes:
        offset = topic.end
        if body:
            key_size = body[4]
            topic.append(body[5 : 5 + key_size].decode(), body[5 + key_size :])
        return answer(200, json.dumps({"offset": offset, "endOffset": topic.end}).encode())

    def _append(self, topic: Topic, query: dict, body: bytes) -> bytes | None:
        if "producer" not in query:
            reply = self._add(topic, body)
            return None if self._random.random() < self.lost_reply_ratio else reply
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        known_epoch, known_sequence, known_reply = topic.writers.get(query["producer"], (0, 0, b""))
        if epoch < known_epoch:
            return answer(409, b'{"reason":"fenced"}')
        if epoch == known_epoch and sequence == known_sequence and known_reply:
            return known_reply
        if epoch == known_epoch and sequence != known_sequence + 1:
            return answer(409, b'{"reason":"seq"}')
        reply = self._add(topic, body)
        topic.writers[query["producer"]] = (epoch, sequence, reply)
        return None if self._random.random() < self.lost_reply_ratio else reply

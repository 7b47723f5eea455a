"""Stand-in of the platform's store: topics of keyed records in one partition each."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from http_messages import answer, read_message

APPEND_S = 0.002
PAGE_RECORDS = 500
REMEMBERED_APPENDS = 5


class Topic:
    def __init__(self):
        self.records = []  # of key and value
        self.newest = {}  # by key: offset and value
        self.producers = {}  # by name: epoch, sequence, the last replies by sequence
        self.appended = asyncio.Event()
        self.lock = asyncio.Lock()

    def append(self, key, value):
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))
        self.appended.set()
        self.appended = asyncio.Event()


class Store:
    def __init__(self):
        self.topics = {}

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, name, key, document):
        """Writes a record as the operator and the servers do; None removes the key."""
        value = b"" if document is None else json.dumps(document, separators=(",", ":")).encode()
        self.topic(name).append(key, value)

    async def listen(self, ip, port):
        await asyncio.start_server(self._serve, ip, port)

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                writer.write(await self._answer(request))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the reader left, or the case is over
        finally:
            writer.close()

    async def _answer(self, request):
        _, target, _ = request.start_line.split()
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = self.topic(query["topic"])
        if url.path == "/api/log-newest":
            return self._newest(topic, query.get("after", ""))
        if url.path == "/api/log-read":
            return await self._read(topic, query)
        if url.path == "/api/log-append":
            async with topic.lock:
                await asyncio.sleep(APPEND_S)
                return self._append(topic, query, request.body)
        return answer(404)

    @staticmethod
    def _newest(topic, after):
        keys = sorted(key for key in topic.newest if key > after)
        entries = []
        for key in keys[:PAGE_RECORDS]:
            offset, value = topic.newest[key]
            entries.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        page = {"entries": entries, "hasMore": len(keys) > PAGE_RECORDS,
                "endOffset": len(topic.records)}
        return answer(200, json.dumps(page).encode())

    @staticmethod
    async def _read(topic, query):
        start = int(query["from"])
        most = int(query.get("maxReadKb", 1024)) * 1024
        if start >= len(topic.records):
            try:
                await asyncio.wait_for(topic.appended.wait(), int(query.get("waitMs", 0)) / 1000)
            except asyncio.TimeoutError:
                pass
        body = struct.pack(">QQ", len(topic.records), 0)
        first = True
        for key, value in topic.records[start:]:
            record = bytes([len(key)]) + key.encode() + value
            if not first and len(body) + len(record) > most:
                break
            first = False
            body += struct.pack(">I", len(record)) + record
        return answer(200, body)

    @staticmethod
    def _append(topic, query, body):
        def add():
            offset = len(topic.records)
            rest = body
            while rest:
                size = struct.unpack(">I", rest[:4])[0]
                record, rest = rest[4:4 + size], rest[4 + size:]
                key_size = record[0]
                topic.append(record[1:1 + key_size].decode(), record[1 + key_size:])
            reply = {"offset": offset, "endOffset": len(topic.records)}
            return answer(200, json.dumps(reply).encode())

        if "producer" not in query:
            return add()
        epoch, sequence = int(query["epoch"]), int(query.get("sequence", 0))
        known = topic.producers.get(query["producer"])
        if known is not None:
            known_epoch, known_sequence, replies = known
            if epoch < known_epoch:
                return answer(409, b'{"reason":"fenced"}')
            if epoch == known_epoch:
                if sequence in replies:
                    return replies[sequence]
                if sequence != known_sequence + 1:
                    return answer(409, json.dumps(
                        {"reason": "seq", "sequence": known_sequence + 1}).encode())
        replies = known[2] if known is not None and epoch == known[0] else {}
        replies[sequence] = add()
        for old in sorted(replies)[:-REMEMBERED_APPENDS]:
            del replies[old]
        topic.producers[query["producer"]] = (epoch, sequence, replies)
        return replies[sequence]

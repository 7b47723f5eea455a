"""Upstreams whose responses do not end, behind a router of the log's core."""

import asyncio
import contextlib
import json
import threading
import time
import unittest
from collections import Counter
from collections.abc import Callable
from typing import Any

from tests.process.misbehaving_clients import ProcessState, short_fields
from tests.process.support import API_KEY, FleetTest, Router
from tests.soak.http import answer, chunk, read_message
from tests.soak.unending import Unending
from tools.harness.ports import HOST, free_address

# What a router may use on its VM.
MEMORY = 256_000_000
UPSTREAMS = 20
REQUESTS = 120
DEADLINE_MS = 5_000
ENDED_WITHIN_S = 20
ORDINARY_PAUSE_S = 0.1
LAST_CHUNK = b"0\r\n\r\n"
MODEL = "unending-model"
SERVICE = "unending-service"
# Just below what a router keeps of a head, and of an event.
ALMOST_HEAD = 60_000
ALMOST_EVENT = 240_000

OK = "HTTP/1.1 200 OK\r\n"
CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n"
EVENTS = OK + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


class UnendingUpstreams:
    """Engines and services on a thread of their own. They are healthy, and end no other
    response."""

    def __init__(self, unending: Unending) -> None:
        self.engines = [free_address() for _ in range(UPSTREAMS)]
        self.services = [free_address() for _ in range(UPSTREAMS)]
        self._unending = unending
        self._loop = asyncio.new_event_loop()
        self._loop.run_until_complete(self._listen())
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _listen(self) -> None:
        for address in self.engines + self.services:
            host, port = address.split(":")
            await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            request, whole = await read_message(reader)
            if request and whole and request.start_line.startswith("GET /health"):
                writer.write(answer(200))
            elif request and whole:
                await self._unending.send(writer, {})
        writer.close()


def chat(number: int) -> bytes:
    body = json.dumps({"model": MODEL, "stream": True, "max_tokens": 50,
                       "messages": [{"role": "user", "content": "a prompt"}]})
    return post("/v1/chat/completions", number, body)


def service_call(number: int) -> bytes:
    return post(f"/v1/services/{SERVICE}/holds", number, "{}")


def post(target: str, number: int, body: str) -> bytes:
    return (f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {API_KEY}\r\n"
            f"X-Deadline-Ms: {DEADLINE_MS}\r\nIdempotency-Key: unending-{number}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n{body}").encode()


async def receive(router: Router, request: bytes) -> str:
    """Sends a request. Returns how its response ended: with a status that is no success, cut,
    as if it was complete, or not at all."""
    host, port = router.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        async with asyncio.timeout(ENDED_WITHIN_S):
            head = await reader.readuntil(b"\r\n\r\n")
            status = head.split()[1].decode()
            if status != "200":
                return status
            last = b""
            while piece := await reader.read(65_536):
                last = (last + piece)[-len(LAST_CHUNK):]
                if last == LAST_CHUNK:
                    return "complete"
            return "cut"
    except TimeoutError:
        return "open"
    except (asyncio.IncompleteReadError, ConnectionError):
        return "cut"
    finally:
        writer.close()


class UnendingResponses(FleetTest):
    # Guards against a first line that is kept without end.
    def test_status_line(self) -> None:
        self.check(service_call, Unending("HTTP/1.1 200 ", b"x"))

    # Guards against header fields that are kept without end.
    def test_header_fields(self) -> None:
        self.check(service_call, Unending(OK, b"Name: value\r\n"))

    # Guards against heads that take many times their size.
    def test_heads_of_short_fields(self) -> None:
        fields = short_fields(ALMOST_HEAD).decode()
        self.check(service_call, Unending(
            f"{OK}{fields}Transfer-Encoding: chunked\r\n\r\n", chunk(b"x" * 1000)))

    # Guards against interim responses that are read until the time-out.
    def test_interim_responses(self) -> None:
        self.check(service_call, Unending("", b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"))

    # Guards against the rest of a chunk's first line that is kept without end.
    def test_chunk_header(self) -> None:
        self.check(service_call, Unending(CHUNKED + "5;name=", b"x"))

    # Guards against trailer fields that are kept without end.
    def test_trailer_fields(self) -> None:
        self.check(service_call, Unending(CHUNKED + "1\r\nx\r\n0\r\n", b"Name: value\r\n"))

    # Guards against bodies that are within their limit each and not together.
    def test_chunked_body(self) -> None:
        self.check(service_call, Unending(CHUNKED, chunk(b"x" * 16_000)))

    # Guards against memory that is reserved for a stated length.
    def test_body_of_a_huge_length(self) -> None:
        self.check(service_call, Unending(f"{OK}Content-Length: {2**63 - 1}\r\n\r\n", b"x"))

    # Guards against an event that is kept without end.
    def test_event_line(self) -> None:
        self.check(chat, Unending(EVENTS, chunk(b"data: " + b"x" * 1000)))

    # Guards against unfinished events that many upstreams leave open at once.
    def test_events_left_open(self) -> None:
        self.check(chat, Unending(EVENTS, chunk(b": comment\n"), ALMOST_EVENT))

    # Guards against comments that keep a stream open.
    def test_comments(self) -> None:
        self.check(chat, Unending(EVENTS, chunk(b": comment\n\n" * 100)))

    def check(self, request: Callable[[int], bytes], unending: Unending) -> None:
        """Sends requests to upstreams that do not end their responses, all at once, and
        ordinary ones to another upstream until all of the first have ended."""
        self.unending = UnendingUpstreams(unending)
        self.addCleanup(self.unending.close)
        self.limits["first_token_timeout_ms"] = 3000
        self.start_upstreams(engines=1)
        router = self.start_routers(count=1)[0]
        process = ProcessState(router.process.pid)
        ended = threading.Event()
        beside = self.in_background(self.send_ordinary, router, ended)
        began = time.monotonic()
        received = Counter(asyncio.run(self.receive_all(router, request)))
        took = time.monotonic() - began
        ended.set()
        self.assertTrue(router.process.running, router.process.tail())
        whole = beside.result()
        memory = process.peak_memory()
        print(f"{self.id()}: memory {memory}, {took:.1f} s, {dict(received)}, "
              f"ordinary {dict(whole)}")
        self.assertLessEqual(memory, MEMORY)
        self.assertEqual(0, received["complete"] + received["open"])
        self.assertEqual({True}, set(whole))

    @staticmethod
    async def receive_all(router: Router, request: Callable[[int], bytes]) -> list[str]:
        return await asyncio.gather(
            *[receive(router, request(number)) for number in range(REQUESTS)])

    def send_ordinary(self, router: Router, ended: threading.Event) -> Counter[bool]:
        """Sends requests one after another. Returns how many were served, and not."""
        whole: Counter[bool] = Counter()
        while not ended.is_set():
            whole[self.draft(router, f"ordinary-{whole.total()}", 5).whole] += 1
            time.sleep(ORDINARY_PAUSE_S)
        return whole

    def _upstreams(self) -> list[dict[str, Any]]:
        engines = [{"id": f"unending-engine-{number}", "kind": "MODEL_ENGINE",
                    "models": [MODEL], "address": address, "failure_domain": "fd-a"}
                   for number, address in enumerate(self.unending.engines)]
        services = [{"id": f"unending-service-{number}", "kind": "PLAIN_SERVICE",
                     "service": SERVICE, "address": address, "failure_domain": "fd-a",
                     "call_cost_tokens": 1}
                    for number, address in enumerate(self.unending.services)]
        return [*super()._upstreams(), *engines, *services]

    def _rules(self) -> list[dict[str, Any]]:
        route = {"admission_class": "INTERACTIVE", "max_queue_ms": self.max_queue_ms}
        return [*super()._rules(),
                {"id": "unending", "when": {"models": [MODEL]}, "then": {"route": route}},
                {"id": "calls", "when": {"services": [SERVICE]},
                 "then": {"route": {**route, "non_idempotent": True}}}]


if __name__ == "__main__":
    unittest.main()

"""Upstreams whose responses do not end, behind entry routers with real processes."""

import asyncio
import time
import unittest
from collections import Counter

from tests.process.misbehaving_clients import ProcessState, short_fields
from tests.soak.callers import HOST
from tests.soak.http import chunk, read_message
from tests.soak.platform import Platform, Router, run_scenario
from tests.soak.unending import Unending

# The VM of the test.
MEMORY = 64_000_000
VM_LIMITS = {"memoryMb": MEMORY // 1_000_000, "fileDescriptors": 1009}
# What is kept of the store's answers does not depend on the VM.
STORE_MEMORY = 260_000_000
REQUESTS = 250
RELAYED_REQUESTS = 40  # what one relay takes
DEADLINE_MS = 4_000
ENDED_WITHIN_S = 8
ORDINARY_PAUSE_S = 0.1
LAST_CHUNK = b"0\r\n\r\n"
# Just below what a router keeps of a head, and of an event.
ALMOST_HEAD = 64_000
ALMOST_EVENT = 250_000

OK = "HTTP/1.1 200 OK\r\n"
SIGNED = OK + "{signed}"
CHUNKED = SIGNED + "Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = SIGNED + "Connection: close\r\n\r\n"
LINE = b"data: x\n"


def request(kind: str, number: int) -> bytes:
    streamed = kind in ("draft", "chat")
    fields = ("Model: m\r\nToken-Usage: 10,70\r\n"
              f"Prefix-Hash: a:5,b{number:x}:5\r\n") if streamed else ""
    return (f"POST /{kind}/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: u{number}\r\n"
            f"Authorization: Token office-key\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
            f"{fields}Content-Length: 0\r\n\r\n").encode()


async def receive(router: Router, kind: str, number: int, reads: bool) -> str:
    """Sends a request. Returns how its response ended: with a status that is no success, cut
    or as if it was complete."""
    reader, writer = await asyncio.open_connection("127.0.0.1", router.front)
    try:
        writer.write(request(kind, number))
        if not reads:
            await asyncio.sleep(ENDED_WITHIN_S)
            return "not read"
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
    except (asyncio.IncompleteReadError, ConnectionError):
        return "cut"
    finally:
        writer.close()


class OrdinaryRequests:
    """Requests to upstreams that are sound, one after another."""

    def __init__(self, router: Router, kind: str) -> None:
        self._router = router
        self._kind = kind
        self.statuses: Counter[int] = Counter()
        self.longest_s = 0.0

    async def send(self, ended: asyncio.Event) -> None:
        while not ended.is_set():
            await self._send_one(1_000_000 + self.statuses.total())
            await asyncio.sleep(ORDINARY_PAUSE_S)

    async def _send_one(self, number: int) -> None:
        began = time.monotonic()
        reader, writer = await asyncio.open_connection("127.0.0.1", self._router.front)
        writer.write(request(self._kind, number))
        reply, whole = await asyncio.wait_for(read_message(reader), ENDED_WITHIN_S)
        writer.close()
        self.statuses[reply.status if reply and whole else 0] += 1
        self.longest_s = max(self.longest_s, time.monotonic() - began)


class UnendingResponses(unittest.TestCase):
    # Guards against a first line that is kept without end.
    def test_status_line(self) -> None:
        self.check("hold", Unending("HTTP/1.1 200 ", b"x"))

    # Guards against header fields that are kept without end.
    def test_header_fields(self) -> None:
        self.check("hold", Unending(SIGNED, b"Name: value\r\n"))

    # Guards against heads that many upstreams leave open at once.
    def test_heads_left_open(self) -> None:
        self.check("hold", Unending(SIGNED, b"Name: value\r\n", ALMOST_HEAD))

    # Guards against heads that take many times their size.
    def test_heads_of_short_fields(self) -> None:
        fields = short_fields(ALMOST_HEAD).decode()
        self.check("hold", Unending(SIGNED + fields + "Transfer-Encoding: chunked\r\n\r\n",
                                    chunk(b"x"), 0))

    # Guards against interim responses that are read until the deadline.
    def test_interim_responses(self) -> None:
        self.check("hold", Unending("", b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"))

    # Guards against the rest of a chunk's first line that is kept without end.
    def test_chunk_header(self) -> None:
        self.check("hold", Unending(CHUNKED + "5;name=", b"x"))

    # Guards against trailer fields that are kept without end.
    def test_trailer_fields(self) -> None:
        self.check("hold", Unending(CHUNKED + "1\r\nx\r\n0\r\n", b"Name: value\r\n"))

    # Guards against a body that is told as complete or goes on beyond the deadline.
    def test_body_until_the_end_of_the_connection(self) -> None:
        self.check("hold", Unending(UNFRAMED, b"x"))

    # Guards against the same in chunks.
    def test_chunked_body(self) -> None:
        self.check("hold", Unending(CHUNKED, chunk(b"x" * 16_000)))

    # Guards against processor time that follows the number of chunks.
    def test_tiny_chunks(self) -> None:
        self.check("hold", Unending(CHUNKED, chunk(b"x")))

    # Guards against memory that is reserved for a stated length.
    def test_body_of_a_huge_length(self) -> None:
        self.check("hold", Unending(f"{SIGNED}Content-Length: {2**63 - 1}\r\n\r\n", b"x"))

    # Guards against bodies that are kept for callers who do not read.
    def test_body_that_nobody_reads(self) -> None:
        self.check("hold", Unending(CHUNKED, chunk(b"x" * 16_000)), reads=False)

    # Guards against plain responses that many upstreams leave open while they are kept.
    def test_bodies_left_open(self) -> None:
        self.check("hold", Unending(CHUNKED, chunk(b"x"), ALMOST_EVENT))

    # Guards against a refusal that is read without end.
    def test_refusal(self) -> None:
        self.check("hold", Unending("HTTP/1.1 503 X\r\nNot-Executed: 1\r\n{signed}"
                                    "Transfer-Encoding: chunked\r\n\r\n",
                                    chunk(b"x" * 16_000)))

    # Guards against an event that is kept without end.
    def test_event_line(self) -> None:
        self.check("draft", Unending(UNFRAMED + "data: ", b"x"))

    # Guards against the same line by line.
    def test_event_without_a_blank_line(self) -> None:
        self.check("draft", Unending(UNFRAMED, LINE))

    # Guards against unfinished events that many upstreams leave open at once.
    def test_events_left_open(self) -> None:
        self.check("draft", Unending(UNFRAMED, LINE, ALMOST_EVENT))

    # Guards against comments that keep a stream open beyond its deadline.
    def test_comments(self) -> None:
        self.check("draft", Unending(UNFRAMED, b": comment\n\n"))

    # Guards against events without end that take all the processor time.
    def test_events(self) -> None:
        self.check("draft", Unending(UNFRAMED, LINE + b"\n"))

    # Guards against the same for callers who do not read.
    def test_events_that_nobody_reads(self) -> None:
        self.check("draft", Unending(UNFRAMED, LINE + b"\n"), reads=False)

    # Guards against a relay that keeps what its caller has not read.
    def test_body_through_a_relay(self) -> None:
        self.check("hold", Unending(UNFRAMED, b"x"), relayed=True)

    # Guards against heads that are kept at the far end of relays.
    def test_header_fields_through_a_relay(self) -> None:
        self.check("hold", Unending(SIGNED, b"Name: value\r\n"), relayed=True)

    # Guards against memory of a relay for callers who do not read.
    def test_body_through_a_relay_that_nobody_reads(self) -> None:
        self.check("hold", Unending(CHUNKED, chunk(b"x" * 16_000)), relayed=True, reads=False)

    # Guards against a store that exhausts the memory by the answers to all calls.
    def test_answers_of_the_store(self) -> None:
        async def scenario(platform: Platform) -> None:
            router = platform.routers[0]
            ordinary = OrdinaryRequests(router, "lookup")
            ended = asyncio.Event()
            beside = asyncio.create_task(ordinary.send(ended))
            platform.store.unending = Unending(OK + "Transfer-Encoding: chunked\r\n\r\n",
                                               chunk(b"x" * 16_000))
            platform.store.wake_readers()
            await asyncio.sleep(ENDED_WITHIN_S / 2)
            platform.store.unending = None
            ended.set()
            await beside
            memory = ProcessState(router.process.pid).peak_memory()
            print(f"{self.id()}: {memory}, ordinary {dict(ordinary.statuses)}")
            self.assertIsNone(router.process.returncode, "the process ended")
            self.assertLessEqual(memory, STORE_MEMORY)
            self.assertEqual({200}, set(ordinary.statuses))

        run_scenario(scenario, routers=1, engines=2,
                     vm_limits={"memoryMb": STORE_MEMORY // 1_000_000})

    def check(self, kind: str, unending: Unending, relayed: bool = False,
              reads: bool = True) -> None:
        """Sends requests of a kind whose upstreams do not end their responses, all at once,
        and ordinary ones to other upstreams until all of the first have ended."""
        async def scenario(platform: Platform) -> None:
            router = platform.routers[0]
            if relayed:
                platform.partition({0}, reset=True)
                await platform.send_many(3)
            platform.answer_without_end({kind: unending})
            ordinary = OrdinaryRequests(router, "lookup" if kind == "draft" else "draft")
            ended = asyncio.Event()
            beside = asyncio.create_task(ordinary.send(ended))
            count = RELAYED_REQUESTS if relayed else REQUESTS
            began = time.monotonic()
            received = Counter(await asyncio.gather(
                *[receive(router, kind, number, reads) for number in range(count)]))
            took = time.monotonic() - began
            ended.set()
            await beside
            for one in platform.routers:
                self.assertIsNone(one.process.returncode, "a process ended")
            memory = max(ProcessState(one.process.pid).peak_memory()
                         for one in platform.routers)
            print(f"{self.id()}: { {'memory': memory, 'seconds': round(took, 1)} } "
                  f"{dict(received)}, ordinary {dict(ordinary.statuses)}, the longest "
                  f"{ordinary.longest_s:.1f} s")
            self.assertLessEqual(memory, MEMORY)
            self.assertNotIn("complete", received)
            self.assertLess(took, ENDED_WITHIN_S + 1)
            self.assertEqual({200}, set(ordinary.statuses))

        run_scenario(scenario, routers=2 if relayed else 1, engines=2, vm_limits=VM_LIMITS)


if __name__ == "__main__":
    unittest.main()

"""Clients that keep to no limit, before an entry router with real processes."""

import asyncio
import itertools
import unittest
from collections.abc import Callable, Iterator

from tests.process.misbehaving_clients import (
    Crowd,
    ProcessState,
    after,
    chunked_body,
    repeat,
    short_fields,
)
from tests.soak.callers import HOST
from tests.soak.http import read_message
from tests.soak.platform import Platform, Router, run_scenario

# The VM of the test.
MEMORY = 64_000_000
DESCRIPTORS = 420
RESERVED_DESCRIPTORS = 200  # for files
VM_LIMITS = {"memoryMb": MEMORY // 1_000_000, "fileDescriptors": DESCRIPTORS}
# The time-outs are longer than a test, so that nothing but a limit ends a client.
HEADER = 16_384
BODY = 1_048_576
CALLER_LIMITS = {"maxHeaderBytes": HEADER, "maxBodyBytes": BODY,
                 "headerTimeoutMs": 120_000, "idleTimeoutMs": 120_000}
# Of the crowds whose bodies together exceed the memory, and of those that exceed the
# descriptors.
BODIES = 96
CONNECTIONS = 400
UNENDING = 33_554_432  # bytes that a client sends of what never ends
ANSWERED_WITHIN_S = 60
IDLE_TICKS = 3  # that an idle process may use between two looks


def head(fields: str = "", path: str = "/lookup/x", key: str = "unknown",
         number: int = 1) -> bytes:
    return (f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: c{number}\r\n"
            f"Authorization: Token {key}\r\nDeadline-Ms: 60000\r\n{fields}\r\n").encode()


CHUNKED = head("Transfer-Encoding: chunked\r\n", key="office-key")
Target = Callable[[Router], int]


async def send_ordinary(router: Router, size: int = 10) -> int:
    """Sends one request inside the limits. Returns the status of its answer, 0 without
    one or for a refusal that does not say when to come back."""
    text = head(f"Content-Length: {size}\r\n", key="office-key") + b"x" * size
    reader, writer = await asyncio.open_connection("127.0.0.1", router.front)
    writer.write(text)
    reply, whole = await asyncio.wait_for(read_message(reader), ANSWERED_WITHIN_S)
    writer.close()
    if not reply or not whole:
        return 0
    refused = reply.status in (429, 503)
    return 0 if refused and "retry-after" not in reply.headers else reply.status


async def wait_for_responses(platform: Platform, process: ProcessState) -> None:
    """Waits until upstreams have sent what the router takes, and it has passed on what
    callers take."""
    def progress() -> tuple[int, int]:
        sent = platform.ledger.runs.total() + platform.ledger.streamed.total()
        return sent, process.cpu_ticks() // IDLE_TICKS

    before = (-1, 0)
    while before != (now := progress()):
        before = now
        await asyncio.sleep(0.2)


class MisbehavingClients(unittest.TestCase):
    # Guards against a process that runs out of memory by one chunked body.
    def test_trailers_without_end(self) -> None:
        self.check(4, lambda: after(CHUNKED, trailers()))

    # Guards against the same by the rest of a chunk's first line.
    def test_chunk_extension_without_end(self) -> None:
        self.check(4, lambda: after(CHUNKED + b"1;", repeat(b"extension", UNENDING)))

    # Guards against memory that follows the number of unfinished bodies.
    def test_large_chunks_left_open(self) -> None:
        self.check(BODIES, unfinished_bodies(65_536))

    # Guards against the same where the overhead exceeds the content.
    def test_tiny_chunks_left_open(self) -> None:
        self.check(BODIES, unfinished_bodies(4))

    # Guards against bodies that are held until they have exceeded the limit.
    def test_bodies_over_the_limit_just_sent(self) -> None:
        self.check(BODIES, lambda: after(CHUNKED, chunked_body(4 * BODY, 16_384)))

    # Guards against refused senders that hold descriptors.
    def test_bodies_over_the_limit_announced(self) -> None:
        self.check(CONNECTIONS, lambda: after(
            head(f"Content-Length: {1024 * BODY}\r\n"), repeat(b"b", BODY // 4)))

    # Guards against heads that take many times their size.
    def test_heads_of_short_fields_left_open(self) -> None:
        fields = short_fields(HEADER - 512).decode()
        self.check(CONNECTIONS, lambda: iter(
            [head(f"{fields}Transfer-Encoding: chunked\r\n") + b"1\r\n"]))

    # Guards against callers that hold all descriptors.
    def test_connections_left_open(self) -> None:
        self.check(CONNECTIONS, lambda: iter([head()[:40]]))

    # Guards against the same on the port for addresses.
    def test_connections_left_open_on_the_directory(self) -> None:
        self.check(CONNECTIONS, lambda: iter([head()[:40]]), lambda r: r.directory)

    # Guards against trailers without end on the port for other routers.
    def test_trailers_without_end_to_a_relay(self) -> None:
        start = (b"RELAY / HTTP/1.1\r\nHost: relay\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.check(4, lambda: after(start, trailers()), lambda r: r.loads)

    # Guards against connections that hold all descriptors on that port.
    def test_connections_left_open_to_a_relay(self) -> None:
        self.check(CONNECTIONS, lambda: iter([b"RELAY / HT"]), lambda r: r.loads)

    # Guards against a call for each request of one read, within each other.
    def test_pipelined_requests(self) -> None:
        start = head("Content-Length: 0\r\n", "/hold/x", "office-key")
        request = b"A / HTTP/1.1\r\nHost:\r\n\r\n"
        self.check(4, lambda: after(start, repeat(request, 1_000_000)), stalled="hold",
                   pipelined=True)

    # Guards against the same on the port for addresses.
    def test_pipelined_requests_to_the_directory(self) -> None:
        request = b"A / HTTP/1.1\r\nHost:\r\n\r\n"
        self.check(4, lambda: repeat(request, 1_000_000), lambda r: r.directory)

    # Guards against responses that pile up for callers that do not read.
    def test_responses_that_nobody_reads(self) -> None:
        request = b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n"
        self.check(8, lambda: repeat(request, 1_000_000), lambda r: r.metrics)

    # Guards against requests that fill the memory while they wait for upstreams.
    def test_complete_bodies_that_wait(self) -> None:
        start = head("Transfer-Encoding: chunked\r\n", "/hold/x", "office-key")
        self.check(BODIES, lambda: after(start, chunked_body(BODY, 65_536), b"0\r\n\r\n"),
                   stalled="hold")

    # Guards against requests that hold all descriptors by their upstreams' connections.
    # They are inside the limits, so what comes after them may be refused.
    def test_requests_that_wait_for_upstreams(self) -> None:
        self.check(CONNECTIONS, complete_requests("/hold/x"), stalled="hold",
                   answers=(200, 503))

    # Guards against plain responses that are held for callers that do not read.
    def test_large_responses_that_nobody_reads(self) -> None:
        self.check(CONNECTIONS, complete_requests("/lookup/x"), padding=BODY)

    # Guards against the same by streams.
    def test_streams_that_nobody_reads(self) -> None:
        fields = "Model: m\r\nToken-Usage: 100,700\r\nPrefix-Hash: a:50,b:50\r\n"
        self.check(CONNECTIONS, complete_requests("/chat/x", fields), padding=65_536)

    # Guards against a limit that refuses what the pages allow.
    def test_a_single_large_request_is_served(self) -> None:
        async def scenario(platform: Platform) -> None:
            self.assertEqual(200, await send_ordinary(platform.routers[0], BODY))

        self.run_alone(scenario)

    def check(self, count: int, parts: Callable[[], Iterator[bytes]],
              port: Target = lambda r: r.front, stalled: str = "",
              pipelined: bool = False, padding: int = 0,
              answers: tuple[int, ...] = (200,)) -> None:
        """Sends the crowd; then one ordinary request, while the crowd stays."""
        async def scenario(platform: Platform) -> None:
            router = platform.routers[0]
            process = ProcessState(router.process.pid)
            platform.stall({stalled})
            platform.pad(padding)
            crowd = Crowd(process)
            self.addCleanup(crowd.close)
            for _ in range(count):
                crowd.add(port(router), parts(), 4096 if padding else 0)
            await asyncio.to_thread(crowd.send)
            if pipelined:
                platform.stall(set())
                await asyncio.to_thread(crowd.send)
            if padding:
                await wait_for_responses(platform, process)
            platform.pad(0)
            self.assertIsNone(router.process.returncode, "the process ended")
            status = await send_ordinary(router)
            connections = await router.figure("caller_connections")
            process.sample_connections()
            seen = {"memory": process.peak_memory(),
                    "connections": process.most_connections, "status": status}
            print(f"{self.id()}: {seen}")
            platform.stall(set())
            crowd.close()
            self.assertLessEqual(seen["memory"], MEMORY)
            self.assertLessEqual(seen["connections"], DESCRIPTORS - RESERVED_DESCRIPTORS)
            self.assertIn(status, answers)
            self.assertGreater(connections, 0, "the metrics port does not answer")

        self.run_alone(scenario)

    @staticmethod
    def run_alone(scenario) -> None:
        run_scenario(scenario, routers=1, engines=1, vm_limits=VM_LIMITS,
                     caller_limits=CALLER_LIMITS)


def unfinished_bodies(chunk_size: int) -> Callable[[], Iterator[bytes]]:
    """Returns what clients send in turn: each eighth one ends its body, the others stop
    just short of it."""
    number = itertools.count(1)

    def parts() -> Iterator[bytes]:
        end = b"0\r\n\r\n" if next(number) % 8 == 0 else b"0\r\n\r"
        return after(CHUNKED, chunked_body(BODY, chunk_size), end)

    return parts


def complete_requests(path: str, fields: str = "") -> Callable[[], Iterator[bytes]]:
    """Returns requests inside the limits, each with an id of its own."""
    number = itertools.count(1)
    return lambda: iter([head(f"{fields}Content-Length: 0\r\n", path, "office-key",
                              next(number))])


def trailers() -> Iterator[bytes]:
    """Yields the last chunk and trailers without their end."""
    return after(b"0\r\n", repeat(b"x-trailer: value\r\n", UNENDING))


if __name__ == "__main__":
    unittest.main()

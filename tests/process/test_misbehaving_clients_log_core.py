"""Clients that keep to no limit, before a router of the log's core."""

import unittest
from collections.abc import Callable, Iterator

from tests.process.misbehaving_clients import (
    Crowd,
    ProcessState,
    after,
    chunked_body,
    http2_requests,
    repeat,
    short_fields,
)
from tests.process.support import API_KEY, FleetTest, Router

# What a router may use on its VM.
MEMORY = 256_000_000
# Connections for each port, and what the process opens for itself.
MAX_CONNECTIONS = 200
OWN_CONNECTIONS = 60
HEADER = 16_384
BODY = 4_194_304
# The time-outs are longer than a test, so that nothing but a limit ends a client.
LIMITS = [
    f"--max-header-bytes={HEADER}",
    f"--max-body-bytes={BODY}",
    "--header-timeout-ms=120000",
    "--body-timeout-ms=120000",
    "--idle-timeout-ms=120000",
]
# Of the crowds whose bodies together exceed the memory, and of those that exceed the
# connections.
BODIES = 96
CONNECTIONS = 400
UNENDING = 100_663_296  # bytes that a client sends of what never ends


def head(fields: str = "") -> bytes:
    return (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {API_KEY}\r\n{fields}\r\n"
    ).encode()


CHUNKED = head("Transfer-Encoding: chunked\r\n")


def caller_port(router: Router) -> int:
    return int(router.addresses.caller.split(":")[1])


def operator_port(router: Router) -> int:
    return int(router.addresses.operator.split(":")[1])


def peer_port(router: Router) -> int:
    return int(router.addresses.peer.split(":")[1])


def trailers() -> Iterator[bytes]:
    """Yields the last chunk and trailers without their end."""
    return after(b"0\r\n", repeat(b"x-trailer: value\r\n", UNENDING))


class MisbehavingClients(FleetTest):
    # Guards against a process that runs out of memory by one chunked body.
    def test_trailers_without_end(self) -> None:
        self.check(4, lambda: after(CHUNKED, trailers()))

    # Guards against the same by the rest of a chunk's first line.
    def test_chunk_extension_without_end(self) -> None:
        self.check(4, lambda: after(CHUNKED + b"1;", repeat(b"extension", UNENDING)))

    # Guards against memory that follows the number of unfinished bodies.
    def test_large_chunks_left_open(self) -> None:
        self.check(BODIES, lambda: after(CHUNKED, chunked_body(BODY, 65_536)))

    # Guards against the same where the overhead exceeds the content.
    def test_tiny_chunks_left_open(self) -> None:
        self.check(BODIES, lambda: after(CHUNKED, chunked_body(BODY, 16)))

    # Guards against bodies that are held until they have exceeded the limit.
    def test_bodies_over_the_limit_just_sent(self) -> None:
        self.check(BODIES, lambda: after(CHUNKED, chunked_body(2 * BODY, 16_384)))

    # Guards against refused senders that take the place of others.
    def test_bodies_over_the_limit_announced(self) -> None:
        self.check(
            CONNECTIONS,
            lambda: after(
                head(f"Content-Length: {256 * BODY}\r\n"), repeat(b"b", BODY // 4)
            ),
        )

    # Guards against heads that take many times their size.
    def test_heads_of_short_fields_left_open(self) -> None:
        fields = short_fields(HEADER - 512).decode()
        self.check(
            1200,
            lambda: iter([head(f"{fields}Transfer-Encoding: chunked\r\n") + b"1\r\n"]),
            max_connections=1500,
        )

    # Guards against callers that hold all connections.
    def test_connections_left_open(self) -> None:
        self.check(CONNECTIONS, lambda: iter([head()[:40]]))

    # Guards against the same without a byte sent.
    def test_connections_left_idle(self) -> None:
        self.check(CONNECTIONS, lambda: iter([]))

    # Guards against trailers without end on the operators' port.
    def test_trailers_without_end_to_the_operators_port(self) -> None:
        self.check(4, lambda: after(CHUNKED, trailers()), operator_port)

    # Guards against fields that are kept for refused requests of other routers.
    def test_large_fields_to_the_peer_port(self) -> None:
        self.check(16, lambda: http2_requests(1200, 16_000), peer_port)

    # Guards against a limit that refuses what the settings allow.
    def test_a_single_large_request_is_read(self) -> None:
        self.start_upstreams()
        router = self.start_routers(count=1, arguments=LIMITS)[0]
        answer = self.caller.chat(router, "draft", "x" * (BODY - 1024))
        self.assertNotIn(answer.status, (408, 413, 503))

    def check(
        self,
        count: int,
        parts: Callable[[], Iterator[bytes]],
        port: Callable[[Router], int] = caller_port,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """Sends the crowd; then one ordinary request, while the crowd stays."""
        self.start_upstreams()
        router = self.start_routers(
            count=1, arguments=[f"--max-connections={max_connections}", *LIMITS]
        )[0]
        process = ProcessState(router.process.pid)
        crowd = Crowd(process)
        self.addCleanup(crowd.close)
        for _ in range(count):
            crowd.add(port(router), parts())
        crowd.send()
        self.assertTrue(router.process.running, router.process.tail())
        answer = self.draft(router, "ordinary", 5)
        process.sample_connections()
        seen = {
            "memory": process.peak_memory(),
            "connections": process.most_connections,
            "status": answer.status,
        }
        print(f"{self.id()}: {seen}")
        self.assertLessEqual(seen["memory"], MEMORY)
        self.assertLessEqual(seen["connections"], 2 * max_connections + OWN_CONNECTIONS)
        self.assertTrue(answer.whole, answer)


if __name__ == "__main__":
    unittest.main()

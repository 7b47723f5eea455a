"""A request that ends the upstreams that run it."""

import asyncio
import os
import tempfile
import unittest
from collections.abc import Awaitable, Callable

from tests.soak.http import read_message
from tests.soak.platform import Platform

# What three upstreams ended under is given to no other.
_MOST_ENDED = 3
_REPEATS = 12
_PROGRAM = os.path.join(os.environ.get("COPPERVALVE_BUILD", "build"), "coppervalved")


def _request(number: int, body: str, path: str = "/draft/x") -> str:
    return (f"POST {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r{number}\r\n"
            "Deadline-Ms: 4000\r\nAuthorization: Token key\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"Model: m\r\nToken-Usage: 100,70\r\nPrefix-Hash: a:50,b:50\r\n\r\n{body}")


async def _ask(port: int, text: str) -> tuple[int, dict[str, str]]:
    """Returns the status, or 0 for an answer that broke off, and the headers."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(text.encode())
    reply, whole = await asyncio.wait_for(read_message(reader), 6)
    writer.close()
    if reply is None or not whole:
        return 0, {}
    return reply.status, reply.headers


class CrashingRequestTest(unittest.TestCase):
    def play(self, scenario: Callable[[Platform], Awaitable[None]]) -> Platform:
        async def run() -> Platform:
            with tempfile.TemporaryDirectory() as folder:
                platform = Platform(folder, _PROGRAM, seed=1)
                await platform.start(routers=3, engines=6)
                try:
                    await scenario(platform)
                finally:
                    await platform.stop()
                return platform

        return asyncio.run(run())

    # Drafts of many callers are cut at once, again and again: each time an engine
    # ends under one and the same request, which its caller sends anew under a new
    # id, to any router. Nothing remembered a request by its content, so that each
    # router held its end against the engine alone and gave the next one away.
    def test_one_request_ends_few_upstreams_however_often_it_comes(self) -> None:
        async def scenario(platform: Platform) -> None:
            for engine in platform.engines:
                engine.dies_on = b"poison"
            for number in range(_REPEATS):
                router = platform.routers[number % len(platform.routers)]
                await _ask(router.front, _request(number, "poison"))
                # What a router found out reaches the others.
                await asyncio.sleep(1)

        ended = self.play(scenario).ledger.ended
        self.assertLessEqual(len(ended), _MOST_ENDED, ended)


if __name__ == "__main__":
    unittest.main()

"""Upstreams that answer before they have read a request, or with a status that is none,
with real processes."""

import asyncio
import unittest

from tests.soak.callers import HOST
from tests.soak.http import read_head, read_message
from tests.soak.platform import Platform, run_scenario

UPLOAD = 2_000_000
RESET_AFTER_S = 0.5


async def half_close_early(reader, writer, signed: str) -> None:
    """Ends the answer while most of the request is unread, and resets later."""
    await reader.read(1_000)
    writer.transport.pause_reading()
    writer.write(f"HTTP/1.1 200 OK\r\n{signed}\r\na part".encode())
    writer.write_eof()
    await asyncio.sleep(RESET_AFTER_S)


async def answer_without_status(reader, writer, signed: str) -> None:
    """Sends the head and the body of an answer with the status 000 apart."""
    writer.write(f"HTTP/1.1 000 X\r\n{signed}Content-Length: 6\r\n\r\n".encode())
    await asyncio.sleep(0.02)
    writer.write(b"a part" + f"HTTP/1.1 200 OK\r\n{signed}Content-Length: 4\r\n\r\nnext".encode())
    await asyncio.sleep(RESET_AFTER_S)


def misbehave(server, how, reached: list[str]) -> None:
    async def serve(reader, writer, _router: int) -> None:
        request = await read_head(reader)
        if request is not None and "request-id" in request.headers:
            request_id = request.headers["request-id"]
            reached.append(request_id)
            await how(reader, writer, f"Server-Signature: {server.name}.{request_id}\r\n"
                                      f"Request-Id: {request_id}\r\n")
        writer.transport.abort()

    server._serve = serve


async def upload(platform: Platform, kind: str, number: int, size: int) -> str:
    """Returns the start line of a complete answer."""
    text = (f"POST /{kind}/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: rx{number}\r\n"
            "Deadline-Ms: 3000\r\nAuthorization: Token office-key\r\n"
            f"Content-Length: {size}\r\n\r\n")
    reader, writer = await asyncio.open_connection("127.0.0.1", platform.routers[0].front)
    writer.write(text.encode() + b"u" * size)
    reply, whole = await asyncio.wait_for(read_message(reader), 8)
    writer.close()
    return reply.start_line if whole and reply else ""


class EarlyAnswers(unittest.TestCase):
    def check(self, how, size: int, relayed: bool = False) -> None:
        async def scenario(platform: Platform) -> None:
            if relayed:
                platform.partition({0}, reset=True)
                await self.wait_until_served(platform)
            reached: list[str] = []
            for server in platform.servers:
                misbehave(server, how, reached)
            for kind in ("hold", "lookup"):
                for number in range(4):
                    start = await upload(platform, kind, number, size)
                    self.assertIn(" 502 ", start, kind)
                    self.assertIn(f"rx{number}", reached)
                reached.clear()
            await asyncio.sleep(2 * RESET_AFTER_S)

        run_scenario(scenario, routers=2, engines=1,
                     caller_limits={"maxBodyBytes": 2 * UPLOAD})

    async def wait_until_served(self, platform: Platform) -> None:
        for number in range(50):
            if " 200 " in await upload(platform, "lookup", 1_000 + number, 10):
                return
            await asyncio.sleep(0.1)
        self.fail("no relay")

    # Guards against a part of an answer that looks complete to its caller.
    def test_an_upload_that_was_not_read_has_no_success(self) -> None:
        self.check(half_close_early, UPLOAD)

    # Guards against the same through a relay.
    def test_a_relayed_upload_that_was_not_read_has_no_success(self) -> None:
        self.check(half_close_early, UPLOAD, relayed=True)

    # Guards against a status that is none and that reaches a caller as an answer.
    def test_a_status_that_is_none_is_no_answer(self) -> None:
        self.check(answer_without_status, 10)

    # Guards against the same through a relay.
    def test_a_relayed_status_that_is_none_is_no_answer(self) -> None:
        self.check(answer_without_status, 10, relayed=True)


if __name__ == "__main__":
    unittest.main()

"""Callers that read slowly, or not at all, with real processes."""

import asyncio
import socket
import unittest

from tests.soak.callers import HOST
from tests.soak.platform import Platform, run_scenario

RESPONSE = 80_000
BYTES_PER_S = 10_000
STEP_S = 0.1
WINDOW = 8_192
# After this, a caller that reads nothing must have lost its connection.
LONGEST_HOLD_S = 30.0


async def connect(port: int) -> socket.socket:
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW // 2)
    caller.setblocking(False)
    await asyncio.get_running_loop().sock_connect(caller, ("127.0.0.1", port))
    return caller


async def request(caller: socket.socket, kind: str, request_id: str) -> None:
    text = (f"POST /{kind}/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
            "Deadline-Ms: 12000\r\nAuthorization: Token key\r\nContent-Length: 0\r\n\r\n")
    await asyncio.get_running_loop().sock_sendall(caller, text.encode())


async def read_slowly(caller: socket.socket) -> int:
    """Reads steadily until the response is complete. Returns how many bytes came."""
    loop = asyncio.get_running_loop()
    received = 0
    while received < RESPONSE:
        try:
            piece = await asyncio.wait_for(
                loop.sock_recv(caller, int(BYTES_PER_S * STEP_S)), LONGEST_HOLD_S)
        except ConnectionError:
            break
        if not piece:
            break
        received += len(piece)
        await asyncio.sleep(STEP_S)
    return received


class SlowCallers(unittest.TestCase):
    # Guards against cutting a response that its caller reads slowly but steadily.
    def test_a_response_that_is_read_slowly_arrives_whole(self) -> None:
        async def scenario(platform: Platform) -> None:
            platform.pad(RESPONSE)
            router = platform.routers[0]
            callers = [await connect(router.front) for _ in range(8)]
            for number, caller in enumerate(callers):
                await request(caller, "hold" if number % 2 else "lookup", f"rs{number}")
            received = await asyncio.gather(*(read_slowly(caller) for caller in callers))
            self.assertGreaterEqual(min(received), RESPONSE, received)
            for caller in callers:
                caller.close()

        run_scenario(scenario, routers=1, engines=1)

    # Guards against connections that are held for callers that never read.
    def test_a_caller_that_reads_nothing_loses_its_connection(self) -> None:
        async def scenario(platform: Platform) -> None:
            platform.pad(4 * RESPONSE)
            router = platform.routers[0]
            callers = [await connect(router.front) for _ in range(8)]
            for number, caller in enumerate(callers):
                await request(caller, "hold" if number % 2 else "lookup", f"rs{number}")
            # One connection is that of the metrics.
            self.assertTrue(await platform.wait_for_figure(
                "caller_connections", 1, LONGEST_HOLD_S))
            for caller in callers:
                caller.close()

        run_scenario(scenario, routers=1, engines=1)


if __name__ == "__main__":
    unittest.main()

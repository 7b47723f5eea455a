"""Crowds of clients that keep to no limit, beside the faults of a soak."""

import asyncio
import random
import signal
from collections.abc import Iterator

from tests.process.misbehaving_clients import Crowd, ProcessState, after, chunked_body, repeat
from tests.soak.callers import HOST
from tests.soak.platform import Platform, Router

VM_LIMITS = {"memoryMb": 64, "fileDescriptors": 420}
BODY = 1_048_576
CALLER_LIMITS = {"maxBodyBytes": BODY}
CLIENTS = 60
UNENDING = 8_388_608
_CHUNKED = (f"POST /lookup/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: rc\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode()
_NORMAL_EXITS = (0, -signal.SIGKILL, -signal.SIGTERM)


def _parts(kind: int) -> Iterator[bytes]:
    if kind == 0:
        return after(_CHUNKED + b"0\r\n", repeat(b"x-trailer: value\r\n", UNENDING))
    if kind == 1:
        return after(_CHUNKED, chunked_body(BODY, 65_536))
    if kind == 2:
        return after(_CHUNKED, chunked_body(BODY, 16))
    if kind == 3:
        return repeat(b"A / HTTP/1.1\r\nHost:\r\n\r\n", 1_000_000)
    return iter([_CHUNKED[:40]])


class MisbehavingClients:
    """Sends crowds to routers in turn until the soak ends."""

    def __init__(self, platform: Platform, seed: int) -> None:
        self._platform = platform
        self._random = random.Random(seed)
        self.crowds = 0
        self.peak_memory = 0

    async def run(self, until: float) -> None:
        clock = asyncio.get_running_loop().time
        while clock() < until:
            router = self._random.choice(self._platform.routers)
            await asyncio.to_thread(self._send, router, self._random.randrange(5))
            await asyncio.sleep(0.5)

    def beyond_memory(self) -> int:
        """Returns how many bytes the largest router exceeded its memory by."""
        return max(0, self.peak_memory - VM_LIMITS["memoryMb"] * 1_000_000)

    def abnormal_exits(self) -> int:
        """Returns how many processes ended in another way than they were told to."""
        return sum(status not in _NORMAL_EXITS
                   for router in self._platform.routers for status in router.exits)

    def _send(self, router: Router, kind: int) -> None:
        process = ProcessState(router.process.pid)
        crowd = Crowd(process)
        try:
            for _ in range(CLIENTS):
                crowd.add(router.front, _parts(kind))
            crowd.send()
            self.peak_memory = max(self.peak_memory, process.peak_memory())
            self.crowds += 1
        except OSError:
            pass  # the router was stopped
        finally:
            crowd.close()

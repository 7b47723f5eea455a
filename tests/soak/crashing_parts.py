"""Requests with a part in their prompts that crashes engines, among sound ones."""

import asyncio

from tests.soak.platform import Platform

# Requirement: later than this after the fifth crash, at most three more requests with the
# part reach upstreams; from twice this on, sound requests begin at least half as often as
# before.
REPORT_TIME_S = 3.0
MAX_CRASHES = 5
MAX_ARRIVALS_AFTER = 3
MIN_SHARE_SERVED = 0.5
SOUND_PER_S = 40
CRASHING_PER_S = 2.5


class SoundRequests:
    """Requests of the same account with the first part, and the other parts, of the
    crashing ones."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._tasks: list[asyncio.Task] = []
        self._served: list[tuple[float, bool]] = []

    async def _send(self, number: int) -> None:
        at = asyncio.get_running_loop().time()
        other = ["c1", "c2", "c3"][number % 3]
        self._served.append((at, await self._platform.send(f"sound {number}", f"a:50,{other}")))

    async def run(self, until: float) -> None:
        number = 0
        while asyncio.get_running_loop().time() < until:
            number += 1
            self._tasks.append(asyncio.create_task(self._send(number)))
            await asyncio.sleep(1 / SOUND_PER_S)
        await asyncio.gather(*self._tasks)

    def share_served(self, since: float, until: float) -> float:
        served = [one for at, one in self._served if since <= at < until]
        return sum(served) / max(len(served), 1)


async def send_crashing(platform: Platform, part: str, until: float,
                        kind: str = "draft") -> None:
    """Sends requests with the part to any router; no two are alike."""
    tasks = []
    number = 0
    while asyncio.get_running_loop().time() < until:
        number += 1
        parts = f"a:50,{part}:50,{['c1', 'c2'][number % 2]}"
        tasks.append(asyncio.create_task(
            platform.send(f"{part} {number}", parts, kind=kind)))
        await asyncio.sleep(1 / CRASHING_PER_S)
    await asyncio.gather(*tasks)


def arrivals_after_report(ended: list[float], arrived: list[float]) -> int:
    """Counts the arrivals at upstreams that come too late after the fifth crash."""
    if len(ended) < MAX_CRASHES:
        return 0
    return sum(at > ended[MAX_CRASHES - 1] + REPORT_TIME_S for at in arrived)

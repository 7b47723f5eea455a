"""A part of a prompt that crashes the upstreams that answer requests with it."""

import asyncio
import unittest

from tests.soak.platform import Platform, run_scenario

CRASHING_PART = "bad"
# Requirement: later than this after the fifth crash, at most three more requests with the
# part reach upstreams; from twice this on, sound requests begin at least half as often as
# before.
REPORT_TIME_S = 3.0
MAX_CRASHES = 5
MAX_ARRIVALS_AFTER = 3
MIN_SHARE_SERVED = 0.5
SECONDS = 14.0
SECONDS_BEFORE = 3.0
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


async def send_crashing(platform: Platform, until: float, kind: str) -> None:
    """Sends requests with the part to any router; no two are alike."""
    tasks = []
    number = 0
    while asyncio.get_running_loop().time() < until:
        number += 1
        parts = f"a:50,{CRASHING_PART}:50,{['c1', 'c2'][number % 2]}"
        tasks.append(asyncio.create_task(platform.send(f"crashing {number}", parts, kind=kind)))
        await asyncio.sleep(1 / CRASHING_PER_S)
    await asyncio.gather(*tasks)


class CrashingPartTest(unittest.TestCase):
    def run_kind(self, kind: str) -> None:
        shares = []

        async def scenario(platform: Platform) -> None:
            platform.crash_parts.add(CRASHING_PART)
            begin = asyncio.get_running_loop().time()
            until = begin + SECONDS
            sound = SoundRequests(platform)
            sends = asyncio.create_task(sound.run(until))
            await asyncio.sleep(SECONDS_BEFORE)
            await send_crashing(platform, until, kind)
            await sends
            ended = platform.ledger.ended_by_part
            fifth = ended[min(MAX_CRASHES, len(ended)) - 1]
            shares.append(sound.share_served(begin, begin + SECONDS_BEFORE))
            shares.append(sound.share_served(fifth + 2 * REPORT_TIME_S, until))

        ledger = run_scenario(scenario, routers=3, engines=12).ledger
        self.assertGreaterEqual(len(ledger.ended_by_part), 2)
        after = [at for at in ledger.arrived_with_part
                 if len(ledger.ended_by_part) >= MAX_CRASHES
                 and at > ledger.ended_by_part[MAX_CRASHES - 1] + REPORT_TIME_S]
        self.assertLessEqual(len(after), MAX_ARRIVALS_AFTER, ledger.ended_by_part)
        self.assertGreaterEqual(shares[1], MIN_SHARE_SERVED * shares[0], shares)

    # Guards against a part of a prompt that crashes upstream after upstream because no two
    # requests with it are alike.
    def test_a_part_that_crashes_upstreams_reaches_few_of_them(self) -> None:
        self.run_kind("draft")

    # Guards against the same where the router repeats cut requests by itself.
    def test_a_part_that_crashes_upstreams_is_not_repeated_by_the_router(self) -> None:
        self.run_kind("chat")


if __name__ == "__main__":
    unittest.main()

"""A part of a prompt that crashes the upstreams that answer requests with it."""

import asyncio
import unittest

from tests.soak.crashing_parts import (
    MAX_ARRIVALS_AFTER, MAX_CRASHES, MIN_SHARE_SERVED, REPORT_TIME_S, SoundRequests,
    arrivals_after_report, send_crashing)
from tests.soak.platform import Platform, run_scenario

CRASHING_PART = "bad"
SECONDS = 14.0
SECONDS_BEFORE = 3.0


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
            await send_crashing(platform, CRASHING_PART, until, kind)
            await sends
            ended = platform.ledger.ended_by_part
            fifth = ended[min(MAX_CRASHES, len(ended)) - 1]
            shares.append(sound.share_served(begin, begin + SECONDS_BEFORE))
            shares.append(sound.share_served(fifth + 2 * REPORT_TIME_S, until))

        ledger = run_scenario(scenario, routers=3, engines=12).ledger
        self.assertGreaterEqual(len(ledger.ended_by_part), 2)
        after = arrivals_after_report(ledger.ended_by_part, ledger.arrived_with_part)
        self.assertLessEqual(after, MAX_ARRIVALS_AFTER, ledger.ended_by_part)
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

"""Routers that are partitioned from all upstreams, with real processes."""

import asyncio
import unittest

from tests.soak.limits import excess_failures
from tests.soak.platform import Platform, run_scenario

ROUTERS = 6
TRIES = 60
# Seconds after which a partition has to be noticed.
NOTICED_AFTER_S = 3.0


class Partition(unittest.TestCase):
    def test_five_routers_of_six_serve_through_the_last_one(self) -> None:
        self.check_served(partitioned={0, 1, 2, 3, 4}, reset=True)

    def test_routers_whose_open_connections_live_on_serve(self) -> None:
        self.check_served(partitioned={0, 1, 2}, reset=False)

    def test_routers_serve_by_themselves_after_the_partition(self) -> None:
        async def scenario(platform: Platform) -> None:
            platform.partition({0, 1, 2}, reset=True)
            await platform.send_many(NOTICED_AFTER_S)
            await platform.end_partition()
            await platform.send_many(NOTICED_AFTER_S)
            self.assertTrue(await platform.wait_for_figure("services_out_of_reach", 0))
            self.assertEqual(await platform.count_failures(platform.routers[:3], TRIES), 0)

        run_scenario(scenario, routers=ROUTERS, engines=4)

    def check_served(self, partitioned: set[int], reset: bool) -> None:
        async def scenario(platform: Platform) -> None:
            routers = platform.routers
            platform.partition(partitioned, reset)
            await platform.send_many(NOTICED_AFTER_S)
            there, elsewhere = await asyncio.gather(
                platform.count_failures([routers[i] for i in partitioned], TRIES),
                platform.count_failures(
                    [r for i, r in enumerate(routers) if i not in partitioned], TRIES))
            self.assertEqual(excess_failures(there, elsewhere, TRIES), 0)

        run_scenario(scenario, routers=ROUTERS, engines=4)


if __name__ == "__main__":
    unittest.main()

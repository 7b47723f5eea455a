"""Upstreams that announce a request rate limit for all routers together."""

import asyncio
import unittest

from tests.soak.limits import PROPAGATION_S, max_allowed_arrivals, max_arrivals_in_window
from tests.soak.platform import FAULT_REQUESTS_PER_S, Platform, run_scenario
from tests.soak.servers import Server


class UpstreamLimitTest(unittest.TestCase):
    async def send_with_limits(self, platform: Platform, seconds: float,
                               limits: dict[Server, float]) -> float:
        """Sends drafts while some upstreams announce limits. Returns when the limits
        began."""
        await platform.send_many(1)
        for server, limit in limits.items():
            server.limit_per_s = limit
        began = asyncio.get_running_loop().time()
        await platform.send_many(seconds)
        return began

    # Guards against routers that each keep their own rate to an upstream although
    # its limit applies to all routers together.
    def test_all_routers_together_keep_within_the_limit_of_an_upstream(self) -> None:
        async def scenario(platform: Platform) -> None:
            slow, slowest, *others = platform.engines
            limits = {slow: 2.0, slowest: 0.4}
            began = await self.send_with_limits(platform, 10, limits)
            for server, limit in limits.items():
                most = max_arrivals_in_window(platform.ledger.arrivals[server.name],
                                              began + PROPAGATION_S)
                self.assertLessEqual(most, max_allowed_arrivals(limit), server.name)
            ran = sum(platform.ledger.arrived[server.name] for server in others)
            self.assertGreater(ran, 3 * FAULT_REQUESTS_PER_S)

        run_scenario(scenario, routers=4, engines=4)


if __name__ == "__main__":
    unittest.main()

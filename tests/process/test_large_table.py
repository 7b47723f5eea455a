"""A table of upstreams that is too large for the store to send to all routers."""

import asyncio
import unittest

from tests.process.test_crashing_request import ask
from tests.soak.callers import HOST
from tests.soak.platform import Platform, Router, run_scenario

ROUTERS = 9  # three are active, three are next to become active


async def lookup(router: Router, number: int) -> int:
    """Sends a lookup to one router and returns the status of its answer."""
    status, _ = await ask(
        router.front, f"GET /lookup/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r{number}\r\n"
        "Deadline-Ms: 3000\r\nAuthorization: Token key\r\n\r\n")
    return status


async def routers_not_following(platform: Platform) -> list[Router]:
    """Returns the routers that don't follow the table, once all are ready."""
    assert await platform.wait_for_figure("ready", 1)
    for _ in range(300):
        reported = [await router.figure("follows_upstreams") for router in platform.routers]
        if reported.count(0) == ROUTERS - 6:
            return [r for r, follows in zip(platform.routers, reported) if not follows]
        await asyncio.sleep(0.1)
    return []


class LargeTable(unittest.TestCase):
    def test_routers_that_do_not_follow_it_serve_all_the_same(self) -> None:
        async def scenario(platform: Platform) -> None:
            others = await routers_not_following(platform)
            self.assertEqual(len(others), ROUTERS - 6)
            for number, router in enumerate(others * 5):
                self.assertEqual(await lookup(router, number), 200)

        run_scenario(scenario, routers=ROUTERS, engines=2, read_mbs=0.0001)

    def test_they_send_nothing_to_upstreams_that_left(self) -> None:
        async def scenario(platform: Platform) -> None:
            others = await routers_not_following(platform)
            self.assertTrue(others)
            desks = [s for s in platform.servers if s.service == "desk"]
            left = desks[0]
            platform.store.put("keyed.servers", left.name, left.entry("draining"))
            await asyncio.sleep(2)
            before = platform.ledger.arrived[left.name]
            for number, router in enumerate(others * 5):
                self.assertEqual(await lookup(router, number), 200)
            self.assertEqual(platform.ledger.arrived[left.name], before)

        run_scenario(scenario, routers=ROUTERS, engines=2, read_mbs=0.0001)


if __name__ == "__main__":
    unittest.main()

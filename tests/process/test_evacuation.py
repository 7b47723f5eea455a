"""Evacuated zones and cold engines, with real processes."""

import asyncio
import signal
import unittest

from tests.soak.platform import Platform, play


class Evacuation(unittest.TestCase):
    def test_a_zone_stays_empty_over_a_restart_of_all_routers_and_an_outage(self) -> None:
        async def scenario(platform: Platform) -> None:
            await platform.send_many(1)
            self.assertGreater(platform.arrived_in("a"), 0)
            platform.evacuate("a")
            self.assertTrue(await platform.until_all_tell("evacuated_domains", 1))
            before = platform.arrived_in("a")
            for router in platform.routers:
                await router.restart(signal.SIGKILL)
            self.assertTrue(await platform.until_all_tell("ready", 1))
            await platform.send_many(1)
            platform.store.down = {router.store_port for router in platform.routers}
            await platform.send_many(1.5)
            self.assertEqual(platform.arrived_in("a"), before)

        play(scenario, routers=3, engines=4)

    def test_a_zone_taken_back_while_routers_are_cut_off_serves_again(self) -> None:
        async def scenario(platform: Platform) -> None:
            platform.evacuate("a")
            self.assertTrue(await platform.until_all_tell("evacuated_domains", 1))
            platform.store.down = {router.store_port for router in platform.routers}
            await asyncio.sleep(0.5)
            platform.take_back("a")
            platform.store.forget()
            before = platform.arrived_in("a")
            platform.store.down = set()
            self.assertTrue(await platform.until_all_tell("evacuated_domains", 0))
            # The other zone takes all requests while these engines are cold.
            await platform.send_many(5)
            self.assertGreater(platform.arrived_in("a"), before)
            self.assertEqual(platform.ledger.fell_over, [])

        play(scenario, routers=3, engines=4)

    def test_with_all_zones_empty_requests_are_refused_at_once(self) -> None:
        async def scenario(platform: Platform) -> None:
            for zone in ("a", "b"):
                platform.evacuate(zone)
            self.assertTrue(await platform.until_all_tell("evacuated_domains", 2))
            before = platform.arrived_in("a") + platform.arrived_in("b")
            await platform.send_many(1)
            self.assertEqual(platform.arrived_in("a") + platform.arrived_in("b"), before)
            logs = "".join(router.log() for router in platform.routers)
            self.assertIn("all its failure domains are evacuated", logs)

        play(scenario, routers=3, engines=2)


if __name__ == "__main__":
    unittest.main()

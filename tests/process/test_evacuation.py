"""Evacuated zones and cold engines, with real processes."""

import asyncio
import signal
import unittest

from tests.soak.platform import Platform, run_scenario


class Evacuation(unittest.TestCase):
    def test_a_zone_stays_empty_over_a_restart_of_all_routers_and_an_outage(self) -> None:
        async def scenario(platform: Platform) -> None:
            await platform.send_many(1)
            self.assertGreater(platform.arrivals_in_zone("a"), 0)
            platform.evacuate("a")
            self.assertTrue(await platform.wait_for_figure("evacuated_domains", 1))
            before = platform.arrivals_in_zone("a")
            for router in platform.routers:
                await router.restart(signal.SIGKILL)
            self.assertTrue(await platform.wait_for_figure("ready", 1))
            await platform.send_many(1)
            platform.store.refused_ports = {router.store_port for router in platform.routers}
            await platform.send_many(1.5)
            self.assertEqual(platform.arrivals_in_zone("a"), before)

        run_scenario(scenario, routers=3, engines=4)

    def test_a_zone_taken_back_while_routers_are_cut_off_serves_again(self) -> None:
        async def scenario(platform: Platform) -> None:
            platform.evacuate("a")
            self.assertTrue(await platform.wait_for_figure("evacuated_domains", 1))
            platform.store.refused_ports = {router.store_port for router in platform.routers}
            await asyncio.sleep(0.5)
            platform.return_zone("a")
            platform.store.compact()
            before = platform.arrivals_in_zone("a")
            platform.store.refused_ports = set()
            self.assertTrue(await platform.wait_for_figure("evacuated_domains", 0))
            # The other zone takes all requests while these engines are cold.
            await platform.send_many(5)
            self.assertGreater(platform.arrivals_in_zone("a"), before)
            self.assertEqual(platform.ledger.overloaded_while_cold, [])

        run_scenario(scenario, routers=3, engines=4)

    def test_with_all_zones_empty_requests_are_refused_at_once(self) -> None:
        async def scenario(platform: Platform) -> None:
            for zone in ("a", "b"):
                platform.evacuate(zone)
            self.assertTrue(await platform.wait_for_figure("evacuated_domains", 2))
            before = platform.arrivals_in_zone("a") + platform.arrivals_in_zone("b")
            await platform.send_many(1)
            self.assertEqual(platform.arrivals_in_zone("a") + platform.arrivals_in_zone("b"),
                             before)
            logs = "".join(router.log() for router in platform.routers)
            self.assertIn("all its failure domains are evacuated", logs)

        run_scenario(scenario, routers=3, engines=2)


if __name__ == "__main__":
    unittest.main()

"""Entries in the table of upstreams that no upstream wrote, with real processes."""

import asyncio
import signal
import unittest

from tests.soak.odd_entries import DEEP, ODD_ENTRIES, entry, put_all, with_json
from tests.soak.platform import Platform, run_scenario
from tests.soak.servers import WARM_UP_S

ROUTERS = 6
READY_WITHIN_S = 10
# Longer than the silence after which a router counts as failed.
MEMBERSHIP_S = 6


async def restart_all(platform: Platform) -> None:
    await asyncio.gather(*(router.restart(signal.SIGKILL) for router in platform.routers))


class OddEntries(unittest.TestCase):
    # Guards against routers that can't write their heartbeats as they hold what an entry says.
    def test_restarted_routers_are_ready(self) -> None:
        for name, entries in ODD_ENTRIES.items():
            async def scenario(platform: Platform) -> None:
                put_all(platform.store, entries)  # noqa: B023
                await restart_all(platform)
                self.assertTrue(await platform.wait_for_figure("ready", 1, READY_WITHIN_S))
                self.assertTrue(await platform.wait_for_figure("routers", ROUTERS, READY_WITHIN_S))
                self.assertEqual(0, await platform.count_failures(platform.routers, 30))
                self.assertEqual([], [e for r in platform.routers for e in r.unexpected_ends])

            with self.subTest(name):
                run_scenario(scenario, routers=ROUTERS, engines=3)

    # Guards against running routers that lose sight of each other after an entry is written.
    def test_running_routers_stay_members(self) -> None:
        async def scenario(platform: Platform) -> None:
            self.assertTrue(await platform.wait_for_figure("routers", ROUTERS))
            for name in ("long version", "many versions", "many short services"):
                put_all(platform.store, ODD_ENTRIES[name])
            await asyncio.sleep(MEMBERSHIP_S)
            self.assertEqual([ROUTERS] * ROUTERS,
                             [await router.figure("routers") for router in platform.routers])
            self.assertNotIn('"event":"beat_not_written"', platform.routers[0].log())

        run_scenario(scenario, routers=ROUTERS, engines=3)

    # Guards against callers that are refused since an entry names an address that is none.
    def test_addresses_that_are_none_cost_no_caller(self) -> None:
        async def scenario(platform: Platform) -> None:
            put_all(platform.store, [entry(service=service, address=f"127.0.0.1:{port}")
                                     for port in (70_000, 99_999, -1)
                                     for service in ("engines", "desk")])
            await asyncio.sleep(1)
            self.assertEqual(0, await platform.count_failures(platform.routers, 90))

        run_scenario(scenario, routers=3, engines=1)

    # Guards against an upstream that stays out of the table after another writer used its key.
    def test_an_upstream_returns_after_an_odd_entry_under_its_key(self) -> None:
        async def scenario(platform: Platform) -> None:
            for value in (b"1e300", b"9" * 400, b'"x"', DEEP):
                for server in platform.servers:
                    usual = server.entry()
                    platform.store.put("keyed.servers", server.name, {**usual, "born": 5})
                    platform.store.put_raw("keyed.servers", server.name, with_json("born", value))
                await asyncio.sleep(0.5)
                for server in platform.servers:
                    platform.store.put("keyed.servers", server.name, {**server.entry(), "born": 5})
                self.assertTrue(await platform.wait_for_figure("upstreams", len(platform.servers)))
                # An upstream that joins counts as cold.
                await asyncio.sleep(WARM_UP_S)
                self.assertEqual(0, await platform.count_failures(platform.routers, 30))

        run_scenario(scenario, routers=3, engines=2)

    # Guards against readers of other topics that one odd record stops.
    def test_odd_records_of_other_topics_stop_nobody(self) -> None:
        async def scenario(platform: Platform) -> None:
            records = [value for name in ("long version", "large numbers", "deeply nested", "no text")
                       for value in ODD_ENTRIES[name]]
            for topic in ("keyed.routers", "keyed.starts", "keyed.op", "keyed.streams"):
                put_all(platform.store, records, topic)
            platform.store.put_raw("keyed.op", "evacuate/" + "z" * 240, b"{}")
            platform.store.put_raw("keyed.routers", platform.routers[0].name, records[0])
            platform.publish()
            self.assertTrue(
                await platform.wait_for_figure("configuration_version", platform.version))
            await restart_all(platform)
            self.assertTrue(await platform.wait_for_figure("ready", 1, READY_WITHIN_S))
            self.assertEqual(0, await platform.count_failures(platform.routers, 30))

        run_scenario(scenario, routers=3, engines=2)


if __name__ == "__main__":
    unittest.main()

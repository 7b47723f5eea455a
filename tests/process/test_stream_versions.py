"""Streams of engines with two software versions, whose routers are killed."""

import asyncio
import signal
import unittest
from collections.abc import Awaitable, Callable

from tests.soak.platform import Platform, run_scenario
from tests.soak.servers import WARM_UP_S
from tests.soak.streams import ResumableStream

ROUTERS = 3
STREAMS = 16
EVENTS = 80
ROUNDS = 3
LIFETIME_S = 20  # after which a stream is not taken up any more


class StreamVersions(unittest.TestCase):
    def test_streams_go_on_at_their_version_after_their_router_was_killed(self) -> None:
        """Guards against a stream that holds events from two software versions."""

        async def scenario(platform: Platform) -> None:
            streams: list[ResumableStream] = []
            went_on = 0
            for number in range(ROUNDS):
                begun = [ResumableStream(f"{number}{i:02x}", EVENTS) for i in range(STREAMS)]
                went_on += await self.break_off(platform, begun, number % ROUTERS)
                streams += begun
            self.assertEqual([s.versions for s in streams if s.mixed], [])
            self.assertGreaterEqual(went_on, len(streams) // 2)

        run_scenario(scenario, routers=ROUTERS, engines=4, versions=("v1", "v2"))

    def test_streams_find_room_at_the_last_two_engines_of_their_version(self) -> None:
        """Guards against callers who can't resume their streams while new ones begin."""

        async def scenario(platform: Platform) -> None:
            begun = went_on = 0
            streams: list[ResumableStream] = []
            for number in range(ROUNDS):
                load = asyncio.create_task(platform.send_many(3))
                group = [ResumableStream(f"{number}{i:02x}", EVENTS) for i in range(2 * STREAMS)]
                went_on += await self.break_off(platform, group, number % ROUTERS)
                begun += sum(bool(s.numbers) for s in group)
                streams += group
                await load
            self.assertEqual([s.versions for s in streams if s.mixed], [])
            self.assertGreaterEqual(2 * went_on, begun)

        run_scenario(scenario, routers=ROUTERS, engines=8, versions=("v1", "v2", "v2", "v2"))

    def test_a_stream_that_an_engine_breaks_off_goes_on_at_its_version(self) -> None:
        """Guards against an answer that holds events from two software versions."""

        async def scenario(platform: Platform) -> None:
            for engine in platform.engines:
                engine.cut_ratio = 0.5
            streams = [ResumableStream(f"c{i:02x}", EVENTS) for i in range(4 * STREAMS)]
            for i in range(0, len(streams), STREAMS):
                await asyncio.gather(*(s.attempt(platform.routers[0].front)
                                       for s in streams[i:i + STREAMS]))
            self.assertEqual([s.versions for s in streams if s.mixed], [])
            # Half of the streams break off, and half of those again.
            complete = sum(s.complete for s in streams)
            self.assertGreaterEqual(complete, len(streams) // 2)

        run_scenario(scenario, routers=ROUTERS, engines=4, versions=("v1", "v2"))

    def test_no_rest_of_another_version_after_all_routers_were_killed(self) -> None:
        """Guards against joined text: the only version is replaced while no router runs."""

        async def scenario(platform: Platform) -> None:
            streams = [ResumableStream(f"e{i:02x}", EVENTS) for i in range(2 * STREAMS)]

            async def replace_engines() -> None:
                for engine in list(platform.engines):
                    platform.retire(engine)
                    await platform.start_server("engines", "v2")
                await asyncio.sleep(WARM_UP_S + 0.5)

            await self.break_off_all(platform, streams, replace_engines)
            self.assertEqual([s.versions for s in streams if s.mixed], [])
            self.assertEqual({s.statuses[-1] for s in streams}, {503})

        run_scenario(scenario, routers=ROUTERS, engines=4)

    def test_a_router_whose_table_is_behind_joins_no_versions(self) -> None:
        """Guards against joined text from a router that has not read of a new version."""

        async def scenario(platform: Platform) -> None:
            first, behind = platform.routers
            await asyncio.sleep(LIFETIME_S + 1)
            platform.store.unread = {(behind.store_port, "keyed.servers")}
            for _ in range(8):
                await platform.start_server("engines", "v2")
            await asyncio.sleep(WARM_UP_S + 1)
            # What it begins from now on is in no record.
            platform.store.refused_ports = {first.store_port}
            streams = [ResumableStream(f"g{i:02x}", EVENTS) for i in range(STREAMS)]
            tries = [asyncio.create_task(s.attempt(first.front)) for s in streams]
            while not all(s.numbers for s in streams):
                await asyncio.sleep(0.01)
            first.send(signal.SIGKILL)
            await asyncio.gather(*tries)
            self.assertTrue(any("v2" in s.versions for s in streams))
            await asyncio.gather(*(s.attempt(behind.front) for s in streams))
            self.assertEqual([s.versions for s in streams if s.mixed], [])
            self.assertEqual({s.statuses[-1] for s in streams}, {503})
            platform.store.refused_ports = set()
            platform.store.unread = set()
            await first.restart(signal.SIGKILL)

        run_scenario(scenario, routers=2, engines=2)

    def test_streams_go_on_after_all_routers_were_killed(self) -> None:
        """Guards against refusals after a loss of all routers: no version changed."""

        async def scenario(platform: Platform) -> None:
            streams = [ResumableStream(f"f{i:02x}", EVENTS) for i in range(2 * STREAMS)]

            async def nothing() -> None:
                pass

            went_on = await self.break_off_all(platform, streams, nothing)
            self.assertGreaterEqual(went_on, len(streams) // 2)

        run_scenario(scenario, routers=ROUTERS, engines=4)

    async def break_off_all(self, platform: Platform, streams: list[ResumableStream],
                            while_down: Callable[[], Awaitable[None]]) -> int:
        """Kills all routers after the first events of the streams, and takes the streams
        up when they are back. Returns how many go on."""
        fronts = [router.front for router in platform.routers]
        tries = [asyncio.create_task(s.attempt(fronts[i % ROUTERS]))
                 for i, s in enumerate(streams)]
        while not all(s.numbers for s in streams):
            await asyncio.sleep(0.01)
        for router in platform.routers:
            router.send(signal.SIGKILL)
        await asyncio.gather(*tries)
        await while_down()
        await asyncio.sleep(1)
        await asyncio.gather(*(r.restart(signal.SIGKILL) for r in platform.routers))
        self.assertTrue(await platform.wait_for_figure("ready", 1))
        before = [len(s.numbers) for s in streams]
        await asyncio.gather(*(s.attempt(fronts[i % ROUTERS])
                               for i, s in enumerate(streams)))
        return sum(s.went_on(n) for s, n in zip(streams, before))

    async def break_off(self, platform: Platform, streams: list[ResumableStream],
                        victim: int) -> int:
        """Kills the router of all streams after their first events, and takes the streams
        up at the others. Returns how many go on."""
        killed = platform.routers[victim]
        tries = [asyncio.create_task(s.attempt(killed.front)) for s in streams]
        while not all(s.numbers for s in streams):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.15)
        killed.send(signal.SIGKILL)
        await asyncio.gather(*tries)
        before = [len(s.numbers) for s in streams]
        others = [r for r in platform.routers if r is not killed]
        await asyncio.gather(*(s.attempt(others[i % len(others)].front)
                               for i, s in enumerate(streams)))
        await killed.restart(signal.SIGKILL)
        await platform.wait_for_figure("ready", 1)
        return sum(s.went_on(n) for s, n in zip(streams, before))


if __name__ == "__main__":
    unittest.main()

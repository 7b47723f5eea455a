"""Whether routers are ready, after a start, for as long as they can serve."""

import asyncio
import json
import signal
import unittest

from tests.soak.platform import Platform, Router, run_scenario

ROUTERS = 9  # three are active, three are next to become active
# As long as a list with large entries takes over a small link.
PAGE_DELAY_S = 0.5
# Longer than two lists take.
WATCHED_S = 5.0


def readiness_of(router: Router, start: int) -> list[int]:
    """Returns what the router said of its readiness, in order, after the first `start`
    bytes of its log."""
    lines = [json.loads(line) for line in router.log()[start:].splitlines()]
    return [line["ready"] for line in lines if line["event"] == "readiness"]


class Readiness(unittest.TestCase):
    # Guards against restarted routers that take their readiness back to list the upstreams.
    def test_a_router_that_is_ready_stays_so_while_it_lists_upstreams(self) -> None:
        async def scenario(platform: Platform) -> None:
            platform.store.page_delay_s["keyed.servers"] = PAGE_DELAY_S
            starts = [len(router.log()) for router in platform.routers]
            await asyncio.gather(
                *(router.restart(signal.SIGKILL) for router in platform.routers))
            await asyncio.sleep(WATCHED_S)
            for router, start in zip(platform.routers, starts):
                said = readiness_of(router, start)
                self.assertIn(1, said)
                self.assertNotIn(0, said[said.index(1):], router.name)
            self.assertEqual(0, await platform.count_failures(platform.routers, 30))

        run_scenario(scenario, routers=ROUTERS, engines=3)


if __name__ == "__main__":
    unittest.main()

"""Routers follow the state that an upstream reports in its answers."""

import unittest

from tests.process.test_crashing_request import ask, request
from tests.soak.platform import Platform, run_scenario

_REQUESTS = 40
# Requests already in flight to an upstream when it asks for a pause.
_MAX_IN_FLIGHT = 2


class UpstreamSaysTest(unittest.TestCase):
    async def ask_many(self, platform: Platform) -> list[int]:
        """Sends requests one by one and returns the statuses."""
        statuses = []
        for number in range(_REQUESTS):
            # A different prefix each, so that every engine gets some requests.
            text = request(number, f"draft {number}", prefix=f"{number + 1:x}")
            status, _ = await ask(platform.routers[0].front, text)
            statuses.append(status)
        return statuses

    # The store is unreachable, and engines report in their answers alone that they
    # are leaving. A router that trusts only the engine's record in the store keeps
    # sending drafts, which are cut when the engine ends seconds later. The log then
    # names the answers that reported it, and no such record.
    def test_an_engine_that_says_it_leaves_gets_no_more_work_without_a_store(self) -> None:
        async def scenario(platform: Platform) -> None:
            platform.store.refused_ports = {platform.routers[0].store_port}
            for engine in platform.engines[:2]:
                engine.leaving = True
            # Each leaving engine answers once, and may have been sent more requests
            # before that.
            await self.ask_many(platform)
            ran = platform.ledger.arrived.copy()
            self.assertEqual([200] * _REQUESTS, await self.ask_many(platform))
            for engine in platform.engines[:2]:
                self.assertEqual(ran[engine.name], platform.ledger.arrived[engine.name])

        run_scenario(scenario, routers=1, engines=3)

    # A busy engine states how long it accepts no requests. A router that waits only the
    # few milliseconds used after any refusal makes the engine spend its time on
    # refusals.
    def test_an_engine_that_asks_for_a_pause_gets_one(self) -> None:
        async def scenario(platform: Platform) -> None:
            busy = platform.engines[0]
            busy.retry_after_s = 300.0
            await self.ask_many(platform)
            self.assertEqual([200] * _REQUESTS, await self.ask_many(platform))
            self.assertLessEqual(platform.ledger.arrived[busy.name], 1 + _MAX_IN_FLIGHT)

        run_scenario(scenario, routers=1, engines=3)


if __name__ == "__main__":
    unittest.main()

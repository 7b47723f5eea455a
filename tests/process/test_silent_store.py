"""A store that answers nobody for seconds, with real processes."""

import asyncio
import unittest

from tests.soak.platform import Platform, run_scenario

# Operators allow a router that long after the return of the store.
CONTACT_S = 3.0


class SilentStore(unittest.TestCase):
    # Guards against serving by a replaced version while a read waits for a lost call.
    def test_a_version_is_in_force_soon_after_the_store_answers_again(self) -> None:
        async def scenario(platform: Platform) -> None:
            for silence_s in (2.5, 5.1):
                await platform.store.fall_silent(silence_s)
                platform.publish()
                await asyncio.wait_for(platform.wait_for_figure(
                    "configuration_version", platform.version), CONTACT_S)

        run_scenario(scenario, routers=3, engines=2)


if __name__ == "__main__":
    unittest.main()

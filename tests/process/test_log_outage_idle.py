"""The log becomes unavailable when a budget has hardly been used."""

import unittest

from tests.process.support import FleetTest

_HOLDS = 20


class LogOutageIdleTest(FleetTest):
    # Each router has served one seat hold when the log becomes unavailable, and
    # then the load rises. The budget has paid for thousands of holds and next to
    # nothing is spent. Every hold must be answered: a refusal for lack of tokens
    # would be false, and seat holds are needed without delay at the venue's gate.
    def test_budget_that_was_idle_serves_holds_during_the_outage(self) -> None:
        self.start_upstreams(engines=0, services=1)
        routers = self.start_routers(prepaid=10_000)
        prefixes = [self.prefix(router) for router in routers]
        for router, prefix in zip(routers, prefixes, strict=True):
            self.assertEqual(200, self.hold(router, f"{prefix}first").status)
        self.fleet.log.down()
        refused = [
            f"{router.router_id}: {answer.error_id}"
            for index in range(_HOLDS)
            for router, prefix in zip(routers, prefixes, strict=True)
            if (answer := self.hold(router, f"{prefix}{index}")).status != 200
        ]
        self.assertEqual([], refused)


if __name__ == "__main__":
    unittest.main()

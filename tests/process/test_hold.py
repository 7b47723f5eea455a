"""Non-idempotent seat holds while the service fails."""

import unittest

from tests.process.support import FleetTest, Router

_UNKNOWN = ("CV-501", "CV-502", "CV-503", "CV-504", "CV-506")


class HoldTest(FleetTest):
    def setUp(self) -> None:
        super().setUp()
        self.limits["first_token_timeout_ms"] = 1500
        self.start_upstreams(engines=0, services=2)
        self.routers = self.start_routers()

    # The service has run the hold when its connection closes before the answer,
    # stays silent, or closes within the answer. Every answer must state that the
    # outcome is unknown, also when the caller retries, at this or another router,
    # and after the service has recovered. The service's records must show that the hold
    # ran once.
    def test_hold_bound_to_a_router_never_runs_twice(self) -> None:
        prefix = self.prefix(self.routers[0])
        for mode in ("die-before-answer", "silent", "cut"):
            with self.subTest(mode):
                self.check_runs_once(mode, f"{prefix}{mode}", self.routers)

    # The same under a key chosen by the caller, which a router claims in the log
    # before it runs the hold.
    def test_hold_with_a_claimed_key_never_runs_twice(self) -> None:
        for mode in ("die-before-answer", "silent", "cut"):
            with self.subTest(mode):
                self.check_runs_once(mode, f"seat-{mode}", self.routers)

    # The router is killed after the hold ran and before the caller reads the
    # answer. Another router cannot determine whether it ran: it must report the outcome
    # as unknown and run nothing, also after the killed router is retired.
    def test_hold_of_a_killed_router_ends_as_unknown(self) -> None:
        origin, other = self.routers[:2]
        key = f"{self.prefix(origin)}seat"
        for service in self.fleet.services.values():
            service.control("silent")
        answer = self.in_background(self.hold, origin, key)
        self.wait(lambda: self.service_runs(key) == 1, "the hold runs")
        origin.process.kill()
        self.assertIsNotNone(answer.exception())
        for service in self.fleet.services.values():
            service.ok()
        self.assert_unknown(other, key)
        self.wait_retired(origin)
        self.assert_unknown(other, key)
        self.assertEqual(1, self.service_runs(key))

    # All routers get the same hold at once under a key chosen by the caller. One
    # runs it; the others join it or refuse, and every answer must be that of the
    # one run.
    def test_hold_sent_to_all_routers_at_once_runs_once(self) -> None:
        for round_number in range(5):
            key = f"seat-{round_number}"
            answers = [
                self.in_background(self.hold, router, key)
                for router in self.routers * 2
            ]
            bodies = {a.result().body for a in answers if a.result().status == 200}
            self.assertEqual(1, len(bodies))
            self.assertEqual(1, self.service_runs(key))

    def check_runs_once(self, mode: str, key: str, routers: list[Router]) -> None:
        """Sends the hold to all routers, during the fault and after it."""
        for service in self.fleet.services.values():
            service.control(mode)
        for router in [routers[0], *routers]:
            self.assert_unknown(router, key)
        for service in self.fleet.services.values():
            service.ok()
        for router in routers:
            self.assert_unknown(router, key)
        self.assertEqual(1, self.service_runs(key))
        # Waits until routers send work to the services again before the next fault.
        self.wait(
            lambda: self.hold(routers[0], "").status == 200, "holds run again"
        )

    def assert_unknown(self, router: Router, key: str) -> None:
        """Asserts that the answer states that the hold may have run."""
        answer = self.hold(router, key)
        self.assertEqual("unknown", answer.run_state, answer)
        self.assertIn(answer.error_id, _UNKNOWN)


if __name__ == "__main__":
    unittest.main()

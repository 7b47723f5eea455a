"""Open connections go silent permanently while new ones work."""

import unittest

from tests.process.support import FleetTest

_TOKENS = 60


class SilentTest(FleetTest):
    # A network device between routers and engines loses its connection state while
    # streams run: all bytes sent on these connections are dropped. The watchdog
    # must end the requests; callers retry under the same key, get whole answers
    # over new connections, and each is billed once.
    def test_streams_on_silent_connections_end_and_succeed_by_retry(self) -> None:
        self.limits["first_token_timeout_ms"] = 2000
        self.limits["inter_token_timeout_ms"] = 1500
        self.start_upstreams(relayed=True)
        routers = self.start_routers(count=2)
        keys = [f"plan-{index}" for index in range(8)]
        answers = [
            self.in_background(self.draft_until_whole, [router], key, _TOKENS)
            for router, key in zip(routers * 4, keys, strict=True)
        ]
        self.wait(lambda: self.running_streams() >= 4, "streams run")
        self.lose_connections()
        usage = 0
        for key, answer in zip(keys, answers, strict=True):
            self.assert_own_answer(key, answer.result())
            usage += answer.result().usage["total_tokens"]
        self.assertGreater(len(self.engine_runs()), len(keys))
        self.wait(
            lambda: self.audit()["billed"] == usage, f"{usage} tokens are billed"
        )
        for router in routers:
            self.assertTrue(self.draft(router, "new").whole)

    # A network device drops the state of a kept-alive connection to a service
    # before a hold is sent on it. The router cannot detect that the hold never
    # arrived: the answer must state "unknown", no router may run it again, and
    # the next hold must be answered over a new connection.
    def test_hold_on_a_silent_connection_is_not_sent_again(self) -> None:
        self.limits["first_token_timeout_ms"] = 1500
        self.start_upstreams(engines=0, services=1, relayed=True)
        router = self.start_routers(count=1)[0]
        prefix = self.prefix(router)
        self.assertEqual(200, self.hold(router, f"{prefix}first").status)
        self.lose_connections()
        keys = [f"{prefix}seat-{index}" for index in range(4)]
        answers = [self.hold(router, key) for key in keys]
        lost = [a for a in answers if a.status != 200]
        self.assertEqual(1, len(lost), lost)
        for answer in lost:
            self.assertEqual("unknown", answer.run_state)
        for key, answer in zip(keys, answers, strict=True):
            self.assertEqual(int(answer.status == 200), self.service_runs(key))

    def lose_connections(self) -> None:
        """Makes every open connection to an upstream silent."""
        for relay in self.relays.values():
            relay.control("stall-existing")


if __name__ == "__main__":
    unittest.main()

"""The platform's log loses replies or is unavailable for a long time."""

import time
import unittest

from tests.process.support import BUDGET, FleetTest, Router

_TOKENS = 20
# Exceeds every timeout of the configuration, the default timeouts for the log, and
# the silence after which a router is retired.
_OUTAGE_S = 12.0
_WARM_UP_S = 6.0
_PAUSE_S = 0.2


class LogFaultsTest(FleetTest):
    # The log accepts every append and answers none, while callers work and an
    # operator tops up a budget. Writers append again: repeated records must count
    # once, a second run of the operator's command must pay nothing more, and each
    # request must be billed once.
    def test_lost_replies_neither_double_a_payment_nor_a_bill(self) -> None:
        self.start_upstreams()
        routers = self.start_routers(prepaid=50_000)
        self.fleet.log.lose_replies()
        payment = ["budget", "top-up", BUDGET, "7000", "--id", "payment-1"]
        first = self.fleet.tool.run(*payment)
        self.assertIn(first.exit_code, (0, 3), first)
        keys = [f"plan-{index}" for index in range(18)]
        answers = [
            self.in_background(self.draft_until_whole, [router], key, _TOKENS)
            for router, key in zip(routers * 6, keys, strict=True)
        ]
        usage = 0
        for key, answer in zip(keys, answers, strict=True):
            self.assert_own_answer(key, answer.result())
            usage += answer.result().usage["total_tokens"]
        self.wait(
            lambda: self.fleet.log.stats()["lost_replies"] >= 10, "replies were lost"
        )
        self.fleet.log.up()
        self.assertEqual(0, self.fleet.tool.run(*payment).exit_code)
        self.wait(
            lambda: self.audit()["billed"] == usage, f"{usage} tokens are billed"
        )
        self.assertEqual(57_000, self.audit()["paid_in"])

    # The log refuses every connection for longer than any timeout. Seat holds whose
    # keys are bound to a router need no record before they run: all must be
    # answered and each run once. No router may be retired because of the log's
    # outage, and every hold must be billed once when the log is back.
    def test_holds_go_on_while_the_log_is_out_and_are_billed_afterwards(self) -> None:
        self.start_upstreams(engines=0, services=2)
        routers = self.start_routers(prepaid=10_000)
        prefixes = [self.prefix(router) for router in routers]
        keys = self.hold_for(_WARM_UP_S, routers, prefixes, "before")
        members = self.members()
        self.fleet.log.down()
        keys += self.hold_for(_OUTAGE_S, routers, prefixes, "outage")
        self.assertGreater(len(keys), 30)
        self.fleet.log.up()
        self.wait(
            lambda: self.audit()["billed"] == len(keys), f"{len(keys)} are billed"
        )
        for key in keys:
            self.assertEqual(1, self.service_runs(key), key)
        self.assertEqual(
            {name: member["incarnation"] for name, member in members.items()},
            {name: member["incarnation"] for name, member in self.members().items()},
        )

    def hold_for(
        self, seconds: float, routers: list[Router], prefixes: list[str], name: str
    ) -> list[str]:
        """Sends holds to all routers, which must all be answered."""
        keys: list[str] = []
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for router, prefix in zip(routers, prefixes, strict=True):
                key = f"{prefix}{name}-{len(keys)}"
                answer = self.hold(router, key)
                self.assertEqual(200, answer.status, answer)
                keys.append(key)
            time.sleep(_PAUSE_S)
        return keys


if __name__ == "__main__":
    unittest.main()

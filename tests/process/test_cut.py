"""Network partitions between routers, and between a router and the log, during operator
commands."""

import copy
import json
import unittest
from typing import Any

from tests.process.support import BUDGET, MODEL, FleetTest, Router, budget_status

_TOKENS = 20


class CutTest(FleetTest):
    # The routers cannot reach each other, and router-3 cannot reach the log, while
    # a budget is topped up and a version that refuses all drafts is published. The
    # other routers apply it at once. router-3 cannot receive it and must soon stop
    # accepting work instead of serving the old version. After the partition heals
    # it applies the version too, and callers get the new rule's refusal everywhere.
    def test_cut_router_refuses_as_stale_and_follows_after_the_cut(self) -> None:
        self.limits["config_freshness_ms"] = 2000
        self.start_upstreams(engines=1)
        routers = self.start_routers(peer_relays=True, log_relay_of="router-3")
        near, cut = routers[:2], routers[2]
        self.assertTrue(self.draft(cut, "before", _TOKENS).whole)
        prefix = self.prefix(cut)
        for relay in self.relays.values():
            relay.control("cut")
        self.fleet.tool.top_up(BUDGET, 5_000, "payment-1")
        self.fleet.tool.publish(self.refusing_drafts("closed"), wait_s=0)
        self.wait_version(near, 2)
        for router in near:
            self.assert_refused(self.draft(router, "near"), "CV-401", "not_run")
        self.wait(lambda: cut.status()["phase"] != "active", "router-3 is not active")
        runs = len(self.engine_runs())
        for index in range(5):
            answer = self.draft(cut, f"{prefix}stale-{index}")
            self.assertIn(answer.error_id, ("CV-412", "CV-704", "CV-410"), answer)
            self.assertEqual("not_run", answer.run_state, answer)
        self.assertEqual(runs, len(self.engine_runs()))

        for relay in self.relays.values():
            relay.control("pass")
        self.wait_version([cut], 2)
        self.wait(lambda: cut.status()["phase"] == "active", "router-3 is active")
        self.assert_refused(self.draft(cut, "after"), "CV-401", "not_run")
        self.assertEqual(1_005_000, self.audit()["paid_in"])

    # The routers cannot reach each other while an exhausted budget is topped up.
    # The log alone delivers the payment to each router: callers of every router can
    # spend it, but no more than it.
    def test_top_up_reaches_routers_that_are_cut_from_each_other(self) -> None:
        self.max_queue_ms = 1500
        self.start_upstreams(engines=1, step_ms=2)
        routers = self.start_routers(prepaid=600, peer_relays=True)
        for relay in self.relays.values():
            relay.control("cut")
        for router in routers:
            self.spend(router, "first")
        self.fleet.tool.top_up(BUDGET, 2_000, "payment-1")
        for router in routers:
            self.wait(
                lambda: self.draft(router, "").whole,  # noqa: B023
                f"{router.router_id} spends the payment",
            )
        for router in routers:
            self.spend(router, "second")
        self.assertLessEqual(self.used_tokens(), 2_600)
        row = self.audit()
        self.assertEqual(2_600, row["paid_in"])
        self.assertTrue(all(budget_status(r)["reserved"] == 0 for r in routers))

    # Two operators publish on top of version 1 at the same moment. One succeeds and
    # its version applies everywhere. The other command fails with exit code 4 and
    # names the operator whose version applies; none of its change takes effect.
    def test_of_two_operators_at_once_one_wins_and_the_other_is_told(self) -> None:
        self.start_upstreams(engines=1)
        routers = self.start_routers()
        reasons = {"ana": "closed by ana", "luis": "closed by luis"}
        published = {
            name: self.in_background(self.publish_as, name, reason)
            for name, reason in reasons.items()
        }
        codes = {name: future.result().exit_code for name, future in published.items()}
        self.assertEqual([0, 4], sorted(codes.values()), codes)
        winner = min(codes, key=lambda name: codes[name])
        loser = max(codes, key=lambda name: codes[name])
        told = published[loser].result()
        self.assertIn(winner, told.output + told.errors)
        self.wait_version(routers, 2)
        for router in routers:
            answer = self.draft(router, "closed")
            self.assert_refused(answer, "CV-401", "not_run")
            self.assertIn(reasons[winner], answer.body.decode())

    def refusing_drafts(self, reason: str) -> dict[str, Any]:
        """Returns the configuration with a rule that refuses all drafts."""
        changed = copy.deepcopy(self.configuration)
        refuse = {"refuse": {"reason": reason}}
        when = {"models": [MODEL]}
        changed["rules"] = [{"id": "closed", "when": when, "then": refuse}]
        return changed

    def publish_as(self, operator: str, reason: str) -> Any:
        """Publishes on top of version 1."""
        path = self.fleet.folder / f"{operator}.json"
        path.write_text(json.dumps(self.refusing_drafts(reason)))
        return self.fleet.tool.run(
            "config", "publish", str(path), "--based-on", "1", operator=operator
        )

    def spend(self, router: Router, name: str) -> None:
        """Sends drafts until the router refuses one for lack of tokens."""
        for index in range(100):
            answer = self.draft(router, f"{name}-{router.router_id}-{index}", 100)
            if not answer.whole:
                self.assertIn(answer.error_id, ("CV-403", "CV-404"), answer)
                return
        self.fail("no draft was refused for lack of tokens")


if __name__ == "__main__":
    unittest.main()

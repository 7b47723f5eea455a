"""A router is paused (SIGSTOP) for longer than the retirement timeout."""

import unittest

from tests.process.support import Answer, Failure, FleetTest, Router

_TOKENS = 100


class PauseTest(FleetTest):
    # router-1 is paused with open streams. The log retires it, its witness returns
    # its tokens, the budget is topped up and the other routers spend all of it. On
    # resume it must not spend those tokens again: it completes its streams within
    # its ceiling and rejoins, and spending stays within what was paid.
    def test_resumed_router_cannot_overspend_and_joins_again(self) -> None:
        self.max_queue_ms = 1500
        self.start_upstreams(step_ms=4)
        routers = self.start_routers(prepaid=5_000)
        paused, others = routers[0], routers[1:]
        old = self.members()[paused.router_id]["incarnation"]
        prefix = self.prefix(paused)
        early = [
            self.in_background(self.draft_or_cut, paused, f"{prefix}early-{index}")
            for index in range(8)
        ]
        self.wait(lambda: self.running_streams() >= 4, "streams run")
        paused.process.pause()
        self.wait_retired(paused)
        self.fleet.tool.top_up("desk", 1_000, "payment-1")
        self.spend_all(others, "others")
        paused.process.resume()
        self.spend_all([paused], "resumed")

        for index, answer in enumerate(early):
            if answer.result() is not None and answer.result().whole:
                self.assert_own_answer(f"{prefix}early-{index}", answer.result())
        self.wait(
            lambda: self.members().get(paused.router_id, {}).get("incarnation")
            not in (None, old),
            "the resumed router joins again",
        )
        self.wait(lambda: paused.status()["phase"] == "active", "it is active")
        self.wait(
            lambda: self.budget()["quarantined"] == 0,
            "its final statement frees what it had not spent",
        )
        self.spend_all(routers, "end")
        self.wait(lambda: self.running_streams() == 0, "all runs ended")
        row = self.audit()
        self.assertEqual(6_000, row["paid_in"])
        self.assertLessEqual(self.used_tokens(), 6_000)
        self.assertLessEqual(row["billed"] + row["written_off"], 6_000)
        self.assertGreater(row["billed"], 2_500)

    def draft_or_cut(self, router: Router, key: str) -> Answer | None:
        """Sends one draft; returns None if the answer was cut."""
        try:
            return self.draft(router, key, _TOKENS)
        except Failure:
            return None

    def spend_all(self, routers: list[Router], name: str) -> None:
        """Sends drafts until each router has refused one for lack of tokens."""
        for router in routers:
            for index in range(100):
                answer = self.draft(router, f"{name}-{router.router_id}-{index}", 400)
                if answer.error_id in ("CV-403", "CV-404"):
                    break
                known = ("", "CV-412", "CV-704")
                self.assertIn(answer.error_id, known, answer)


if __name__ == "__main__":
    unittest.main()

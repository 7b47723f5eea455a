"""A router drains on SIGTERM while callers use it."""

import threading
import time
import unittest

from tests.process.support import FleetTest, Router

_WORKERS_PER_ROUTER = 4
_TOKENS = 20


class DrainTest(FleetTest):
    # Callers of router-1 hold address lists and have streams open when it gets
    # SIGTERM, and a second SIGTERM while it drains. It must first leave the address
    # lists and keep serving callers with an old one. No request may be lost, cut or
    # refused, and the process must exit by itself with code 0.
    def test_sigterm_twice_under_load_loses_no_request(self) -> None:
        self.start_upstreams()
        self.routers = self.start_routers()
        self.stop = threading.Event()
        self.addCleanup(self.stop.set)
        leaving, staying = self.routers[0], self.routers[1]
        workers = [
            self.in_background(self.work, router, f"{router.router_id}-{index}")
            for router in self.routers
            for index in range(_WORKERS_PER_ROUTER)
        ]
        self.wait(lambda: len(self.engine_runs()) >= 30, "the load runs")
        self.assertIn(leaving.address, self.listed(staying))
        leaving.process.terminate()
        self.wait(
            lambda: leaving.address not in self.listed(staying),
            "its address leaves the lists",
        )
        leaving.process.terminate()
        self.assertEqual(0, leaving.process.wait(90))
        runs = len(self.engine_runs())
        self.wait(lambda: len(self.engine_runs()) >= runs + 10, "the load goes on")
        self.stop.set()
        served = [worker.result() for worker in workers]
        self.assertTrue(all(count > 0 for count in served), served)
        self.assertEqual(sum(served), len(self.engine_runs()))
        held = {h["router"]: h["held"] for h in self.budget()["holdings"]}
        self.assertEqual(0, held.get(leaving.router_id, 0))
        self.audit()

    def listed(self, router: Router) -> list[str]:
        """Returns the addresses that a router advertises."""
        entries = self.caller.addresses(router)["addresses"]
        return [entry["address"] for entry in entries]

    def work(self, preferred: Router, name: str) -> int:
        """Sends requests one by one to the preferred address while the address list
        contains it. The list is used for its lifetime."""
        count = 0
        addresses: list[str] = []
        until = 0.0
        while not self.stop.is_set():
            if time.monotonic() >= until:
                answer = self.caller.addresses(self.routers[1])
                addresses = [entry["address"] for entry in answer["addresses"]]
                until = time.monotonic() + answer["lifetime_ms"] / 1000
            chosen = next(
                router
                for router in [preferred, *self.routers]
                if router.address in addresses
            )
            answer = self.draft(chosen, f"{name}-{count}", _TOKENS)
            self.assertTrue(answer.whole, f"{chosen.router_id}: {answer}")
            count += 1
        return count


if __name__ == "__main__":
    unittest.main()

"""What a supervisor and the kernel do to a router of the log's core while it starts and runs."""

import signal
import socket
import time
import unittest

from tests.process.support import BUDGET, WAIT_TIMEOUT_S, FleetTest, Router

CONDITION_S = 0.6


class StartOfARouter(FleetTest):
    def setUp(self) -> None:
        super().setUp()
        self.start_upstreams(1)
        self.router = self.start_routers(1)[0]

    def start_again(self) -> Router:
        return self.fleet.start_router(
            self.router.router_id, addresses=self.router.addresses, wait_alive=False)

    def assert_serves(self, router: Router) -> None:
        router.wait_ready(WAIT_TIMEOUT_S)
        self.assertTrue(self.draft_until_whole([router], f"{BUDGET}-{time.monotonic()}").whole)

    # Guards against a request for a reload that ends the process.
    def test_a_reload_does_not_end_the_process(self) -> None:
        for _ in range(5):
            self.router.process.send_signal(signal.SIGHUP)
            time.sleep(0.05)
        self.assert_serves(self.router)
        self.router.process.require_running()


if __name__ == "__main__":
    unittest.main()

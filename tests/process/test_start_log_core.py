"""What a supervisor and the kernel do to a router of the log's core while it starts and runs."""

import resource
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

    # Guards against a start that ends since one of its ports is still in use.
    def test_a_port_in_use_delays_the_start(self) -> None:
        addresses = self.router.addresses
        for address in (addresses.caller, addresses.operator, addresses.peer):
            self.router.process.kill()
            with socket.socket() as held:
                held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                held.bind(("127.0.0.1", int(address.rpartition(":")[2])))
                held.listen()
                router = self.start_again()
                time.sleep(CONDITION_S)
                router.process.require_running()
            self.assert_serves(router)
            self.router = router

    # Guards against a router that can't be stopped while it waits for a port.
    def test_a_router_that_waits_for_a_port_ends_in_order(self) -> None:
        successor = self.start_again()
        self.wait(lambda: "port_unavailable" in successor.process.output(), "it waits")
        successor.process.send_signal(signal.SIGHUP)
        successor.process.terminate()
        self.assertEqual(0, successor.process.wait(WAIT_TIMEOUT_S))
        self.assert_serves(self.router)

    # Guards against a request for a reload that ends the process.
    def test_a_reload_does_not_end_the_process(self) -> None:
        for _ in range(5):
            self.router.process.send_signal(signal.SIGHUP)
            time.sleep(0.05)
        self.assert_serves(self.router)
        self.router.process.require_running()

    # Guards against a process that ends by SIGXFSZ as its log has reached the limit of files.
    def test_a_log_file_at_its_limit_does_not_end_the_process(self) -> None:
        limit = len(self.router.process.output())
        resource.prlimit(self.router.process.pid, resource.RLIMIT_FSIZE, (limit, limit))
        self.router.process.send_signal(signal.SIGHUP)
        time.sleep(CONDITION_S)
        self.assertIsNone(self.router.process.exit_code)
        self.assert_serves(self.router)


if __name__ == "__main__":
    unittest.main()

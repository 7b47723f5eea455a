"""A planned stop of a router of the log's core whose upstreams take long."""

import time
import unittest

from tests.process.support import FleetTest, Router
from tools.harness import Answer, Failure

_ANSWER_TIMEOUT_MS = 6_000
_STEP_MS = 100.0
_TOKENS = 60
_REQUESTS = 14
_INTERVAL_S = 0.4


class DrainEndTest(FleetTest):
    def setUp(self) -> None:
        super().setUp()
        self.limits["first_token_timeout_ms"] = _ANSWER_TIMEOUT_MS
        self.start_upstreams(engines=1, services=1, step_ms=_STEP_MS)
        self.leaving, _ = self.start_routers(count=2)

    def try_hold(self, router: Router, key: str) -> Answer | None:
        """Returns None if the connection was refused or ended without an answer."""
        try:
            return self.hold(router, key)
        except (Failure, OSError):
            return None

    # Guards against requests and streams that are cut when a drain ends: those that
    # reach an upstream get their answers, all others are refused as not run.
    def test_whatever_reaches_an_upstream_is_answered(self) -> None:
        self.fleet.services["ticketing-1"].control("silent")
        prefix = self.prefix(self.leaving)
        stream = self.in_background(self.draft, self.leaving, "stream", _TOKENS)
        self.wait(lambda: self.running_streams() == 1, "the stream runs")
        self.leaving.process.terminate()
        holds = {}
        for number in range(_REQUESTS):
            key = f"{prefix}hold-{number}"
            holds[key] = self.in_background(self.try_hold, self.leaving, key)
            time.sleep(_INTERVAL_S)
        answers = {key: hold.result() for key, hold in holds.items()}
        self.assertEqual(0, self.leaving.process.wait(60))
        self.assertTrue(stream.result().whole)
        ran = [key for key in answers if self.service_runs(key)]
        self.assertTrue(0 < len(ran) < _REQUESTS, answers)
        for key, answer in answers.items():
            if key in ran:
                self.assertIsNotNone(answer, key)
                self.assert_refused(answer, "CV-501", "unknown")
            elif answer:
                self.assert_refused(answer, "CV-411", "not_run")


if __name__ == "__main__":
    unittest.main()

"""Answers that arrive at a router while it is paused (SIGSTOP)."""

import time
import unittest

from tests.process.support import FleetTest

_STREAMS = 4
_TOKENS = 100


class PauseStreamsTest(FleetTest):
    # Streams run through a router that is paused for longer than the timeout
    # between tokens; the engines complete them, so that every byte waits in the
    # router's sockets. On resume the timers are overdue although no upstream was
    # silent: each caller must get its whole answer, for which the engines have used
    # tokens.
    def test_answers_that_arrived_during_the_pause_are_handed_out(self) -> None:
        self.limits["inter_token_timeout_ms"] = 500
        self.limits["retire_after_ms"] = 60_000
        self.start_upstreams(step_ms=5)
        router = self.start_routers(count=1)[0]
        keys = [f"{self.prefix(router)}plan-{index}" for index in range(_STREAMS)]
        answers = [
            self.in_background(self.draft, router, key, _TOKENS) for key in keys
        ]
        self.wait(lambda: self.running_streams() == _STREAMS, "streams run")
        router.process.pause()
        self.wait(lambda: self.running_streams() == 0, "the engines have finished")
        # The pause must exceed the timeout; a longer one makes no difference.
        time.sleep(1.0)
        router.process.resume()
        cut = [a.exception() for a in answers if a.exception() is not None]
        self.assertEqual([], cut)
        for key, answer in zip(keys, answers, strict=True):
            self.assert_own_answer(key, answer.result())
        self.assertEqual(_STREAMS, len(self.engine_runs()))


if __name__ == "__main__":
    unittest.main()

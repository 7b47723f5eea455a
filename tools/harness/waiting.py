"""Waiting for a condition with a timeout."""

import time
from collections.abc import Callable

_PAUSE_S = 0.05


class WaitTimeout(Exception):
    """The condition did not hold within the timeout."""


def wait_until(condition: Callable[[], bool], timeout_s: float, what: str) -> None:
    """Polls until the condition holds; raises WaitTimeout on timeout."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= deadline:
            raise WaitTimeout(f"{what}: not within {timeout_s} s")
        time.sleep(_PAUSE_S)

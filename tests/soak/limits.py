"""Bounds on what routers may send to an upstream that announces a limit."""

import bisect

# Seconds after its first announcement until all routers must keep to a limit.
PROPAGATION_S = 3.0
_WINDOW_S = 4.0
_OVERAGE = 1.5
_SLACK_REQUESTS = 5


def max_arrivals_in_window(times: list[float], begin: float) -> int:
    """Returns the maximum number of arrivals in any window that begins no sooner than
    `begin`."""
    late = [time for time in times if time >= begin]
    return max((bisect.bisect_left(late, time + _WINDOW_S) - i for i, time in enumerate(late)),
               default=0)


def max_allowed_arrivals(limit: float) -> int:
    return int(limit * _OVERAGE * _WINDOW_S + _SLACK_REQUESTS)

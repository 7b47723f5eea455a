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


def excess_failures(partitioned: int, others: int, tries: int) -> int:
    """Returns the failures at partitioned routers beyond what is allowed, of as many tries
    there as at the other routers."""
    allowed = 10 + tries // 50
    served_as_often = 3 * (tries - partitioned) >= 2 * (tries - others)
    return 0 if served_as_often else max(0, partitioned - allowed)

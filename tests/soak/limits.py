"""Bounds on what routers may send to an upstream that announces a limit."""

import bisect

# Seconds after its first announcement from which a limit is enforced.
CONTACT = 3.0
_WINDOW = 4.0
_OVERAGE = 1.5
_SLACK = 5


def most_in_a_window(times: list[float], begin: float) -> int:
    """Returns the maximum number of arrivals in any window that begins no sooner than
    `begin`."""
    late = [time for time in times if time >= begin]
    return max((bisect.bisect_left(late, time + _WINDOW) - i for i, time in enumerate(late)),
               default=0)


def allowed(limit: float) -> int:
    return int(limit * _OVERAGE * _WINDOW + _SLACK)

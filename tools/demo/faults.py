"""Faults injected during the demo."""

import time
from collections.abc import Callable

from harness import Fleet, ManagedProcess
from demo_fleet import DemoFleet

KILLED_ROUTER = "router-2"
KILLED_ENGINE = "engine-03"
DRAINED_ROUTER = "router-5"
_POLL_S = 0.05


class Faults:
    """Kills a router and an engine and drains a router, at fixed times."""

    def __init__(self, fleet: Fleet, demo_fleet: DemoFleet) -> None:
        self._fleet = fleet
        self._demo_fleet = demo_fleet
        self._steps: list[tuple[float, Callable[[], None]]] = [
            (8.0, self._kill_router),
            (14.0, self._kill_engine),
            (20.0, self._drain_router),
        ]

    def run_during(self, load: ManagedProcess, limit_s: float) -> None:
        """Runs each step at its time while the load runs."""
        begin = time.monotonic()
        for at, step in self._steps:
            while time.monotonic() < begin + min(at, limit_s):
                load.require_running()
                time.sleep(_POLL_S)
            step()

    def _kill_router(self) -> None:
        self._fleet.routers[KILLED_ROUTER].process.kill()
        self._demo_fleet.mark_gone(KILLED_ROUTER)
        print(f"killed {KILLED_ROUTER}")

    def _kill_engine(self) -> None:
        self._fleet.engines[KILLED_ENGINE].process.kill()
        self._demo_fleet.mark_gone(KILLED_ENGINE)
        print(f"killed {KILLED_ENGINE}")

    def _drain_router(self) -> None:
        self._demo_fleet.mark_leaving(DRAINED_ROUTER)
        self._fleet.routers[DRAINED_ROUTER].process.terminate()
        print(f"draining {DRAINED_ROUTER}")

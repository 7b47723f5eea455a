"""A router of the fleet."""

from dataclasses import dataclass
from typing import Any

from .http import answers, call
from .process import ManagedProcess
from .waiting import wait_until

_READY_S = 30.0


@dataclass(frozen=True)
class RouterAddresses:
    """Where a router listens."""

    caller: str
    peer: str
    operator: str


class Router:
    """A running coppervalved."""

    def __init__(
        self,
        process: ManagedProcess,
        addresses: RouterAddresses,
        failure_domain: str,
        operator_token: str,
    ) -> None:
        self.process = process
        self.addresses = addresses
        self.failure_domain = failure_domain
        self._operator_token = operator_token

    @property
    def router_id(self) -> str:
        """The router id."""
        return self.process.name

    @property
    def address(self) -> str:
        """Where callers connect."""
        return self.addresses.caller

    def is_ready(self) -> bool:
        """Returns whether the router reports that it accepts new work."""
        return answers(self.addresses.operator, "/readyz")

    def wait_ready(self, timeout_s: float = _READY_S) -> None:
        """Waits until the router accepts new work."""

        def ready() -> bool:
            self.process.require_running()
            return self.is_ready()

        wait_until(ready, timeout_s, f"{self.router_id} is ready")

    def wait_alive(self, timeout_s: float = _READY_S) -> None:
        """Waits until the operator endpoint answers, ready or not."""

        def alive() -> bool:
            self.process.require_running()
            return answers(self.addresses.operator, "/healthz")

        wait_until(alive, timeout_s, f"{self.router_id} is alive")

    def status(self) -> dict[str, Any]:
        """Returns the router's status report."""
        return self._admin("GET", "/admin/status").json()

    def drain(self) -> None:
        """Requests a drain over the operator endpoint."""
        self._admin("POST", "/admin/drain")

    def metrics(self) -> dict[str, float]:
        """Returns the metrics by name, labels included."""
        text = call(self.addresses.operator, "GET", "/metrics").body.decode()
        lines = [line for line in text.splitlines() if line and line[0] != "#"]
        pairs = [line.rsplit(" ", 1) for line in lines]
        return {name: float(value) for name, value in pairs}

    def _admin(self, method: str, target: str):  # noqa: ANN202
        headers = {"Authorization": f"Bearer {self._operator_token}"}
        return call(self.addresses.operator, method, target, headers=headers)

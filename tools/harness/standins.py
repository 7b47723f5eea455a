"""Stand-ins of the platform and of the upstreams."""

import json
from typing import Any

from .http import answers, call
from .process import ManagedProcess
from .waiting import wait_until

_READY_S = 20.0


class StandIn:
    """A stand-in that is controlled over HTTP."""

    ready_target = "/health"

    def __init__(self, process: ManagedProcess, address: str) -> None:
        self.process = process
        self.address = address

    @property
    def name(self) -> str:
        """The name of the process."""
        return self.process.name

    def wait_ready(self, timeout_s: float = _READY_S) -> None:
        """Waits until the stand-in serves."""

        def ready() -> bool:
            self.process.require_running()
            return answers(self.address, self.ready_target)

        wait_until(ready, timeout_s, f"{self.name} serves")

    def control(self, mode: str, **arguments: Any) -> None:
        """Enables a fault; the mode "ok" ("up" at the log) disables it."""
        reply = call(self.address, "POST", "/control", {"mode": mode, **arguments})
        if reply.status != 200:
            raise ValueError(f"{self.name} does not support the mode {mode}: {reply.body!r}")


class Log(StandIn):
    """The platform's log service and VM list."""

    ready_target = "/stats"

    def stats(self) -> dict[str, Any]:
        """Returns counts of appends and reads, and the retained offsets."""
        return call(self.address, "GET", "/stats").json()

    def up(self) -> None:
        """Disables every fault."""
        self.control("up")

    def down(self, for_client: str = "", vms: bool = False) -> None:
        """Refuses every connection, or only those of clients with this prefix."""
        self.control("down", for_client=for_client, vms=vms)

    def hang(self, for_client: str = "", vms: bool = False) -> None:
        """Accepts requests and never answers."""
        self.control("hang", for_client=for_client, vms=vms)

    def slow(self, slow_ms: int, for_client: str = "") -> None:
        """Delays answers; requests take effect at once."""
        self.control("slow", slow_ms=slow_ms, for_client=for_client)

    def lose_replies(self, ratio: float = 1.0, for_client: str = "") -> None:
        """Accepts appends and closes the connection instead of answering."""
        self.control("lose_replies", lose_ratio=ratio, for_client=for_client)

    def set_vms(self, vms: list[dict[str, Any]]) -> None:
        """Sets the VM list: items with id, address and leaving."""
        reply = call(
            self.address, "POST", "/control/vms", json.dumps({"vms": vms}).encode()
        )
        if reply.status != 200:
            raise ValueError(f"the VM list was refused: {reply.body!r}")


class _Upstream(StandIn):
    """An upstream that records what it ran."""

    def records(self) -> list[dict[str, Any]]:
        """Returns the upstream's records of what it ran."""
        return call(self.address, "GET", "/records").json()

    def ok(self) -> None:
        """Disables every fault."""
        self.control("ok")


class Engine(_Upstream):
    """A model engine."""


class Service(_Upstream):
    """A plain service."""


class Relay(StandIn):
    """A TCP relay whose connections can be made to fail.

    `address` accepts the relayed connections; `control_address` is the control endpoint.
    """

    def __init__(
        self, process: ManagedProcess, address: str, control_address: str
    ) -> None:
        super().__init__(process, address)
        self.control_address = control_address

    def wait_ready(self, timeout_s: float = _READY_S) -> None:
        """Waits until the relay serves."""

        def ready() -> bool:
            self.process.require_running()
            return answers(self.control_address, "/stats")

        wait_until(ready, timeout_s, f"{self.name} serves")

    def control(self, mode: str, **arguments: Any) -> None:
        """Sets the mode: pass, stall, stall-existing, refuse or cut."""
        reply = call(self.control_address, "POST", f"/{mode}", arguments)
        if reply.status != 200:
            raise ValueError(f"the relay does not support the mode {mode}")

    def stats(self) -> dict[str, Any]:
        """Returns the mode and the connection counts."""
        return call(self.control_address, "GET", "/stats").json()

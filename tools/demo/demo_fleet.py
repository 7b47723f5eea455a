"""The processes of the demo."""

import json
from pathlib import Path
from typing import Any

from harness import Fleet, Router
from harness.ports import is_free

# The log does not retain all entries of a run, so the demo's audit reads them
# during the run.
RETAINED_ENTRIES = 10_000
VM_LAG_MS = 1_500
STEP_MS = 5
SERVICE_LATENCY_MS = 20
FAILURE_DOMAINS = ("fd-a", "fd-b", "fd-c")
ROUTERS = 6


class DemoFleet:
    """The upstreams of a configuration and six routers in three failure domains."""

    def __init__(self, fleet: Fleet, configuration: Path) -> None:
        self._fleet = fleet
        self._path = configuration
        self._configuration: dict[str, Any] = json.loads(configuration.read_text())
        self._leaving: set[str] = set()
        self._gone: set[str] = set()
        self.record_folder = fleet.folder / "records"
        self.record_folder.mkdir()

    def start(self) -> None:
        """Starts everything and publishes the configuration."""
        fleet = self._fleet
        fleet.start_log(retain_entries=RETAINED_ENTRIES, vm_lag_ms=VM_LAG_MS)
        for upstream in self._configuration["upstreams"]:
            self._start_upstream(upstream)
        for upstream in (*fleet.engines.values(), *fleet.services.values()):
            upstream.wait_ready()
        for number in range(1, ROUTERS + 1):
            domain = FAILURE_DOMAINS[(number - 1) % len(FAILURE_DOMAINS)]
            fleet.start_router(f"router-{number}", domain)
        self.publish_vms()
        fleet.tool.publish(self._path)
        for router in fleet.routers.values():
            router.wait_ready()
        print(
            f"started {len(fleet.engines)} engines, {len(fleet.services)} services, "
            f"{len(fleet.routers)} routers; {self._path.name} is in force on all"
        )

    def caller_addresses(self) -> list[str]:
        """Returns the addresses where callers connect to the routers."""
        return [router.address for router in self._fleet.routers.values()]

    def mark_leaving(self, name: str) -> None:
        """Marks a VM as leaving in the VM list."""
        self._leaving.add(name)
        self.publish_vms()

    def mark_gone(self, name: str) -> None:
        """Removes a VM from the VM list."""
        self._gone.add(name)
        self.publish_vms()

    def publish_vms(self) -> None:
        """Sends the VM list to the platform, which shows it with a lag."""
        vms = [(u["id"], u["address"]) for u in self._configuration["upstreams"]]
        vms += [(r.router_id, r.address) for r in self._routers()]
        self._fleet.log.set_vms(
            [
                {"id": name, "address": address, "leaving": name in self._leaving}
                for name, address in vms
                if name not in self._gone
            ]
        )

    def _routers(self) -> list[Router]:
        return list(self._fleet.routers.values())

    def _start_upstream(self, upstream: dict[str, Any]) -> None:
        name, address = upstream["id"], upstream["address"]
        if not is_free(int(address.rsplit(":", 1)[1])):
            raise RuntimeError(f"{address} of {name} is in use on this machine")
        record = f"--record={self.record_folder / name}.jsonl"
        if upstream["kind"] == "PLAIN_SERVICE":
            self._fleet.start_service(
                name, address, SERVICE_LATENCY_MS, arguments=[record], wait=False
            )
            return
        arguments = [record]
        if upstream.get("checks_fencing"):
            arguments.append("--checks-fencing")
        self._fleet.start_engine(
            name,
            address,
            models=upstream["models"],
            step_ms=STEP_MS,
            arguments=arguments,
            wait=False,
        )

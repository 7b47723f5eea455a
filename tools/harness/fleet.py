"""All processes of one test or demo."""

import atexit
import shutil
import signal
import sys
import tempfile
import threading
from collections.abc import Iterable
from pathlib import Path
from types import TracebackType

from .caller import Caller
from .operators import OperatorTool
from .ports import HOST, free_address
from .process import ManagedProcess
from .router import Router, RouterAddresses
from .standins import Engine, Log, Relay, Service

_OPERATOR_TOKEN = "harness-operator"
_PEER_SECRET = "harness-peer-secret"


def _exit_on_sigterm() -> None:
    """Makes SIGTERM exit the interpreter normally, unless a handler is set."""
    is_main = threading.current_thread() is threading.main_thread()
    if is_main and signal.getsignal(signal.SIGTERM) is signal.SIG_DFL:
        signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))


class Fleet:
    """Starts processes and ends all of them."""

    def __init__(self, build_folder: str | Path) -> None:
        self.build_folder = Path(build_folder).resolve()
        self.folder = Path(tempfile.mkdtemp(prefix="coppervalve-"))
        self.processes: list[ManagedProcess] = []
        self.routers: dict[str, Router] = {}
        self.engines: dict[str, Engine] = {}
        self.services: dict[str, Service] = {}
        self._log: Log | None = None
        self._tool: OperatorTool | None = None
        atexit.register(self.close)
        # A test runner sends SIGTERM on a timeout, which would end the interpreter
        # without running the atexit handlers.
        _exit_on_sigterm()

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    @property
    def log(self) -> Log:
        """The log stand-in; requires start_log()."""
        if self._log is None:
            raise RuntimeError("start_log() must be called first")
        return self._log

    @property
    def tool(self) -> OperatorTool:
        """The operators' tool; requires start_log()."""
        if self._tool is None:
            raise RuntimeError("start_log() must be called first")
        return self._tool

    def caller(self, api_key: str, timeout_s: float = 30.0) -> Caller:
        """Returns a caller with this API key."""
        return Caller(api_key, timeout_s)

    def start_log(
        self,
        address: str = "",
        retain_entries: int = 0,
        max_appends: int = 0,
        vm_lag_ms: int = 0,
    ) -> Log:
        """Starts the platform's log and VM list; 0 means no limit."""
        address = address or free_address()
        arguments = [
            f"--retain-entries={retain_entries}",
            f"--max-appends={max_appends}",
            f"--vm-lag-ms={vm_lag_ms}",
        ]
        process = self._start("log", "standin-log", address, arguments)
        self._log = Log(process, address)
        self._log.wait_ready()
        self._tool = OperatorTool(
            self.build_folder / "coppervalve", address, _OPERATOR_TOKEN, self.folder
        )
        return self._log

    def start_engine(
        self,
        name: str,
        address: str = "",
        models: Iterable[str] = (),
        step_ms: float = 5,
        max_batch: int = 16,
        arguments: Iterable[str] = (),
        wait: bool = True,
    ) -> Engine:
        """Starts a model engine."""
        address = address or free_address()
        command = [f"--step-ms={step_ms}", f"--max-batch={max_batch}"]
        if models:
            command.append(f"--models={','.join(models)}")
        command += arguments
        process = self._start(name, "standin-engine", address, command)
        engine = Engine(process, address)
        self.engines[name] = engine
        if wait:
            engine.wait_ready()
        return engine

    def start_service(
        self,
        name: str,
        address: str = "",
        latency_ms: int = 0,
        arguments: Iterable[str] = (),
        wait: bool = True,
    ) -> Service:
        """Starts a plain service."""
        address = address or free_address()
        command = [f"--name={name}", f"--latency-ms={latency_ms}", *arguments]
        process = self._start(name, "standin-service", address, command)
        service = Service(process, address)
        self.services[name] = service
        if wait:
            service.wait_ready()
        return service

    def start_relay(self, name: str, to: str, address: str = "") -> Relay:
        """Starts a relay in front of an address."""
        address = address or free_address()
        control = free_address()
        arguments = [f"--to={to}", f"--control={control}"]
        process = self._start(name, "standin-relay", address, arguments)
        relay = Relay(process, address, control)
        relay.wait_ready()
        return relay

    def start_router(
        self,
        router_id: str,
        failure_domain: str = "fd-a",
        addresses: RouterAddresses | None = None,
        log_address: str = "",
        arguments: Iterable[str] = (),
        wait: bool = False,
        wait_alive: bool = True,
    ) -> Router:
        """Starts a router; the id may be that of an earlier router.

        A router is ready once it has a configuration, so publish the first one before
        waiting for readiness.
        """
        addresses = addresses or RouterAddresses(
            free_address(), free_address(), free_address()
        )
        log_address = log_address or self.log.address
        command = [
            str(self.build_folder / "coppervalved"),
            f"--router-id={router_id}",
            f"--failure-domain={failure_domain}",
            f"--caller-listen={addresses.caller}",
            f"--peer-listen={addresses.peer}",
            f"--operator-listen={addresses.operator}",
            f"--log={log_address}",
            f"--vm-list={self.log.address}",
            *arguments,
        ]
        secrets = {
            "COPPERVALVED_OPERATOR_TOKEN": _OPERATOR_TOKEN,
            "COPPERVALVED_PEER_SECRET": _PEER_SECRET,
        }
        process = ManagedProcess(router_id, command, self.folder, secrets)
        self.processes.append(process)
        router = Router(process, addresses, failure_domain, _OPERATOR_TOKEN)
        self.routers[router_id] = router
        if wait_alive:
            router.wait_alive()
        if wait:
            router.wait_ready()
        return router

    def start_program(
        self, name: str, program: str, arguments: Iterable[str] = ()
    ) -> ManagedProcess:
        """Starts another program of the build folder."""
        command = [str(self.build_folder / program), *arguments]
        process = ManagedProcess(name, command, self.folder)
        self.processes.append(process)
        return process

    def engine_records(self) -> dict[str, list[dict]]:
        """Returns the records of each running engine."""
        running = {n: e for n, e in self.engines.items() if e.process.running}
        return {name: engine.records() for name, engine in running.items()}

    def service_records(self) -> dict[str, list[dict]]:
        """Returns the records of each running service."""
        running = {n: s for n, s in self.services.items() if s.process.running}
        return {name: service.records() for name, service in running.items()}

    def close(self) -> None:
        """Kills all processes and removes their output; may be called twice."""
        atexit.unregister(self.close)
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _start(
        self, name: str, program: str, address: str, arguments: list[str]
    ) -> ManagedProcess:
        if not address.startswith(f"{HOST}:"):
            raise ValueError(f"{address} is not on {HOST}")
        return self.start_program(name, program, [f"--listen={address}", *arguments])

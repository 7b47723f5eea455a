"""A child process that ends with its owner."""

import ctypes
import os
import signal
import subprocess
import threading
from collections.abc import Callable
from pathlib import Path

_PR_SET_PDEATHSIG = 1
_TAIL_BYTES = 4000

# Loaded before any fork, because the child must not load libraries.
_libc = ctypes.CDLL(None)


class ProcessFailed(Exception):
    """A process did not start, or ended unexpectedly."""


def _kill_with_parent() -> None:
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def _child_setup() -> Callable[[], None] | None:
    # The kernel sends the signal when the thread that forked ends, so only a child
    # of the main thread may request it.
    if threading.current_thread() is threading.main_thread():
        return _kill_with_parent
    return None


class ManagedProcess:
    """A child in its own process group; signals go to its pid only."""

    def __init__(
        self,
        name: str,
        command: list[str],
        folder: Path,
        environment: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.command = command
        self.output_path = folder / f"{name}.out"
        with open(self.output_path, "ab") as output:
            self._child = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, **(environment or {})},
                start_new_session=True,
                preexec_fn=_child_setup(),
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._child.pid

    @property
    def running(self) -> bool:
        """Whether it has not ended; a stopped process counts as running."""
        return self._child.poll() is None

    @property
    def exit_code(self) -> int | None:
        """The exit code, the negated signal number, or None while it runs."""
        return self._child.poll()

    def output(self) -> str:
        """Returns all output written so far."""
        return self.output_path.read_text(errors="replace")

    def tail(self) -> str:
        """Returns the end of the output, for messages."""
        return self.output()[-_TAIL_BYTES:]

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process still runs."""
        if self.running:
            self._child.send_signal(number)

    def kill(self) -> None:
        """Kills the process (SIGKILL), as a crash of its VM would."""
        self.send_signal(signal.SIGKILL)
        self._child.wait()

    def pause(self) -> None:
        """Suspends the process (SIGSTOP)."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes the process (SIGCONT)."""
        self.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Requests termination (SIGTERM) without waiting."""
        self.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int:
        """Waits for the process to end and returns the exit code."""
        try:
            return self._child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            raise ProcessFailed(
                f"{self.name} has not ended within {timeout_s} s:\n{self.tail()}"
            ) from None

    def require_running(self) -> None:
        """Raises ProcessFailed with the output if the process has ended."""
        if not self.running:
            raise ProcessFailed(
                f"{self.name} exited with code {self.exit_code}: "
                f"{' '.join(self.command)}\n{self.tail()}"
            )

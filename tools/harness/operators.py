"""The operators' tool."""

import json
import os
import subprocess
from dataclasses import dataclass
from pathlib import Path
from typing import Any

_TIMEOUT_S = 60.0


@dataclass(frozen=True)
class ToolResult:
    """The result of a command."""

    exit_code: int
    output: str
    errors: str

    def json(self) -> Any:
        """Returns the output parsed as JSON."""
        return json.loads(self.output)


class OperatorTool:
    """Runs the binary `coppervalve` against one log."""

    def __init__(
        self, binary: Path, log_address: str, operator_token: str, folder: Path
    ) -> None:
        self._binary = binary
        self._log_address = log_address
        self._operator_token = operator_token
        self._folder = folder
        self._files = 0

    def run(
        self, *arguments: str, operator: str = "ana", timeout_s: float = _TIMEOUT_S
    ) -> ToolResult:
        """Runs a command with JSON output and waits for its end."""
        environment = {
            **os.environ,
            "COPPERVALVE_LOG": self._log_address,
            "COPPERVALVE_OPERATOR": operator,
            "COPPERVALVE_OPERATOR_TOKEN": self._operator_token,
        }
        completed = subprocess.run(
            [str(self._binary), "--output", "json", *arguments],
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            env=environment,
            timeout=timeout_s,
            check=False,
        )
        return ToolResult(completed.returncode, completed.stdout, completed.stderr)

    def require(self, *arguments: str, **options: Any) -> ToolResult:
        """Runs a command that must succeed."""
        result = self.run(*arguments, **options)
        if result.exit_code != 0:
            raise RuntimeError(
                f"coppervalve {' '.join(arguments)} exited with code {result.exit_code}:\n"
                f"{result.output}{result.errors}"
            )
        return result

    def publish(
        self, configuration: dict[str, Any] | Path, wait_s: int = 20
    ) -> ToolResult:
        """Publishes a configuration and waits until each live router has it."""
        path = self.write_file(configuration)
        arguments = ["config", "publish", str(path)]
        if wait_s > 0:
            arguments += ["--wait", str(wait_s)]
        return self.require(*arguments)

    def top_up(self, budget: str, tokens: int, payment_id: str) -> ToolResult:
        """Pays tokens into a budget."""
        return self.require("budget", "top-up", budget, str(tokens), "--id", payment_id)

    def audit(self) -> ToolResult:
        """Replays the log and checks that balances add up."""
        return self.run("audit")

    def write_file(self, configuration: dict[str, Any] | Path) -> Path:
        """Writes a configuration where the tool can read it."""
        if isinstance(configuration, Path):
            return configuration
        self._files += 1
        path = self._folder / f"configuration-{self._files}.json"
        path.write_text(json.dumps(configuration))
        return path

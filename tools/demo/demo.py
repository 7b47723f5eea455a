"""Runs the fleet of examples/boleteria.json on one machine with faults and audits it.

usage: demo.py BUILD_FOLDER
"""

import json
import os
import sys
import time
from pathlib import Path

TOOLS = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(TOOLS))

from faults import Faults  # noqa: E402
from harness import Fleet, ManagedProcess  # noqa: E402
from report import print_classes, summary_line, was_clean  # noqa: E402
from demo_fleet import DemoFleet  # noqa: E402
from work import load_plan  # noqa: E402

EXAMPLE = TOOLS.parent / "examples" / "boleteria.json"
# Added to the plan's own duration, for a busy machine.
LOAD_LIMIT_S = 80.0
DRAIN_LIMIT_S = 40.0
AUDIT_LIMIT_S = 30.0


def run_load(fleet: Fleet, demo_fleet: DemoFleet) -> dict:
    """Sends the load while the faults happen, and returns the load's report."""
    plan_path = fleet.folder / "plan.json"
    report_path = fleet.folder / "load.json"
    plan_path.write_text(json.dumps(load_plan(demo_fleet.caller_addresses())))
    load = fleet.start_program(
        "load",
        "coppervalve-load",
        [
            "run",
            str(plan_path),
            f"--report={report_path}",
            f"--clairvoyant={fleet.log.address}",
            f"--record-folder={demo_fleet.record_folder}",
        ],
    )
    Faults(fleet, demo_fleet).run_during(load, LOAD_LIMIT_S)
    code = load.wait(LOAD_LIMIT_S)
    if code != 0:
        raise RuntimeError(f"the load generator exited with code {code}:\n{load.tail()}")
    return json.loads(report_path.read_text())


def start_audit(fleet: Fleet, demo_fleet: DemoFleet) -> ManagedProcess:
    """Starts the audit early, so that it reads entries before they expire."""
    return fleet.start_program(
        "audit",
        "coppervalve-load",
        [
            "audit",
            f"--log={fleet.log.address}",
            f"--record-folder={demo_fleet.record_folder}",
            f"--report={fleet.folder / 'load.json'}",
            f"--findings={fleet.folder / 'findings.json'}",
            f"--follow-until={fleet.folder / 'all-settled'}",
        ],
    )


def finish_audit(fleet: Fleet, audit: ManagedProcess) -> dict:
    """Lets the audit read to the end of the log, and returns its findings."""
    (fleet.folder / "all-settled").touch()
    audit.wait(AUDIT_LIMIT_S)
    print(audit.output(), end="")
    findings = fleet.folder / "findings.json"
    if not findings.exists():
        raise RuntimeError("the audit wrote no findings")
    return json.loads(findings.read_text())


def drain_fleet(fleet: Fleet) -> None:
    """Stops all routers gracefully, so that each settles what it spent."""
    running = [r for r in fleet.routers.values() if r.process.running]
    for router in running:
        router.process.terminate()
    for router in running:
        code = router.process.wait(DRAIN_LIMIT_S)
        if code != 0:
            raise RuntimeError(f"{router.router_id} exited with code {code}")
    print(f"drained {len(running)} routers")


def surviving_processes(processes: list[ManagedProcess]) -> list[str]:
    """Returns the names of processes whose process group still exists."""
    left = []
    for process in processes:
        try:
            os.killpg(process.pid, 0)
        except ProcessLookupError:
            continue
        left.append(process.name)
    return left


def run_demo(fleet: Fleet) -> tuple[dict, dict]:
    """Runs the whole demo; returns the load's report and the findings."""
    demo_fleet = DemoFleet(fleet, EXAMPLE)
    demo_fleet.start()
    audit = start_audit(fleet, demo_fleet)
    report = run_load(fleet, demo_fleet)
    drain_fleet(fleet)
    return report, finish_audit(fleet, audit)


def main() -> int:
    """Returns the exit code."""
    if len(sys.argv) != 2:
        print(__doc__, file=sys.stderr)
        return 2
    begin = time.monotonic()
    with Fleet(sys.argv[1]) as fleet:
        report, findings = run_demo(fleet)
    left = surviving_processes(fleet.processes)
    print(f"took {time.monotonic() - begin:.0f} s, processes left {len(left)}")
    print_classes(report)
    print(summary_line(findings))
    return 0 if was_clean(report, findings) and not left else 1


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env bash
# Runs a fleet of six routers on this machine, injects faults, and audits the
# outcome of every request. usage: demo.sh [build folder]
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 tools/demo/demo.py "${1:-build}"

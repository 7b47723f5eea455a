#!/usr/bin/env bash
# Runs all benchmarks. Each figure is a line
# `figure <name> <value> <unit> bound <b> ok|exceeded`; fails when one is exceeded.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
status=0
for bench in bench-budget bench-routing bench-capacity; do
  echo "== $bench"
  "$build/$bench" || status=1
done
exit $status

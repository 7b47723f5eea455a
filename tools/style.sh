#!/usr/bin/env bash
# Formatting and lint: `style.sh check|fix|tidy [build folder]`.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=${1:-check}
build=${2:-build}

sources() { git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v '^gen/'; }

case "$mode" in
  fix) sources | xargs clang-format -i ;;
  check) sources | xargs clang-format --dry-run -Werror ;;
  tidy) sources | grep '\.cc$' | xargs -P "$(nproc)" -n 2 clang-tidy -quiet -p "$build" 2>/dev/null ;;
  *) echo "usage: style.sh check|fix|tidy [build folder]" >&2; exit 2 ;;
esac

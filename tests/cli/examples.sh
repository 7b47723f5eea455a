#!/usr/bin/env bash
# The example files must be publishable, and a file with each kind of mistake must
# be refused with its id and path.
# usage: examples.sh [build folder]
set -uo pipefail
cd "$(dirname "$0")/../.."
tool=${1:-build}/coppervalve
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0

expect_ok() {
  "$tool" config check "$1" >"$work/out" 2>&1 && return
  echo "FAILED: $1 is refused:"; cat "$work/out"
  failures=$((failures + 1))
}

# refuse <what> <id> <path> <python statement that changes the file as `c`>
refuse() {
  python3 -c "
import json, sys
c = json.load(open('examples/boleteria.json'))
$4
json.dump(c, open('$work/bad.json', 'w'))"
  if "$tool" config check "$work/bad.json" >"$work/out" 2>&1 ||
    ! grep -qF "$2" "$work/out" || ! grep -qF "$3" "$work/out"; then
    echo "FAILED: $1: wanted $2 at $3, got:"; cat "$work/out"
    failures=$((failures + 1))
  fi
}

expect_ok examples/boleteria.json
expect_ok examples/fundacion.json
refuse "an unknown field" CV-102 '$.budgets[0].colour' "c['budgets'][0]['colour'] = 'red'"
refuse "a duplicate account" CV-104 '$.accounts' "c['accounts'].append(c['accounts'][0])"
refuse "a negative budget" CV-106 '$.budgets[0].prepaid_tokens' "c['budgets'][0]['prepaid_tokens'] = -5"
refuse "a rule that can never match" CV-108 '$.rules' \
  "c['rules'].insert(0, {'id': 'all', 'then': {'refuse': {'reason': 'closed'}}})"

echo "$failures failed"
[ "$failures" -eq 0 ]

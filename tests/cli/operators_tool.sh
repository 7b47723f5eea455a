#!/usr/bin/env bash
# Tests the operators' tool against the log stand-in: publishing, conflicting
# publishers, top-ups with lost replies, a log whose first entries have expired, an
# unreachable log.
# usage: operators_tool.sh [build folder]
set -uo pipefail
cd "$(dirname "$0")/../.."
build=${1:-build}
tool=$build/coppervalve
work=$(mktemp -d)
failures=0
checks=0
log_pid=

finish() {
  [ -n "$log_pid" ] && kill "$log_pid" 2>/dev/null
  kill "$ports_pid"
  rm -rf "$work"
}
trap finish EXIT

exec {ports}< <(exec python3 tools/harness/ports.py 10)
ports_pid=$!
free_port() {
  local port
  read -r port <&"$ports"
  echo "$port"
}

start_log() {
  [ -n "$log_pid" ] && kill "$log_pid" 2>/dev/null && wait "$log_pid" 2>/dev/null
  local port
  port=$(free_port)
  export COPPERVALVE_LOG=127.0.0.1:$port
  "$build/standin-log" --listen "$COPPERVALVE_LOG" "$@" >"$work/log.out" 2>&1 &
  log_pid=$!
  for _ in $(seq 50); do
    curl -sf "http://$COPPERVALVE_LOG/stats" >/dev/null && return
    sleep 0.1
  done
  echo "the log stand-in did not start"
  exit 1
}

control() { curl -sf -X POST "http://$COPPERVALVE_LOG/control" -d "$1" >/dev/null; }

# expect <what> <exit code> <text in the output> <command...>
expect() {
  local what=$1 code=$2 text=$3 got
  shift 3
  "$@" >"$work/out" 2>&1
  got=$?
  checks=$((checks + 1))
  if [ "$got" -ne "$code" ] || ! grep -qF -- "$text" "$work/out"; then
    failures=$((failures + 1))
    echo "FAILED: $what: exit $got, wanted $code and '$text' in:"
    sed 's/^/    /' "$work/out"
  fi
}

export COPPERVALVE_OPERATOR=ana
unset COPPERVALVE_ROUTERS COPPERVALVE_OPERATOR_TOKEN

expect "no command is wrong usage" 2 "subcommand is required" "$tool"
expect "help shows examples" 0 "Examples:" "$tool" --help
expect "a valid file is accepted" 0 "10 accounts" "$tool" config check examples/boleteria.json
expect "the other valid file is accepted" 0 "18 " bash -c "$tool config check examples/fundacion.json; grep -c MODEL_ENGINE examples/fundacion.json | sed 's/$/ /'"
for bad in tests/config/data/bad-*.json; do
  expect "$bad is refused with the path of the mistake" 1 "$(sed -n 's/.*"name": "expect: \(.*\)".*/\1/p' "$bad")" \
    "$tool" config check "$bad"
done
expect "a missing file is wrong usage" 2 "cannot be read" "$tool" config check "$work/none"
expect "a log address without a server is unreachable" 3 "CV-601" \
  "$tool" --log "127.0.0.1:$(free_port)" --timeout 1 config show
expect "no log at all is wrong usage" 2 "CV-201" env -u COPPERVALVE_LOG "$tool" config show

start_log
expect "an empty log holds no publication" 0 "OUTCOME" "$tool" config history
expect "the first publication is version 1" 0 "accepted as version 1" "$tool" config publish examples/boleteria.json
expect "the same file again changes nothing" 0 "already in force as version 1" "$tool" config publish examples/boleteria.json
expect "--wait without a live router fails" 1 "CV-808" "$tool" config publish examples/boleteria.json --wait 1
expect "status without a live router fails" 1 "CV-806" "$tool" status
sed 's/"prepaid_tokens": 50000}/"prepaid_tokens": 60000}/' examples/boleteria.json >"$work/grown.json"
sed 's/"gate_queue_ms": 2000/"gate_queue_ms": 1500/' examples/boleteria.json >"$work/ben.json"
expect "diff names the path" 0 '$.budgets[id=night-events].prepaid_tokens' "$tool" config diff "$work/grown.json"
expect "a change on top is version 2" 0 "accepted as version 2" "$tool" config publish "$work/grown.json" --based-on 1

# Two operators start from version 1. Ana's change is first in the log; Ben must be
# told that his change lost, to whom, and what differs. Nothing of his change may
# apply: otherwise he would rely on a rule that no router applies.
expect "the second of two operators lost the race" 4 "'ana' published version 2 first" \
  "$tool" --operator ben config publish "$work/ben.json" --based-on 1
expect "the loser is told what differs" 4 '$.limits.gate_queue_ms' \
  "$tool" --operator ben config publish "$work/ben.json" --based-on 1
expect "the loser's change is not in force" 0 '"gate_queue_ms":2000' "$tool" --output json config show
expect "prepaid tokens may not shrink" 1 "CV-109" "$tool" config publish examples/boleteria.json
expect "history names both versions" 0 "accepted" "$tool" config history

expect "a top-up is paid in" 0 "paid 500 tokens" "$tool" budget top-up refunds 500 --id i-1
expect "the same id again pays nothing more" 0 "had already paid 500" "$tool" budget top-up refunds 500 --id i-1
expect "the same id for another amount is refused" 1 "CV-804" "$tool" budget top-up refunds 501 --id i-1
expect "an unknown budget is refused" 1 "CV-805" "$tool" budget top-up nobody 5
expect "a negative amount is wrong usage" 2 "TOKENS" "$tool" budget top-up refunds -5
expect "the balance includes the top-up once" 0 "3000500" "$tool" budget show refunds
expect "nothing is quarantined, so nothing is released" 1 "CV-806" "$tool" budget release refunds router-1 --yes

# The log accepts the append and closes the connection before its reply. The tool
# repeats the entry, so the log has two copies; the tokens must be paid in once, and
# the publisher must not be told that its own change is a conflict.
control '{"mode": "lose_replies"}'
expect "a top-up without reply is found in the log" 0 "paid 70 tokens" \
  "$tool" --timeout 2 budget top-up refunds 70 --id i-2
sed 's/"gate_queue_ms": 2000/"gate_queue_ms": 1800/' "$work/grown.json" >"$work/third.json"
expect "a publication without reply is found in the log" 0 "accepted as version 3" \
  "$tool" --timeout 2 config publish "$work/third.json"
control '{"mode": "up"}'
expect "the top-up with a lost reply is paid in once" 0 "3000570" "$tool" budget show refunds

expect "an order gets its fencing number" 0 "fencing number" "$tool" order engine-01 --load-model chat-7b
expect "an order that no router has taken is waiting" 0 "WAITING" "$tool" orders list
expect "nothing is settled without --yes" 2 "At stake" "$tool" orders settle engine-01
expect "an order is settled" 0 "settled order" "$tool" orders settle engine-01 --yes
expect "a settled order is not settled again" 1 "CV-809" "$tool" orders settle engine-01 --yes
expect "an order to a plain service is refused" 1 "CV-107" "$tool" order ticketing-1 --load-model x
expect "an order of two kinds is wrong usage" 2 "Exactly 1" "$tool" order engine-01 --load-model x --change-role y
expect "the log is conserved" 0 "conserved" "$tool" audit
expect "no router has joined" 0 "ROUTER" "$tool" routers
expect "a router that never joined cannot be drained" 1 "CV-806" "$tool" drain router-9
expect "a router that does not answer is unreachable" 3 "CV-802" \
  "$tool" --router "127.0.0.1:$(free_port)" --timeout 1 status

start_log --retain-entries 1
expect "a log that retains one entry accepts a publication" 0 "version 1" "$tool" config publish examples/boleteria.json
"$tool" budget top-up refunds 1 >/dev/null 2>&1
expect "without a snapshot, a log without its first entries is a gap" 1 "CV-602" "$tool" config show

echo "$checks checks, $failures failed"
[ "$failures" -eq 0 ]

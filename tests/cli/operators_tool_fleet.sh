#!/usr/bin/env bash
# Tests the operators' tool against two running routers: confirmation of a
# configuration, status, a paused router, a killed router, a drain.
# usage: operators_tool_fleet.sh [build folder]
set -uo pipefail
cd "$(dirname "$0")/../.."
build=${1:-build}
tool=$build/coppervalve
work=$(mktemp -d)
failures=0
checks=0
pids=()

finish() {
  kill "$ports_pid"
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
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

# until_output <seconds> <text> <command...>: waits until the command's output has
# the text
until_output() {
  local end=$((SECONDS + $1)) text=$2
  shift 2
  until "$@" 2>&1 | grep -qF -- "$text"; do
    [ "$SECONDS" -ge "$end" ] && return 1
    sleep 0.2
  done
}

live_routers() {
  "$tool" --output json routers | python3 -c \
    'import json, sys; print("\"live\":" + json.dumps([r["router"] for r in json.load(sys.stdin)["routers"] if r["phase"] != "RETIRED"]))'
}

export COPPERVALVE_LOG=127.0.0.1:$(free_port)
export COPPERVALVE_OPERATOR=ana COPPERVALVE_OPERATOR_TOKEN=token-for-tests
unset COPPERVALVE_ROUTERS
"$build/standin-log" --listen "$COPPERVALVE_LOG" >"$work/log.out" 2>&1 &
pids+=($!)
for i in 1 2 3; do
  # Background jobs that read the pipe at the same time would mix its lines.
  caller_port=$(free_port)
  peer_port=$(free_port)
  operator_port=$(free_port)
  "$build/coppervalved" --router-id "router-$i" --failure-domain "fd-$i" \
    --caller-listen "127.0.0.1:$caller_port" --peer-listen "127.0.0.1:$peer_port" \
    --operator-listen "127.0.0.1:$operator_port" --log "$COPPERVALVE_LOG" \
    --operator-token "$COPPERVALVE_OPERATOR_TOKEN" \
    --peer-secret secret-for-tests-of-the-tool >"$work/router-$i.out" 2>&1 &
  pids+=($!)
done
if ! until_output 20 "router-1" "$tool" routers || ! until_output 20 "router-2" "$tool" routers ||
  ! until_output 20 "router-3" "$tool" routers; then
  echo "FAILED: the routers did not join"
  tail -n 15 "$work"/*.out
  exit 1
fi

expect "every router confirms a version" 0 "in force on 3 routers" \
  "$tool" config publish examples/boleteria.json --wait 20
expect "status asks each router" 0 "router-2" "$tool" status
expect "a wrong token is refused" 1 "HTTP status 401" "$tool" --operator-token wrong-token status
expect "status as JSON has the upstreams" 0 '"engine-12"' "$tool" --output json status

# Router 2 is paused, like a VM in migration. The change is accepted, but router 2
# would still apply the old configuration to callers when it resumes: --wait must
# not report that the change is in force.
sed 's/"prepaid_tokens": 20000000}/"prepaid_tokens": 20000000, "release": "OPERATOR_ONLY"}/' \
  examples/boleteria.json >"$work/next.json"
kill -STOP "${pids[2]}"
expect "a paused router is named as not confirmed" 1 "not confirmed by router-2" \
  "$tool" config publish "$work/next.json" --wait 2
expect "a paused router does not answer status" 3 "CV-802" "$tool" --timeout 1 status
kill -CONT "${pids[2]}"
expect "after it resumes the same command succeeds" 0 "already in force as version 2, in force on 3 routers" \
  "$tool" config publish "$work/next.json" --wait 20

# Two of three routers are paused. Applying a change on the third one alone would
# put two rule sets in force, so it waits, and the operator is told so.
sed 's/"prepaid_tokens": 20000000,/"prepaid_tokens": 20000001,/' "$work/next.json" >"$work/third.json"
kill -STOP "${pids[2]}" "${pids[3]}"
expect "without a majority a change is proposed only" 1 "proposed, but fewer than half" \
  "$tool" config publish "$work/third.json" --wait 2
kill -CONT "${pids[2]}" "${pids[3]}"
expect "after the majority resumes it comes into force" 0 "version 3, in force on 3 routers" \
  "$tool" config publish "$work/third.json" --wait 20

# Router 2 holds tokens of tours-desk and is killed. The budget's policy keeps them
# quarantined, so that its account could run out of tokens: the tool must state the
# amount and risk, release nothing without --yes, and return them with it.
caller=$("$tool" --output json routers | python3 -c \
  'import json, sys; print([r["caller_address"] for r in json.load(sys.stdin)["routers"] if r["router"] == "router-2"][0])')
curl -s -o /dev/null -H "Authorization: Bearer demo-tours-desk" "http://$caller/v1/completions" \
  -d '{"model": "itinerary-30b", "prompt": "x", "max_tokens": 8}'
expect "a live router's tokens are not released" 1 "CV-806" \
  "$tool" budget release tours-desk router-2 --yes
kill -KILL "${pids[2]}"
wait "${pids[2]}" 2>/dev/null
checks=$((checks + 1))
if ! until_output 40 "retired" "$tool" budget show tours-desk; then
  failures=$((failures + 1))
  echo "FAILED: the killed router was not retired"
fi
expect "a release states the amount and risk" 2 "At stake" "$tool" budget release tours-desk router-2
expect "nothing was released without --yes" 0 "retired" "$tool" budget show tours-desk
expect "with --yes the tokens are returned" 0 "released " \
  "$tool" budget release tours-desk router-2 --yes
expect "a second release finds nothing" 1 "CV-806" \
  "$tool" budget release tours-desk router-2 --yes

expect "a router can be told to drain" 0 "draining" "$tool" drain router-1
expect "a second router can be told to drain" 0 "draining" "$tool" drain router-3
checks=$((checks + 1))
if ! until_output 40 '"live":[]' live_routers; then
  failures=$((failures + 1))
  echo "FAILED: the drained routers did not retire"
  "$tool" routers
fi
expect "the log is conserved" 0 "conserved" "$tool" audit

echo "$checks checks, $failures failed"
[ "$failures" -eq 0 ]

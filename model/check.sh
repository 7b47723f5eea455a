#!/usr/bin/env bash
# Checks the models with spin: each correct model must hold over its whole state
# space, and each broken variant must yield a counterexample. A truncated search
# proves nothing and counts as a failure.
set -euo pipefail

models=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

readonly PROCESSES=4
readonly MEMORY_MB=480 # of each process
readonly MAX_DEPTH=10000

# name | expected verdict | model | flags
cases() {
  echo "allotment|holds|allotment|"
  local flag
  for flag in $(broken_flags allotment); do
    echo "allotment $flag|broken|allotment|-D$flag"
  done
  echo "ceiling|holds|ceiling|"
  echo "ceiling UNREAD|holds|ceiling|-DUNREAD"
  for flag in $(broken_flags ceiling); do
    echo "ceiling $flag|broken|ceiling|$(unread_of "$flag") -D$flag"
  done
  echo "gift|holds|gift|"
  for flag in $(broken_flags gift); do
    echo "gift $flag|broken|gift|-D$flag"
  done
  echo "reserve|holds|reserve|"
  echo "reserve THREE_STARTS|holds|reserve|-DTHREE_STARTS"
  for flag in $(broken_flags reserve); do
    echo "reserve $flag|broken|reserve|-D$flag"
  done
  echo "acceptance RETIREMENTS|holds|acceptance|"
  echo "acceptance JOINS|holds|acceptance|-DJOINS"
  for flag in $(broken_flags acceptance); do
    echo "acceptance $flag|broken|acceptance|$(joins_of "$flag") -D$flag"
  done
  echo "claim CLAIMED|holds|claim|-DKIND=0"
  echo "claim ORIGIN|holds|claim|-DKIND=1"
  echo "claim IDEMPOTENT|holds|claim|-DKIND=2"
  for flag in $(broken_flags claim); do
    echo "claim $flag|broken|claim|-DKIND=$(kind_of "$flag") -D$flag"
  done
  echo "order IGNORES|holds|order|-DCHECKS=0"
  echo "order CHECKS|holds|order|-DCHECKS=1"
  for flag in $(broken_flags order); do
    echo "order $flag|broken|order|-DCHECKS=$(checks_of "$flag") -D$flag"
  done
}

# Reads the flags from the model itself, so that no variant is missed.
broken_flags() {
  grep -oE 'BROKEN_[A-Z_]+' "$models/$1.pml" | sort -u
}

# Prints the kind of key whose rule a variant breaks.
kind_of() {
  case "$1" in
    *ORIGIN*) echo 1 ;;
    BROKEN_BILLED*) echo 2 ;;
    *) echo 0 ;;
  esac
}

# Variants with several unread claims need the model with -DUNREAD.
unread_of() {
  case "$1" in
    *UNREAD*) echo -DUNREAD ;;
  esac
}

# Variants of joining need the model with -DJOINS.
joins_of() {
  case "$1" in
    *JOINED*) echo -DJOINS ;;
  esac
}

# Prints whether the engine of a variant checks fencing numbers.
checks_of() {
  case "$1" in
    BROKEN_ENGINE*) echo 1 ;;
    *) echo 0 ;;
  esac
}

verdict_of() {
  if grep -q 'assertion violated' "$1"; then
    echo broken
  elif grep -qE 'Search not completed|max search depth too small|MEMLIM|out of memory' "$1"; then
    echo truncated
  elif grep -q 'errors: 0' "$1"; then
    echo holds
  else
    echo failed
  fi
}

check_case() {
  local name expected model flags folder verdict states depth
  IFS='|' read -r name expected model flags <<<"$1"
  folder=$(mktemp -d -p "$work")
  cd "$folder"
  cp "$models/$model.pml" .
  # shellcheck disable=SC2086  # flags are several words
  spin -a $flags "$model.pml" >spin.log 2>&1 || true
  # Warnings are off because the code is generated.
  gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=$MEMORY_MB -o pan pan.c >cc.log 2>&1 || true
  ./pan -m$MAX_DEPTH >pan.log 2>&1 || true
  verdict=$(verdict_of pan.log)
  states=$(awk '/states, stored/ { print $1; exit }' pan.log)
  depth=$(sed -nE 's/.*depth reached ([0-9]+).*/\1/p' pan.log)
  printf '%-52s %-9s %9s states  depth %s\n' "$name" "$verdict" "${states:--}" "${depth:--}"
  if [[ $verdict != "$expected" ]]; then
    echo "model check: '$name' should be '$expected' but is '$verdict'" >&2
    tail -n 5 spin.log cc.log pan.log >&2
    return 1
  fi
}

export models work MEMORY_MB MAX_DEPTH
export -f check_case verdict_of
cases | xargs -d '\n' -P "$PROCESSES" -I {} bash -c 'check_case "$1"' _ {}

#!/usr/bin/env bash
# The operators' page and the program must name the same metrics of the entry
# router, the same outcomes in its log lines and the same figures.
set -euo pipefail
cd "$(dirname "$0")/../.."
page=docs/OPERATIONS.md
source=src/gateway/gateway_metrics.cc
status=0

compare() { # what, list of the program, list of the page
  if ! diff <(printf '%s\n' "$2" | sort -u) <(printf '%s\n' "$3" | sort -u); then
    echo "$1: the program (<) and $page (>) differ"
    status=1
  fi
}

compare metrics \
  "$(grep -ohE '"coppervalve_entry_[a-z_]+"' "$source" | tr -d '"')" \
  "$(grep -ohE '`coppervalve_entry_[a-z_]+`' "$page" | tr -d '`')"
row=$(grep '^| `coppervalve_entry_state`' "$page" | cut -d'|' -f4)
compare figures \
  "$(sed -n '/void GatewayMetrics::OnProcess/,/^}/p' "$source" | grep -oE 'set\("[a-z_]+"' | cut -d'"' -f2)" \
  "$(grep -oE '`[a-z_]+`' <<<"$row" | tr -d '`')"
row=$(grep '^| `coppervalve_entry_account_tokens`' "$page" | cut -d'|' -f4)
compare 'states of tokens' \
  "$(sed -n '/void GatewayMetrics::OnAccount/,/^}/p' "$source" | grep -oE 'set\("[a-z_]+"' | cut -d'"' -f2)" \
  "$(grep -oE '`[a-z_]+`' <<<"$row" | tr -d '`')"
table=$(sed -n '/^## Log lines/,/^## Metrics on/p' "$page" | grep '^| `' | cut -d'|' -f2)
compare events \
  "$(grep -ohE 'LogLine\("[a-z_]+"\)' src/gateway/*.cc | cut -d'"' -f2)" \
  "$(grep -oE '`[a-z_]+`' <<<"$table" | tr -d '`')"
exit "$status"

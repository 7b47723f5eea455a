#!/usr/bin/env bash
# Names of the platform (paths, headers, fields) may occur only in platform/, its
# tests and its stand-in: decisions must not depend on the platform's format. Also
# checks that the folder only translates and stays small.
set -euo pipefail
cd "$(dirname "$0")/../.."
status=0

names='Request-Id|Deadline-Ms|Prefix-Hash|Server-Signature|Expected-Instance|Not-Executed'
names+='|Instance-Id|Token-Usage|Priority-Class|Weights-Versions|Expected-Version|Pin-Ms'
names+='|Length-Hint|Kv-Backup|Kv-From|Kv-Fetch|Last-Event-Id'
names+='|/api/(readyz|resolve|report|log-|kv-|hold-)|keyed\.(op|servers|status|routers)'
names+='|pathPrefix|maxAttempts|targetLatencyMs|targetGapMs|sessionAffinity|apiKeys'
names+='|maxConnections|healthPath|warmupLeftMs|internalPorts|nodeName|graceS'
names+='|retryBudgetRatio|COPPERVALVE_NODE_FILE'

if found=$(grep -rnE "$names" src include apps proto model bench); then
  echo "names of the platform outside platform/:"
  echo "$found"
  status=1
fi

folder=$(find platform \( -name '*.cc' -o -name '*.h' \) -exec cat {} + | wc -l)
product=$(find src include apps \( -name '*.cc' -o -name '*.h' \) -exec cat {} + | wc -l)
if [ "$folder" -eq 0 ] || [ $((folder * 8)) -gt "$product" ]; then
  echo "platform/ has $folder lines; an eighth of the product's $product is allowed"
  status=1
fi

# It is stateless and makes no decisions: it uses no clock and no random numbers.
if found=$(grep -nE 'BootNow|steady_clock|system_clock|random' platform/*.cc platform/*.h); then
  echo "platform/ reads a clock or random numbers:"
  echo "$found"
  status=1
fi
echo "platform/: $folder lines, product: $product lines"
exit "$status"

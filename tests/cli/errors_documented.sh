#!/usr/bin/env bash
# Every error id must have a section in docs/ERRORS.md under its code and name in
# the catalogue, and no section may name an id that no longer exists.
set -euo pipefail
cd "$(dirname "$0")/../.."
header=include/coppervalve/core/error.h
catalogue=src/core/error.cc
page=docs/ERRORS.md
status=0
count=0
while read -r id number; do
  count=$((count + 1))
  name=$(grep -oE "ErrorId::$id, \"[a-z0-9_]+\"" "$catalogue" | cut -d'"' -f2)
  if ! grep -qE "^### CV-$number \`$name\`" "$page"; then
    echo "$page does not document CV-$number $name ($id)"
    status=1
  fi
done < <(sed -nE 's/^ +(k[A-Za-z0-9]+) = ([0-9]+),.*/\1 \2/p' "$header")
while read -r number; do
  if ! grep -qE "= $number," "$header"; then
    echo "$page documents CV-$number, which does not exist"
    status=1
  fi
done < <(sed -nE 's/^### CV-([0-9]+) .*/\1/p' "$page")
if [ "$count" -eq 0 ]; then
  echo "found no error id in $header"
  status=1
fi
echo "$count error ids checked"
exit "$status"

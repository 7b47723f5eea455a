#!/usr/bin/env bash
# 0: the rule held, 1: it was broken, 2: the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py

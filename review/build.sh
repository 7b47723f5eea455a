#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python programs of the review's own, so this
# only checks that they compile; nothing is downloaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import glob
for path in sorted(glob.glob("lib/*.py") + glob.glob("*/case.py") + glob.glob("*/server.py")):
    compile(open(path, encoding="utf-8").read(), path, "exec")
PY

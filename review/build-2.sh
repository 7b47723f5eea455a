#!/usr/bin/env bash
# The stand-ins that the scripts 6 to 10 start are Python programs in review/lib-2, which
# need only the standard library: nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, glob, sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in glob.glob("lib-2/*.py") + glob.glob("[0-9]*/case.py"):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PY

#!/usr/bin/env bash
# The stand-ins are Python files that need the standard library only: checks
# that each compiles.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - tests/*.py <<'PY'
import sys

for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, 'exec')
PY

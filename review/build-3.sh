#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python files, which are only compiled as a check; the
# nodes are target/fescued, built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/common-3/standins.py review/1[1-5]/run.py <<'PY'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
test -x target/fescued

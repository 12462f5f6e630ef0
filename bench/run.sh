#!/usr/bin/env bash
# Runs one measurement by name; the last line of output is a JSON object with its figures.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x build/fescued ] || scripts/build.sh
exec python3 bench/scenarios.py "$@"

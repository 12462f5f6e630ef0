#!/usr/bin/env bash
# Runs decision_cost or scenarios by name. The last line of output is a JSON object with the results.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x build/fescued ] || scripts/build.sh
if [ "${1:-}" = decision_cost ]; then exec build/decision_cost; fi
exec python3 bench/scenarios.py "$@"

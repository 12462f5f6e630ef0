#!/usr/bin/env bash
# Runs all checks: build, formatter, linter, a short soak test, unit tests and golden replays.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
build_tools/lint.sh
[ -s KNOWN-RED.txt ] && { echo "known red:"; cat KNOWN-RED.txt; }
FESCUE_SEEDS=ci FESCUE_SECONDS=6 bench/run.sh soak
ctest --test-dir build --output-on-failure

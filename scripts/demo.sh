#!/usr/bin/env bash
# Builds, starts simulated endpoints and four nodes on loopback, publishes both example deployments, sends load,
# prints a report and stops the processes. Exits with 0 only if every response was correct and none was lost.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
python3 bench/demo.py

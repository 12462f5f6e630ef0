#!/usr/bin/env bash
# The main job: builds, starts stand-ins and four nodes on loopback, publishes both example deployments, sends
# load, prints a report and stops all it started. Ends with 0 only if no answer was wrong or lost.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
python3 bench/demo.py

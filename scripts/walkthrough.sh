#!/usr/bin/env bash
# Runs the commands of docs/OPERATIONS.md against the demo's fleet and checks the answers.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
python3 bench/walkthrough.py

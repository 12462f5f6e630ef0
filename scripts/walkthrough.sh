#!/usr/bin/env bash
# Runs the commands of docs/OPERATIONS.md against a demo fleet and checks their output.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
python3 bench/walkthrough.py

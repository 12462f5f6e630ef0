#!/usr/bin/env bash
# Installs packages and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
cmake -G Ninja -S . -B build >/dev/null
ninja -C build

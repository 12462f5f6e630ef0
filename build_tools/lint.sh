#!/usr/bin/env bash
# Runs the formatter and the linter, both pinned to version 14 because results differ between versions.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files '*.cc' '*.h')
clang-format-14 --dry-run --Werror "${sources[@]}"
# Caches passed source files by the hash of the file and of the configuration and headers it was checked with.
mkdir -p build/lint
config=$(cat .clang-tidy CMakeLists.txt $(git ls-files '*.h') | sha256sum | cut -c1-16)
check() {
  key=$(sha256sum "$1" | cut -c1-16)-$2
  [ -e "build/lint/$key" ] && return 0
  clang-tidy-14 --quiet --extra-arg=-Wno-unknown-warning-option -p build "$1" >"build/lint/$key.out" 2>/dev/null || { cat "build/lint/$key.out"; return 1; }
  touch "build/lint/$key"
}
export -f check
git ls-files '*.cc' | xargs -P "$(nproc)" -I{} bash -c "check {} $config"

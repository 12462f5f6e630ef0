#!/usr/bin/env bash
# Installs the Debian packages that the build needs. Does nothing if all are installed.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format-14 clang-tidy-14 python3 libboost1.81-dev libboost-json1.81-dev
  libboost-url1.81-dev libboost-test1.81-dev libnghttp2-dev prometheus-cpp-dev libcli11-dev
  libssl-dev libxxhash-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=()
[ "$(id -u)" -eq 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -qq "${missing[@]}" >/dev/null

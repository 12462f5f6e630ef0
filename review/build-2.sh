#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python programs, which need no build; checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for source in common-2/*.py [6-9]/*.py 10/*.py; do
  [ -f "$source" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$source"
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or later is needed"; exit 1; }

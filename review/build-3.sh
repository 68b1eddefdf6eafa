#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: plain Python, so it only checks
# that they compile. Needs no network.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 - "$file" <<'PY'
import pathlib
import sys

path = sys.argv[1]
compile(pathlib.Path(path).read_text(), path, "exec")
PY
done
echo "stand-ins checked"

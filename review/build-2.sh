#!/usr/bin/env bash
# The stand-ins of the second review's scripts are in Python and need no build; this checks
# that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
exec python3 -B - <<'EOF'
import pathlib
for path in sorted(pathlib.Path(".").glob("stand-ins-2/*.py")) + sorted(pathlib.Path(".").glob("*/case.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
EOF

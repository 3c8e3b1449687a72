#!/usr/bin/env bash
# The stand-ins are Python sources, so nothing is compiled. Checks that they can be read and that
# the build of deploy/system.toml has made the programs that they start.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import ast, glob, os, sys, tomllib
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for path in glob.glob("common/*.py") + glob.glob("*/case.py"):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
with open("../deploy/system.toml", "rb") as file:
    for role in tomllib.load(file)["roles"].values():
        program = os.path.join("..", role["run"].split()[0])
        if not os.access(program, os.X_OK):
            sys.exit(f"{program} is missing: build it as deploy/system.toml says")
CHECK

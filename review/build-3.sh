#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are Python scripts and need no build; this checks that
# the interpreter can read them. The cases start the programs of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
for script in stand-ins-3/*.py 1[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$script"
done
python3 -c 'import asyncio; asyncio.timeout'

#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
timeout -k 5 115 python3 -B case.py
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"

#!/usr/bin/env bash
# Plays this case: 1 the rule was broken, 0 it held, 2 it could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 115 ../../.venv/bin/python case.py 3</dev/null

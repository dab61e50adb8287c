#!/bin/sh
# Builds what the cases start: the stand-ins are Python files that need nothing but the build of the deploy file.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/.." || exit 2
exec .venv/bin/python -m compileall -q review

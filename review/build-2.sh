#!/usr/bin/env bash
# Builds what the cases of the second review start: their stand-ins, which are Python and need the virtual environment
# that the key build of deploy/balancer.toml sets up. Run it after that build; it uses no network.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/second review/[6-9] $(ls -d review/10 2>/dev/null || true)

#!/usr/bin/env bash
# Sets up the workspace and runs the demo with the given flags.
set -euo pipefail
cd "$(dirname "$0")"
bash .ci/setup
exec .venv/bin/python -m magnoliagrade_standins demo "$@"

#!/usr/bin/env bash
# Sets up the workspace and runs the main job; flags are passed on to it.
set -euo pipefail
cd "$(dirname "$0")"
bash .ci/setup
exec .venv/bin/python -m magnoliagrade_standins demo "$@"

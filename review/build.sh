#!/bin/sh
# Compiles the stand-ins of the review's scripts; they need no other build.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. PYTHONPYCACHEPREFIX=target/review python3 -m compileall -q review

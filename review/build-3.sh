#!/bin/sh
# Builds what the scripts of review/11 to review/15 start besides the deployed programs:
# the stand-ins of review/common-3, which need only Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common-3
for case in 11 12 13 14 15; do
    if [ -d "$case" ]; then
        python3 -m compileall -q "$case"
    fi
done

#!/bin/sh
# Builds the stand-ins of the cases 6 to 9, which need the libraries in target/deps.
# Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
if [ ! -f target/deps/built ]; then
    echo "run the build of deploy/system.toml first" >&2
    exit 2
fi
rm -rf target/review-2
mkdir -p target/review-2
cp review/common-2/*.py target/review-2/
python3 -m compileall -q target/review-2
PYTHONPATH=target/deps:target/review-2 python3 -c "import group_2, site_2"

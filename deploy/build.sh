#!/bin/sh
# Installs the locked libraries and the workspace's packages into target/deps.
set -eu
libraries=target/deps/libraries-from
if ! cmp -s deploy/requirements.lock "$libraries"; then
    rm -rf target/deps
    mkdir -p target/deps
    python3 -m pip install --quiet --disable-pip-version-check --no-deps \
        --target target/deps -r deploy/requirements.lock
    cp deploy/requirements.lock "$libraries"
fi
for package in magnoliagrade magnoliagrade-entry magnoliagrade-agent; do
    module=$(echo "$package" | tr - _)
    rm -rf "target/deps/$module"
    cp -r "packages/$package/$module" target/deps/
    find "target/deps/$module" -name tests -type d -prune -exec rm -rf {} +
done
python3 -m compileall -q target/deps/magnoliagrade target/deps/magnoliagrade_entry \
    target/deps/magnoliagrade_agent

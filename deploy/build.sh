#!/bin/sh
# Installs the locked libraries and the workspace's packages into target/deps and compiles
# them to bytecode. Skips what has not changed since the last build; compiled libraries
# belong to one kind of machine and one version of Python.
set -eu
libraries=target/deps/libraries-from
built=target/deps/built
wanted="$(python3 -c 'import sys, sysconfig
print(sysconfig.get_platform(), sys.implementation.cache_tag)')
$(cat deploy/requirements.lock)"
if [ ! -f "$libraries" ] || [ "$wanted" != "$(cat "$libraries")" ]; then
    rm -rf target/deps
    mkdir -p target/deps
    python3 -m pip install --quiet --disable-pip-version-check --no-deps \
        --target target/deps -r deploy/requirements.lock
    echo "$wanted" > "$libraries"
fi
sources=$(find packages -type f \( -name '*.py' -o -name '*.capnp' \) | sort |
    xargs sha256sum)
if [ -f "$built" ] && [ "$sources" = "$(cat "$built")" ]; then
    exit 0
fi
for package in magnoliagrade magnoliagrade-entry magnoliagrade-agent; do
    module=$(echo "$package" | tr - _)
    rm -rf "target/deps/$module"
    cp -r "packages/$package/$module" target/deps/
    find "target/deps/$module" -name tests -type d -prune -exec rm -rf {} +
done
python3 -m compileall -q target/deps/magnoliagrade target/deps/magnoliagrade_entry \
    target/deps/magnoliagrade_agent
echo "$sources" > "$built"

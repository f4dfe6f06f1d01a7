#!/bin/sh
# Puts the pinned libraries and the project's own packages, compiled, where
# the platform's Python finds them. Libraries are installed only when their
# list has changed; our own packages are copied each time, so that the
# sources that are played are those of this checkout.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
if [ ! "$deps/.installed" -nt deploy/requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install -q --no-compile --target "$deps" \
        -r deploy/requirements.txt
    python3 -m compileall -q "$deps" || true
    touch "$deps/.installed"
fi
rm -rf "$deps/mimosamux_wire" "$deps/mimosamux_daemon" \
    "$deps/mimosamux_platform"
cp -R packages/mimosamux-wire/mimosamux_wire \
    packages/mimosamux-daemon/mimosamux_daemon \
    platform/mimosamux_platform "$deps"
python3 -m compileall -q "$deps/mimosamux_wire" "$deps/mimosamux_daemon" \
    "$deps/mimosamux_platform"

#!/bin/sh
# Builds the stand-ins of the cases: they use the standard library alone, so
# that only their syntax is checked. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q -f standins [1-5]

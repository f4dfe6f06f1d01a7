#!/bin/sh
# Puts the project's stand-ins beside the libraries of the platform's build
# (deploy/build.sh, which has to have run) for the scripts of this review.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -R packages/mimosamux-standins/mimosamux_standins target/review-2
cp review/standins-2/*.py target/review-2
python3 -m compileall -q target/review-2

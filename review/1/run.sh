#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken.
set -u
cd "$(dirname "$0")/../.."
exec python3 review/1/case.py

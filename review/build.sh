#!/bin/sh
# The scripts of the cases start the program of the deploy file, target/gateway.mjs, and stand-ins
# that are plain modules of this folder (lib/) and need no compiler: only their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do
  node --check "$file"
done
if [ ! -f ../target/gateway.mjs ]; then
  echo "target/gateway.mjs is missing: run the build of the deploy file first" >&2
  exit 1
fi

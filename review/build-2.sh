#!/bin/sh
# Builds what the scripts of review/6 and later start. Their stand-ins are plain modules of Node.js
# in review/lib-2 and beside the scripts, so that they are only checked here.
set -e
cd "$(dirname "$0")"
for module in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  if [ -e "$module" ]; then
    node --check "$module"
  fi
done

#!/bin/sh
# Builds what the scripts of review/11 and later start beside the gateway: their stand-ins are plain
# Node.js modules in review/lib-3 without dependencies, so that this only checks that they parse.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
  node --check "$file" || exit 1
done

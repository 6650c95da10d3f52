#!/bin/bash
# Prepares the cases 4 and up after the build of the deploy file. Their stand-ins are plain ECMAScript
# modules that need no compilation; they use cbor-x, which the project declares. Needs no network.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/[4-6]/case.mjs; do
  [ -e "$file" ] && node --check "$file"
done
[ -e target/start.cjs ] && [ -e node_modules/cbor-x/package.json ]

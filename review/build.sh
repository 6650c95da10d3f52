#!/bin/sh
# The stand-ins of the cases are plain ES modules that import only the project's own dependency
# cbor-x from node_modules, which the build of the deploy file installs. This checks their syntax.
cd "$(dirname "$0")" && for file in lib/*.mjs [0-9]*/*.mjs; do node --check "$file" || exit 1; done

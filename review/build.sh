#!/bin/sh
# The stand-ins are plain JavaScript modules: nothing is compiled, only checked.
set -e
cd "$(dirname "$0")"
for file in common/*.mjs [123]/*.mjs; do node --check "$file"; done

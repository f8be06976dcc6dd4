#!/bin/sh
# Builds the stand-ins of the second review's scripts. They are plain Node.js modules
# without dependencies, so that only their syntax is checked.
set -eu
cd "$(dirname "$0")"
for file in common-2/*.mjs [4-8]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done

#!/usr/bin/env bash
# The README's demo command: installs and builds on a fresh machine, then
# runs the whole deployment on loopback with the embedded default workload.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci
npx tsc -b
exec node packages/nutmeggauge/dist/bin.js demo "$@"

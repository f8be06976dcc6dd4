#!/usr/bin/env bash
# Demo command of the README: installs npm packages if they are missing, builds
# all packages, and runs the whole deployment on loopback with the built-in
# default workload.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci
npx tsc -b
exec node packages/nutmeggauge/dist/bin.js demo "$@"

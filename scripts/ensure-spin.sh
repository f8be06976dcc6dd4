#!/usr/bin/env bash
# Installs the spin model checker from Debian packages if it is missing.
set -euo pipefail
if command -v spin >/dev/null 2>&1; then exit 0; fi
if [ "$(id -u)" != 0 ]; then
  echo "spin is not installed; install it as root with 'apt-get install spin'" >&2
  exit 1
fi
apt-get update -qq >/dev/null
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq spin gcc >/dev/null

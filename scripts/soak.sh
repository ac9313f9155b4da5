#!/usr/bin/env bash
# Runs the soak. scripts/soak.sh --seconds N --seed S
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >&2
exec scripts/soak.py "$@"

#!/usr/bin/env bash
# Installs what is missing and builds into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
[ -f build/build.ninja ] || cmake -G Ninja -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build build

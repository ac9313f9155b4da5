#!/usr/bin/env bash
# Builds tests with the address and undefined-behaviour sanitizers into build-sanitize/ and runs
# them. Arguments are names of test programs; without any, all of ctest's tests are run but those
# that KNOWN-RED.txt lists.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
flags="-fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer"
cmake -G Ninja -B build-sanitize -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_FLAGS="$flags" >/dev/null
cmake --build build-sanitize ${1:+--target "$@"}
# Memory that is still held when a test ends is no fault of this kind. Freed memory that the sanitizer
# holds back would count in tests of resident memory, so that less of it is held than by default.
export ASAN_OPTIONS=detect_leaks=0:quarantine_size_mb=16
if [ $# -gt 0 ]; then
  for name in "$@"; do
    RC_PARAMS=seed=20261203 "$(find build-sanitize -name "$name" -type f -executable)"
  done
  exit 0
fi
mapfile -t known_red < <(sed -n 's/^ *ctest: //p' KNOWN-RED.txt 2>/dev/null | sed 's/[][\.*^$+?(){}|]/\\&/g')
excluded=()
if [ "${#known_red[@]}" -gt 0 ]; then
  excluded=(--exclude-regex "^($(IFS='|'; echo "${known_red[*]}"))\$")
fi
ulimit -n 4096 2>/dev/null || true
ctest --test-dir build-sanitize --output-on-failure --no-tests=error -j 4 "${excluded[@]}"

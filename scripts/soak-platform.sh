#!/usr/bin/env bash
# Soak on the stand-ins of the users' platform, with real teaseldrift-edge processes on loopback.
# scripts/soak-platform.sh [--seconds N] [--seed N] [--vms N] [--targets N] [--folder DIR]
#   [--no-build] [more options of standin-platform, such as --trouble KIND,KIND]
# Exits with 1 if a rule was broken; the logs then stay in the printed folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=1
folder=
arguments=()
while [ $# -gt 0 ]; do
  case "$1" in
    --no-build) build=0 ;;
    --folder) folder="$2"; shift ;;
    *) arguments+=("$1") ;;
  esac
  shift
done
build_folder="${TEASELDRIFT_BUILD_DIR:-build}"
if [ "$build" = 1 ]; then
  [ -f "$build_folder/build.ninja" ] \
    || cmake -G Ninja -B "$build_folder" -DCMAKE_BUILD_TYPE=RelWithDebInfo >&2
  cmake --build "$build_folder" -j "${JOBS:-3}" --target teaseldrift-edge standin-platform >&2
fi
kept="$folder"
folder="${folder:-$(mktemp -d /tmp/soak-platform.XXXXXX)}"
status=0
"$build_folder/platform/testing/standin-platform" --program "$build_folder/platform/teaseldrift-edge" \
  --folder "$folder" "${arguments[@]}" || status=$?
if [ "$status" = 0 ] && [ -z "$kept" ]; then
  rm -r "$folder"
fi
exit "$status"

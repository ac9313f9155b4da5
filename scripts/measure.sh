#!/usr/bin/env bash
# Prints scenario,policy,metric,value,unit for every experiment. Virtual time, fixed seeds.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >&2
echo "scenario,policy,metric,value,unit"
for experiment in build/bench/*/measure-*; do
  [ -f "$experiment" ] && [ -x "$experiment" ] && "$experiment"
done

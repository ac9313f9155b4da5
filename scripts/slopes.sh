#!/usr/bin/env bash
# Measures the slopes behind docs/CAPACITY.md, writes docs/capacity/slopes.csv and its plot, and
# fills the page's tables from them. Under 5 minutes after the build.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >&2
csv=docs/capacity/slopes.csv
{
  echo "name,size,value,unit"
  for bench in placement allowance configuration attempts; do
    "build/bench/micro/bench-$bench" --benchmark_min_time=0.1 --benchmark_format=json 2>/dev/null |
      python3 scripts/capacity.py benchmark "$bench"
  done
  build/bench/control/measure-control | python3 scripts/capacity.py control
  build/bench/rates/measure-rates | python3 scripts/capacity.py rates
  scripts/performance.py
} > "$csv.new"
mv "$csv.new" "$csv"
python3 scripts/capacity.py page
python3 scripts/capacity.py plot | gnuplot

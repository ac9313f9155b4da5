#!/usr/bin/env bash
# Runs the property tests (Catch2 tag [fuzz]) again and again with fresh seeds.
# scripts/fuzz.sh --seconds N [--seed S]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=60
seed=$RANDOM
while [ $# -gt 0 ]; do
  case "$1" in
    --seconds) seconds=$2; shift 2 ;;
    --seed) seed=$2; shift 2 ;;
    *) echo "usage: scripts/fuzz.sh --seconds N [--seed S]" >&2; exit 2 ;;
  esac
done
scripts/build.sh >&2
end=$((SECONDS + seconds))
rounds=0
while [ "$SECONDS" -lt "$end" ]; do
  for program in build/packages/*/*-test; do
    "$program" --list-tests '[fuzz]' >/dev/null && continue
    echo "$program RC_PARAMS=seed=$seed max_success=1000"
    RC_PARAMS="seed=$seed max_success=1000" "$program" '[fuzz]'
  done
  seed=$((seed + 1))
  rounds=$((rounds + 1))
done
echo "fuzz: $rounds rounds without a failure"

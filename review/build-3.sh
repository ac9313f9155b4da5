#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in stray_bytes slow_requesters; do
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-3/$program" \
    "review/standins3/$program.cpp" -pthread
done

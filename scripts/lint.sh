#!/usr/bin/env bash
# Checks formatting, lint, generated code and generated pages.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' '*.hpp')
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(git ls-files -co --exclude-standard '*.cpp')
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p build 2> >(grep -v 'warnings generated' >&2)
generated=$(mktemp -d)
trap 'rm -r "$generated"' EXIT
protoc -I packages/schema/proto --cpp_out="$generated" packages/schema/proto/teaseldrift/schema/*.proto
diff -r "$generated" packages/schema/generated
build/packages/schema/result-codes-table | diff - docs/RESULT_CODES.md
echo "lint: clean"

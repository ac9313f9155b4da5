#!/usr/bin/env bash
# Regenerates the committed code and pages from the schema.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I packages/schema/proto --cpp_out=packages/schema/generated packages/schema/proto/teaseldrift/schema/*.proto
cmake --build build --target result-codes-table
build/packages/schema/result-codes-table > docs/RESULT_CODES.md

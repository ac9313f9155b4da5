#!/usr/bin/env bash
# The stand-ins are Python (3.11 or later, standard library only): nothing to build, only checked here.
# The program under test, target/teaseldrift-edge, is built by the line `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in pathlib.Path(".").rglob("*.py"):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY

#!/usr/bin/env bash
# Checks what the scripts of cases 6 to 10 start besides target/teaseldrift-edge: their stand-ins are
# Python modules of the standard library only (python3 of packages.txt) and need no build.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standins2/*.py [0-9]*/run.py <<'PYTHON'
import ast
import sys

assert sys.version_info >= (3, 9), "python3 is too old"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
print(f"{len(sys.argv) - 1} modules are sound")
PYTHON

#!/usr/bin/env bash
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/teaseldrift-edge ] || exit 2
python3 -B run.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2

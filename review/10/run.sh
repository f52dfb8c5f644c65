#!/bin/sh
# Exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=target/deps:packages/core/src:packages/router/src:packages/testing/src
export PYTHONPATH="$PYTHONPATH:platform:review/harness-2"
timeout -k 5 110 python3 "$here/case.py"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"

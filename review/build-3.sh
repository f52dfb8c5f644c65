#!/bin/sh
# The stand-ins of the third review use the standard library only. This compiles them
# in memory, so that a mistake shows before a case is run.
cd "$(dirname "$0")" || exit 2
for file in harness-3/*.py $(ls 1[1-5]/*.py 2>/dev/null); do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done

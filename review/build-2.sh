#!/bin/sh
# Build the stand-ins of the scripts in review/6 to review/10: compile their modules.
# They use the packages in target/deps, where the build of the deploy file puts them.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q review/harness-2 packages/testing/src \
    platform/fireflystand_platform/tests/__init__.py \
    platform/fireflystand_platform/tests/stand_ins.py

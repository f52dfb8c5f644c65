#!/bin/sh
# Builds the stand-ins, which use the standard library only. The build of the deploy
# file, which has to come first, makes target/deps for the routers.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q stand_ins [1-5]

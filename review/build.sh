#!/bin/sh
# Checks that all that the scripts start is there: the gateway from the build of the deploy file,
# and the stand-ins, which are Python sources and need no other build.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/skylarkferry_platform ] || sh deploy/build.sh
PYTHONDONTWRITEBYTECODE=1 \
  PYTHONPATH="target/deps:packages/skylarkferry-standins/src:review/common" \
  python3 -c "import bed, skylarkferry_platform, skylarkferry_standins.row_store"

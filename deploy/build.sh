#!/bin/sh
# Installs a gateway's libraries and sources into target/deps, which is on Python's path.
set -eu
stamp=target/libraries.txt
mkdir -p target
if ! cmp -s deploy/requirements.txt "$stamp"; then
  rm -rf target/deps
  python3 -m pip install -q --no-deps --target target/deps -r deploy/requirements.txt
  cp deploy/requirements.txt "$stamp"
fi
rm -rf target/deps/skylarkferry_*
cp -R packages/skylarkferry-core/src/skylarkferry_core \
  packages/skylarkferry-admission/src/skylarkferry_admission \
  packages/skylarkferry-daemon/src/skylarkferry_daemon \
  packages/skylarkferry-gateway/src/skylarkferry_gateway \
  platform/skylarkferry_platform target/deps/

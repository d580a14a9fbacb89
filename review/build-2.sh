#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the gateways: the project's
# stand-ins and the harness of these cases. It needs target/deps, which the deploy file's build
# makes, and no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -R packages/skylarkferry-standins/src/skylarkferry_standins target/review-2/
cp review/harness-2/harness_2.py target/review-2/

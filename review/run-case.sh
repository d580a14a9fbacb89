#!/bin/sh
# Runs the script of one case: run-case.sh FOLDER, from any folder.
set -eu
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
PYTHONPATH="$root/target/deps:$root/packages/skylarkferry-standins/src:$root/review/common"
export PYTHONPATH PYTHONDONTWRITEBYTECODE=1
exec python3 "$folder/case.py"

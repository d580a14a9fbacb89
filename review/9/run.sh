#!/bin/sh
# Runs the case from the repository's root, after the deploy file's build and review/build-2.sh.
cd "$(dirname "$0")/../.."
exec env PYTHONPATH=target/deps:target/review-2 PYTHONDONTWRITEBYTECODE=1 \
  python3 -S review/9/case.py

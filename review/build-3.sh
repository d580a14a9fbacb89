#!/bin/sh
# Builds the stand-ins of the scripts review/11 to review/15: plain Python, so they are only compiled.
set -eu
cd "$(dirname "$0")"
python3 -S - third/*.py 1[1-5]/*.py <<'END'
import os
import sys

for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as source:
            compile(source.read(), path, "exec")
END

#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python and use its standard library only, so this
# checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import glob
for path in glob.glob("**/*.py", recursive=True):
    with open(path) as file:
        compile(file.read(), path, "exec")
CHECK

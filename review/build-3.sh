#!/usr/bin/env bash
# Checks the stand-ins of this review; they need no build beyond target/deps of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPATH=../target/deps:.. python3 - <<'PY'
import ast
import pathlib

import magnoliarouter.platform.main
import magnoliarouter.tests.platform_standin

for folder in ("standins-3", "11", "12", "13", "14", "15"):
    for path in pathlib.Path(folder).glob("*.py"):
        ast.parse(path.read_text(encoding="utf-8"), str(path))
PY

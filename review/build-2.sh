#!/bin/sh
# Builds what the scripts of the second review start: nothing has to be compiled, so this checks that the
# stand-ins and the daemon can be loaded with what the build of deploy/system.toml has placed under target/.
cd "$(dirname "$0")/.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=review/standins-2 python3 -c "import harness" || exit 1
PYTHONPATH=target/deps python3 -c "import magnoliarouter.platform.main" || exit 1
for case in review/[6-9]/case.py review/10/case.py; do
    [ -f "$case" ] || continue
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read())" "$case" || exit 1
done

#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library: they are compiled to show that they are whole.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9]

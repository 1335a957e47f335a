#!/usr/bin/env bash
# The stand-ins of the scripts are Python and need no build. Checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import ast, pathlib
for path in [*pathlib.Path(".").glob("lib/*.py"), *pathlib.Path(".").glob("**/case.py")]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))'

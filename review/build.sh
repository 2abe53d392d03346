#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the deployed program. The stand-ins are Python
# scripts that use the standard library alone, so this only checks them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("checked", path)
PY

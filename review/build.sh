#!/bin/sh
# Builds what the cases start beside the proxy. All stand-ins are Python of review/ and need only the standard
# library, so they are compiled in memory, to see that they can be. The deploy file's `build` comes before.
cd "$(dirname "$0")" || exit 2
exec ../.venv/bin/python - <<'PYTHON'
from pathlib import Path

for path in sorted(Path().glob("*/*.py")):
    compile(path.read_bytes(), str(path), "exec")
    print("built", path)
PYTHON

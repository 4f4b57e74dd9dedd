#!/usr/bin/env bash
# Builds the stand-ins of the cases from 4 on: they are Python with the standard library alone, so only checked here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - lib2/*.py [4-8]/case.py <<'PYTHON'
import sys
from pathlib import Path

assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for name in sys.argv[1:]:
    compile(Path(name).read_text(encoding="utf-8"), name, "exec")
PYTHON

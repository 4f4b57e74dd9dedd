"""Start roseweir from a checkout: `python3 run.py serve --config FILE`.

The build installs the pinned libraries in target/deps and the bytecode in
target/pycache, because a running controller cannot write files.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path.insert(0, str(ROOT / "target" / "deps"))
sys.pycache_prefix = str(ROOT / "target" / "pycache")
sys.dont_write_bytecode = True

from roseweir.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())

"""`python -m roseweir`: the command line."""

import sys

from roseweir.cli import main

sys.exit(main())

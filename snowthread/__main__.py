"""``python -m snowthread``."""

import sys

from snowthread.cli import main

sys.exit(main())

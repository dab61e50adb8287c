"""``python -m snowthread``. With no arguments it serves, and loads no command line for it."""

import sys

if len(sys.argv) == 1:
    from snowthread.serve import main

    sys.exit(main())

from snowthread.cli import main as command_line

sys.exit(command_line())

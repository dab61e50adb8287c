"""Entry point of ``python -m snowthread``: without arguments it serves, and imports no command line."""

import sys

if len(sys.argv) == 1:
    from snowthread.serve import main

    sys.exit(main())

from snowthread.cli import main as command_line

sys.exit(command_line())

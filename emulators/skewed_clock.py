"""Run the program with a clock that is wrong: ``python -m emulators.skewed_clock SECONDS ARGUMENT...``.

The program's only clock is ahead by ``SECONDS``. The other arguments are those of ``python -m snowthread``.
"""

from __future__ import annotations

import sys

from snowthread.net.clock import Clock


def main() -> int:
    """Shift the clock, run the program with the other arguments, and return its exit status."""
    from snowthread.cli import main as run_program

    offset_ms = float(sys.argv[1]) * 1000.0
    now = Clock.now
    Clock.now = lambda self: now(self) + offset_ms  # type: ignore[method-assign]
    return run_program(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())
